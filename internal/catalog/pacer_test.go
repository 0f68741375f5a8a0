package catalog

import (
	"testing"
	"time"
)

const second = time.Second

// ask simulates queries that are each answered after took, and counts them for a minute.
func ask(p *Pacer, took time.Duration, answer func(n int) Answer) (queries int) {
	for now := time.Duration(0); now < time.Minute; queries++ {
		now += took
		_, _, after := p.Answered(now, took, answer(queries))
		now += after
	}
	return queries
}

// Guards against a busy loop of queries when a server answers each of them at once: with
// the same index, without an index, or with one that always rises or falls.
func TestNoBusyLoop(t *testing.T) {
	for name, answer := range map[string]func(int) Answer{
		"same index":    func(int) Answer { return Answer{Index: 7, KnownLeader: true} },
		"no index":      func(int) Answer { return Answer{KnownLeader: true} },
		"rising index":  func(n int) Answer { return Answer{Index: uint64(n + 1), KnownLeader: true} },
		"falling index": func(n int) Answer { return Answer{Index: uint64(1000000 - n), KnownLeader: true} },
	} {
		n := ask(NewPacer(time.Minute, second, 1), time.Millisecond, answer)
		limit := 60
		if name == "rising index" || name == "falling index" {
			limit = burst + 10*60 + 1
		}
		if n > limit {
			t.Errorf("%s: %d queries in a minute, too many", name, n)
		}
	}
}

// Guards against endpoints removed on the word of a server that lacks them for a while.
// After an index that went back, queries start from 0 and answers don't count as up to date
// for some time. Nor do those of a server without a leader, or without recent contact to it.
func TestAnswersUpToDate(t *testing.T) {
	p := NewPacer(time.Minute, second, 1)
	good := Answer{Index: 100, KnownLeader: true}
	if fresh, news, _ := p.Answered(0, 0, good); !fresh || !news || p.WaitIndex() != 100 {
		t.Fatalf("first answer: %v, %v, %d", fresh, news, p.WaitIndex())
	}
	if fresh, news, _ := p.Answered(second, time.Minute, good); !fresh || news {
		t.Errorf("same index: %v, %v", fresh, news)
	}
	if fresh, news, _ := p.Answered(2*second, 0, Answer{Index: 3, KnownLeader: true}); fresh || !news ||
		p.WaitIndex() != 0 {
		t.Errorf("lower index: %v, %v, %d", fresh, news, p.WaitIndex())
	}
	if fresh, _, _ := p.Answered(90*second, 0, Answer{Index: 4, KnownLeader: true}); !fresh {
		t.Error("still not up to date 88 s after the index went back")
	}
	if fresh, _, _ := p.Answered(91*second, 0, Answer{Index: 5}); fresh {
		t.Error("an answer without a leader counts as up to date")
	}
	if fresh, _, _ := p.Answered(91*second, 0, Answer{Index: 6, KnownLeader: true, LastContact: 2 * second}); fresh {
		t.Error("an answer counts as up to date 2 s after the last contact with the leader")
	}
}

// Guards against a burst of queries when the catalogue is back after an outage: those of
// 280 relays must be spread out, and none may come later than the longest pause.
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
		if now > outage+maxRetry {
			t.Errorf("relay %d queries %v after the outage", i, now-outage)
		}
	}
	for at, n := range perTenth {
		if n > relays/10 {
			t.Errorf("%d of %d relays query within the same tenth of a second (%d)", n, relays, at)
		}
	}
}
