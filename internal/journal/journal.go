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

// Options configures a Journal.
type Options struct {
	Dir      string
	FS       vfs.FS // file system; nil for that of the machine
	MaxBytes int64  // limit on the bytes on disk, above which HasRoom reports false; 0 for no limit
	// MaxQueued limits the bytes that wait to be written. At the limit HasRoom reports false.
	MaxQueued int
	// NoSync leaves it to the operating system when records reach the disk: they
	// survive the end of the process, but not of the machine. It is meant for
	// measurements.
	NoSync bool
	// OnFailure is called once, when a write or sync fails. After that the journal writes
	// nothing and calls no function given to WhenWritten: what a disk reports after a failed
	// write can't be trusted, so the process must end and recover from what is on disk.
	OnFailure func(error)
	// Now returns the clocks at the start of the run, and Clock the time since the
	// machine booted, in ns; nil for the clocks of the machine.
	Now   func() Run
	Clock func() int64
}

// op is one change of the store: a key that is set or deleted, or a deleted range of keys.
type op struct {
	key, value []byte // without a value, the key is deleted
	rangeEnd   []byte // if set, all keys from key up to but not including end are deleted
}

// Journal stores records in a pebble database. It is safe for concurrent use.
type Journal struct {
	opt Options
	db  *pebble.DB
	run Run

	mu          sync.Mutex
	ops         []op           // waiting for the writer
	queuedBytes int            // size of the ops that aren't on disk yet
	callbacks   []func()       // to be called once the ops before them are on disk
	wake        *sync.Cond     // signals the writer
	closed      bool           // Close was called
	failure     error          // first failure of a write or sync
	writerDone  chan struct{}  // closed when the writer has returned
	overLimit   bool           // the limit on disk use is exceeded
	stats       Stats          // of this run
	lastGroup   uint64         // number of the last group
	mark        vfs.File       // holds the number of the last group that was synced
	ends        map[string]End // final answers that may still be updated, by identity
}

// Stats counts what a run wrote.
type Stats struct {
	Groups  uint64 `json:"groups"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`      // size of the records
	Disk    uint64 `json:"disk_bytes"` // bytes on disk now
}

// Contents is everything that a journal held when it was opened.
type Contents struct {
	Runs     map[uint32]Run       // by number, the run that opened the journal included
	ThisRun  Run                  // run that opened the journal
	Messages []Message            // without a final answer
	Attempts map[uint64][]Attempt // by the message's number
	Ends     []End
	Waits    []Wait
	Sessions []Session
	Budget   *Budget // nil for none
	LastSeq  uint64  // highest number of a message
}

// refersTo reports whether the stamp of any record refers to a run. Runs without such a
// record are deleted.
func (k *Contents) refersTo(run uint32) bool {
	is := func(s Stamp) bool { return s.Run == run }
	for _, l := range k.Attempts {
		if slices.ContainsFunc(l, func(a Attempt) bool { return is(a.At) }) {
			return true
		}
	}
	return k.Budget != nil && is(k.Budget.At) ||
		slices.ContainsFunc(k.Messages, func(m Message) bool { return is(m.At) }) ||
		slices.ContainsFunc(k.Ends, func(e End) bool { return is(e.At) }) ||
		slices.ContainsFunc(k.Waits, func(w Wait) bool { return is(w.At) }) ||
		slices.ContainsFunc(k.Sessions, func(s Session) bool { return is(s.At) })
}

// ErrDamaged reports that records which were on disk are missing. Pebble can't tell a
// damaged log from one whose end was torn off by a crash: it opens without the rest of
// it. The mark file beside the database reveals that. To continue with the records that
// are left, remove the mark file.
var ErrDamaged = errors.New("journal: records that were on disk are missing")

// ErrLocked reports that another process has the journal open.
var ErrLocked = errors.New("journal: another process has the directory open")

// errorLogger is pebble's logger. It discards messages, and treats a fatal error as a
// failed write of the journal.
type errorLogger struct{ j *Journal }

func (errorLogger) Infof(string, ...any)  {}
func (errorLogger) Errorf(string, ...any) {}
func (q errorLogger) Fatalf(f string, v ...any) {
	if q.j.opt.OnFailure == nil {
		panic(fmt.Sprintf("journal: "+f, v...))
	}
	q.j.fail(fmt.Errorf("journal: "+f, v...))
	select {} // pebble must not continue; the process is about to end
}

// machineClocks returns a run that starts now, by the clocks of the machine.
func machineClocks() Run {
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return Run{Boot: strings.TrimSpace(string(boot)), Clock: bootClock(), Wall: time.Now().UnixNano()}
}

// bootClock returns the ns since the machine booted, including the time that it was
// suspended.
func bootClock() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

// Open opens or creates a journal and returns what it holds.
func Open(opt Options) (*Journal, *Contents, error) {
	if opt.FS == nil {
		opt.FS = vfs.Default
	}
	if opt.Now == nil {
		opt.Now = machineClocks
	}
	if opt.Clock == nil {
		opt.Clock = bootClock
	}
	j := &Journal{opt: opt, writerDone: make(chan struct{}), ends: map[string]End{}}
	j.wake = sync.NewCond(&j.mu)
	db, err := pebble.Open(opt.Dir, &pebble.Options{FS: opt.FS, Logger: errorLogger{j}, MemTableSize: 16 << 20,
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
		if !kept.refersTo(n) {
			delete(kept.Runs, n)
			err = errors.Join(err, b.Delete(runKey(n), nil))
		}
	}
	kept.ThisRun, kept.Runs[j.run.Number] = j.run, j.run
	err = errors.Join(err, b.Set(runKey(j.run.Number), encode(j.run), nil))
	if err = errors.Join(err, b.Commit(pebble.Sync)); err != nil {
		_ = db.Close()
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	go j.write()
	return j, kept, nil
}

// Read returns what a journal holds that no process has open. It changes nothing in it.
func Read(dir string) (*Contents, error) {
	j := &Journal{opt: Options{Dir: dir, FS: vfs.Default}, ends: map[string]End{}}
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	db, err := pebble.Open(dir, &pebble.Options{Logger: errorLogger{j}, ReadOnly: true, ErrorIfNotExists: true})
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

// read reads all records. One that can't be decoded is an error: pebble has already
// verified its checksum, so it wasn't damaged on disk.
func (j *Journal) read() (*Contents, error) {
	k := &Contents{Runs: map[uint32]Run{}, Attempts: map[uint64][]Attempt{}}
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
				err = errors.New("group number is not 8 bytes long")
				break
			}
			j.lastGroup = binary.BigEndian.Uint64(value)
		case kindSpent:
			k.Budget = &Budget{}
			err = cbor.Unmarshal(value, k.Budget)
		case kindMessage:
			var m Message
			err = cbor.Unmarshal(value, &m)
			k.Messages = append(k.Messages, m)
			k.LastSeq = max(k.LastSeq, m.Seq)
		case kindAttempt:
			var a Attempt
			err = cbor.Unmarshal(value, &a)
			k.Attempts[a.Seq] = append(k.Attempts[a.Seq], a)
			k.LastSeq = max(k.LastSeq, a.Seq)
		case kindEnd:
			var e End
			err = cbor.Unmarshal(value, &e)
			k.Ends = append(k.Ends, e)
			k.LastSeq = max(k.LastSeq, e.Seq)
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
			err = errors.New("unknown kind of record")
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

// Stamp returns the current time.
func (j *Journal) Stamp() Stamp { return Stamp{j.run.Number, j.opt.Clock()} }

// enqueue queues changes for the writer. After a failure or Close it does nothing.
func (j *Journal) enqueue(ops ...op) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil || j.closed {
		return
	}
	for _, o := range ops {
		j.queuedBytes += len(o.key) + len(o.value)
	}
	j.ops = append(j.ops, ops...)
	j.wake.Signal()
}

// RecordMessage records an accepted message.
func (j *Journal) RecordMessage(m Message) {
	j.enqueue(op{key: seqKey(kindMessage, m.Seq), value: encode(m)})
}

// RecordAttempt records an attempt before it is sent, and again with NeverRan set when it is
// certain that the host never processed it.
func (j *Journal) RecordAttempt(a Attempt) {
	j.enqueue(op{key: attemptKey(a.Seq, a.N), value: encode(a)})
}

// RecordEnd records a final answer, which replaces the records of the message and its
// attempts. Without an identity only these are deleted.
func (j *Journal) RecordEnd(e End) {
	ops := []op{{key: seqKey(kindMessage, e.Seq)},
		{key: seqKey(kindAttempt, e.Seq), rangeEnd: seqKey(kindAttempt, e.Seq+1)}}
	if e.Identity != "" {
		ops = append(ops, op{key: textKey(kindEnd, e.Identity), value: encode(e)})
		j.mu.Lock()
		j.ends[e.Identity] = e
		j.mu.Unlock()
	}
	j.enqueue(ops...)
}

// Handed records that the client has the final answer of an identity.
func (j *Journal) Handed(identity string) {
	j.mu.Lock()
	e, ok := j.ends[identity]
	if e.Handed = true; ok {
		j.ends[identity] = e
	}
	j.mu.Unlock()
	if ok {
		j.enqueue(op{key: textKey(kindEnd, identity), value: encode(e)})
	}
}

// Forget deletes the final answer of an identity.
func (j *Journal) Forget(identity string) {
	j.mu.Lock()
	delete(j.ends, identity)
	j.mu.Unlock()
	j.enqueue(op{key: textKey(kindEnd, identity)})
}

// RecordWait records the state of an endpoint. If no wait is left and the endpoint doesn't
// fail, its record is deleted.
func (j *Journal) RecordWait(w Wait) {
	o := op{key: textKey(kindWait, w.Host)}
	if w.Remaining > 0 || w.Failing {
		o.value = encode(w)
	}
	j.enqueue(o)
}

// RecordBudget records what remains of the zone budget.
func (j *Journal) RecordBudget(levels []float64) {
	j.enqueue(op{key: []byte{kindSpent}, value: encode(Budget{j.Stamp(), levels})})
}

// Session records the state that a front stores for a client; a nil value deletes it.
func (j *Journal) Session(front, id string, value []byte) {
	o := op{key: textKey(kindSession, front, id)}
	if value != nil {
		o.value = encode(Session{front, id, j.Stamp(), value})
	}
	j.enqueue(o)
}

// WhenWritten calls done from the writer's goroutine once everything submitted before is on
// disk. After a failed write it is never called. WhenWritten always returns false: the caller
// can't take the records for written yet.
func (j *Journal) WhenWritten(done func()) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure == nil && !j.closed {
		j.callbacks = append(j.callbacks, done)
		j.wake.Signal()
	}
	return false
}

// HasRoom reports whether further messages may be accepted.
func (j *Journal) HasRoom(int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failure == nil && !j.overLimit && j.queuedBytes < j.opt.MaxQueued
}

// diskCheckGroups is the number of groups between two checks of the disk use.
const diskCheckGroups = 256

// write is the writer's goroutine. It writes what is queued as one group, syncs it, and
// then calls the functions that wait for it.
func (j *Journal) write() {
	defer close(j.writerDone)
	syncMode := pebble.Sync
	if j.opt.NoSync {
		syncMode = pebble.NoSync
	}
	for {
		j.mu.Lock()
		for len(j.ops) == 0 && len(j.callbacks) == 0 && !j.closed {
			j.wake.Wait()
		}
		ops, done := j.ops, j.callbacks
		j.ops, j.callbacks = nil, nil
		closed := j.closed
		j.mu.Unlock()
		if len(ops) > 0 {
			b := j.db.NewBatch()
			size := 0
			j.lastGroup++
			err := b.Set([]byte{kindGroup}, binary.BigEndian.AppendUint64(nil, j.lastGroup), nil)
			for _, o := range ops {
				switch {
				case o.rangeEnd != nil:
					err = errors.Join(err, b.DeleteRange(o.key, o.rangeEnd, nil))
				case o.value == nil:
					err = errors.Join(err, b.Delete(o.key, nil))
				default:
					err = errors.Join(err, b.Set(o.key, o.value, nil))
				}
				size += len(o.key) + len(o.value)
			}
			if err = errors.Join(err, b.Commit(syncMode)); err == nil && !j.opt.NoSync {
				err = j.writeMark()
			}
			if err != nil {
				j.fail(fmt.Errorf("journal: %w", err))
				return
			}
			j.mu.Lock()
			j.queuedBytes -= size
			j.stats.Groups++
			j.stats.Records += uint64(len(ops))
			j.stats.Bytes += uint64(size)
			checkDue := j.stats.Groups%diskCheckGroups == 0
			j.mu.Unlock()
			if checkDue {
				j.checkDisk()
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

// The mark file has two slots that are written in turn, each with the number of a group
// and a checksum. A slot is written after the group's sync, so that the mark is never
// ahead of the records. The file itself isn't synced: if the machine stops, the latest
// marks may be lost, and then a loss of the latest groups can't be detected.
const (
	markName = "MARK"
	slotSize = 16 // bytes
)

// openMark opens the mark file. It returns ErrDamaged if the file tells of a later group
// than the last one in the database.
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
		if group > j.lastGroup && sum == xxhash.Sum64(slots[at:at+8]) { // a slot torn by a crash is ignored
			_ = f.Close()
			return fmt.Errorf("%w: group %d was written, but the last one found is group %d (according to %s)",
				ErrDamaged, group, j.lastGroup, name)
		}
	}
	j.mark = f
	return nil
}

// writeMark writes the number of the last group into the mark file.
func (j *Journal) writeMark() error {
	slot := binary.BigEndian.AppendUint64(nil, j.lastGroup)
	slot = binary.BigEndian.AppendUint64(slot, xxhash.Sum64(slot))
	_, err := j.mark.WriteAt(slot, int64(j.lastGroup%2)*slotSize)
	return err
}

// checkDisk compares the disk use with its limit. Once it is exceeded, HasRoom reports false
// until compaction has brought the use down to nine tenths of the limit.
func (j *Journal) checkDisk() {
	used := j.db.Metrics().DiskSpaceUsage()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Disk = used
	if j.opt.MaxBytes > 0 {
		j.overLimit = int64(used) > j.opt.MaxBytes || j.overLimit && int64(used) > j.opt.MaxBytes*9/10
	}
}

// fail stops all writing, drops what is queued and reports the first failure.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	first := j.failure == nil
	if first {
		j.failure = err
	}
	j.ops, j.callbacks = nil, nil
	j.mu.Unlock()
	if first && j.opt.OnFailure != nil {
		j.opt.OnFailure(err)
	}
}

// Stats returns what was written in this run, and the current disk use.
func (j *Journal) Stats() Stats {
	j.checkDisk()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// Close writes what is queued and closes the database. After a failed write it leaves
// the database as it is and returns the failure.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closed = true
	broken := j.failure
	j.wake.Signal()
	j.mu.Unlock()
	if broken != nil {
		return broken
	}
	<-j.writerDone
	_ = j.mark.Close()
	if err := j.db.Close(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}
