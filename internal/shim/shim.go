// Package shim runs a program under ptrace(2) and has its system calls fail for moments, in
// ways that Linux documents: short reads and writes, errors of sockets and of a folder,
// interrupted waits, a pause before a write, a wall clock that was set. It needs no
// privileges, and only what it starts is touched. Linux on amd64 only.
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

// Kind of a fault.
type Kind string

// The kinds of faults. Those of files concern the state folder alone.
const (
	ShortWrite   Kind = "short_write"    // a socket takes a part
	ShortRead    Kind = "short_read"     // a socket gives a part
	Interrupted  Kind = "eintr"          // read or write was interrupted
	PollNoMemory Kind = "epoll_enomem"   // epoll_ctl ADD and MOD fail with ENOMEM
	AcceptFails  Kind = "accept"         // ECONNABORTED, ENFILE
	SocketFails  Kind = "socket"         // ENFILE, ENOBUFS
	ConnectFails Kind = "connect"        // EADDRNOTAVAIL, ENETUNREACH
	AcceptNoRoom Kind = "accept_no_room" // accept fails with EMFILE, ENOBUFS, EPROTO
	WriteTorn    Kind = "disk_torn"      // a part of a record is written, then ENOSPC
	DiskFull     Kind = "disk_enospc"    // writes fail with ENOSPC, EDQUOT
	DiskError    Kind = "disk_eio"       // writes fail with EIO
	TruncFails   Kind = "disk_ftruncate" // ftruncate fails with EIO
	OpenFails    Kind = "disk_open"      // opening, creating and renaming files fails with EIO
	UnlinkFails  Kind = "disk_unlink"    // removing a file fails with EIO
	Stall        Kind = "stall"          // up to 0.15 s pass before a write to a socket
	WallClock    Kind = "wall_clock"     // the wall clock is off by a step

	PollInterrupted Kind = "epoll_eintr"   // epoll_pwait was interrupted
	ReadNoMemory    Kind = "read_enomem"   // read from a socket fails with ENOMEM, ENOBUFS
	WriteNoMemory   Kind = "write_enobufs" // write to a socket fails with ENOBUFS, ENOMEM
	SockoptFails    Kind = "sockopt"       // setsockopt and getsockopt fail with ENOBUFS, ENOMEM
	DiskDown        Kind = "disk_down"     // all that changes the folder fails with EIO, each time
	WriteDown       Kind = "write_down"    // write to a socket fails with ENOBUFS, each time
	AcceptDown      Kind = "accept_down"   // accept fails with ENFILE, each time
	FileReadFails   Kind = "disk_read"     // reading a file or the folder fails with EIO
)

// Kinds are all of them.
var Kinds = []Kind{ShortWrite, ShortRead, Interrupted, PollNoMemory, AcceptFails, SocketFails, ConnectFails, AcceptNoRoom, WriteTorn,
	DiskFull, DiskError, TruncFails, OpenFails, UnlinkFails, Stall, WallClock, PollInterrupted, ReadNoMemory, WriteNoMemory, SockoptFails,
	FileReadFails, DiskDown, AcceptDown, WriteDown}

// Options of a Process.
type Options struct {
	Path   string   // of the program that calls Exec
	Args   []string // by which it does, with the program to run and its arguments
	Env    []string
	Dir    string
	State  string // the folder whose files may fail
	Stderr io.Writer
	Seed   uint64
	// Poll: waits for events may be interrupted. A program waits often, and each wait is stopped.
	Poll bool
}

// Process is a program under the shim.
type Process struct {
	opt  Options
	Pid  int
	done chan struct{}
	exit syscall.WaitStatus

	active      sync.Map // Kind to bool
	activeKinds atomic.Int32
	wallOffset  atomic.Int64 // offset of the wall clock in ns

	mu   sync.Mutex
	hits map[Kind]int
}

// Start runs a program. It is ended with the process that started it.
func Start(opt Options) (*Process, error) {
	p := &Process{opt: opt, done: make(chan struct{}), hits: map[Kind]int{}}
	started := make(chan error, 1)
	go p.run(started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("shim: %w", err)
	}
	return p, nil
}

// Set begins or ends a fault.
func (p *Process) Set(k Kind, on bool) {
	if was, _ := p.active.Swap(k, on); was != on && (was != nil || on) {
		if on {
			p.activeKinds.Add(1)
		} else {
			p.activeKinds.Add(-1)
		}
	}
}

// SetWall steps the wall clock to an offset from the machine's.
func (p *Process) SetWall(offset time.Duration) { p.wallOffset.Store(int64(offset)) }

// Hits are how often faults were injected, by kind.
func (p *Process) Hits() map[Kind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[Kind]int{}
	for k, n := range p.hits {
		all[k] = n
	}
	return all
}

// CPU is the processor time that the process has used, 0 once it has ended.
func (p *Process) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
	if err != nil {
		return 0
	}
	// Behind the name, which stands in parentheses: state and ten numbers, then user and system time.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

// clockTick is the unit of times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Signal sends a signal; one to a process that has ended does nothing.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = syscall.Kill(p.Pid, sig)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit is how it ended, once Done is closed.
func (p *Process) Exit() syscall.WaitStatus { return p.exit }

func (p *Process) isActive(k Kind) bool {
	on, _ := p.active.Load(k)
	return on == true
}

func (p *Process) countHit(k Kind) {
	p.mu.Lock()
	p.hits[k]++
	p.mu.Unlock()
}

// tracer is the thread that traces a process; ptrace(2) allows no other.
type tracer struct {
	process     *Process
	random      *rand.Rand
	threads     map[int]bool // threads
	torn        map[int]bool // threads whose next write to the folder fails
	pollerReady bool         // the program's runtime has its poller
}

const (
	waitNoThread = 0x20000000 // __WNOTHREAD: only children of this thread
	traceOptions = unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC | unix.PTRACE_O_EXITKILL
)

// run starts the program and traces it until it has ended.
func (p *Process) run(started chan<- error) {
	runtime.LockOSThread() // and never unlocked: the thread goes with its tracees
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
	t := &tracer{process: p, random: rand.New(rand.NewPCG(p.opt.Seed, 0x5)), threads: map[int]bool{p.Pid: true}, torn: map[int]bool{}}
	p.exit = t.waitLoop()
	_ = cmd.Wait() // for what it wrote; it has been waited for
	close(p.done)
}

// loop follows all threads until the process has ended.
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
			if pid == t.process.Pid {
				return syscall.WaitStatus(ws)
			}
		case ws.Stopped():
			t.stopped(pid, ws)
		}
	}
}

// stopped handles one stop of a thread and lets it go on.
func (t *tracer) stopped(pid int, ws unix.WaitStatus) {
	signal := int(ws.StopSignal())
	if ws.StopSignal() == unix.SIGTRAP {
		switch int(ws >> 16) {
		case unix.PTRACE_EVENT_SECCOMP:
			t.syscallEntry(pid)
			signal = 0
		case unix.PTRACE_EVENT_EXEC:
			t.pollerReady = false
			hideVDSO(pid)
			signal = 0
		case unix.PTRACE_EVENT_CLONE:
			signal = 0
		}
	} else if ws.StopSignal() == unix.SIGSTOP && !t.threads[pid] {
		t.threads[pid] = true // a new thread
		signal = 0
	}
	_ = unix.PtraceCont(pid, signal) // it may have been killed meanwhile
}
