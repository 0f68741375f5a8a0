package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

func open(t testing.TB, o Options) (*Journal, *Contents) {
	t.Helper()
	if o.MaxQueued == 0 {
		o.MaxQueued = 1 << 20
	}
	j, k, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return j, k
}

// synced waits until all submitted records are on disk.
func synced(t testing.TB, j *Journal) {
	t.Helper()
	done := make(chan struct{})
	j.WhenWritten(func() { close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("not on disk after 20 s")
	}
}

// script returns steps that record the course of some messages, one record per step.
func script() (out []func(*Journal)) {
	for i := uint64(1); i <= 12; i++ {
		name := fmt.Sprint("identity ", i)
		out = append(out,
			func(j *Journal) { j.Session("mqtt", fmt.Sprint("c", i%3), []byte(name)) },
			func(j *Journal) { j.RecordMessage(Message{Seq: i, Identity: name, Body: make([]byte, 300)}) },
			func(j *Journal) { j.RecordAttempt(Attempt{Seq: i, Host: "h"}) },
			func(j *Journal) { j.RecordAttempt(Attempt{Seq: i, Host: "h", NeverRan: true}) },
			func(j *Journal) { j.RecordWait(Wait{Host: "h", Remaining: int64(i % 2)}) })
		if i%4 != 0 {
			out = append(out, func(j *Journal) { j.RecordEnd(End{Seq: i, Identity: name, Verdict: 1}) },
				func(j *Journal) { j.Handed(name) })
		}
		if i%5 == 0 {
			out = append(out, func(j *Journal) { j.Forget(name) })
		}
	}
	return out
}

// state renders Contents without clocks, to compare journals.
func state(k *Contents) string {
	for i := range k.Sessions {
		k.Sessions[i].At = Stamp{}
	}
	return fmt.Sprintf("%v %v %v %v %v", k.Messages, k.Attempts, k.Ends, k.Waits, k.Sessions)
}

// Guards against loss or partial state after a crash. The file system is copied before
// each write and each sync, with none, half or all of the data that was not synced. A
// journal opened on the copy must hold the state after some step of the script, and no
// earlier one than the last step that was reported as on disk.
func TestCrashEverywhere(t *testing.T) {
	steps := script()
	// The states after each step, from a journal that doesn't crash.
	var want []string
	ref := vfs.NewMem()
	for n := 0; n <= len(steps); n++ {
		j, k := open(t, Options{Dir: "j", FS: ref})
		want = append(want, state(k))
		if n < len(steps) {
			steps[n](j)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
	mem := vfs.NewCrashableMem()
	type crash struct {
		fs   *vfs.MemFS
		told int
	}
	var mu sync.Mutex
	var crashes []crash
	told, on := 0, false
	chance := rand.New(rand.NewPCG(1, 1))
	fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		mu.Lock()
		defer mu.Unlock()
		if on && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			for _, percent := range []int{0, 50, 100} {
				crashes = append(crashes, crash{mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent,
					RNG: chance}), told})
			}
		}
		return nil
	}))
	j, _ := open(t, Options{Dir: "j", FS: fs})
	mu.Lock()
	on = true
	mu.Unlock()
	for n, step := range steps {
		step(j)
		if n%3 > 0 { // gives groups of one record and of several
			synced(t, j)
			mu.Lock()
			told = n + 1
			mu.Unlock()
		}
	}
	synced(t, j)
	mu.Lock()
	on = false
	all := crashes
	mu.Unlock()
	for i, c := range all {
		j, k, err := Open(Options{Dir: "j", FS: c.fs, MaxQueued: 1 << 20})
		if err != nil {
			t.Fatalf("crash %d: %v", i, err)
		}
		got, found := state(k), -1
		for n := len(want) - 1; n >= c.told; n-- {
			if want[n] == got {
				found = n
				break
			}
		}
		if found < 0 {
			t.Fatalf("crash %d, with step %d reported as on disk: got a state of no later step: %s", i, c.told, got)
		}
		_ = j.Close()
	}
	t.Logf("%d crashes", len(all))
	_ = j.Close()
}

// Guards against records reported as on disk after a failed write or sync: no function
// given to WhenWritten may run, HasRoom must report false, and the failure is reported once.
func TestDiskFails(t *testing.T) {
	for _, kind := range []errorfs.OpKind{errorfs.OpFileWrite, errorfs.OpFileSync, errorfs.OpFileSyncData} {
		var mu sync.Mutex
		fails := false
		mem := vfs.NewMem()
		fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
			mu.Lock()
			defer mu.Unlock()
			if fails && (op.Kind == kind || kind == errorfs.OpFileSync && op.Kind == errorfs.OpFileSyncData) {
				return errors.New("no space left on device")
			}
			return nil
		}))
		broken := make(chan error, 10)
		j, _ := open(t, Options{Dir: "j", FS: fs, OnFailure: func(err error) { broken <- err }})
		j.RecordMessage(Message{Seq: 1, Identity: "a"})
		synced(t, j)
		mu.Lock()
		fails = true
		mu.Unlock()
		j.RecordMessage(Message{Seq: 2, Identity: "b"})
		j.WhenWritten(func() { t.Error("reported as on disk") })
		select {
		case err := <-broken:
			if !strings.Contains(err.Error(), "no space left") {
				t.Errorf("%v", err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the failure was not reported within 20 s")
		}
		mu.Lock()
		fails = false // the journal must not trust a disk that works again
		mu.Unlock()
		j.RecordMessage(Message{Seq: 3, Identity: "c"})
		j.WhenWritten(func() { t.Error("reported as on disk after a failure") })
		if j.HasRoom(0) {
			t.Error("HasRoom reports true after a failure")
		}
		if err := j.Close(); err == nil {
			t.Error("Close returned no error after a failure")
		}
		if len(broken) > 0 {
			t.Error("the failure was reported twice")
		}
	}
}

// Guards against opening what is not a whole journal of this version: one that another
// process has open, flipped bits, another version of the format, a file.
func TestOpenRefusesForeignData(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, Options{Dir: dir})
	if _, _, err := Open(Options{Dir: dir}); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	for i := range uint64(200) {
		j.RecordMessage(Message{Seq: i + 1, Identity: fmt.Sprint(i), Body: make([]byte, 500)})
		if i%10 == 9 {
			synced(t, j)
		}
	}
	// Copies the directory as a crash would leave it, with one bit flipped. A flip in the
	// last group can't be told from a torn end, so it is not tried.
	copied := func(flip int) (to string, size int) {
		to = t.TempDir()
		files, _ := filepath.Glob(filepath.Join(dir, "*"))
		for _, f := range files {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(f, ".log") && len(b) > 10_000 {
				size = len(strings.TrimRight(string(b), "\x00"))
				b[flip] ^= 0x10
			}
			if err := os.WriteFile(filepath.Join(to, filepath.Base(f)), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return to, size
	}
	_, size := copied(0)
	flips, unseen := 0, 0
	for at := 100; at < size-2*10*600; at += 4777 {
		to, _ := copied(at)
		flips++
		if k, kept, err := Open(Options{Dir: to, MaxQueued: 1}); err == nil {
			unseen++
			t.Logf("bit at %d of %d: opened with %d messages", at, size, len(kept.Messages))
			_ = k.Close()
		}
	}
	if flips < 15 || unseen > 0 {
		t.Errorf("%d of %d flips were not detected", unseen, flips)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	other := t.TempDir()
	k, _ := open(t, Options{Dir: other})
	k.run.Version = Version + 1
	k.enqueue(op{key: []byte{kindRun, 0, 0, 0, 9}, value: encode(k.run)})
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Options{Dir: other}); err == nil || !strings.Contains(err.Error(), "format version 2") {
		t.Errorf("another version: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	_ = os.WriteFile(file, nil, 0o600)
	if _, _, err := Open(Options{Dir: file}); err == nil {
		t.Error("a file was opened as a journal")
	}
}

// Guards against a journal that grows past its limit on disk use, or that refuses messages
// for good: HasRoom reports false above the limit, and true again once messages have ended.
func TestBound(t *testing.T) {
	// The limit is well above the log files that pebble keeps for reuse, 16 MB each. The
	// bodies can't be compressed.
	j, _ := open(t, Options{Dir: t.TempDir(), MaxBytes: 96 << 20, MaxQueued: 1 << 30})
	body := make([]byte, 100_000)
	chance := rand.New(rand.NewPCG(1, 1))
	for i := range body {
		body[i] = byte(chance.Uint32())
	}
	for i := range uint64(1600) {
		j.RecordMessage(Message{Seq: i + 1, Identity: fmt.Sprint(i), Body: body})
		if i%100 == 99 {
			synced(t, j)
		}
	}
	synced(t, j)
	if j.Stats(); j.HasRoom(0) {
		t.Error("HasRoom reports true above the limit")
	}
	for i := range uint64(1600) {
		j.RecordEnd(End{Seq: i + 1, Identity: fmt.Sprint(i)})
		j.Forget(fmt.Sprint(i))
	}
	synced(t, j)
	if err := j.db.Flush(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_ = j.db.Compact(t.Context(), []byte{0}, []byte{255}, false)
		if j.Stats(); j.HasRoom(0) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("HasRoom still reports false 20 s after all messages ended: %+v", j.Stats())
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against records that change between writing and reading, and against runs that
// pile up in the journal.
func TestRecordsSurviveReopen(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, Options{Dir: dir})
	m := Message{Seq: 7, Identity: "i", Source: "s", Class: "c", Partner: "p", Key: "k", At: j.Stamp(), Remaining: 5,
		Head: []byte("h"), Body: []byte("b"), Front: "f", Way: []byte("w")}
	j.RecordMessage(m)
	j.RecordEnd(End{Seq: 6, Identity: "e", Verdict: 2, After: 3, At: j.Stamp()})
	j.Handed("e")
	_ = j.Close()
	j, k := open(t, Options{Dir: dir})
	defer func() { _ = j.Close() }()
	if len(k.Messages) != 1 || !reflect.DeepEqual(k.Messages[0], m) || len(k.Ends) != 1 || !k.Ends[0].Handed ||
		k.LastSeq != 7 || k.ThisRun.Number != 2 || len(k.Runs) != 2 {
		t.Errorf("%+v", k)
	}
	// Runs that no record refers to are deleted.
	for range 5 {
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		if j, k = open(t, Options{Dir: dir}); len(k.Runs) > 3 || len(k.Messages) != 1 {
			t.Fatalf("%d runs, %d messages", len(k.Runs), len(k.Messages))
		}
	}
}

// BenchmarkRecover measures the time and memory to open a journal with 100,000 messages.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	j, _ := open(b, Options{Dir: dir, MaxQueued: 1 << 30})
	for i := range uint64(100_000) {
		j.RecordMessage(Message{Seq: i + 1, Identity: fmt.Sprint("identity ", i), Class: "charge", Partner: "p",
			Body: make([]byte, 256)})
		if i%3 == 0 {
			j.RecordAttempt(Attempt{Seq: i + 1, Host: "127.0.0.1:1"})
		}
	}
	_ = j.Close()
	for b.Loop() {
		j, k := open(b, Options{Dir: dir})
		if len(k.Messages) != 100_000 {
			b.Fatal(len(k.Messages))
		}
		_ = j.Close()
	}
}
