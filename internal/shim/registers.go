package shim

import "golang.org/x/sys/unix"

// registers are those of a thread that has stopped in the tracer. How they hold a system call depends on the
// architecture.
type registers struct {
	thread int
	raw    unix.PtraceRegs
}

// argument is the position of an argument of a system call.
type argument int

// The positions of arguments that faults look at or change.
const (
	firstArgument argument = iota
	secondArgument
	thirdArgument
)

// readRegisters reads the registers of a stopped thread. It fails if the thread has been killed since.
func readRegisters(thread int) (*registers, error) {
	r := &registers{thread: thread}
	if err := unix.PtraceGetRegs(thread, &r.raw); err != nil {
		return nil, err
	}
	return r, nil
}
