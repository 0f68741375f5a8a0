package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Options of a Journal.
type Options struct {
	Dir  string
	FS   vfs.FS // nil for the machine's
	Most int64  // bytes on disk; past them there is no Room
	// Queue is how many bytes may wait to be written; past them there is no Room.
	Queue int
	// NoSync leaves records to the operating system: they survive the process, not
	// the machine. For measurements.
	NoSync bool
	// Broken is told, once, that a write or sync failed. Nothing is written any
	// more and nothing that waits is done: what a disk said after that is not to be
	// trusted, and the process is to end and recover.
	Broken func(error)
	// Now tells the clocks at the start, Clock the machine's alone; nil for the machine's.
	Now   func() Run
	Clock func() int64
}

// op is one change.
type op struct {
	key, value []byte // no value: the key goes
	end        []byte // all keys from key to before end go
}

// Journal is safe for concurrent use.
type Journal struct {
	opt Options
	db  *pebble.DB
	run Run

	mu     sync.Mutex
	ops    []op
	bytes  int
	done   []func()
	wake   *sync.Cond
	closed bool
	broken error
	over   chan struct{}
	full   bool
	stats  Stats
	group  uint64         // number of the last one
	mark   vfs.File       // which says that it was on disk
	ends   map[string]End // by identity: those that may still be changed
}

// Stats of a run.
type Stats struct {
	Groups  uint64 `json:"groups"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"` // of records
	Disk    uint64 `json:"disk_bytes"`
}

// Kept is everything that a journal held when it was opened.
type Kept struct {
	Runs     map[uint32]Run
	Now      Run // this run
	Messages []Message
	Attempts map[uint64][]Attempt
	Ends     []End
	Waits    []Wait
	Sessions []Session
	Spent    *Spent // nil for none
	Last     uint64 // highest number of a message
}

// refers tells whether a record is dated by a run; one that none is, is forgotten.
func (k *Kept) refers(run uint32) bool {
	is := func(s Stamp) bool { return s.Run == run }
	for _, l := range k.Attempts {
		if slices.ContainsFunc(l, func(a Attempt) bool { return is(a.At) }) {
			return true
		}
	}
	return k.Spent != nil && is(k.Spent.At) || slices.ContainsFunc(k.Messages, func(m Message) bool { return is(m.At) }) ||
		slices.ContainsFunc(k.Ends, func(e End) bool { return is(e.At) }) ||
		slices.ContainsFunc(k.Waits, func(w Wait) bool { return is(w.At) }) ||
		slices.ContainsFunc(k.Sessions, func(s Session) bool { return is(s.At) })
}

// ErrDamaged says that records which were on disk are missing. The library takes a
// damaged log for one whose end was torn off by a crash, and opens without its
// rest; the mark beside it tells. To go on with what is left, remove the mark.
var ErrDamaged = errors.New("journal: records that were on disk are missing")

// ErrLocked says that another process has the journal.
var ErrLocked = errors.New("journal: another process has this directory")

// quiet keeps the library's words to errors; a fatal one breaks the journal.
type quiet struct{ j *Journal }

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (q quiet) Fatalf(f string, v ...any) {
	if q.j.opt.Broken == nil {
		panic(fmt.Sprintf("journal: "+f, v...))
	}
	q.j.fail(fmt.Errorf("journal: "+f, v...))
	select {} // the library must not go on; the process is about to end
}

// machine reads the clocks of the machine.
func machine() Run {
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return Run{Boot: strings.TrimSpace(string(boot)), Clock: clock(), Wall: time.Now().UnixNano()}
}

// clock goes on while the machine sleeps, and starts anew with it.
func clock() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

// Open opens or makes a journal and reads what it holds.
func Open(opt Options) (*Journal, *Kept, error) {
	if opt.FS == nil {
		opt.FS = vfs.Default
	}
	if opt.Now == nil {
		opt.Now = machine
	}
	if opt.Clock == nil {
		opt.Clock = clock
	}
	j := &Journal{opt: opt, over: make(chan struct{}), ends: map[string]End{}}
	j.wake = sync.NewCond(&j.mu)
	db, err := pebble.Open(opt.Dir, &pebble.Options{FS: opt.FS, Logger: quiet{j}, MemTableSize: 16 << 20,
		FormatMajorVersion: pebble.FormatNewest, MaxOpenFiles: 128})
	if err != nil {
		if strings.Contains(err.Error(), "lock") || errors.Is(err, unix.EAGAIN) {
			return nil, nil, fmt.Errorf("%w: %w", ErrLocked, err)
		}
		return nil, nil, fmt.Errorf("journal: %s: %w", opt.Dir, err)
	}
	j.db = db
	kept, err := j.read()
	if err == nil {
		err = j.openMark()
	}
	if err != nil {
		_ = db.Close()
		return nil, nil, err
	}
	j.run = opt.Now()
	j.run.Version, j.run.Number = Version, 1
	for n := range kept.Runs {
		j.run.Number = max(j.run.Number, n+1)
	}
	b := db.NewBatch()
	for n := range kept.Runs {
		if !kept.refers(n) {
			delete(kept.Runs, n)
			err = errors.Join(err, b.Delete(runKey(n), nil))
		}
	}
	kept.Now, kept.Runs[j.run.Number] = j.run, j.run
	err = errors.Join(err, b.Set(runKey(j.run.Number), encode(j.run), nil))
	if err = errors.Join(err, b.Commit(pebble.Sync)); err != nil {
		_ = db.Close()
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	go j.write()
	return j, kept, nil
}

// Read reads a journal that no process has open; nothing in it changes.
func Read(dir string) (*Kept, error) {
	j := &Journal{opt: Options{Dir: dir, FS: vfs.Default}, ends: map[string]End{}}
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	db, err := pebble.Open(dir, &pebble.Options{Logger: quiet{j}, ReadOnly: true, ErrorIfNotExists: true})
	if err != nil {
		return nil, fmt.Errorf("journal: %s: %w", dir, err)
	}
	defer db.Close()
	j.db = db
	k, err := j.read()
	if err == nil {
		err = j.openMark()
	}
	if j.mark != nil {
		_ = j.mark.Close()
	}
	return k, err
}

// read takes in everything; a record that cannot be read is an error, for the
// library's checksums held.
func (j *Journal) read() (*Kept, error) {
	k := &Kept{Runs: map[uint32]Run{}, Attempts: map[uint64][]Attempt{}}
	it, err := j.db.NewIter(nil)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer it.Close()
	for it.First(); it.Valid(); it.Next() {
		value, err := it.ValueAndErr()
		if err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		switch it.Key()[0] {
		case kindRun:
			var r Run
			if err = cbor.Unmarshal(value, &r); err == nil && r.Version != Version {
				err = fmt.Errorf("format version %d, this program reads %d", r.Version, Version)
			}
			k.Runs[r.Number] = r
		case kindGroup:
			if len(value) != 8 {
				err = errors.New("no number")
				break
			}
			j.group = binary.BigEndian.Uint64(value)
		case kindSpent:
			k.Spent = &Spent{}
			err = cbor.Unmarshal(value, k.Spent)
		case kindMessage:
			var m Message
			err = cbor.Unmarshal(value, &m)
			k.Messages = append(k.Messages, m)
			k.Last = max(k.Last, m.Seq)
		case kindAttempt:
			var a Attempt
			err = cbor.Unmarshal(value, &a)
			k.Attempts[a.Seq] = append(k.Attempts[a.Seq], a)
			k.Last = max(k.Last, a.Seq)
		case kindEnd:
			var e End
			err = cbor.Unmarshal(value, &e)
			k.Ends = append(k.Ends, e)
			k.Last = max(k.Last, e.Seq)
			j.ends[e.Identity] = e
		case kindWait:
			var w Wait
			err = cbor.Unmarshal(value, &w)
			k.Waits = append(k.Waits, w)
		case kindSession:
			var s Session
			err = cbor.Unmarshal(value, &s)
			k.Sessions = append(k.Sessions, s)
		default:
			err = errors.New("no record of a journal")
		}
		if err != nil {
			return nil, fmt.Errorf("journal: %s: record %q: %w", j.opt.Dir, it.Key(), err)
		}
	}
	if err := it.Error(); err != nil {
		return nil, fmt.Errorf("journal: %s: %w", j.opt.Dir, err)
	}
	return k, nil
}

// Stamp is the moment now.
func (j *Journal) Stamp() Stamp { return Stamp{j.run.Number, j.opt.Clock()} }

func (j *Journal) put(ops ...op) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken != nil || j.closed {
		return
	}
	for _, o := range ops {
		j.bytes += len(o.key) + len(o.value)
	}
	j.ops = append(j.ops, ops...)
	j.wake.Signal()
}

// Taken records a message.
func (j *Journal) Taken(m Message) { j.put(op{key: seqKey(kindMessage, m.Seq), value: encode(m)}) }

// Tried records an attempt, before it is sent and again when it is clear.
func (j *Journal) Tried(a Attempt) { j.put(op{key: attemptKey(a.Seq, a.N), value: encode(a)}) }

// Ended records a final answer, in place of message and attempts.
func (j *Journal) Ended(e End) {
	ops := []op{{key: seqKey(kindMessage, e.Seq)}, {key: seqKey(kindAttempt, e.Seq), end: seqKey(kindAttempt, e.Seq+1)}}
	if e.Identity != "" {
		ops = append(ops, op{key: textKey(kindEnd, e.Identity), value: encode(e)})
		j.mu.Lock()
		j.ends[e.Identity] = e
		j.mu.Unlock()
	}
	j.put(ops...)
}

// Handed records that the client has the answer.
func (j *Journal) Handed(identity string) {
	j.mu.Lock()
	e, ok := j.ends[identity]
	if e.Handed = true; ok {
		j.ends[identity] = e
	}
	j.mu.Unlock()
	if ok {
		j.put(op{key: textKey(kindEnd, identity), value: encode(e)})
	}
}

// Forget drops an ended identity.
func (j *Journal) Forget(identity string) {
	j.mu.Lock()
	delete(j.ends, identity)
	j.mu.Unlock()
	j.put(op{key: textKey(kindEnd, identity)})
}

// Waits records what is in force at an endpoint; one without anything goes.
func (j *Journal) Waits(w Wait) {
	o := op{key: textKey(kindWait, w.Host)}
	if w.Left > 0 || w.Failing {
		o.value = encode(w)
	}
	j.put(o)
}

// Spent records what is left of the zone budget.
func (j *Journal) Spent(levels []float64) {
	j.put(op{key: []byte{kindSpent}, value: encode(Spent{j.Stamp(), levels})})
}

// Session records what a front keeps for a client; nothing drops it.
func (j *Journal) Session(front, id string, value []byte) {
	o := op{key: textKey(kindSession, front, id)}
	if value != nil {
		o.value = encode(Session{front, id, j.Stamp(), value})
	}
	j.put(o)
}

// Then calls done, from the journal's goroutine, once everything handed in before
// is on disk. After a failure it never does.
func (j *Journal) Then(done func()) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken == nil && !j.closed {
		j.done = append(j.done, done)
		j.wake.Signal()
	}
	return false
}

// Room tells whether more may be taken.
func (j *Journal) Room(int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken == nil && !j.full && j.bytes < j.opt.Queue
}

// checkEvery groups the disk's use is looked at.
const checkEvery = 256

// write is the one writer.
func (j *Journal) write() {
	defer close(j.over)
	how := pebble.Sync
	if j.opt.NoSync {
		how = pebble.NoSync
	}
	for {
		j.mu.Lock()
		for len(j.ops) == 0 && len(j.done) == 0 && !j.closed {
			j.wake.Wait()
		}
		ops, done := j.ops, j.done
		j.ops, j.done = nil, nil
		closed := j.closed
		j.mu.Unlock()
		if len(ops) > 0 {
			b := j.db.NewBatch()
			size := 0
			j.group++
			err := b.Set([]byte{kindGroup}, binary.BigEndian.AppendUint64(nil, j.group), nil)
			for _, o := range ops {
				switch {
				case o.end != nil:
					err = errors.Join(err, b.DeleteRange(o.key, o.end, nil))
				case o.value == nil:
					err = errors.Join(err, b.Delete(o.key, nil))
				default:
					err = errors.Join(err, b.Set(o.key, o.value, nil))
				}
				size += len(o.key) + len(o.value)
			}
			if err = errors.Join(err, b.Commit(how)); err == nil && !j.opt.NoSync {
				err = j.marked()
			}
			if err != nil {
				j.fail(fmt.Errorf("journal: %w", err))
				return
			}
			j.mu.Lock()
			j.bytes -= size
			j.stats.Groups++
			j.stats.Records += uint64(len(ops))
			j.stats.Bytes += uint64(size)
			look := j.stats.Groups%checkEvery == 0
			j.mu.Unlock()
			if look {
				j.look()
			}
		}
		for _, f := range done {
			f()
		}
		if closed && len(ops) == 0 && len(done) == 0 {
			return
		}
	}
}

// The mark is a file of two slots, used in turn: a group's number and a checksum.
// It is written after the group's sync, so that it never runs ahead of the
// records, and not synced itself: a machine that stops may lose the last marks, and
// with them only what they could tell.
const (
	markName = "MARK"
	slotSize = 16
)

func (j *Journal) openMark() error {
	name := j.opt.FS.PathJoin(j.opt.Dir, markName)
	f, err := j.opt.FS.OpenReadWrite(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	var slots [2 * slotSize]byte
	n, _ := f.ReadAt(slots[:], 0)
	for at := 0; at+slotSize <= n; at += slotSize {
		group, sum := binary.BigEndian.Uint64(slots[at:]), binary.BigEndian.Uint64(slots[at+8:])
		if group > j.group && sum == xxhash.Sum64(slots[at:at+8]) { // a slot torn by a crash tells nothing
			_ = f.Close()
			return fmt.Errorf("%w: group %d was, group %d is the last that is there (%s tells)", ErrDamaged, group, j.group, name)
		}
	}
	j.mark = f
	return nil
}

func (j *Journal) marked() error {
	slot := binary.BigEndian.AppendUint64(nil, j.group)
	slot = binary.BigEndian.AppendUint64(slot, xxhash.Sum64(slot))
	_, err := j.mark.WriteAt(slot, int64(j.group%2)*slotSize)
	return err
}

// look compares the disk's use with its bound: past it nothing new is taken until
// compaction has freed a tenth.
func (j *Journal) look() {
	used := j.db.Metrics().DiskSpaceUsage()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Disk = used
	if j.opt.Most > 0 {
		j.full = int64(used) > j.opt.Most || j.full && int64(used) > j.opt.Most*9/10
	}
}

func (j *Journal) fail(err error) {
	j.mu.Lock()
	first := j.broken == nil
	if first {
		j.broken = err
	}
	j.ops, j.done = nil, nil
	j.mu.Unlock()
	if first && j.opt.Broken != nil {
		j.opt.Broken(err)
	}
}

// Stats tells what was written in this run.
func (j *Journal) Stats() Stats {
	j.look()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// Close writes what was handed in and closes. A broken journal is left as it is.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closed = true
	broken := j.broken
	j.wake.Signal()
	j.mu.Unlock()
	if broken != nil {
		return broken
	}
	<-j.over
	_ = j.mark.Close()
	if err := j.db.Close(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}
