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

func open(t testing.TB, o Options) (*Journal, *Kept) {
	t.Helper()
	if o.Queue == 0 {
		o.Queue = 1 << 20
	}
	j, k, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return j, k
}

// synced waits until all that was handed in is on disk.
func synced(t testing.TB, j *Journal) {
	t.Helper()
	done := make(chan struct{})
	j.Then(func() { close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("never on disk")
	}
}

// script is a life of some messages, a record a step.
func script() (out []func(*Journal)) {
	for i := uint64(1); i <= 12; i++ {
		name := fmt.Sprint("identity ", i)
		out = append(out,
			func(j *Journal) { j.Session("mqtt", fmt.Sprint("c", i%3), []byte(name)) },
			func(j *Journal) { j.Taken(Message{Seq: i, Identity: name, Body: make([]byte, 300)}) },
			func(j *Journal) { j.Tried(Attempt{Seq: i, Host: "h"}) },
			func(j *Journal) { j.Tried(Attempt{Seq: i, Host: "h", Clear: true}) },
			func(j *Journal) { j.Waits(Wait{Host: "h", Left: int64(i % 2)}) })
		if i%4 != 0 {
			out = append(out, func(j *Journal) { j.Ended(End{Seq: i, Identity: name, Verdict: 1}) },
				func(j *Journal) { j.Handed(name) })
		}
		if i%5 == 0 {
			out = append(out, func(j *Journal) { j.Forget(name) })
		}
	}
	return out
}

// state is what Kept says without its clocks.
func state(k *Kept) string {
	for i := range k.Sessions {
		k.Sessions[i].At = Stamp{}
	}
	return fmt.Sprintf("%v %v %v %v %v", k.Messages, k.Attempts, k.Ends, k.Waits, k.Sessions)
}

// A crash before every write and every sync of the storage, with nothing, half
// or all of what was not synced: what was told to be on disk is there, and what is
// there is the script up to some step.
func TestCrashEverywhere(t *testing.T) {
	steps := script()
	// The states after each step, from a journal that lives on.
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
				crashes = append(crashes, crash{mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: chance}), told})
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
		if n%3 > 0 { // groups of one, and of several
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
		j, k, err := Open(Options{Dir: "j", FS: c.fs, Queue: 1 << 20})
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
			t.Fatalf("crash %d after step %d was told: %s", i, c.told, got)
		}
		_ = j.Close()
	}
	t.Logf("%d crashes", len(all))
	_ = j.Close()
}

// After a failed write or sync nothing is told to be on disk, nothing is taken,
// and the failure is told once.
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
		j, _ := open(t, Options{Dir: "j", FS: fs, Broken: func(err error) { broken <- err }})
		j.Taken(Message{Seq: 1, Identity: "a"})
		synced(t, j)
		mu.Lock()
		fails = true
		mu.Unlock()
		j.Taken(Message{Seq: 2, Identity: "b"})
		j.Then(func() { t.Error("told to be on disk") })
		select {
		case err := <-broken:
			if !strings.Contains(err.Error(), "no space left") {
				t.Errorf("%v", err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("never told")
		}
		mu.Lock()
		fails = false // a disk that says it is well again is not believed
		mu.Unlock()
		j.Taken(Message{Seq: 3, Identity: "c"})
		j.Then(func() { t.Error("told to be on disk after a failure") })
		if j.Room(0) {
			t.Error("takes more")
		}
		if err := j.Close(); err == nil {
			t.Error("closed as if nothing had been")
		}
		if len(broken) > 0 {
			t.Error("told twice")
		}
	}
}

// A second process, a foreign folder, a format of another version, flipped bits.
func TestForeign(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, Options{Dir: dir})
	if _, _, err := Open(Options{Dir: dir}); !errors.Is(err, ErrLocked) {
		t.Errorf("second: %v", err)
	}
	for i := range uint64(200) {
		j.Taken(Message{Seq: i + 1, Identity: fmt.Sprint(i), Body: make([]byte, 500)})
		if i%10 == 9 {
			synced(t, j)
		}
	}
	// As a crash leaves it, with one bit flipped. In the last group that cannot be
	// told from a torn end.
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
		if k, kept, err := Open(Options{Dir: to, Queue: 1}); err == nil {
			unseen++
			t.Logf("bit at %d of %d: opened with %d messages", at, size, len(kept.Messages))
			_ = k.Close()
		}
	}
	if flips < 15 || unseen > 0 {
		t.Errorf("%d of %d flips were not seen", unseen, flips)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	other := t.TempDir()
	k, _ := open(t, Options{Dir: other})
	k.run.Version = Version + 1
	k.put(op{key: []byte{kindRun, 0, 0, 0, 9}, value: encode(k.run)})
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

// Past its bound on disk there is no room, and what ends makes room again.
func TestBound(t *testing.T) {
	// Well above the logs that the library keeps to write anew, 16 MB each; nothing
	// that it could compress.
	j, _ := open(t, Options{Dir: t.TempDir(), Most: 96 << 20, Queue: 1 << 30})
	body := make([]byte, 100_000)
	chance := rand.New(rand.NewPCG(1, 1))
	for i := range body {
		body[i] = byte(chance.Uint32())
	}
	for i := range uint64(1600) {
		j.Taken(Message{Seq: i + 1, Identity: fmt.Sprint(i), Body: body})
		if i%100 == 99 {
			synced(t, j)
		}
	}
	synced(t, j)
	if j.Stats(); j.Room(0) {
		t.Error("room past the bound")
	}
	for i := range uint64(1600) {
		j.Ended(End{Seq: i + 1, Identity: fmt.Sprint(i)})
		j.Forget(fmt.Sprint(i))
	}
	synced(t, j)
	if err := j.db.Flush(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_ = j.db.Compact(t.Context(), []byte{0}, []byte{255}, false)
		if j.Stats(); j.Room(0) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("never room again: %+v", j.Stats())
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// What is read again is what was written.
func TestReadAgain(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, Options{Dir: dir})
	m := Message{Seq: 7, Identity: "i", Source: "s", Class: "c", Partner: "p", Key: "k", At: j.Stamp(), Left: 5, Head: []byte("h"),
		Body: []byte("b"), Front: "f", Way: []byte("w")}
	j.Taken(m)
	j.Ended(End{Seq: 6, Identity: "e", Verdict: 2, After: 3, At: j.Stamp()})
	j.Handed("e")
	_ = j.Close()
	j, k := open(t, Options{Dir: dir})
	defer func() { _ = j.Close() }()
	if len(k.Messages) != 1 || !reflect.DeepEqual(k.Messages[0], m) || len(k.Ends) != 1 || !k.Ends[0].Handed || k.Last != 7 ||
		k.Now.Number != 2 || len(k.Runs) != 2 {
		t.Errorf("%+v", k)
	}
	// Runs that no record is dated by are not kept for ever.
	for range 5 {
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		if j, k = open(t, Options{Dir: dir}); len(k.Runs) > 3 || len(k.Messages) != 1 {
			t.Fatalf("%d runs, %d messages", len(k.Runs), len(k.Messages))
		}
	}
}

// 100,000 held messages: until they are read, with the memory that takes.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	j, _ := open(b, Options{Dir: dir, Queue: 1 << 30})
	for i := range uint64(100_000) {
		j.Taken(Message{Seq: i + 1, Identity: fmt.Sprint("identity ", i), Class: "charge", Partner: "p", Body: make([]byte, 256)})
		if i%3 == 0 {
			j.Tried(Attempt{Seq: i + 1, Host: "127.0.0.1:1"})
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
