package addr

import (
	"math"
	"math/rand/v2"
	"time"
)

// PoolSettings limit the connections kept to one endpoint.
type PoolSettings struct {
	IdleTimeout   time.Duration // idle time after which a connection is closed; 0 for no limit
	MaxAge        time.Duration // age limit, with 10 % jitter, applied when a call ends; 0 for no limit
	MaxIdle       int           // limit on idle connections
	MaxSpare      int           // limit on connections opened before a call needs them
	MaxConnecting int           // limit on concurrent connection set-ups, handshakes included
}

// PoolPolicy decides how many connections to keep to one endpoint: which may be reused, when to open one
// in advance, and when to wait for another instead of opening one. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type PoolPolicy struct {
	settings      PoolSettings
	rand          *rand.Rand
	peak          float64 // decaying maximum of concurrent calls
	peakAt        time.Duration
	lastAnswered  bool          // the last call was answered
	lastAnswer    time.Duration // time of the last answered call
	unusedSpares  int           // consecutive spare connections that closed without carrying a call
	noSparesUntil time.Duration // no spare connections until then
}

// SpareTimeout is the time-out for setting up a spare connection, which no call waits for.
const SpareTimeout = 5 * time.Second

// spareHoldOff is how long an endpoint gets no spare connections after its idle connections were
// closed on request: it may be one that accepts few connections, idle ones included.
const spareHoldOff = time.Minute

// peakDecay is the time in which the peak of concurrent calls decays to 1/e. It is also how long
// after its last answer an endpoint gets spare connections; every spare that closes unused halves
// that time.
const peakDecay = 10 * time.Second

// NewPoolPolicy returns a PoolPolicy that draws the jitter of ages from the seed.
func NewPoolPolicy(set PoolSettings, seed uint64) *PoolPolicy {
	return &PoolPolicy{settings: set, rand: rand.New(rand.NewPCG(seed, 11))}
}

// CallStarted records the number of concurrent calls after a call was added.
func (k *PoolPolicy) CallStarted(now time.Duration, out int) {
	k.peak = math.Max(k.decayedPeak(now), float64(out))
}

// decayedPeak returns the peak of concurrent calls, decayed to now.
func (k *PoolPolicy) decayedPeak(now time.Duration) float64 {
	if now > k.peakAt {
		k.peak *= math.Exp(-float64(now-k.peakAt) / float64(peakDecay))
		k.peakAt = now
	}
	return k.peak
}

// CallEnded records the end of a call, and whether it was answered.
func (k *PoolPolicy) CallEnded(now time.Duration, well bool) {
	if k.lastAnswered = well; well {
		k.lastAnswer = now
	}
}

// ConnectionClosed records that a connection was closed, and whether it had carried a call.
func (k *PoolPolicy) ConnectionClosed(used bool) {
	if used {
		k.unusedSpares = 0
	} else {
		k.unusedSpares = min(k.unusedSpares+1, 10)
	}
}

// IdleClosed records that the decision module had the idle connections closed.
func (k *PoolPolicy) IdleClosed(now time.Duration) { k.noSparesUntil = now + spareHoldOff }

// DrawMaxAge draws the maximum age of a connection, within 10 % of the setting, so that connections
// opened together are not all closed together. 0 means no limit.
func (k *PoolPolicy) DrawMaxAge() time.Duration {
	return time.Duration(float64(k.settings.MaxAge) * (0.9 + 0.2*k.rand.Float64()))
}

// MayReuse reports whether an idle connection is within its age and idle limits.
func (k *PoolPolicy) MayReuse(now, born, life, since time.Duration) bool {
	return (life <= 0 || now-born < life) && (k.settings.IdleTimeout <= 0 || now-since < k.settings.IdleTimeout)
}

// MayKeepIdle reports whether one more idle connection may be kept.
func (k *PoolPolicy) MayKeepIdle(idle int) bool { return idle < k.settings.MaxIdle }

// MayReplace reports whether an idle connection may be closed when one is opened beside it, since there
// are more open ones than the recent peak of concurrent calls.
func (k *PoolPolicy) MayReplace(now time.Duration, open int) bool {
	return float64(open) > math.Ceil(k.decayedPeak(now))
}

// MayDial reports whether a call that found no idle connection opens one, rather than waiting for one
// that is being set up or in use.
func (k *PoolPolicy) MayDial(connecting int) bool {
	return k.settings.MaxConnecting <= 0 || connecting < k.settings.MaxConnecting
}

// Spares returns how many connections to open in advance, so that calls up to the recent peak find
// one, while the endpoint answers and its spares are used. An endpoint whose last call failed gets
// none: a cold endpoint must not get connections before it gets calls.
func (k *PoolPolicy) Spares(now time.Duration, out, idle, connecting int) int {
	if !k.lastAnswered || now < k.noSparesUntil || now-k.lastAnswer > peakDecay>>k.unusedSpares {
		return 0
	}
	want := int(math.Ceil(k.decayedPeak(now)-0.5)) - out - idle - connecting
	return max(0, min(want, k.settings.MaxSpare-idle-connecting, k.settings.MaxIdle-idle,
		k.settings.MaxConnecting-connecting))
}
