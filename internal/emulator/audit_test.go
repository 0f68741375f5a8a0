package emulator

import (
	"testing"
	"time"
)

// Guards against an audit that takes a wait for told although the relay had given the call up before its answer, and
// against one that excuses a relay that could have read it.
func TestWaitIsToldByAnAnswerToACallThatWasNotGivenUp(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		what       string
		relayEnded time.Time
		unread     bool
		broken     int
	}{
		{"the connection stays open", time.Time{}, false, 1},
		{"given up before the answer", at(8), false, 0},
		{"reset before the answer", at(8), true, 0},
		{"closed while the answer was written", at(11), false, 1},
		{"closed over the unread answer", at(20), true, 1},
	} {
		conn := &faultyConn{network: &Network{}, ended: peerEnd{at: c.relayEnded, unread: c.unread}}
		r := NewRecord()
		r.histories["m"] = &History{ID: "m", Calls: []Call{
			{Host: "h", At: at(0), Status: 429, RetryAfter: 300 * time.Millisecond, AnswerBegun: at(10), AnswerWritten: at(12),
				Finished: at(12), conn: conn, turn: 1},
			{Host: "h", At: at(200), Status: 200, conn: &faultyConn{network: &Network{}}, turn: 1},
		}}
		a := &audit{record: r, now: at(5000)}
		a.checkWaits()
		if broken := a.finding("a told wait is kept").Broken; broken != c.broken {
			t.Errorf("%s: %d calls within a told wait, want %d", c.what, broken, c.broken)
		}
	}
}
