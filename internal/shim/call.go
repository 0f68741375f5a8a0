package shim

import (
	"encoding/binary"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// maxStall bounds the delay that the Stall fault adds to a write.
const maxStall = 150 * time.Millisecond

// syscallEntry decides at a system call's entry whether a fault is injected into it.
func (t *tracer) syscallEntry(pid int) {
	regs, err := readRegisters(pid)
	if err != nil {
		return // the process has been killed since
	}
	if regs.number() == unix.SYS_CLOCK_GETTIME {
		t.clockGettime(pid, regs)
		return
	}
	if t.process.any.Load() == 0 {
		t.pollerReady = t.pollerReady || regs.number() == unix.SYS_EPOLL_CTL
		return
	}
	if t.process.isActive(DiskDown) && t.modifiesState(pid, regs) {
		t.skipWith(regs, -int64(unix.EIO))
		t.process.countHit(DiskDown)
		return
	}
	switch regs.number() {
	case unix.SYS_READ:
		t.read(pid, regs)
	case unix.SYS_RECVFROM:
		if !t.fail(regs, Interrupted, true, unix.EINTR) {
			t.fail(regs, ReadNoMemory, true, unix.ENOMEM, unix.ENOBUFS)
		}
	case unix.SYS_WRITE:
		t.write(pid, regs)
	case unix.SYS_PWRITE64:
		t.writeFile(pid, regs)
	case unix.SYS_FTRUNCATE:
		t.fail(regs, TruncateFails, t.fdInState(pid, regs.argument(firstArgument)), unix.EIO)
	case unix.SYS_OPENAT:
		t.fail(regs, OpenFails, t.pathInState(pid, regs.argument(secondArgument)), unix.EIO)
	case unix.SYS_RENAMEAT:
		t.fail(regs, OpenFails, t.pathInState(pid, regs.argument(secondArgument)), unix.EIO)
	case unix.SYS_UNLINKAT:
		t.fail(regs, UnlinkFails, t.pathInState(pid, regs.argument(secondArgument)), unix.EIO)
	case unix.SYS_ACCEPT4:
		if t.process.isActive(AcceptDown) {
			t.skipWith(regs, -int64(unix.ENFILE))
			t.process.countHit(AcceptDown)
		} else if !t.fail(regs, AcceptFails, true, unix.ECONNABORTED, unix.ENFILE) {
			t.fail(regs, AcceptNoRoom, true, unix.EMFILE, unix.ENOBUFS, unix.EPROTO)
		}
	case unix.SYS_SOCKET:
		t.fail(regs, SocketFails, true, unix.ENFILE, unix.ENOBUFS)
	case unix.SYS_CONNECT:
		t.fail(regs, ConnectFails, true, unix.EADDRNOTAVAIL, unix.ENETUNREACH)
	case unix.SYS_EPOLL_CTL:
		// The first epoll_ctl of a process never fails: Go's runtime cannot recover from that.
		t.fail(regs, PollNoMemory, t.pollerReady && regs.argument(secondArgument) != unix.EPOLL_CTL_DEL, unix.ENOMEM)
		t.pollerReady = true
	case unix.SYS_EPOLL_PWAIT:
		t.fail(regs, PollInterrupted, true, unix.EINTR)
	case unix.SYS_SETSOCKOPT, unix.SYS_GETSOCKOPT:
		t.fail(regs, SockoptFails, true, unix.ENOBUFS, unix.ENOMEM)
	case unix.SYS_PREAD64, unix.SYS_GETDENTS64:
		t.fail(regs, FileReadFails, t.fdInState(pid, regs.argument(firstArgument)), unix.EIO)
	}
}

// modifiesState reports whether a system call would modify the state directory.
func (t *tracer) modifiesState(pid int, regs *registers) bool {
	switch regs.number() {
	case unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FTRUNCATE:
		return t.fdInState(pid, regs.argument(firstArgument))
	case unix.SYS_OPENAT, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT:
		return t.pathInState(pid, regs.argument(secondArgument))
	}
	return false
}

// fail makes a system call fail with probability 1/2 and one of errnos, if the kind of fault is active and
// applies to the call. It reports whether the call fails.
func (t *tracer) fail(regs *registers, k Kind, concerned bool, errnos ...unix.Errno) bool {
	if !t.process.isActive(k) || !concerned || t.random.IntN(2) == 0 {
		return false
	}
	t.skipWith(regs, -int64(errnos[t.random.IntN(len(errnos))]))
	t.process.countHit(k)
	return true
}

// skipWith skips the system call and makes it return result.
func (t *tracer) skipWith(regs *registers, result int64) {
	_ = regs.skip(result) // fails if the thread has been killed since
}

// shorten reduces the length argument of a read or write.
func (t *tracer) shorten(regs *registers, k Kind) {
	length := regs.argument(thirdArgument)
	if length < 2 {
		return
	}
	_ = regs.setArgument(thirdArgument, 1+t.random.Uint64N(min(length-1, 40)))
	t.process.countHit(k)
}

// read injects faults into a read.
func (t *tracer) read(pid int, regs *registers) {
	if !isSocket(pid, regs.argument(firstArgument)) {
		t.fail(regs, FileReadFails, t.fdInState(pid, regs.argument(firstArgument)), unix.EIO)
		return
	}
	if t.fail(regs, Interrupted, true, unix.EINTR) ||
		t.fail(regs, ReadNoMemory, true, unix.ENOMEM, unix.ENOBUFS) {
		return
	}
	if t.process.isActive(ShortRead) {
		t.shorten(regs, ShortRead)
	}
}

// write injects faults into a write.
func (t *tracer) write(pid int, regs *registers) {
	if !isSocket(pid, regs.argument(firstArgument)) {
		t.writeFile(pid, regs)
		return
	}
	if t.process.isActive(Stall) { // only once per activation: the tracer serves no other thread meanwhile
		t.process.Set(Stall, false)
		t.stall()
	}
	if t.process.isActive(WriteDown) {
		t.skipWith(regs, -int64(unix.ENOBUFS))
		t.process.countHit(WriteDown)
		return
	}
	if t.fail(regs, Interrupted, true, unix.EINTR) ||
		t.fail(regs, WriteNoMemory, true, unix.ENOBUFS, unix.ENOMEM) {
		return
	}
	if t.process.isActive(ShortWrite) {
		t.shorten(regs, ShortWrite)
	}
}

// stall delays the program.
func (t *tracer) stall() {
	t.process.countHit(Stall)
	begin := time.Now()
	time.Sleep(time.Duration(t.random.Int64N(int64(maxStall))))
	if t.process.opt.OnStall != nil {
		t.process.opt.OnStall(begin, time.Now())
	}
}

// writeFile injects faults into a write to a file of the state directory.
func (t *tracer) writeFile(pid int, regs *registers) {
	if !t.fdInState(pid, regs.argument(firstArgument)) {
		return
	}
	if t.torn[pid] {
		delete(t.torn, pid)
		t.skipWith(regs, -int64(unix.ENOSPC))
		return
	}
	if t.fail(regs, DiskFull, true, unix.ENOSPC, unix.EDQUOT) || t.fail(regs, DiskError, true, unix.EIO) {
		return
	}
	length := regs.argument(thirdArgument)
	if t.process.isActive(WriteTorn) && length > 1 && t.random.IntN(2) == 0 {
		t.torn[pid] = true
		_ = regs.setArgument(thirdArgument, 1+t.random.Uint64N(length-1))
		t.process.countHit(WriteTorn)
	}
}

// clockGettime answers clock_gettime with the offset wall clock.
func (t *tracer) clockGettime(pid int, regs *registers) {
	offset := t.process.wallOffset.Load()
	if offset == 0 {
		return
	}
	now := time.Now().UnixNano() + offset
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(now/int64(time.Second)))
	binary.LittleEndian.PutUint64(b[8:], uint64(now%int64(time.Second)))
	if _, err := unix.PtracePokeData(pid, uintptr(regs.argument(secondArgument)), b[:]); err != nil {
		return
	}
	t.skipWith(regs, 0)
	t.process.countHit(WallClock)
}

// isSocket reports whether a descriptor of a process refers to a socket.
func isSocket(pid int, fd uint64) bool {
	return strings.HasPrefix(fdTarget(pid, fd), "socket:")
}

// fdTarget returns the file or socket that a descriptor of a process refers to, as /proc names it.
func fdTarget(pid int, fd uint64) string {
	name, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, int32(fd)))
	return name
}

// fdInState reports whether a descriptor refers to the state directory or a file in it.
func (t *tracer) fdInState(pid int, fd uint64) bool {
	name := fdTarget(pid, fd)
	return t.process.opt.State != "" && (name == t.process.opt.State || strings.HasPrefix(name, t.process.opt.State+"/"))
}

// pathInState reports whether the path at an address in the traced program's memory lies in the state
// directory.
func (t *tracer) pathInState(pid int, at uint64) bool {
	b := make([]byte, len(t.process.opt.State)+1)
	n, err := unix.PtracePeekData(pid, uintptr(at), b)
	return err == nil && n == len(b) && t.process.opt.State != "" && strings.HasPrefix(string(b), t.process.opt.State)
}
