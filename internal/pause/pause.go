// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits so long, and tells whether the time passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
