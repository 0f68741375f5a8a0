package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/pebble/v2"
)

// BenchmarkSmallFolder measures the maximum size of a folder while messages pass through
// it, 500 of them live at a time and one in sixteen with a body of up to 64 KiB. It
// compares the Log with a limit of 3 MB to pebble with the smallest tables that it works
// with, written like Journal but without syncs.
func BenchmarkSmallFolder(b *testing.B) {
	run := func(b *testing.B, taken func(Message), tried func(Attempt), ended func(End), size func() int64) {
		r := rand.New(rand.NewPCG(1, 1))
		var live []uint64
		peak := int64(0)
		for i := uint64(1); b.Loop(); i++ {
			n := 200
			if i%16 == 0 {
				n = r.IntN(64 << 10)
			}
			m := Message{Seq: i, Identity: fmt.Sprint("id", i), Class: "c", Partner: "7", Body: make([]byte, n)}
			for j := range m.Body {
				m.Body[j] = byte(r.Uint32())
			}
			taken(m)
			tried(Attempt{Seq: i, Host: "s-12345678"})
			if live = append(live, i); len(live) > 500 {
				ended(End{Seq: live[0], Identity: fmt.Sprint("id", live[0]), Verdict: 1})
				live = live[1:]
			}
			peak = max(peak, size())
		}
		b.ReportMetric(float64(peak)/(1<<20), "MB-at-most")
	}
	b.Run("log", func(b *testing.B) {
		dir := b.TempDir()
		l, _, _, err := OpenLog(LogOptions{Dir: dir, MaxBytes: 3 << 20, NeedsNotice: owes,
			OnWriteError: func(err error) { b.Fatal(err) }})
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		run(b, l.RecordMessage, l.RecordAttempt, func(e End) { l.RecordEnd(e); l.Forget(e.Identity) },
			func() int64 { return used(b, dir) })
	})
	b.Run("pebble", func(b *testing.B) {
		dir := b.TempDir()
		db, err := pebble.Open(dir, &pebble.Options{Logger: errorLogger{&Journal{}}, MemTableSize: 256 << 10,
			FormatMajorVersion: pebble.FormatNewest, L0CompactionThreshold: 1,
			L0StopWritesThreshold: 2, MaxOpenFiles: 64})
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		set := func(key, value []byte) {
			if err := db.Set(key, value, pebble.NoSync); err != nil {
				b.Fatal(err)
			}
		}
		run(b, func(m Message) { set(seqKey(kindMessage, m.Seq), encode(m)) },
			func(a Attempt) { set(attemptKey(a.Seq, a.N), encode(a)) },
			func(e End) {
				batch := db.NewBatch()
				_ = batch.Delete(seqKey(kindMessage, e.Seq), nil)
				_ = batch.DeleteRange(seqKey(kindAttempt, e.Seq), seqKey(kindAttempt, e.Seq+1), nil)
				if err := batch.Commit(pebble.NoSync); err != nil {
					b.Fatal(err)
				}
			}, func() int64 { return used(b, dir) })
	})
}
