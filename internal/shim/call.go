package shim

import (
	"encoding/binary"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// longestStall is how long a write may be held up.
const longestStall = 150 * time.Millisecond

// call decides what becomes of a system call that is about to be made.
func (t *tracer) call(pid int) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(pid, &regs) != nil {
		return // killed meanwhile
	}
	if regs.Orig_rax == unix.SYS_CLOCK_GETTIME {
		t.clock(pid, &regs)
		return
	}
	if t.p.any.Load() == 0 {
		t.polls = t.polls || regs.Orig_rax == unix.SYS_EPOLL_CTL
		return
	}
	if t.p.is(DiskDown) && t.changesState(pid, &regs) {
		t.instead(pid, &regs, -int64(unix.EIO))
		t.p.hit(DiskDown)
		return
	}
	switch regs.Orig_rax {
	case unix.SYS_READ:
		t.read(pid, &regs)
	case unix.SYS_WRITE:
		t.write(pid, &regs)
	case unix.SYS_PWRITE64:
		t.writeFile(pid, &regs)
	case unix.SYS_FTRUNCATE:
		t.fail(pid, &regs, TruncFails, t.inState(pid, regs.Rdi), unix.EIO)
	case unix.SYS_OPENAT:
		t.fail(pid, &regs, OpenFails, t.names(pid, regs.Rsi), unix.EIO)
	case unix.SYS_RENAMEAT:
		t.fail(pid, &regs, OpenFails, t.names(pid, regs.Rsi), unix.EIO)
	case unix.SYS_UNLINKAT:
		t.fail(pid, &regs, UnlinkFails, t.names(pid, regs.Rsi), unix.EIO)
	case unix.SYS_ACCEPT4:
		if t.p.is(AcceptDown) {
			t.instead(pid, &regs, -int64(unix.ENFILE))
			t.p.hit(AcceptDown)
		} else if !t.fail(pid, &regs, AcceptFails, true, unix.ECONNABORTED, unix.ENFILE) {
			t.fail(pid, &regs, AcceptNoRoom, true, unix.EMFILE, unix.ENOBUFS, unix.EPROTO)
		}
	case unix.SYS_SOCKET:
		t.fail(pid, &regs, SocketFails, true, unix.ENFILE, unix.ENOBUFS)
	case unix.SYS_CONNECT:
		t.fail(pid, &regs, ConnectFails, true, unix.EADDRNOTAVAIL, unix.ENETUNREACH)
	case unix.SYS_EPOLL_CTL:
		// Go's runtime has no way on where the first one of a process fails.
		t.fail(pid, &regs, PollNoMemory, t.polls && regs.Rsi != unix.EPOLL_CTL_DEL, unix.ENOMEM)
		t.polls = true
	case unix.SYS_EPOLL_PWAIT:
		t.fail(pid, &regs, PollInterrupted, true, unix.EINTR)
	case unix.SYS_SETSOCKOPT, unix.SYS_GETSOCKOPT:
		t.fail(pid, &regs, SockoptFails, true, unix.ENOBUFS, unix.ENOMEM)
	case unix.SYS_PREAD64, unix.SYS_GETDENTS64:
		t.fail(pid, &regs, FileReadFails, t.inState(pid, regs.Rdi), unix.EIO)
	}
}

// changesState tells whether a call would change the state folder.
func (t *tracer) changesState(pid int, regs *unix.PtraceRegs) bool {
	switch regs.Orig_rax {
	case unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FTRUNCATE:
		return t.inState(pid, regs.Rdi)
	case unix.SYS_OPENAT, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT:
		return t.names(pid, regs.Rsi)
	}
	return false
}

// fail has a call fail, with an even chance, where a kind is active and the call is one of it.
func (t *tracer) fail(pid int, regs *unix.PtraceRegs, k Kind, concerned bool, errnos ...unix.Errno) bool {
	if !t.p.is(k) || !concerned || t.r.IntN(2) == 0 {
		return false
	}
	t.instead(pid, regs, -int64(errnos[t.r.IntN(len(errnos))]))
	t.p.hit(k)
	return true
}

// instead has a call return something without being made.
func (t *tracer) instead(pid int, regs *unix.PtraceRegs, result int64) {
	regs.Orig_rax = ^uint64(0)
	regs.Rax = uint64(result)
	_ = unix.PtraceSetRegs(pid, regs)
}

// cut shortens a call's length.
func (t *tracer) cut(pid int, regs *unix.PtraceRegs, k Kind) {
	if regs.Rdx < 2 {
		return
	}
	regs.Rdx = 1 + t.r.Uint64N(min(regs.Rdx-1, 40))
	_ = unix.PtraceSetRegs(pid, regs)
	t.p.hit(k)
}

func (t *tracer) read(pid int, regs *unix.PtraceRegs) {
	if !isSocket(pid, regs.Rdi) {
		t.fail(pid, regs, FileReadFails, t.inState(pid, regs.Rdi), unix.EIO)
		return
	}
	if t.fail(pid, regs, Interrupted, true, unix.EINTR) || t.fail(pid, regs, ReadNoMemory, true, unix.ENOMEM, unix.ENOBUFS) {
		return
	}
	if t.p.is(ShortRead) {
		t.cut(pid, regs, ShortRead)
	}
}

func (t *tracer) write(pid int, regs *unix.PtraceRegs) {
	if !isSocket(pid, regs.Rdi) {
		t.writeFile(pid, regs)
		return
	}
	if t.p.is(Stall) { // once, for while it lasts nothing else of the program goes on
		t.p.Set(Stall, false)
		t.p.hit(Stall)
		time.Sleep(time.Duration(t.r.Int64N(int64(longestStall))))
	}
	if t.p.is(WriteDown) {
		t.instead(pid, regs, -int64(unix.ENOBUFS))
		t.p.hit(WriteDown)
		return
	}
	if t.fail(pid, regs, Interrupted, true, unix.EINTR) || t.fail(pid, regs, WriteNoMemory, true, unix.ENOBUFS, unix.ENOMEM) {
		return
	}
	if t.p.is(ShortWrite) {
		t.cut(pid, regs, ShortWrite)
	}
}

func (t *tracer) writeFile(pid int, regs *unix.PtraceRegs) {
	if !t.inState(pid, regs.Rdi) {
		return
	}
	if t.torn[pid] {
		delete(t.torn, pid)
		t.instead(pid, regs, -int64(unix.ENOSPC))
		return
	}
	if t.fail(pid, regs, DiskFull, true, unix.ENOSPC, unix.EDQUOT) || t.fail(pid, regs, DiskError, true, unix.EIO) {
		return
	}
	if t.p.is(WriteTorn) && regs.Rdx > 1 && t.r.IntN(2) == 0 {
		t.torn[pid] = true
		regs.Rdx = 1 + t.r.Uint64N(regs.Rdx-1)
		_ = unix.PtraceSetRegs(pid, regs)
		t.p.hit(WriteTorn)
	}
}

// clock answers for the wall clock.
func (t *tracer) clock(pid int, regs *unix.PtraceRegs) {
	offset := t.p.wall.Load()
	if offset == 0 {
		return
	}
	now := time.Now().UnixNano() + offset
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(now/int64(time.Second)))
	binary.LittleEndian.PutUint64(b[8:], uint64(now%int64(time.Second)))
	if _, err := unix.PtracePokeData(pid, uintptr(regs.Rsi), b[:]); err != nil {
		return
	}
	t.instead(pid, regs, 0)
	t.p.hit(WallClock)
}

func isSocket(pid int, fd uint64) bool {
	return strings.HasPrefix(target(pid, fd), "socket:")
}

func target(pid int, fd uint64) string {
	name, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, int32(fd)))
	return name
}

// inState tells whether a descriptor is that of the state folder or of a file in it.
func (t *tracer) inState(pid int, fd uint64) bool {
	name := target(pid, fd)
	return t.p.opt.State != "" && (name == t.p.opt.State || strings.HasPrefix(name, t.p.opt.State+"/"))
}

// names tells whether a path in the program's memory lies in the state folder.
func (t *tracer) names(pid int, at uint64) bool {
	b := make([]byte, len(t.p.opt.State)+1)
	n, err := unix.PtracePeekData(pid, uintptr(at), b)
	return err == nil && n == len(b) && t.p.opt.State != "" && strings.HasPrefix(string(b), t.p.opt.State)
}
