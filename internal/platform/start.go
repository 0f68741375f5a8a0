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
	// Back-off of retries after transient errors: initialRetryDelay, doubling up to maxRetryDelay.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Run loads the configuration (getenv is os.Getenv), starts a node, runs it until ctx ends, and
// then drains it. Each signal on reload reloads the configuration, also while the node drains.
func Run(ctx context.Context, reload <-chan os.Signal, getenv func(string) string, log zerolog.Logger) error {
	cfg, err := retryTransient(ctx, log, func() (*Config, error) { return Load(getenv) })
	if err != nil {
		return ignoreCanceled(err)
	}
	SetRuntimeLimits(BoundsOf(cfg))
	n, err := StartWithRetry(ctx, cfg, log)
	if err != nil {
		return ignoreCanceled(err)
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
			n.Reload(getenv)
		case <-drained:
			log.Info().Msg("stopped")
			return nil
		}
	}
}

// ignoreCanceled returns nil for the error of a node that was stopped before it had started.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// StartWithRetry calls Start and retries it after transient system errors, which it logs: a
// folder that cannot be read or written, no free file descriptor, an address still in use. It
// returns when ctx ends, and at once on any other error.
func StartWithRetry(ctx context.Context, cfg *Config, log zerolog.Logger) (*Node, error) {
	return retryTransient(ctx, log, func() (*Node, error) { return Start(cfg, log) })
}

// retryTransient calls try until it succeeds or fails with an error that is not transient, with
// exponential back-off. It logs an error only when its text has changed.
func retryTransient[T any](ctx context.Context, log zerolog.Logger, try func() (T, error)) (T, error) {
	logged := ""
	for wait := initialRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		done, err := try()
		if err == nil || !transient(err) {
			return done, err
		}
		if text := err.Error(); text != logged {
			logged = text
			log.Warn().Str("cause", "start").Err(err).Msg("transient system error; retrying")
		}
		if !pause.For(ctx, wait) {
			return done, errors.Join(err, ctx.Err())
		}
	}
}

// transient reports whether err is a system error that may pass, and not a fault of the
// configuration. A missing file counts as a fault of the configuration.
func transient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !errors.Is(err, fs.ErrNotExist)
}
