package front

import (
	"testing"
	"time"
)

// Guards against ends that are told too late: the time of a request runs while its connection
// stands in the listener's queue because accepting fails.
func TestQueueTellsHowLongAcceptingWasHeldUp(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var q queue
	if q.got(at(0), at(0)); q.waited(at(1)) != 0 {
		t.Error("waited where nothing failed")
	}
	q.held(at(10))
	q.held(at(30))                          // the first one counts
	for _, now := range []int{50, 52, 54} { // a whole queue follows
		if q.got(at(now), at(now)); q.waited(at(now)) != at(now).Sub(at(10)) {
			t.Errorf("at %d ms: waited %v", now, q.waited(at(now)))
		}
	}
	if q.got(at(60), at(80)); q.waited(at(80)) != 0 { // it was empty
		t.Errorf("waited %v after the queue was empty", q.waited(at(80)))
	}
}
