package front

import "time"

var began = time.Now()

// Now is the time in nanoseconds since the process began. Fronts measure silence and time
// limits by it: nobody sets it, as the wall clock may be set.
func Now() int64 { return Nanos(time.Now()) }

// Nanos is a moment of this process on the clock of Now.
func Nanos(t time.Time) int64 { return int64(t.Sub(began)) }
