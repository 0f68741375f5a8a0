package front

import "time"

var processStart = time.Now()

// Now returns the nanoseconds since the process started, on the monotonic clock. Fronts measure
// idle times and time limits by it, because the wall clock may be set.
func Now() int64 { return SinceStart(time.Now()) }

// SinceStart converts a time of this process to the scale of Now.
func SinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }
