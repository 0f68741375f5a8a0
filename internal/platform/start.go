package platform

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/pause"
)

const (
	// A start that fails for a moment is tried again after firstWait, doubling to longestWait.
	firstWait   = 20 * time.Millisecond
	longestWait = 500 * time.Millisecond
)

// Run loads the configuration (getenv is os.Getenv), starts a node, and runs it until ctx
// ends; then it drains. Each signal of reload has the configuration read again, also while
// the node drains.
func Run(ctx context.Context, reload <-chan os.Signal, getenv func(string) string, log zerolog.Logger) error {
	cfg, err := whenPossible(ctx, log, func() (*Config, error) { return Load(getenv) })
	if err != nil {
		return stopped(err)
	}
	Tune(BoundsOf(cfg))
	n, err := StartWhenPossible(ctx, cfg, log)
	if err != nil {
		return stopped(err)
	}
	drained := make(chan struct{})
	go func() {
		<-ctx.Done()
		log.Info().Msg("stopping")
		n.Drain()
		close(drained)
	}()
	for {
		select {
		case <-reload:
			n.ReadAgain(getenv)
		case <-drained:
			log.Info().Msg("stopped")
			return nil
		}
	}
}

// stopped is no error where a node was told to end before it had started.
func stopped(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// StartWhenPossible is Start that waits, and says so, while the machine does not let it: a
// folder that cannot be read or written, no descriptor, an address still in use. It ends
// with ctx, and at once on what no waiting mends.
func StartWhenPossible(ctx context.Context, cfg *Config, log zerolog.Logger) (*Node, error) {
	return whenPossible(ctx, log, func() (*Node, error) { return Start(cfg, log) })
}

// whenPossible tries until nothing of the system's fails.
func whenPossible[T any](ctx context.Context, log zerolog.Logger, try func() (T, error)) (T, error) {
	said := ""
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		done, err := try()
		if err == nil || !transient(err) {
			return done, err
		}
		if text := err.Error(); text != said {
			said = text
			log.Warn().Str("cause", "start").Err(err).Msg("the start waits until this is possible")
		}
		if !pause.For(ctx, wait) {
			return done, errors.Join(err, ctx.Err())
		}
	}
}

// transient tells an error of the system's, which may pass, from one of what the node was
// told. A file that is not there is the latter.
func transient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !errors.Is(err, fs.ErrNotExist)
}
