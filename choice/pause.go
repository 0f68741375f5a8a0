package choice

// Pause says that calls can't begin now, for a reason of the relay's own such as a disk that fails, or that they
// can again. What waits goes on waiting, its time runs, and nothing of it counts against an endpoint.
type Pause struct{ On bool }

func (Pause) event() {}
