// Package engine ends nbio's engines.
package engine

import (
	"context"
	"time"

	"github.com/lesismal/nbio"
)

// stopTime is long for an engine whose connections are all being closed.
const stopTime = 2 * time.Second

// Stop ends an engine and its connections. It does not wait for ever: a poller that was
// started a moment ago and has not run yet forgets that it was to end, and stays with its
// empty table (nbio 1.6.8, poller.readWriteLoop). That is so where what follows a start
// fails at once, and the process ends then.
func Stop(e *nbio.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = e.Shutdown(ctx) // the time-out is the one error
}
