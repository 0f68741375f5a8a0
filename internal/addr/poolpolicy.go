package addr

import (
	"math"
	"math/rand/v2"
	"time"
)

// KeepSettings limit the connections kept to one endpoint.
type KeepSettings struct {
	Idle       time.Duration // idle time after which a connection is closed; 0 for no limit
	Age        time.Duration // age limit, with 10 % jitter, applied when a call ends; 0 for no limit
	Most       int           // limit on idle connections
	Spare      int           // limit on connections opened before a call needs them
	Connecting int           // limit on concurrent connection set-ups, handshakes included
}

// Keep decides how many connections to keep to one endpoint: which may be reused, when to open one
// in advance, and when to wait for another instead of opening one. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type Keep struct {
	settings      KeepSettings
	rand          *rand.Rand
	peak          float64 // decaying maximum of concurrent calls
	peakAt        time.Duration
	lastAnswered  bool          // the last call was answered
	lastAnswer    time.Duration // time of the last answered call
	unusedSpares  int           // consecutive spare connections that closed without carrying a call
	noSparesUntil time.Duration // no spare connections until then
}

// SpareTime is the time-out for setting up a spare connection, which no call waits for.
const SpareTime = 5 * time.Second

// spareHoldOff is how long an endpoint gets no spare connections after its idle connections were
// closed on request: it may be one that accepts few connections, idle ones included.
const spareHoldOff = time.Minute

// peakDecay is the time in which the peak of concurrent calls decays to 1/e. It is also how long
// after its last answer an endpoint gets spare connections; every spare that closes unused halves
// that time.
const peakDecay = 10 * time.Second

// NewKeep returns a Keep that draws the jitter of ages from the seed.
func NewKeep(set KeepSettings, seed uint64) *Keep {
	return &Keep{settings: set, rand: rand.New(rand.NewPCG(seed, 11))}
}

// Called records the number of concurrent calls after a call was added.
func (k *Keep) Called(now time.Duration, out int) {
	k.peak = math.Max(k.decayedPeak(now), float64(out))
}

// decayedPeak returns the peak of concurrent calls, decayed to now.
func (k *Keep) decayedPeak(now time.Duration) float64 {
	if now > k.peakAt {
		k.peak *= math.Exp(-float64(now-k.peakAt) / float64(peakDecay))
		k.peakAt = now
	}
	return k.peak
}

// Ended records the end of a call, and whether it was answered.
func (k *Keep) Ended(now time.Duration, well bool) {
	if k.lastAnswered = well; well {
		k.lastAnswer = now
	}
}

// Spent records that a connection was closed, and whether it had carried a call.
func (k *Keep) Spent(used bool) {
	if used {
		k.unusedSpares = 0
	} else {
		k.unusedSpares = min(k.unusedSpares+1, 10)
	}
}

// Dismissed records that the decision module had the idle connections closed.
func (k *Keep) Dismissed(now time.Duration) { k.noSparesUntil = now + spareHoldOff }

// Life draws the maximum age of a connection, within 10 % of the setting, so that connections
// opened together are not all closed together. 0 means no limit.
func (k *Keep) Life() time.Duration {
	return time.Duration(float64(k.settings.Age) * (0.9 + 0.2*k.rand.Float64()))
}

// Fresh reports whether an idle connection is within its age and idle limits.
func (k *Keep) Fresh(now, born, life, since time.Duration) bool {
	return (life <= 0 || now-born < life) && (k.settings.Idle <= 0 || now-since < k.settings.Idle)
}

// Kept reports whether one more idle connection may be kept.
func (k *Keep) Kept(idle int) bool { return idle < k.settings.Most }

// Dials reports whether a call that found no idle connection opens one, rather than waiting for one
// that is being set up or in use.
func (k *Keep) Dials(connecting int) bool {
	return k.settings.Connecting <= 0 || connecting < k.settings.Connecting
}

// Spares returns how many connections to open in advance, so that calls up to the recent peak find
// one, while the endpoint answers and its spares are used. An endpoint whose last call failed gets
// none: a cold endpoint must not get connections before it gets calls.
func (k *Keep) Spares(now time.Duration, out, idle, connecting int) int {
	if !k.lastAnswered || now < k.noSparesUntil || now-k.lastAnswer > peakDecay>>k.unusedSpares {
		return 0
	}
	want := int(math.Ceil(k.decayedPeak(now)-0.5)) - out - idle - connecting
	return max(0, min(want, k.settings.Spare-idle-connecting, k.settings.Most-idle, k.settings.Connecting-connecting))
}
