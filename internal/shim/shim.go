// Package shim runs a program under ptrace(2) and injects faults into its system calls, all of them
// documented by Linux: short reads and writes, errors of sockets and of files in one directory,
// interrupted waits, a delay before a write, a stepped wall clock. It needs no privileges and affects
// only the processes that it starts. It runs on Linux, on amd64 and arm64.
//
// Which faults are active at which time is up to the caller; see package soak.
package shim

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. File faults apply to the state directory only.
const (
	ShortWrite    Kind = "short_write"    // a write to a socket is accepted in part
	ShortRead     Kind = "short_read"     // a read from a socket returns part of what was asked for
	Interrupted   Kind = "eintr"          // a read or write on a socket fails with EINTR
	PollNoMemory  Kind = "epoll_enomem"   // epoll_ctl ADD and MOD fail with ENOMEM
	AcceptFails   Kind = "accept"         // accept fails with ECONNABORTED, ENFILE
	SocketFails   Kind = "socket"         // socket fails with ENFILE, ENOBUFS
	ConnectFails  Kind = "connect"        // connect fails with EADDRNOTAVAIL, ENETUNREACH
	AcceptNoRoom  Kind = "accept_no_room" // accept fails with EMFILE, ENOBUFS, EPROTO
	WriteTorn     Kind = "disk_torn"      // part of a record is written, the next write fails with ENOSPC
	DiskFull      Kind = "disk_enospc"    // writes fail with ENOSPC, EDQUOT
	DiskError     Kind = "disk_eio"       // writes fail with EIO
	TruncateFails Kind = "disk_ftruncate" // ftruncate fails with EIO
	OpenFails     Kind = "disk_open"      // opening, creating and renaming files fails with EIO
	UnlinkFails   Kind = "disk_unlink"    // removing a file fails with EIO
	Stall         Kind = "stall"          // a write to a socket is delayed by up to 150 ms
	WallClock     Kind = "wall_clock"     // the wall clock is off by a fixed offset

	PollInterrupted Kind = "epoll_eintr"   // epoll_pwait fails with EINTR
	ReadNoMemory    Kind = "read_enomem"   // read from a socket fails with ENOMEM, ENOBUFS
	WriteNoMemory   Kind = "write_enobufs" // write to a socket fails with ENOBUFS, ENOMEM
	SockoptFails    Kind = "sockopt"       // setsockopt and getsockopt fail with ENOBUFS, ENOMEM
	DiskDown        Kind = "disk_down"     // every change to the state directory fails with EIO
	WriteDown       Kind = "write_down"    // every write to a socket fails with ENOBUFS
	AcceptDown      Kind = "accept_down"   // every accept fails with ENFILE
	FileReadFails   Kind = "disk_read"     // reading a file or the directory fails with EIO
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{ShortWrite, ShortRead, Interrupted, PollNoMemory, AcceptFails, SocketFails, ConnectFails,
	AcceptNoRoom, WriteTorn, DiskFull, DiskError, TruncateFails, OpenFails, UnlinkFails, Stall, WallClock,
	PollInterrupted, ReadNoMemory, WriteNoMemory, SockoptFails, FileReadFails, DiskDown, AcceptDown, WriteDown}

// Options configures a Process.
type Options struct {
	Path   string   // executable that calls Exec
	Args   []string // arguments that make it call Exec, then the program to run and its arguments
	Env    []string
	Dir    string
	State  string // directory that file faults apply to
	Stderr io.Writer
	Seed   uint64
	// Poll also traces waits for events, for PollInterrupted. It slows the program down: every wait stops in
	// the tracer, and programs wait often.
	Poll bool
	// OnStall, if set, is called after each Stall fault, from the goroutine that traces the program. The whole
	// program may have stood still between the two times.
	OnStall func(begin, end time.Time)
}

// Process is a traced program.
type Process struct {
	opt  Options
	Pid  int
	done chan struct{}
	exit syscall.WaitStatus

	active     sync.Map     // Kind to bool: whether the fault is active
	any        atomic.Int32 // number of active kinds
	wallOffset atomic.Int64 // offset of the wall clock, in nanoseconds

	mu   sync.Mutex
	hits map[Kind]int
}

// Start starts a program under the tracer. The program is killed when the calling process ends.
func Start(opt Options) (*Process, error) {
	p := &Process{opt: opt, done: make(chan struct{}), hits: map[Kind]int{}}
	started := make(chan error, 1)
	go p.run(started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("shim: %w", err)
	}
	return p, nil
}

// Set activates or deactivates a kind of fault.
func (p *Process) Set(k Kind, on bool) {
	if was, _ := p.active.Swap(k, on); was != on && (was != nil || on) {
		if on {
			p.any.Add(1)
		} else {
			p.any.Add(-1)
		}
	}
}

// SetWall sets the program's wall clock to an offset from the machine's.
func (p *Process) SetWall(offset time.Duration) { p.wallOffset.Store(int64(offset)) }

// Hits returns the number of injected faults, by kind.
func (p *Process) Hits() map[Kind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[Kind]int{}
	for k, n := range p.hits {
		all[k] = n
	}
	return all
}

// CPU returns the processor time that the process has used, 0 once it has ended.
func (p *Process) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
	if err != nil {
		return 0
	}
	// After the name in parentheses come the state, ten numbers, then user and system time in clock ticks.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

// clockTick is the unit of times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Signal sends a signal to the process. It does nothing once the process has ended.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = syscall.Kill(p.Pid, sig)
	}
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit returns the exit status. It is valid once Done is closed.
func (p *Process) Exit() syscall.WaitStatus { return p.exit }

// isActive reports whether a kind of fault is active.
func (p *Process) isActive(k Kind) bool {
	on, _ := p.active.Load(k)
	return on == true
}

// countHit counts an injected fault.
func (p *Process) countHit(k Kind) {
	p.mu.Lock()
	p.hits[k]++
	p.mu.Unlock()
}

// tracer holds the state of the one thread that traces a process: ptrace(2) accepts requests from no other.
type tracer struct {
	process     *Process
	random      *rand.Rand
	threads     map[int]bool // threads of the process seen so far
	torn        map[int]bool // threads whose next write to the state directory fails
	pollerReady bool         // the program's runtime has set up its poller
}

const (
	waitNoThread = 0x20000000 // __WNOTHREAD: wait for children of this thread only
	traceOptions = unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_TRACECLONE |
		unix.PTRACE_O_TRACEEXEC | unix.PTRACE_O_EXITKILL
)

// run starts the program and traces it until it has ended.
func (p *Process) run(started chan<- error) {
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
	cmd := exec.Command(p.opt.Path, p.opt.Args...)
	cmd.Env, cmd.Dir, cmd.Stderr = p.opt.Env, p.opt.Dir, p.opt.Stderr
	if p.opt.Poll {
		cmd.Env = append(slices.Clone(cmd.Env), pollVariable+"=1")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		started <- err
		return
	}
	p.Pid = cmd.Process.Pid
	var ws unix.WaitStatus
	_, err := unix.Wait4(p.Pid, &ws, unix.WALL, nil)
	if err = errors.Join(err, unix.PtraceSetOptions(p.Pid, traceOptions), unix.PtraceCont(p.Pid, 0)); err != nil {
		_ = cmd.Process.Kill()
		started <- err
		return
	}
	started <- nil
	t := &tracer{process: p, random: rand.New(rand.NewPCG(p.opt.Seed, 0x5)),
		threads: map[int]bool{p.Pid: true}, torn: map[int]bool{}}
	p.exit = t.waitLoop()
	_ = cmd.Wait() // waits for the copy of its stderr; the process itself has been reaped
	close(p.done)
}

// waitLoop handles the stops of all threads until the process has ended, and returns its exit status.
func (t *tracer) waitLoop() syscall.WaitStatus {
	for {
		var ws unix.WaitStatus
		pid, err := unix.Wait4(-1, &ws, unix.WALL|waitNoThread, nil)
		switch {
		case err == unix.EINTR:
			continue
		case err != nil:
			return syscall.WaitStatus(ws)
		case ws.Exited() || ws.Signaled():
			delete(t.threads, pid) // the system may give the number to a new thread
			if pid == t.process.Pid {
				return syscall.WaitStatus(ws)
			}
		case ws.Stopped():
			t.stopped(pid, ws)
		}
	}
}

// stopped handles one stop of a thread and resumes it.
func (t *tracer) stopped(pid int, ws unix.WaitStatus) {
	signal := int(ws.StopSignal())
	if ws.StopSignal() == unix.SIGTRAP {
		switch int(ws >> 16) {
		case unix.PTRACE_EVENT_SECCOMP:
			t.syscallEntry(pid)
			signal = 0
		case unix.PTRACE_EVENT_EXEC:
			t.pollerReady = false
			t.threads = map[int]bool{pid: true} // the other threads have ended
			hideVDSO(pid)
			signal = 0
		case unix.PTRACE_EVENT_CLONE:
			signal = 0
		}
	} else if ws.StopSignal() == unix.SIGSTOP && !t.threads[pid] {
		t.threads[pid] = true // a new thread
		signal = 0
	}
	_ = unix.PtraceCont(pid, signal) // fails if the thread has been killed since
}
