package emulator

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// withdrawnShare is the share of accepted messages that a client withdraws while it withdraws any.
	withdrawnShare = 0.4
	// maxWithdrawDelay bounds the time from the response to the withdrawal.
	maxWithdrawDelay = 1500 * time.Millisecond
	// limitedShare is the share of messages whose number of attempts a client limits while it limits any, and
	// maxLimit bounds these limits.
	limitedShare = 0.3
	maxLimit     = 2
)

// Ends draws which messages of a client end at the platform before their relay ends them: they are withdrawn, or
// have no attempts left. The zero value ends none.
type Ends struct {
	Withdraws func() bool // reports whether messages are withdrawn at present; nil for never
	Limits    func() bool // reports whether attempts are limited at present; nil for never

	r *rand.Rand
}

// seed sets the source of the random draws, which is not shared with other draws of the client.
func (e *Ends) seed(seed uint64) { e.r = rand.New(rand.NewPCG(seed, 0xe)) }

// drawLimit returns the number of attempts that a new message may have, 0 for any number.
func (e *Ends) drawLimit() int {
	if e.Limits == nil || !e.Limits() || e.r.Float64() >= limitedShare {
		return 0
	}
	return 1 + e.r.IntN(maxLimit)
}

// withdraw withdraws some accepted messages, each after a random time.
func (e *Ends) withdraw(record *Record, id string) {
	if e.Withdraws == nil || !e.Withdraws() || e.r.Float64() >= withdrawnShare {
		return
	}
	after := time.Duration(e.r.Int64N(int64(maxWithdrawDelay)))
	time.AfterFunc(after, func() { record.Withdraw(id) })
}

// Withdraw records that a message is withdrawn: it is over unless a host has delivered it.
func (r *Record) Withdraw(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && !x.delivered() {
		x.Withdrawn = time.Now()
	}
}

// endStatus returns the status with which a host answers a call of a message that has ended at the platform: 410
// if it is withdrawn or out of time, 504 if it had all its attempts before this call; otherwise 0.
func (r *Record) endStatus(id string, callIndex int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histories[id]
	switch {
	case x == nil || x.delivered():
		return 0
	case !x.Withdrawn.IsZero() || time.Now().After(x.Deadline):
		return http.StatusGone
	case x.MaxCalls > 0 && callIndex >= x.MaxCalls:
		return http.StatusGatewayTimeout
	}
	return 0
}

// forEnded returns the outcome of a call whose message has ended at the platform with a status: the message never
// takes effect. A host that drops the call, or cuts its answer, does so here as well.
func (o outcome) forEnded(status int) outcome {
	o.ran = false
	if o.status == 0 {
		return o
	}
	o.status, o.wait, o.pause = status, 0, 0
	return o
}
