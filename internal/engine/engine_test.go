package engine

import (
	"runtime"
	"testing"

	"github.com/lesismal/nbio"
)

// An engine that is stopped before its poller has run does not hold up who stops it: on one
// processor the poller never runs in between.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 3 {
		e := nbio.NewEngine(nbio.Config{Name: "test", NPoller: 1})
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			Stop(e)
			close(done)
		}()
		<-done // the test's own time-out otherwise
	}
}
