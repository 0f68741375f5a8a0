package journal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// owes reports that a client must learn of refused and failed answers.
func owes(v uint8) bool { return v > 1 }

func openLog(t testing.TB, dir string, most int64) (*Log, *Contents) {
	t.Helper()
	l, k, damaged, err := OpenLog(LogOptions{Dir: dir, MaxBytes: most, NeedsNotice: owes,
		OnWriteError: func(err error) { t.Log(err) }})
	if err != nil || damaged != nil {
		t.Fatal(err, damaged)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, k
}

// used returns the size of a folder's files, each rounded up to whole blocks, as the
// platform counts it.
func used(t testing.TB, dir string) (n int64) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += (info.Size() + blockSize - 1) / blockSize * blockSize
		}
	}
	return n
}

// held is what a log is expected to hold.
type held struct {
	messages map[uint64]Message
	attempts map[uint64]map[int]bool // Attempt.NeverRan, by message and attempt
	owed     map[string]bool         // identities whose client still waits for the final answer
}

func (h *held) check(t *testing.T, k *Contents, when string) {
	t.Helper()
	got := map[uint64]Message{}
	for _, m := range k.Messages {
		got[m.Seq] = m
	}
	if !reflect.DeepEqual(got, h.messages) {
		t.Fatalf("%s: %d messages, want %d", when, len(got), len(h.messages))
	}
	for seq, want := range h.attempts {
		have := map[int]bool{}
		for _, a := range k.Attempts[seq] {
			have[a.N] = a.NeverRan
		}
		if !reflect.DeepEqual(have, want) {
			t.Fatalf("%s: message %d: attempts %v, want %v", when, seq, have, want)
		}
	}
	owed := map[string]bool{}
	for _, e := range k.Ends {
		if !e.Handed {
			owed[e.Identity] = true
		}
	}
	if !reflect.DeepEqual(owed, h.owed) {
		t.Fatalf("%s: owed %v, want %v", when, owed, h.owed)
	}
}

// Guards against lost or resurrected records, and against a folder that grows past its
// limit. Random messages with bodies of all sizes replace all segments several times. The
// log is reopened without a close, as after SIGKILL: it must hold the live records and no
// ended ones, and the folder must be within its limit after each record.
func TestLogKeepsWhatIsLiveWithinItsBound(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		dir, most := t.TempDir(), int64(1<<20+int(seed)<<18)
		l, _ := openLog(t, dir, most)
		want := held{map[uint64]Message{}, map[uint64]map[int]bool{}, map[string]bool{}}
		lastSeq, withoutRoom, peak := uint64(0), 0, int64(0)
		ended := []string{}
		for step := range 6000 {
			var open []uint64
			for seq := range want.messages {
				open = append(open, seq)
			}
			slices.Sort(open)
			size := r.IntN(400)
			if r.IntN(10) == 0 {
				size = r.IntN(64 << 10)
			}
			switch n := r.IntN(10); {
			case n < 4:
				if !l.HasRoom(size) {
					withoutRoom++
					continue
				}
				lastSeq++
				m := Message{Seq: lastSeq, Identity: fmt.Sprint("id", lastSeq), Class: "c", Key: "k",
					Body: make([]byte, size), Remaining: 5, At: l.Stamp()}
				l.RecordMessage(m)
				want.messages[lastSeq] = m
			case n < 6 && len(open) > 0:
				seq := open[r.IntN(len(open))]
				if want.attempts[seq] == nil {
					want.attempts[seq] = map[int]bool{}
				}
				a := Attempt{Seq: seq, N: len(want.attempts[seq]), Host: "h", At: l.Stamp()}
				l.RecordAttempt(a)
				want.attempts[seq][a.N] = false
				if r.IntN(2) == 0 {
					a.NeverRan = true
					l.RecordAttempt(a)
					want.attempts[seq][a.N] = true
				}
			case n < 9 && len(open) > 0:
				seq := open[r.IntN(len(open))]
				id, verdict := fmt.Sprint("id", seq), uint8(1+r.IntN(3))
				l.RecordEnd(End{Seq: seq, Identity: id, Verdict: verdict, At: l.Stamp()})
				delete(want.messages, seq)
				delete(want.attempts, seq)
				if owes(verdict) {
					want.owed[id] = true
				}
				ended = append(ended, id)
			case len(ended) > 0:
				id := ended[0]
				ended = ended[1:]
				l.Handed(id)
				delete(want.owed, id)
				if r.IntN(2) == 0 {
					l.Forget(id)
				}
			}
			if n := used(t, dir); n > most {
				t.Fatalf("seed %d, step %d: %d bytes of %d", seed, step, n, most)
			} else {
				peak = max(peak, n)
			}
			if step%1500 == 1499 {
				var k *Contents
				l, k = openLog(t, dir, most) // the old one is abandoned as after a kill
				want.check(t, k, fmt.Sprintf("seed %d, step %d", seed, step))
				ends := 0
				for key := range l.live {
					if key[0] == kindEnd {
						ends++
					}
				}
				if ends != len(want.owed) {
					t.Fatalf("%d live final answers, want %d that clients wait for", ends, len(want.owed))
				}
				if k.LastSeq != lastSeq {
					t.Fatalf("last number %d, want %d", k.LastSeq, lastSeq)
				}
			}
		}
		if peak < most/2 || withoutRoom == 0 {
			t.Errorf("seed %d: at most %d of %d bytes in use, %d messages without room: the limit was never reached",
				seed, peak, most, withoutRoom)
		}
		if n := len(l.live) + len(l.messageKeys) + len(l.ends); n > 3*(len(want.messages)+len(want.owed))+
			2*len(ended)+100 {
			t.Errorf("%d entries in the tables in memory, more than the held records need", n)
		}
	}
}

// Guards against records lost to a torn or damaged one. A record torn by a crash, after
// any of its bytes, is truncated. A flipped bit in a segment before the last one is
// reported as damage, and the records before it are read.
func TestLogTornAndDamaged(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir, 1<<20)
	l.RecordMessage(Message{Seq: 1, Identity: "a", Body: []byte("one")})
	name := l.files[0].file.Name()
	before := l.files[0].size
	l.RecordMessage(Message{Seq: 2, Identity: "b", Body: []byte("two")})
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for cut := before; cut < int64(len(whole)); cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, filepath.Base(name)), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		again, k := openLog(t, torn, 1<<20)
		if len(k.Messages) != 1 || k.Messages[0].Seq != 1 {
			t.Fatalf("cut at %d: %d messages", cut, len(k.Messages))
		}
		again.RecordMessage(Message{Seq: 3, Identity: "c"})
		if _, k = openLog(t, torn, 1<<20); len(k.Messages) != 2 {
			t.Fatalf("cut at %d: what came after the torn record is lost", cut)
		}
	}
	l.mu.Lock()
	if err := l.roll(); err != nil {
		t.Fatal(err)
	}
	l.mu.Unlock()
	l.RecordMessage(Message{Seq: 4, Identity: "d"})
	whole[before+20] ^= 4
	if err := os.WriteFile(name, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	_, k, damaged, err := OpenLog(LogOptions{Dir: dir, MaxBytes: 1 << 20, NeedsNotice: owes,
		OnWriteError: func(error) {}})
	if err != nil || damaged == nil || len(k.Messages) != 2 {
		t.Errorf("err %v, damaged %v, %d messages; want no error, damage and 2 messages",
			err, damaged, len(k.Messages))
	}
}

// Guards against a final answer that is dropped with its identity while the client still
// waits for it: it must be kept until the client has it.
func TestLogKeepsAnswerUntilClientHasIt(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir, 1<<20)
	l.RecordMessage(Message{Seq: 1, Identity: "a"})
	l.RecordEnd(End{Seq: 1, Identity: "a", Verdict: 2})
	l.Forget("a")
	if _, k := openLog(t, dir, 1<<20); len(k.Ends) != 1 || k.Ends[0].Handed {
		t.Fatalf("%+v, want the answer that the client waits for", k.Ends)
	}
	l.Handed("a")
	if len(l.ends)+len(l.forgetOnceHanded)+len(l.messageKeys) != 0 {
		t.Errorf("%v %v are left of a message that is over", l.ends, l.forgetOnceHanded)
	}
}

// Guards against lost records when the device is full: HasRoom must report false, submitted
// records must be kept in memory, and all must be on disk once the device has space again.
func TestLogWithoutRoomOnTheDevice(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir, 1<<20)
	l.RecordMessage(Message{Seq: 1, Identity: "a"})
	full := l.files[len(l.files)-1].file
	broken, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	l.mu.Lock()
	l.files[len(l.files)-1].file = broken
	l.mu.Unlock()
	l.RecordMessage(Message{Seq: 2, Identity: "b"})
	l.RecordAttempt(Attempt{Seq: 2, Host: "h"})
	l.RecordEnd(End{Seq: 1, Identity: "a", Verdict: 2})
	done := make(chan struct{})
	if l.WhenWritten(func() { close(done) }) || l.HasRoom(0) {
		t.Fatal("WhenWritten or HasRoom reports true while nothing can be written")
	}
	l.mu.Lock()
	l.files[len(l.files)-1].file = full
	l.mu.Unlock()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("not written within 20 s")
	}
	if !l.HasRoom(0) {
		t.Error("HasRoom reports false after all records were written")
	}
	_, k := openLog(t, dir, 1<<20)
	if len(k.Messages) != 1 || k.Messages[0].Seq != 2 || len(k.Attempts[2]) != 1 || len(k.Ends) != 1 {
		t.Errorf("%d messages, %d attempts, %d ends; want message 2 with 1 attempt, and 1 end",
			len(k.Messages), len(k.Attempts[2]), len(k.Ends))
	}
}
