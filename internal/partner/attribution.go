package partner

import (
	"encoding/json"
	"fmt"
	"iter"
	"net/http"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/lifecycle"
)

// beginCall records that k goes out on the connection, and traces it. The caller holds cn.mu.
func (cn *conn) beginCall(k *call) {
	c := cn.pool.caller
	rested := cn.state.Begin(c.now())
	if c.opt.Trace == nil {
		return
	}
	with := cn.label() + " rested " + rested.Round(time.Microsecond).String()
	for _, name := range k.messageNames() {
		c.opt.Trace.Step(name, "call", with)
	}
}

// attribute decides how certain it is that the response just read answers k. followed reports
// whether more bytes were received behind it. The caller holds cn.mu.
func (cn *conn) attribute(k *call, followed bool) lifecycle.Attribution {
	belief := cn.attribution(k, followed)
	switch belief {
	case lifecycle.Unmatched:
		breach := lifecycle.AnswerEarly
		if cn.resp.matchMessages(k).other {
			breach = lifecycle.AnswerForeign
		}
		cn.reportBreach(breach, k)
	case lifecycle.Doubtful:
		cn.reportBreach(lifecycle.AnswerDoubtful, k)
	case lifecycle.Certain, lifecycle.Likely:
	}
	return belief
}

// attribution does the work of attribute, without reporting a breach. The caller holds cn.mu.
func (cn *conn) attribution(k *call, followed bool) lifecycle.Attribution {
	if cn.pool.caller.conduct.TrustAll {
		return lifecycle.Certain
	}
	names := cn.resp.matchMessages(k)
	return cn.state.Attribute(lifecycle.PeerAnswer{Written: cn.allSent(), NamesCall: names.call, NamesOther: names.other,
		TrailingBytes: followed, Distrusted: cn.firstCallOnly(), Success: cn.resp.success(), Digest: cn.resp.digest()})
}

// endsAtStatusLine reports whether the part of the response read so far ends k: its first line says that the message
// is delivered, and is proved to be the call's own. The rest of another response may still prove that. The caller
// holds cn.mu.
func (cn *conn) endsAtStatusLine(k *call) bool {
	return cn.resp.hook && cn.resp.firstStatus == http.StatusOK && len(k.Items) == 0 && cn.allSent() &&
		cn.attribution(k, false) == lifecycle.Certain
}

// attributeLast is attribute for a response after which no further one can follow. The caller holds
// cn.mu.
func (cn *conn) attributeLast(k *call) lifecycle.Attribution {
	belief := cn.attribute(k, false)
	if belief == lifecycle.Unmatched && cn.allSent() {
		return lifecycle.Doubtful
	}
	return belief
}

// allSent reports whether all bytes of the calls so far have been written to the socket.
func (cn *conn) allSent() bool { return cn.sent.Load() >= cn.queued.Load() }

// firstCallOnly reports whether the peer's conduct limits its connections to one call each.
func (cn *conn) firstCallOnly() bool {
	c := cn.pool.caller
	return c.conduct.Rule(c.now(), cn.host, cn.pool.partner, lifecycle.NoRequirement).SingleUse
}

// recordAnswer records that k was answered. The caller holds cn.mu.
func (cn *conn) recordAnswer(k *call, belief lifecycle.Attribution) {
	c := cn.pool.caller
	now := c.now()
	if belief == lifecycle.Certain || belief == lifecycle.Likely {
		c.conduct.RecordAnswerTime(now, cn.host, now-k.writtenAt)
	}
	doubted := func() {
		cn.reportBreach(lifecycle.AnswerRetracted, k)
		if k.Retract != nil {
			k.Retract()
		}
	}
	cn.state.Answered(now, lifecycle.ReceivedAnswer{Attribution: belief, NamesCall: cn.resp.matchMessages(k).call,
		Digest: cn.resp.digest(), Success: cn.resp.success(), Served: cn.resp.served(k),
		Expected: c.conduct.ExpectedAnswerTime(cn.host), Retract: doubted})
}

// success reports whether the status says that the request was processed.
func (r *response) success() bool {
	return r.firstStatus >= http.StatusOK && r.firstStatus < http.StatusMultipleChoices
}

// served reports whether the response ends a call as served. The response to a call with several
// messages does so only if it names them.
func (r *response) served(k *call) bool { return len(k.Items) == 0 && r.success() }

// mayCarryOn reports whether the connection may carry another call behind the response to k. Behind an
// unproven response the peer may still be processing that call: closing the connection gives the call up
// before its message is called again, or the next one of its key.
func (r *response) mayCarryOn(k *call, belief lifecycle.Attribution) bool {
	return r.reusable && (belief == lifecycle.Certain || belief == lifecycle.Likely && r.served(k) && !k.Ordered)
}

// unsolicited handles bytes that no call asked for: it closes the connection, distrusts the peer,
// and retracts the last answers on the connection. A wait that the bytes announce is applied: they
// may be the real answer to a call that was ended by a duplicate of an earlier answer.
func (cn *conn) unsolicited(b []byte) {
	c := cn.pool.caller
	if wait := c.longestWaitIn(b); wait > 0 && c.opt.UnsolicitedWait != nil {
		cn.pool.heedWait(wait)
		c.opt.UnsolicitedWait(cn.host, cn.pool.partner, wait)
	}
	cn.mu.Lock()
	if cn.state.Phase() == lifecycle.PeerDesynchronized {
		cn.mu.Unlock()
		return
	}
	now := c.now()
	doubted, late := cn.state.ReceivedUnsolicited(now)
	cn.mu.Unlock()
	cn.reportBreach(lifecycle.BytesUnasked, nil)
	_ = cn.sock.Close()
	if !c.conduct.TrustAll {
		cn.distrust(now, late, doubted)
	}
}

// longestWaitIn returns the longest wait announced by the complete responses in b.
func (c *Caller) longestWaitIn(b []byte) (longest time.Duration) {
	now := time.Now()
	for r := range c.responsesIn(b) {
		wait := parseWaitMs(r.wait)
		if c.opt.Hook == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) {
			wait, _ = retryWait(r.retryAfter, now)
		}
		longest = max(longest, wait)
	}
	return longest
}

// anyEndsMessage reports whether one of the complete responses in b says that the message of its call has ended.
func (c *Caller) anyEndsMessage(b []byte) bool {
	for r := range c.responsesIn(b) {
		if r.hook && endsMessage(r.status) {
			return true
		}
	}
	return false
}

// responsesIn yields the complete responses in b.
func (c *Caller) responsesIn(b []byte) iter.Seq[*response] {
	return func(yield func(*response) bool) {
		for len(b) > 0 {
			r := response{}
			r.reset(c.opt.Limits)
			r.hook = c.opt.Hook != nil
			rest, err := r.feed(b)
			if err != nil || !r.Done() || !yield(&r) {
				return
			}
			b = rest
		}
	}
}

// rememberServed keeps the answers of a closed connection that reported success. The peer may not
// have sent anything after them, so the connection did not show whether they answered their own
// calls.
func (p *pool) rememberServed(now time.Duration, all []func()) {
	p.servedMu.Lock()
	defer p.servedMu.Unlock()
	for _, doubted := range all {
		p.served = append(p.served, servedAnswer{now, doubted})
	}
	old := 0
	for old < len(p.served) && (now-p.served[old].at > lifecycle.RetractionWindow ||
		len(p.served)-old > maxServedAnswers) {
		old++
	}
	p.served = p.served[old:]
}

// takeServed removes and returns the recent answers that rememberServed kept.
func (p *pool) takeServed(now time.Duration) (doubted []func()) {
	p.servedMu.Lock()
	defer p.servedMu.Unlock()
	for _, a := range p.served {
		if now-a.at <= lifecycle.RetractionWindow {
			doubted = append(doubted, a.doubted)
		}
	}
	p.served = nil
	return doubted
}

// distrust records that the peer sent bytes that no call asked for, and how late after the last
// answer. It retracts the answers on this connection and on the peer's other connections, or those
// of all peers if the fault is not one peer's alone.
func (cn *conn) distrust(now, late time.Duration, doubted []func()) {
	c := cn.pool.caller
	pools := []*pool{cn.pool}
	if c.conduct.RecordUnsolicited(now, cn.host, cn.pool.partner, late) {
		pools = c.allPools()
	}
	for _, p := range pools {
		doubted = append(doubted, p.closeUsedIdle(now)...)
	}
	notifyAll(doubted)
}

// closeUsedIdle closes the idle connections that have carried a call. It returns the callbacks for
// the doubtful answers on them and on recently closed connections.
func (p *pool) closeUsedIdle(now time.Duration) []func() {
	doubted := p.takeServed(now)
	for _, cn := range p.removeIdle((*conn).used) {
		cn.mu.Lock()
		doubted = append(doubted, cn.state.Retract(now)...)
		cn.mu.Unlock()
		_ = cn.sock.Close()
	}
	return doubted
}

// closeWhenSettled closes a connection that is not needed any more, once its last answer is
// settled.
func (cn *conn) closeWhenSettled() {
	cn.mu.Lock()
	after := cn.state.UnsettledFor(cn.pool.caller.now())
	cn.mu.Unlock()
	if after > 0 && !cn.pool.caller.conduct.TrustAll {
		time.AfterFunc(after, func() { _ = cn.sock.Close() })
		return
	}
	_ = cn.sock.Close()
}

func closeAllWhenSettled(conns []*conn) {
	for _, cn := range conns {
		cn.closeWhenSettled()
	}
}

// closedByPeer closes a connection that was found to be closed by the peer.
func (cn *conn) closedByPeer() {
	cn.mu.Lock()
	doubted := cn.state.RetractOnPeerClose(cn.pool.caller.now())
	cn.mu.Unlock()
	_ = cn.sock.Close()
	if !cn.pool.caller.conduct.TrustAll {
		notifyAll(doubted)
	}
}

// doubtedAtClose returns the callbacks for the answers that the end of the connection makes
// doubtful. If this side closed it, the pool remembers the other answers. The caller holds cn.mu.
func (cn *conn) doubtedAtClose() []func() {
	now := cn.pool.caller.now()
	switch {
	case cn.state.Calls() < 2 || cn.pool.caller.conduct.TrustAll:
		return nil
	case cn.firstCallOnly():
		return cn.state.Retract(now)
	case cn.sock.EndedByPeer():
		return cn.state.RetractOnPeerClose(now)
	}
	cn.pool.rememberServed(now, cn.state.TakeServed())
	return nil
}

func notifyAll(doubted []func()) {
	for _, notify := range doubted {
		notify()
	}
}

// used reports whether the connection has carried a call.
func (cn *conn) used() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.state.Calls() > 0
}

// label names the connection and the turn on it, which is the number of its last call.
func (cn *conn) label() string { return fmt.Sprintf("%d turn %d", cn.number, cn.state.Calls()) }

func (cn *conn) reportBreach(breach lifecycle.PeerRefusalReason, k *call) {
	r := lifecycle.PeerRefusal{Reason: breach, Peer: cn.host, Connection: cn.number, Calls: cn.state.Calls()}
	if k != nil {
		r.Message = k.messageNames()[0]
	}
	cn.pool.caller.conduct.RecordRefusal(r)
}

// messageNames returns the names of the messages in the call.
func (k *call) messageNames() []string {
	if len(k.Items) == 0 {
		return []string{k.Identity}
	}
	all := make([]string, len(k.Items))
	for i, m := range k.Items {
		all[i] = m.Identity
	}
	return all
}

// requirement returns what the messages of the call require of its connection.
func (k *call) requirement() lifecycle.Requirement {
	requirement := lifecycle.NoRequirement
	if k.NotRepeatable {
		requirement |= lifecycle.Once
	}
	if k.Ordered {
		requirement |= lifecycle.Ordered
	}
	return requirement
}

// messageMatch is what the messages named by a response have to do with those of a call.
type messageMatch struct {
	call  bool // it names the messages of the call, all of them and no others
	other bool // it names another message
}

// matchMessages compares the messages that a complete response names with those of the call.
func (r *response) matchMessages(k *call) messageMatch {
	if !r.Done() {
		return messageMatch{}
	}
	if r.names == nil {
		match := r.compareMessages(k)
		r.names = &match
	}
	return *r.names
}

// compareMessages does the work of matchMessages.
func (r *response) compareMessages(k *call) messageMatch {
	if !r.hook || r.status != http.StatusOK {
		return messageMatch{}
	}
	var ends []struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(r.content, &ends) != nil || len(ends) == 0 {
		return messageMatch{}
	}
	own := k.messageNames()
	for _, end := range ends {
		if !slices.Contains(own, end.ID) {
			return messageMatch{other: end.ID != ""}
		}
	}
	return messageMatch{call: len(ends) == len(own)}
}
