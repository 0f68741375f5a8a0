package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/pause"
)

// Behaviour is the behaviour of a host.
type Behaviour int

// The behaviours of a host.
const (
	Healthy            Behaviour = iota // answers; fails 3 and refuses 5 of 100 messages at random
	Failing                             // answers 500 to 80 of 100 messages
	Overloaded                          // answers 429 with a wait to all messages
	Hanging                             // reads calls and does not answer
	Disconnecting                       // closes half of the connections during a call, some within the answer
	ClosingAfterAnswer                  // closes every connection after an answer that does not announce it
	NoStatus                            // answers some calls with a status line without a status
)

// Host is one host of a partner. A message that it refuses never takes effect.
type Host struct {
	UID      string
	Network  *Network
	platform *Platform

	mu        sync.Mutex
	behaviour Behaviour
	slow      bool // works up to maxSlowDelay on a call
	r         *rand.Rand
}

// SetBehaviour sets the host's behaviour.
func (h *Host) SetBehaviour(m Behaviour) {
	h.mu.Lock()
	h.behaviour = m
	h.mu.Unlock()
}

// SetSlow makes the host work up to maxSlowDelay on a call, whatever its behaviour.
func (h *Host) SetSlow(on bool) {
	h.mu.Lock()
	h.slow = on
	h.mu.Unlock()
}

// outcome is the drawn result of one message in a call.
type outcome struct {
	status int           // 0 for no answer
	ran    bool          // the message takes effect
	cut    bool          // the connection is closed: before the answer, or within it if there is a status
	pause  time.Duration // before the answer
	wait   time.Duration // that the answer asks the relay to keep
	forget bool          // the connection is closed after the answer
	blank  bool          // the answer has no status
}

const (
	// maxHostDelay bounds the time that a host takes for an answer, maxSlowDelay that of a slow one.
	maxHostDelay = 20 * time.Millisecond
	maxSlowDelay = 600 * time.Millisecond
)

// drawOutcome draws the outcome of one message by the host's behaviour.
func (h *Host) drawOutcome() outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := outcome{status: 200, ran: true, pause: time.Duration(h.r.Int64N(int64(maxHostDelay)))}
	x := h.r.Float64()
	if h.slow {
		f.pause = time.Duration(h.r.Int64N(int64(maxSlowDelay)))
	}
	switch h.behaviour {
	case Failing:
		if x < 0.8 {
			f.status, f.ran = 500, x < 0.3
		}
	case Overloaded:
		f.status, f.ran, f.wait = 429, false, 300*time.Millisecond
	case Hanging:
		f.status, f.ran = 0, x < 0.5
	case Disconnecting:
		if x < 0.5 {
			f.cut, f.ran = true, x < 0.3
			if f.status = 0; x < 0.15 {
				f.status = 200
			}
		}
	case ClosingAfterAnswer:
		f.forget = true
	case NoStatus:
		f.blank, f.ran = x < 0.1, x < 0.05 || x >= 0.1
		if f.blank {
			f.status = 0
		}
	}
	if h.behaviour == Healthy && x < 0.05 {
		f.status, f.ran = 503, false
	} else if h.behaviour == Healthy && x < 0.08 {
		f.status, f.ran = 500, x < 0.065
	}
	return f
}

// item is one message in a call.
type item struct {
	ID        string `json:"id"`
	callIndex int
	outcome   outcome
}

// serve handles one call: it records the call and acts out the drawn outcomes of its messages.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // not read to its last byte, so not a call
	}
	items := []*item{{ID: r.Header.Get("X-Txn")}}
	several := r.URL.Path == "/hook/batch"
	if several {
		items = nil
		if json.Unmarshal(body, &items) != nil || len(items) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	rec := h.platform.Record
	waited, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 32) // 0 without the header
	conn, _ := r.Context().Value(connKey{}).(*faultyConn)
	turn := conn.calls.Add(1)
	for _, x := range items {
		x.callIndex = rec.Called(x.ID, Call{At: time.Now(), Host: h.UID,
			Timeout: time.Duration(waited) * time.Millisecond, conn: conn, turn: turn})
		x.outcome = h.drawOutcome()
		if status := rec.endStatus(x.ID, x.callIndex); status != 0 {
			x.outcome = x.outcome.forEnded(status)
		}
	}
	defer func() {
		for _, x := range items {
			rec.CallEnded(x.ID, x.callIndex)
		}
	}()
	first := items[0].outcome
	if !pause.For(r.Context(), first.pause) && !first.ran {
		return // cancelled before it took effect
	}
	for _, x := range items {
		if x.outcome.ran {
			rec.Ran(x.ID, x.callIndex)
		}
	}
	if first.blank {
		h.answerBlank(w)
		return
	}
	if first.status == 0 && !first.cut {
		<-r.Context().Done()
		return
	}
	if first.cut {
		h.disconnect(w, first.status)
		return
	}
	if r.Context().Err() != nil {
		return // the relay has closed the connection: nobody hears an answer
	}
	if first.forget {
		defer h.closeAfterAnswer(w)
	}
	if several {
		h.answerAll(w, items)
		return
	}
	if first.wait > 0 {
		w.Header().Set("X-RateLimit-Wait-Ms", strconv.FormatInt(first.wait.Milliseconds(), 10))
	}
	w.Header().Set("Content-Length", "0")
	rec.AnswerStarted(items[0].ID, items[0].callIndex, first.status, first.wait)
	w.WriteHeader(first.status)
	if http.NewResponseController(w).Flush() == nil {
		rec.AnswerCompleted(items[0].ID, items[0].callIndex)
	}
}

// states are the states of a message in the answer to a call with several, by status.
var states = map[int]string{200: "delivered", 500: "failed", 429: "refused", 503: "refused", 410: "over", 504: "spent"}

// answerAll answers a call that carries several messages, each with a state of its own.
func (h *Host) answerAll(w http.ResponseWriter, items []*item) {
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	wait := time.Duration(0)
	for _, x := range items {
		wait = max(wait, x.outcome.wait)
	}
	if wait > 0 {
		w.Header().Set("X-RateLimit-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	for _, x := range items {
		if x.outcome.status == 0 {
			x.outcome.status = 500
		}
		state := states[x.outcome.status]
		ends = append(ends, end{x.ID, state})
		h.platform.Record.AnswerStarted(x.ID, x.callIndex, x.outcome.status, x.outcome.wait)
	}
	text, _ := json.Marshal(ends)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); errors.Join(err, http.NewResponseController(w).Flush()) != nil {
		return
	}
	for _, x := range items {
		h.platform.Record.AnswerCompleted(x.ID, x.callIndex)
	}
}

// disconnect closes a connection during a call: within the answer if there is a status, by a reset otherwise.
func (h *Host) disconnect(w http.ResponseWriter, status int) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if f, ok := conn.(*faultyConn); ok {
		f.markBroken()
	}
	if status != 0 {
		_, _ = buf.WriteString("HTTP/1.1 2")
		_ = buf.Flush()
		return
	}
	if f, ok := conn.(*faultyConn); ok {
		if tcp, ok := f.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close by a reset
		}
	}
}

// answerBlank answers with a status line that has no status, and closes the connection.
func (h *Host) answerBlank(w http.ResponseWriter) {
	if conn, buf, err := http.NewResponseController(w).Hijack(); err == nil {
		if f, ok := conn.(*faultyConn); ok {
			f.markBroken()
		}
		_, _ = buf.WriteString("HTTP/1.1 \r\n\r\n")
		_ = buf.Flush()
		_ = conn.Close()
	}
}

// closeAfterAnswer closes the connection once the answer is flushed.
func (h *Host) closeAfterAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if f, ok := conn.(*faultyConn); ok {
			f.markBroken()
		}
		_ = conn.Close()
	}
}
