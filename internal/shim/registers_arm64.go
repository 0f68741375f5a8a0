package shim

import (
	"fmt"
	"unsafe"

	"golang.org/x/sys/unix"
)

// noSystemCall is the number that makes the kernel skip a system call.
const noSystemCall int32 = -1

// numberRegister is the general register that holds the number of a system call. The arguments are in the
// registers from 0 on, the result in register 0.
const (
	numberRegister = 8
	resultRegister = 0
)

// number returns the number of the system call.
func (r *registers) number() uint64 { return r.raw.Regs[numberRegister] }

// argument returns an argument of the system call.
func (r *registers) argument(a argument) uint64 { return r.raw.Regs[a] }

// setArgument replaces an argument of the system call.
func (r *registers) setArgument(a argument, value uint64) error {
	r.raw.Regs[a] = value
	return unix.PtraceSetRegs(r.thread, &r.raw)
}

// skip makes the kernel skip the system call and return result to the program. The kernel keeps the number of
// the call apart from the general registers, in a set of its own (NT_ARM_SYSTEM_CALL).
func (r *registers) skip(result int64) error {
	number := noSystemCall
	set := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	if _, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(r.thread),
		unix.NT_ARM_SYSTEM_CALL, uintptr(unsafe.Pointer(&set)), 0, 0); errno != 0 {
		return fmt.Errorf("shim: skip a system call: %w", errno)
	}
	r.raw.Regs[resultRegister] = uint64(result)
	return unix.PtraceSetRegs(r.thread, &r.raw)
}

// stackPointer returns the thread's stack pointer.
func (r *registers) stackPointer() uint64 { return r.raw.Sp }
