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

// Guards against an audit that excuses a call behind an end which its relay has learnt, and against one that finds a call
// which the relay had given up before: the network held it back, and its host read and answered it behind the end.
func TestCallGivenUpBeforeAnEndIsNotBehindIt(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		what     string
		accepted time.Time
		endedAt  time.Time // by the relay
		unread   bool
		turn     int64
		broken   int
	}{
		{"given up, and reset by its answer", at(0), at(51), true, 1, 0},
		{"closed before its answer", at(0), at(49), false, 1, 0},
		{"its answer was read", at(0), at(60), false, 1, 1},
		{"still open", at(0), time.Time{}, false, 1, 1},
		{"on a connection that came behind the end", at(45), at(51), true, 1, 1},
		{"on a used connection", at(0), at(51), true, 2, 1},
	} {
		r := NewRecord()
		answered := func(x Call) Call {
			x.Host, x.Status, x.Timeout, x.AnswerWritten, x.wroteAt = "h", 410, 4*time.Second, x.Finished, x.Finished
			return x
		}
		first := &faultyConn{network: &Network{}, ended: peerEnd{at: at(70)}}
		r.histories["m"] = &History{ID: "m", Deadline: at(4000), Calls: []Call{
			answered(Call{At: at(30), Finished: at(40), conn: first, turn: 1}),
			answered(Call{At: at(50), Finished: at(50), turn: c.turn,
				conn: &faultyConn{network: &Network{}, accepted: c.accepted, ended: peerEnd{at: c.endedAt, unread: c.unread}}}),
		}}
		a := &audit{record: r, now: at(9000)}
		a.checkLearned(r.histories["m"])
		if broken := a.finding("no call after an end is learnt").Broken; broken != c.broken {
			t.Errorf("%s: %d calls behind an end, want %d", c.what, broken, c.broken)
		}
	}
}

// Guards against an audit that misses messages of a key out of order, and against one that asks for an order of messages
// that the relay could not have read in it.
func TestOrderIsThatOfMessagesReadInTime(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	late := Reply{At: at(400), End: "timeout"}
	for _, c := range []struct {
		what   string
		first  History // the other one has number 2 and takes effect before it
		broken int
	}{
		{"answered", History{Read: at(1), Reply: Reply{At: at(2), Status: 202}}, 1},
		{"read, and not answered in time", History{Read: at(399), Reply: late}, 1},
		{"never read by its log", History{Reply: late}, 1},
		{"read after its client has left", History{Read: at(1023), Reply: late}, 0},
	} {
		r := NewRecord()
		first := c.first
		first.Number = 1
		r.histories["first"], r.histories["next"] = &first, &History{Number: 2}
		r.effectOrder["key"] = []string{"next", "first"}
		a := &audit{record: r}
		a.checkOrder()
		if broken := a.finding("messages of one key keep their order").Broken; broken != c.broken {
			t.Errorf("%s: %d out of order, want %d", c.what, broken, c.broken)
		}
	}
}

// Guards against an audit that blames a relay for a late answer when a stall left it no time for it, and against one that
// excuses a relay which had the time, or stood still by itself.
func TestLateAnswerIsExcusedByAStallThatTookItsTime(t *testing.T) {
	sent := time.Now()
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		what       string
		node, read int
		stalls     [][2]int
		writeFault [2]int
		broken     int
	}{
		{"no stall", 1, 277, nil, [2]int{}, 1},
		{"a stall over the rest of the time", 1, 277, [][2]int{{278, 402}}, [2]int{}, 0},
		{"two stalls over the rest of the time", 1, 200, [][2]int{{201, 280}, {290, 370}}, [2]int{}, 0},
		{"a stall with time left behind it", 1, 100, [][2]int{{101, 240}}, [2]int{}, 1},
		{"a stall before the request was read", 1, 277, [][2]int{{140, 276}}, [2]int{}, 1},
		{"a stall of another node", 0, 277, [][2]int{{278, 402}}, [2]int{}, 1},
		{"writes that fail, then a stall", 1, 97, [][2]int{{300, 415}}, [2]int{85, 333}, 0},
		{"time to write between the two", 1, 97, [][2]int{{360, 415}}, [2]int{85, 333}, 1},
	} {
		r := NewRecord()
		for _, s := range c.stalls {
			r.Stalled(c.node, at(s[0]), at(s[1]))
		}
		r.writeFaults = []nodePeriod{{1, at(c.writeFault[0]), at(c.writeFault[1])}}
		a := &audit{record: r, now: at(5000)}
		a.checkAnswered(&History{ID: "m", Node: 1, Sent: sent, Read: at(c.read), Responded: at(c.read + 23),
			Reply: Reply{At: at(400), End: "timeout"}})
		if broken := a.finding("a request that was read is answered in time").Broken; broken != c.broken {
			t.Errorf("%s: %d broken, want %d", c.what, broken, c.broken)
		}
	}
}
