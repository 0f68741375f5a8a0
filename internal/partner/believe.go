package partner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/lifecycle"
)

// begin takes in that a call goes out on the connection, and tells it to whoever traces; under mu.
func (cn *conn) begin(k *call) {
	c := cn.pool.c
	rested := cn.life.Begin(c.now())
	if c.opt.Trace == nil {
		return
	}
	with := cn.place() + " rested " + rested.Round(time.Microsecond).String()
	for _, name := range k.names() {
		c.opt.Trace.Step(name, "call", with)
	}
}

// believe decides how far the answer that was read is believed of a call; followed tells that
// more bytes came behind it; under mu.
func (cn *conn) believe(k *call, followed bool) lifecycle.Belief {
	conduct := &cn.pool.c.conduct
	if conduct.Off {
		return lifecycle.Own
	}
	names, foreign := cn.resp.names(k)
	belief := cn.life.Believe(lifecycle.PeerAnswer{Written: cn.written(), Names: names, Foreign: foreign, Followed: followed,
		FirstOnly: cn.spent()})
	switch belief {
	case lifecycle.Nobodys:
		breach := lifecycle.AnswerEarly
		if foreign {
			breach = lifecycle.AnswerForeign
		}
		cn.refuse(breach, k)
	case lifecycle.Doubtful:
		cn.refuse(lifecycle.AnswerDoubtful, k)
	case lifecycle.Own, lifecycle.Likely:
	}
	return belief
}

// believeLast is believe of an answer behind which none can come any more; under mu.
func (cn *conn) believeLast(k *call) lifecycle.Belief {
	belief := cn.believe(k, false)
	if belief == lifecycle.Nobodys && cn.written() {
		return lifecycle.Doubtful
	}
	return belief
}

// written tells whether the kernel has all bytes of the calls so far.
func (cn *conn) written() bool { return cn.sent.Load() >= cn.size.Load() }

// spent tells whether the conduct of the peer allows no second call on a connection.
func (cn *conn) spent() bool {
	c := cn.pool.c
	return c.conduct.Rule(c.now(), cn.host, cn.pool.partner, lifecycle.Repeats).FirstOnly
}

// believed is how far an answer is believed, how long what rests on it waits, and how long it may turn
// out to be another's.
type believed struct {
	belief          lifecycle.Belief
	wait, unsettled time.Duration
}

// answered takes in a call's answer; under mu.
func (cn *conn) answered(k *call, belief lifecycle.Belief) believed {
	c := cn.pool.c
	now := c.now()
	if belief == lifecycle.Own || belief == lifecycle.Likely {
		c.conduct.Took(now, cn.host, now-k.wrote)
	}
	served := len(k.Several) == 0 && cn.resp.says >= http.StatusOK && cn.resp.says < http.StatusMultipleChoices
	doubted := func() {
		cn.refuse(lifecycle.AnswerRetracted, k)
		if k.Doubted != nil {
			k.Doubted()
		}
	}
	wait, unsettled := cn.life.Answered(now, c.conduct.Usual(cn.host), belief, served, doubted)
	return believed{belief, wait, unsettled}
}

// unasked takes in bytes that no call asked for: the connection is closed, the peer is doubted,
// and so are the last answers on the connection. A wait that the bytes tell is heeded: they may be the
// own answer of a call that a copy had ended.
func (cn *conn) unasked(b []byte) {
	c := cn.pool.c
	if wait := c.waitIn(b); wait > 0 && c.opt.Waits != nil {
		c.opt.Waits(cn.host, cn.pool.partner, wait)
	}
	cn.mu.Lock()
	if cn.life.Phase() == lifecycle.PeerDoubted {
		cn.mu.Unlock()
		return
	}
	now := c.now()
	doubted, late := cn.life.Strayed(now)
	cn.mu.Unlock()
	cn.refuse(lifecycle.BytesUnasked, nil)
	_ = cn.nb.Close()
	if !c.conduct.Off {
		cn.broke(now, late, doubted)
	}
}

// waitIn is the longest wait that whole answers among some bytes tell.
func (c *Caller) waitIn(b []byte) (longest time.Duration) {
	now := time.Now()
	for len(b) > 0 {
		r := response{}
		r.reset(c.opt.Limits)
		r.hook = c.opt.Hook != nil
		rest, err := r.feed(b)
		if err != nil || !r.Done() {
			return longest
		}
		wait := waitMs(r.wait)
		if c.opt.Hook == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) {
			wait, _ = retryWait(r.retry, now)
		}
		longest, b = max(longest, wait), rest
	}
	return longest
}

// remember keeps the answers of a connection that ended which served their calls: the peer may have been
// silent on them, so that nothing there told whose they were.
func (p *pool) remember(now time.Duration, all []func()) {
	p.recent.Lock()
	defer p.recent.Unlock()
	for _, doubted := range all {
		p.served = append(p.served, likely{now, doubted})
	}
	old := 0
	for old < len(p.served) && (now-p.served[old].at > lifecycle.LongestDoubt || len(p.served)-old > mostServed) {
		old++
	}
	p.served = p.served[old:]
}

// forgetServed takes out the likely answers of late.
func (p *pool) forgetServed(now time.Duration) (doubted []func()) {
	p.recent.Lock()
	defer p.recent.Unlock()
	for _, a := range p.served {
		if now-a.at <= lifecycle.LongestDoubt {
			doubted = append(doubted, a.doubted)
		}
	}
	p.served = nil
	return doubted
}

// broke takes in that the peer sent what no call asked for, so late, and tells what is doubted: on
// this connection, and of this peer's others; of all peers' where it is no fault of one.
func (cn *conn) broke(now, late time.Duration, doubted []func()) {
	c := cn.pool.c
	pools := []*pool{cn.pool}
	if c.conduct.Saw(now, cn.host, cn.pool.partner, late) {
		pools = c.allPools()
	}
	for _, p := range pools {
		doubted = append(doubted, p.retract(now)...)
	}
	tellAll(doubted)
}

// retract closes the idle connections that were used, and returns what is doubted of them and of
// those that have ended of late.
func (p *pool) retract(now time.Duration) []func() {
	doubted := p.forgetServed(now)
	for _, cn := range p.drain((*conn).used) {
		cn.mu.Lock()
		doubted = append(doubted, cn.life.Retract(now)...)
		cn.mu.Unlock()
		_ = cn.nb.Close()
	}
	return doubted
}

// retire closes a connection of which nothing more is wanted, once its last answer is settled.
func (cn *conn) retire() {
	cn.mu.Lock()
	after := cn.life.Unsettled(cn.pool.c.now())
	cn.mu.Unlock()
	if after > 0 && !cn.pool.c.conduct.Off {
		time.AfterFunc(after, func() { _ = cn.nb.Close() })
		return
	}
	_ = cn.nb.Close()
}

func retireAll(conns []*conn) {
	for _, cn := range conns {
		cn.retire()
	}
}

// peerEnded closes a connection of which a look found that the peer has ended it.
func (cn *conn) peerEnded() {
	cn.mu.Lock()
	doubted := cn.life.Broke(cn.pool.c.now())
	cn.mu.Unlock()
	_ = cn.nb.Close()
	if !cn.pool.c.conduct.Off {
		tellAll(doubted)
	}
}

// retracted is what is doubted of a connection that ended. Of one that this side ends the rest is
// remembered; under mu.
func (cn *conn) retracted() []func() {
	now := cn.pool.c.now()
	switch {
	case cn.life.Turn() < 2 || cn.pool.c.conduct.Off:
		return nil
	case cn.spent():
		return cn.life.Retract(now)
	case cn.nb.EndedByPeer():
		return cn.life.Broke(now)
	}
	cn.pool.remember(now, cn.life.Left())
	return nil
}

func tellAll(doubted []func()) {
	for _, tell := range doubted {
		tell()
	}
}

// used tells whether the connection has carried a call.
func (cn *conn) used() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.life.Turn() > 0
}

// place names the connection and the turn on it.
func (cn *conn) place() string { return fmt.Sprintf("%d turn %d", cn.number, cn.life.Turn()) }

func (cn *conn) refuse(breach lifecycle.PeerBreach, k *call) {
	r := lifecycle.PeerRefusal{Breach: breach, Peer: cn.host, Connection: cn.number, Turn: cn.life.Turn()}
	if k != nil {
		r.Message = k.names()[0]
	}
	cn.pool.c.conduct.Refuse(r)
}

// names are those of the messages of a call.
func (k *call) names() []string {
	if len(k.Several) == 0 {
		return []string{k.Name}
	}
	all := make([]string, len(k.Several))
	for i, m := range k.Several {
		all[i] = m.ID
	}
	return all
}

// bears tells what a call's messages bear.
func (k *call) bears() lifecycle.Bears {
	if k.Once {
		return lifecycle.Once
	}
	return lifecycle.Repeats
}

// names tells whether an answer names the messages of a call, all of them and no others; foreign
// that it names others.
func (r *response) names(k *call) (names, foreign bool) {
	if !r.hook || !r.Done() || r.status != http.StatusOK {
		return false, false
	}
	var ends []struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(r.content, &ends) != nil || len(ends) == 0 {
		return false, false
	}
	own := k.names()
	for _, end := range ends {
		if !slices.Contains(own, end.ID) {
			return false, end.ID != ""
		}
	}
	return len(ends) == len(own), false
}
