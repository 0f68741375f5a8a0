package addr

import (
	"math"
	"math/rand/v2"
	"time"
)

// KeepSettings bound the connections kept to one endpoint.
type KeepSettings struct {
	Idle       time.Duration // an idle connection is closed after this; 0 for never
	Age        time.Duration // and one of this age when its call ends, each a little before or after; 0 for never
	Most       int           // idle connections kept
	Spare      int           // connections opened before a call asks for them, at most
	Connecting int           // connections set up at once, handshakes included
}

// Keep decides how many connections to keep to one endpoint: which may be used
// again, when to open one in advance, and when to wait for another instead of
// opening one. It does no I/O and reads no clock. It is not safe for concurrent use.
type Keep struct {
	set    KeepSettings
	rand   *rand.Rand
	peak   float64 // most calls out at once of late
	at     time.Duration
	well   bool          // the last call was answered
	served time.Duration // when
	unused int           // spares in a row that went without having carried a call
	barred time.Duration // no spares until then
}

// SpareTime is how long a connection that nobody waits for may take to come up.
const SpareTime = 5 * time.Second

// dismissal is how long an endpoint whose idle connections were to be closed gets no
// spares: it may be one that takes few connections, idle ones counted.
const dismissal = time.Minute

// fade is the time in which a peak of calls falls to a third, and how long after
// its last answer an endpoint is worth a spare, doubled down by spares that
// nobody used.
const fade = 10 * time.Second

// NewKeep draws ages from the seed.
func NewKeep(set KeepSettings, seed uint64) *Keep {
	return &Keep{set: set, rand: rand.New(rand.NewPCG(seed, 11))}
}

// Called takes in that so many calls are out now.
func (k *Keep) Called(now time.Duration, out int) { k.peak = math.Max(k.now(now), float64(out)) }

func (k *Keep) now(now time.Duration) float64 {
	if now > k.at {
		k.peak *= math.Exp(-float64(now-k.at) / float64(fade))
		k.at = now
	}
	return k.peak
}

// Ended takes in a call's end; well if it was answered.
func (k *Keep) Ended(now time.Duration, well bool) {
	if k.well = well; well {
		k.served = now
	}
}

// Spent takes in a connection that was closed, and whether it had carried a call.
func (k *Keep) Spent(used bool) {
	if used {
		k.unused = 0
	} else {
		k.unused = min(k.unused+1, 10)
	}
}

// Dismissed takes in that the idle connections were closed because the decision
// module said so.
func (k *Keep) Dismissed(now time.Duration) { k.barred = now + dismissal }

// Life draws how old a connection may get: within a tenth of the setting, so that
// connections opened together do not all end together. 0 for no end.
func (k *Keep) Life() time.Duration {
	return time.Duration(float64(k.set.Age) * (0.9 + 0.2*k.rand.Float64()))
}

// Fresh tells whether an idle connection may be used again.
func (k *Keep) Fresh(now, born, life, since time.Duration) bool {
	return (life <= 0 || now-born < life) && (k.set.Idle <= 0 || now-since < k.set.Idle)
}

// Kept tells whether there is room for one more idle connection.
func (k *Keep) Kept(idle int) bool { return idle < k.set.Most }

// Dials tells whether a call that found no idle connection opens one now, or
// waits for one that is being set up or used.
func (k *Keep) Dials(connecting int) bool {
	return k.set.Connecting <= 0 || connecting < k.set.Connecting
}

// Spares is how many connections to open in advance: so that the peak of late
// calls would find one, while the endpoint is well and its spares get used. An
// endpoint that failed gets none: a cold one must not meet connections before calls.
func (k *Keep) Spares(now time.Duration, out, idle, connecting int) int {
	if !k.well || now < k.barred || now-k.served > fade>>k.unused {
		return 0
	}
	want := int(math.Ceil(k.now(now)-0.5)) - out - idle - connecting
	return max(0, min(want, k.set.Spare-idle-connecting, k.set.Most-idle, k.set.Connecting-connecting))
}
