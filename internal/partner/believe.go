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

// answered takes in a call's answer, and returns how long it stays unconfirmed; under mu.
func (cn *conn) answered(k *call, belief lifecycle.Belief) time.Duration {
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
	return cn.life.Answered(now, c.conduct.Usual(cn.host), belief, served, doubted)
}

// unasked takes in bytes that no call asked for: the connection is closed, the peer is doubted,
// and so are the last answers on the connection.
func (cn *conn) unasked() {
	c := cn.pool.c
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

// broke takes in that the peer sent what no call asked for, so late, and tells what is doubted. The
// idle connections that were used are closed, and what is not confirmed there is doubted as well.
func (cn *conn) broke(now, late time.Duration, doubted []func()) {
	cn.pool.c.conduct.Saw(now, cn.host, cn.pool.partner, late)
	for _, other := range cn.pool.drain((*conn).used) {
		other.mu.Lock()
		doubted = append(doubted, other.life.Retract(now)...)
		other.mu.Unlock()
		_ = other.nb.Close()
	}
	tellAll(doubted)
}

// retracted is what is doubted of a connection that ended, if its peer is; under mu.
func (cn *conn) retracted() []func() {
	if cn.life.Turn() < 2 || !cn.spent() {
		return nil
	}
	return cn.life.Retract(cn.pool.c.now())
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
