package journal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
)

// brokenDisk makes writes to a log fail by giving its newest segment a file that is open
// for reading only. It returns a function that undoes this and retries the writes.
func brokenDisk(t *testing.T, l *Log) (repair func()) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.files[len(l.files)-1]
	whole := s.file
	readOnly, err := os.Open(whole.Name())
	if err != nil {
		t.Fatal(err)
	}
	s.file = readOnly
	return func() {
		l.mu.Lock()
		s.file = whole
		l.mu.Unlock()
		_ = readOnly.Close()
		l.retryWrites()
	}
}

// churn records and ends so many messages that every older segment is removed.
func churn(l *Log, most int64, from uint64) {
	body := make([]byte, 2000)
	for seq := from; int64(seq-from)*int64(len(body)) < 3*most; seq++ {
		id := fmt.Sprint("churn", seq)
		l.RecordMessage(Message{Seq: seq, Identity: id, Body: body, At: l.Stamp()})
		l.RecordEnd(End{Seq: seq, Identity: id, Verdict: 1, At: l.Stamp()})
	}
}

// Guards against a message that was refused (429) and is forwarded by the next process:
// its record was written late, after a failed write, counted as live although the message
// had ended, and was copied to a segment after that of its end.
func TestEndedWhileWritesFailIsNotCarriedForward(t *testing.T) {
	const most = 256 << 10
	dir := t.TempDir()
	l, _ := openLog(t, dir, most)
	repair := brokenDisk(t, l)
	l.RecordMessage(Message{Seq: 1, Identity: "refused", At: l.Stamp()})
	l.RecordEnd(End{Seq: 1, Identity: "refused", Verdict: 2, At: l.Stamp()})
	repair()
	l.Handed("refused")
	churn(l, most, 2)
	_, k := openLog(t, dir, most)
	if slices.ContainsFunc(k.Messages, func(m Message) bool { return m.Seq == 1 }) {
		t.Error("the next run still holds a message that was refused")
	}
}

// Guards against an accepted message (202) that gets no final answer: its record was
// removed while the record of its end still waited in memory, and then the process was
// killed.
func TestMessageStaysUntilItsEndIsOnDisk(t *testing.T) {
	const most = 256 << 10
	dir := t.TempDir()
	l, _ := openLog(t, dir, most)
	l.RecordMessage(Message{Seq: 1, Identity: "owed", At: l.Stamp()})
	repair := brokenDisk(t, l)
	l.RecordEnd(End{Seq: 1, Identity: "owed", Verdict: 3, At: l.Stamp()})
	l.mu.Lock()
	live := l.live[string(seqKey(kindMessage, 1))] != nil
	l.mu.Unlock()
	if !live {
		t.Error("the record of the message may be removed before that of its end is on disk")
	}
	if _, k := openLog(t, dir, most); len(k.Messages) != 1 {
		t.Errorf("after a kill: %d messages, want the one without a final answer", len(k.Messages))
	}
	repair()
	if _, k := openLog(t, dir, most); len(k.Messages) != 0 || len(k.Ends) != 1 {
		t.Errorf("after the repair: %d messages and %d ends, want the end alone", len(k.Messages), len(k.Ends))
	}
}

// Guards against answers that were sent but are not on disk. Random messages are recorded
// while writes fail now and then. The log is reopened without a close, as after a kill,
// and must hold all that WhenWritten reported as written.
func TestWrittenRecordsSurviveFailingWrites(t *testing.T) {
	const most = 192 << 10
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 7))
		dir := t.TempDir()
		l, _ := openLog(t, dir, most)
		var open []uint64
		var mu sync.Mutex
		taken, ended := map[uint64]bool{}, map[uint64]bool{} // as reported by WhenWritten
		told := func(what map[uint64]bool, seq uint64) {
			mark := func() {
				mu.Lock()
				what[seq] = true
				mu.Unlock()
			}
			if l.WhenWritten(mark) {
				mark()
			}
		}
		repair := func() {}
		for seq := uint64(1); seq < 400; seq++ {
			switch r.IntN(12) {
			case 0:
				repair()
				repair = brokenDisk(t, l)
			case 1, 2:
				repair()
				repair = func() {}
			}
			l.RecordMessage(Message{Seq: seq, Identity: fmt.Sprint(seq), Body: make([]byte, r.IntN(1500)),
				At: l.Stamp()})
			told(taken, seq)
			open = slices.DeleteFunc(append(open, seq), func(old uint64) bool {
				if len(open) < 20 && r.IntN(3) > 0 {
					return false
				}
				l.RecordEnd(End{Seq: old, Identity: fmt.Sprint(old), Verdict: uint8(1 + r.IntN(3)), At: l.Stamp()})
				told(ended, old)
				l.Handed(fmt.Sprint(old))
				return true
			})
		}
		_, k := openLog(t, dir, most)
		mu.Lock()
		held := map[uint64]bool{}
		for _, m := range k.Messages {
			if held[m.Seq] = true; ended[m.Seq] {
				t.Fatalf("seed %d: message %d was reported as ended and is still held", seed, m.Seq)
			}
		}
		for _, seq := range open {
			if taken[seq] && !held[seq] {
				t.Fatalf("seed %d: message %d was reported as recorded, has not ended and is lost", seed, seq)
			}
		}
		mu.Unlock()
		repair()
	}
}

// Guards against records lost behind a partial one: a failed write left part of its record
// in the file although os.File reported 0 bytes, and so the segment counted as damaged
// from there on.
func TestPartOfARecordIsCutOff(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir, 1<<20)
	l.RecordMessage(Message{Seq: 1, Identity: "before", At: l.Stamp()})
	repair := brokenDisk(t, l)
	l.mu.Lock()
	s := l.files[len(l.files)-1]
	name, size := s.file.Name(), s.size
	l.mu.Unlock()
	l.RecordMessage(Message{Seq: 2, Identity: "torn", At: l.Stamp()})
	part, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer part.Close()
	if _, err := part.WriteAt(make([]byte, 4000), size); err != nil { // longer than the next record
		t.Fatal(err)
	}
	repair()
	l.mu.Lock()
	err = l.roll()
	l.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	l.RecordMessage(Message{Seq: 3, Identity: "after", At: l.Stamp()})
	if _, k := openLog(t, dir, 1<<20); len(k.Messages) != 3 {
		t.Errorf("%d messages, want 3", len(k.Messages))
	}
}

// Guards against a message that was refused (503) and is forwarded by a later process: its
// record was withdrawn while a part of it was on disk and could not be truncated, shorter
// records overwrote the start of that part, and then the process was killed.
func TestWithdrawnMessageIsUnknownAfterAKill(t *testing.T) {
	for _, shorter := range []bool{false, true} {
		dir := t.TempDir()
		l, _ := openLog(t, dir, 1<<20)
		l.RecordMessage(Message{Seq: 1, Identity: "before", At: l.Stamp()})
		repair := brokenDisk(t, l)
		l.mu.Lock()
		s := l.files[len(l.files)-1]
		name, size := s.file.Name(), s.size
		l.mu.Unlock()
		l.RecordMessage(Message{Seq: 2, Identity: "taken back", Body: make([]byte, 3000), At: l.Stamp()})
		l.mu.Lock()
		frame := l.waiting[0].frame
		l.mu.Unlock()
		part, err := os.OpenFile(name, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer part.Close()
		if _, err := part.WriteAt(frame[:len(frame)-1], size); err != nil { // all but its last byte
			t.Fatal(err)
		}
		if !l.Cancel(2) {
			t.Fatal("Cancel failed although the record waits to be written")
		}
		want := 1
		if shorter {
			repair()
			l.RecordMessage(Message{Seq: 3, Identity: "after", At: l.Stamp()})
			want = 2
		}
		_, k := openLog(t, dir, 1<<20)
		if slices.ContainsFunc(k.Messages, func(m Message) bool { return m.Seq == 2 }) || len(k.Messages) != want {
			t.Errorf("shorter record after it %v: %d messages, want %d without the withdrawn one",
				shorter, len(k.Messages), want)
		}
	}
}
