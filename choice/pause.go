package choice

// Pause reports that no call can begin for a reason local to the relay, such as a failing disk (On), or that calls can
// begin again. Waiting messages keep waiting while their deadlines approach; hosts are not blamed for the delay.
type Pause struct{ On bool }

func (Pause) event() {}
