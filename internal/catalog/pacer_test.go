package catalog

import (
	"testing"
	"time"
)

const second = time.Second

// ask plays answers that come after took each and counts queries within a minute.
func ask(p *Pacer, took time.Duration, answer func(n int) Answer) (queries int) {
	for now := time.Duration(0); now < time.Minute; queries++ {
		now += took
		_, _, after := p.Answered(now, took, answer(queries))
		now += after
	}
	return queries
}

// A server that answers each query at once makes no spin: not with one index, not
// with none, not with one that always moves.
func TestNoSpin(t *testing.T) {
	for name, answer := range map[string]func(int) Answer{
		"same":  func(int) Answer { return Answer{Index: 7, Leader: true} },
		"none":  func(int) Answer { return Answer{Leader: true} },
		"moves": func(n int) Answer { return Answer{Index: uint64(n + 1), Leader: true} },
		"back":  func(n int) Answer { return Answer{Index: uint64(1000000 - n), Leader: true} },
	} {
		n := ask(NewPacer(time.Minute, second, 1), time.Millisecond, answer)
		limit := 60
		if name == "moves" || name == "back" {
			limit = changes + 10*60 + 1
		}
		if n > limit {
			t.Errorf("%s: %d queries in a minute", name, n)
		}
	}
}

// An index that goes back is asked for anew from 0, and what its answers lack is
// doubted for a while; so is a server without a leader, or long out of touch.
func TestBelieved(t *testing.T) {
	p := NewPacer(time.Minute, second, 1)
	good := Answer{Index: 100, Leader: true}
	if fresh, news, _ := p.Answered(0, 0, good); !fresh || !news || p.Ask() != 100 {
		t.Fatalf("first: %v, %v, %d", fresh, news, p.Ask())
	}
	if fresh, news, _ := p.Answered(second, time.Minute, good); !fresh || news {
		t.Errorf("same: %v, %v", fresh, news)
	}
	if fresh, news, _ := p.Answered(2*second, 0, Answer{Index: 3, Leader: true}); fresh || !news || p.Ask() != 0 {
		t.Errorf("back: %v, %v, %d", fresh, news, p.Ask())
	}
	if fresh, _, _ := p.Answered(90*second, 0, Answer{Index: 4, Leader: true}); !fresh {
		t.Error("still doubted")
	}
	if fresh, _, _ := p.Answered(91*second, 0, Answer{Index: 5}); fresh {
		t.Error("without a leader")
	}
	if fresh, _, _ := p.Answered(91*second, 0, Answer{Index: 6, Leader: true, Contact: 2 * second}); fresh {
		t.Error("out of touch")
	}
}

// 280 relays lose the catalogue for some time: when it is back, their queries are
// spread, and none comes back later than the longest pause.
func TestReturnSpread(t *testing.T) {
	const relays, outage = 280, 30 * second
	perTenth := map[int]int{}
	for i := range relays {
		p := NewPacer(time.Minute, second, uint64(i))
		now := time.Duration(0)
		for now < outage {
			now += p.Failed()
		}
		perTenth[int((now-outage)/(100*time.Millisecond))]++
		if now > outage+mostRetry {
			t.Errorf("relay %d asks %v after", i, now-outage)
		}
	}
	for at, n := range perTenth {
		if n > relays/10 {
			t.Errorf("%d of %d relays ask within the same tenth of a second (%d)", n, relays, at)
		}
	}
}
