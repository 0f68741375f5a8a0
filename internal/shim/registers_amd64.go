package shim

import "golang.org/x/sys/unix"

// noSystemCall is the number that makes the kernel skip a system call.
const noSystemCall = ^uint64(0)

// number returns the number of the system call.
func (r *registers) number() uint64 { return r.raw.Orig_rax }

// argument returns an argument of the system call.
func (r *registers) argument(a argument) uint64 { return *r.argumentRegister(a) }

// setArgument replaces an argument of the system call.
func (r *registers) setArgument(a argument, value uint64) error {
	*r.argumentRegister(a) = value
	return unix.PtraceSetRegs(r.thread, &r.raw)
}

// argumentRegister returns the register that holds an argument.
func (r *registers) argumentRegister(a argument) *uint64 {
	switch a {
	case firstArgument:
		return &r.raw.Rdi
	case secondArgument:
		return &r.raw.Rsi
	default:
		return &r.raw.Rdx
	}
}

// skip makes the kernel skip the system call and return result to the program.
func (r *registers) skip(result int64) error {
	r.raw.Orig_rax = noSystemCall
	r.raw.Rax = uint64(result)
	return unix.PtraceSetRegs(r.thread, &r.raw)
}

// stackPointer returns the thread's stack pointer.
func (r *registers) stackPointer() uint64 { return r.raw.Rsp }
