package shim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// tracedCalls are the system calls that stop in the tracer.
var tracedCalls = []uint32{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FTRUNCATE, unix.SYS_OPENAT,
	unix.SYS_RENAMEAT, unix.SYS_UNLINKAT, unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_EPOLL_CTL,
	unix.SYS_SETSOCKOPT, unix.SYS_GETSOCKOPT, unix.SYS_PREAD64, unix.SYS_GETDENTS64, unix.SYS_RECVFROM}

// Offsets in struct seccomp_data, in bytes.
const (
	offsetNumber = 0
	offsetArg0   = 16
)

// pollVariable is the environment variable that makes waits for events stop in the tracer too.
const pollVariable = "BASALTCROSS_SHIM_POLL"

// filter builds the seccomp program that stops the traced calls, and clock_gettime of the wall clock, in the
// tracer and allows all others.
func filter() []unix.SockFilter {
	traced := tracedCalls
	if os.Getenv(pollVariable) != "" {
		traced = append(slices.Clone(traced), unix.SYS_EPOLL_PWAIT)
	}
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	equal := func(k uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: yes, Jf: no, K: k}
	}
	ret := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	program := []unix.SockFilter{load(offsetNumber)}
	for i, number := range traced {
		program = append(program, equal(number, uint8(len(traced)-i+3), 0))
	}
	return append(program,
		equal(unix.SYS_CLOCK_GETTIME, 0, 2),
		load(offsetArg0),
		equal(unix.CLOCK_REALTIME, 1, 0),
		ret(unix.SECCOMP_RET_ALLOW),
		ret(unix.SECCOMP_RET_TRACE))
}

// Exec installs the seccomp filter and replaces this process by the program named by the first argument.
// It returns only on an error.
func Exec(args []string) error {
	if len(args) == 0 {
		return errors.New("shim: no program to run was given")
	}
	runtime.LockOSThread()
	program := filter()
	fprog := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("shim: %w", err)
	}
	// The filter applies to this thread only; exec ends the others.
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER,
		uintptr(unsafe.Pointer(&fprog)), 0, 0); err != nil {
		return fmt.Errorf("shim: %w", err)
	}
	return fmt.Errorf("shim: %s: %w", args[0], syscall.Exec(args[0], args, os.Environ()))
}

// Types of entries in the auxiliary vector.
const (
	auxNull   = 0
	auxIgnore = 1
	auxVDSO   = 33 // AT_SYSINFO_EHDR
)

// hideVDSO removes the vDSO from the auxiliary vector of a program that has just been loaded, so that it reads
// its clocks by system calls, which the tracer sees.
func hideVDSO(pid int) {
	regs, err := readRegisters(pid)
	if err != nil {
		return
	}
	stack := regs.stackPointer()
	word := func(at uint64) uint64 {
		var b [8]byte
		_, _ = unix.PtracePeekData(pid, uintptr(at), b[:])
		return binary.LittleEndian.Uint64(b[:])
	}
	at := stack + 8*(word(stack)+2) // past the arguments and their null terminator
	for word(at) != 0 {             // skip the environment
		at += 8
	}
	for at += 8; word(at) != auxNull; at += 16 {
		if word(at) == auxVDSO {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], auxIgnore)
			_, _ = unix.PtracePokeData(pid, uintptr(at), b[:])
		}
	}
}
