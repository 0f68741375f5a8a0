package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Log is a journal of bounded size for a small folder: segments that are written
// from end to end, checksummed records, and the live records of the oldest segment
// carried forward before it is removed. It survives the process, not the machine:
// nothing is synced, and a record is on disk once write(2) has taken it.
//
// A record that something is over is never carried forward: what it ends stands
// in the same segment or in an older one, and is gone with or before it.
//
// What "on disk" means: against SIGKILL, that write(2) has taken the whole record.
// Against a write that fails, that it has succeeded: records that fail wait in memory,
// in order, and the tables of what is live change when a record is on disk, not when it
// is handed in. A record of which a kill left a part is cut off at the next start.
//
// It is safe for concurrent use.
type Log struct {
	dir    string
	most   int64 // bytes of all files, each in whole blocks
	seg    int64 // bytes after which a segment is full
	clocks func() (Run, error)
	epoch  time.Time // when run's clocks were read
	run    Run

	mu      sync.Mutex
	files   []*segment // oldest first; the last one is written
	live    map[string]*place
	seqs    map[uint64][]string // keys of a message and its attempts
	ends    map[string]End      // by key
	forget  map[string]bool     // of them those to be dropped once they are handed over
	owes    func(verdict uint8) bool
	big     int64           // bytes of the longest record
	lives   int64           // bytes of live records
	waiting []record        // that could not be written yet, in order
	behind  map[uint64]int  // of them, by message
	noted   map[string]bool // hosts with a wait that was handed in and is not gone
	done    []func()
	caught  func()    // told that records which waited were written; may be nil
	since   time.Time // of the oldest record that waits
	retry   *time.Timer
	closed  bool
	failed  func(error)
	healed  func(time.Duration)
	stats   Stats
}

// segment is one file.
type segment struct {
	n    uint64
	f    *os.File
	size int64    // bytes of whole records
	torn int64    // parts of records have been written up to here since the last cut; 0 for none
	keys []string // of records written here, live or not, in order
}

// record is one on its way to disk, with what becomes true once it is there.
type record struct {
	kind  byte
	key   string
	of    uint64 // number of the message that it is about; 0 for none
	seq   uint64 // of the message that it ends; 0 for none
	stays bool   // it is not carried forward: nobody waits for the answer that it tells
	frame []byte // as it is written
}

// place is where a live record stands.
type place struct {
	in     *segment
	at     int64
	length int64
}

const (
	block     = 512 // files count in whole blocks
	segments  = 12  // a full log has about so many
	frame     = 8   // length and checksum before each record
	suffix    = ".log"
	retryWait = 5 * time.Millisecond
	longest   = 1 << 20 // bytes of a record that is believed
)

// Kinds of log records beside those of keys: a message is over; a record is gone.
const (
	kindOver = 'o'
	kindGone = 'x'
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrSmall says that a folder's bound leaves no room for a journal.
var ErrSmall = errors.New("journal: the bound is too small for one segment and its successor")

// LogOptions of a Log.
type LogOptions struct {
	Dir  string
	Most int64 // bytes that the folder may hold
	// Owes tells of which final answers somebody must hear; the others need no Handed.
	Owes func(verdict uint8) bool
	// Failed is told of writes that fail, which are tried again; nothing is taken meanwhile.
	Failed func(error)
	// Recovered is told that all records are written again, and how long the oldest had
	// waited; may be nil.
	Recovered func(waited time.Duration)
	// Clocks reads those of the machine; nil for Clocks.
	Clocks func() (Run, error)
}

// OpenLog opens or makes the journal in a folder. What a crash tore off at the end is cut
// off; a segment with a record that cannot be read is read up to it, and damaged tells of
// it. On an error nothing is held open and the folder is as it was, so that it may be
// tried again.
func OpenLog(opt LogOptions) (_ *Log, _ *Kept, damaged error, err error) {
	dir := opt.Dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("journal: %w", err)
	}
	if opt.Clocks == nil {
		opt.Clocks = Clocks
	}
	l := &Log{dir: dir, most: opt.Most - opt.Most/16, clocks: opt.Clocks, live: map[string]*place{}, seqs: map[uint64][]string{},
		ends: map[string]End{}, forget: map[string]bool{}, noted: map[string]bool{}, behind: map[uint64]int{}, owes: opt.Owes, failed: opt.Failed,
		healed: opt.Recovered}
	if l.seg = l.most / segments; l.seg < 8*block {
		return nil, nil, nil, fmt.Errorf("%w: %d bytes", ErrSmall, opt.Most)
	}
	if l.run, err = l.clocks(); err != nil {
		return nil, nil, nil, fmt.Errorf("journal: %w", err)
	}
	l.epoch = time.Now()
	defer func() {
		if err != nil {
			l.closeAll()
			err = fmt.Errorf("journal: %w", err)
		}
	}()
	names, err := segmentFiles(dir)
	if err != nil {
		return nil, nil, nil, err
	}
	k := &Kept{Runs: map[uint32]Run{}, Attempts: map[uint64][]Attempt{}}
	r := &reader{l: l, runs: k.Runs, messages: map[uint64]Message{}, attempts: map[string]Attempt{}, waits: map[string]Wait{}}
	for i, name := range names {
		n, err := strconv.ParseUint(strings.TrimSuffix(filepath.Base(name), suffix), 16, 64)
		if err != nil {
			continue // not one of ours
		}
		torn, err := r.segment(name, n)
		if err != nil {
			return nil, nil, nil, err
		}
		if torn != nil && i < len(names)-1 {
			damaged = errors.Join(damaged, fmt.Errorf("%w: %s: %w", ErrDamaged, filepath.Base(name), torn))
		}
	}
	l.run.Version, l.run.Number = Version, 1
	for n := range k.Runs {
		l.run.Number = max(l.run.Number, n+1)
	}
	r.kept(k)
	for n := range k.Runs {
		if !k.refers(n) {
			delete(k.Runs, n)
			l.drop(string(runKey(n)))
		}
	}
	k.Now, k.Runs[l.run.Number] = l.run, l.run
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.files) == 0 {
		if err := l.roll(); err != nil {
			return nil, nil, nil, err
		}
	}
	for _, w := range k.Waits {
		l.noted[w.Host] = true
	}
	l.put(newRecord(kindRun, runKey(l.run.Number), encode(l.run)))
	return l, k, damaged, nil
}

// segmentFiles are the paths of a folder's segments, the oldest first. That the folder
// cannot be read is an error, and does not count as a folder without any.
func segmentFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir) // sorted by name
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			names = append(names, filepath.Join(dir, e.Name()))
		}
	}
	return names, nil
}

// reader takes in segments.
type reader struct {
	l        *Log
	runs     map[uint32]Run
	messages map[uint64]Message
	attempts map[string]Attempt
	waits    map[string]Wait
	last     uint64
}

// segment reads one file and cuts off what cannot be read at its end.
func (r *reader) segment(name string, n uint64) (torn, err error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	s := &segment{n: n, f: f}
	r.l.files = append(r.l.files, s)
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	for rest := data; len(rest) > 0; {
		if len(rest) < frame {
			torn = errors.New("a record without its head")
			break
		}
		length := int64(binary.BigEndian.Uint32(rest))
		if length < 3 || length > longest || length > int64(len(rest)-frame) {
			torn = errors.New("a record without its end")
			break
		}
		payload := rest[frame : frame+length]
		if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(payload, castagnoli) {
			torn = errors.New("a record whose checksum does not hold")
			break
		}
		if torn = r.record(s, payload, frame+length); torn != nil {
			break
		}
		s.size += frame + length
		rest = rest[frame+length:]
	}
	if torn != nil {
		err = f.Truncate(s.size)
	}
	return torn, err
}

// record takes in one: kind, length of the key, key, value.
func (r *reader) record(s *segment, payload []byte, size int64) error {
	kind := payload[0]
	length := int(binary.BigEndian.Uint16(payload[1:]))
	if length > len(payload)-3 {
		return errors.New("a record without its key")
	}
	key, value := string(payload[3:3+length]), payload[3+length:]
	l := r.l
	var err error
	switch kind {
	case kindOver:
		seq := binary.BigEndian.Uint64([]byte(key))
		r.last = max(r.last, seq)
		l.over(seq)
		delete(r.messages, seq)
		return nil
	case kindGone:
		l.drop(key)
		delete(r.waits, key)
		delete(l.ends, key)
		return nil
	case kindRun:
		var x Run
		if err = cbor.Unmarshal(value, &x); err == nil && x.Version != Version {
			err = fmt.Errorf("format version %d, this program reads %d", x.Version, Version)
		}
		r.runs[x.Number] = x
	case kindMessage:
		var x Message
		err = cbor.Unmarshal(value, &x)
		r.messages[x.Seq], r.last = x, max(r.last, x.Seq)
	case kindAttempt:
		var x Attempt
		err = cbor.Unmarshal(value, &x)
		r.attempts[key], r.last = x, max(r.last, x.Seq)
	case kindEnd:
		var x End
		err = cbor.Unmarshal(value, &x)
		l.ends[key], r.last = x, max(r.last, x.Seq)
		l.over(x.Seq)
		delete(r.messages, x.Seq)
		if x.Handed {
			l.drop(key)
			return err
		}
	case kindWait:
		var x Wait
		err = cbor.Unmarshal(value, &x)
		r.waits[key] = x
	default:
		err = fmt.Errorf("a record of kind %q", kind)
	}
	if err != nil {
		return err
	}
	l.note(s, key, size)
	return nil
}

// kept is what stands after all was read.
func (r *reader) kept(k *Kept) {
	k.Last = r.last
	for _, m := range r.messages {
		k.Messages = append(k.Messages, m)
	}
	for key, a := range r.attempts {
		if r.l.live[key] == nil {
			continue
		}
		if _, held := r.messages[a.Seq]; held {
			k.Attempts[a.Seq] = append(k.Attempts[a.Seq], a)
		} else {
			r.l.drop(key) // of a message whose record is damaged
		}
	}
	for _, list := range k.Attempts {
		slices.SortFunc(list, func(x, y Attempt) int { return x.N - y.N })
	}
	for _, e := range r.l.ends {
		k.Ends = append(k.Ends, e)
	}
	for _, w := range r.waits {
		k.Waits = append(k.Waits, w)
	}
}

// note books a record that was written as the live one of its key.
func (l *Log) note(s *segment, key string, size int64) {
	if kind := key[0]; l.live[key] == nil && (kind == kindMessage || kind == kindAttempt) {
		seq := binary.BigEndian.Uint64([]byte(key[1:]))
		l.seqs[seq] = append(l.seqs[seq], key)
	}
	l.drop(key)
	l.live[key] = &place{s, s.size, size}
	l.lives += size
	s.keys = append(s.keys, key)
}

func (l *Log) drop(key string) {
	if p := l.live[key]; p != nil {
		l.lives -= p.length
		delete(l.live, key)
	}
}

// over drops a message and its attempts.
func (l *Log) over(seq uint64) {
	for _, key := range l.seqs[seq] {
		l.drop(key)
	}
	delete(l.seqs, seq)
}

// Clocks reads those of the machine. Ages across a restart are taken from the monotonic one,
// which nobody sets; the wall clock counts only after a new start of the machine.
func Clocks() (Run, error) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Run{}, err
	}
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, unix.CLOCK_MONOTONIC, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return Run{}, errno
	}
	return Run{Boot: strings.TrimSpace(string(boot)), Clock: t.Nano(), Wall: time.Now().UnixNano()}, nil
}

// Stamp is the moment now.
func (l *Log) Stamp() Stamp { return Stamp{l.run.Number, l.run.Clock + int64(time.Since(l.epoch))} }

// Now is this run with its clocks as they stand.
func (l *Log) Now() Run {
	now := l.run
	passed := int64(time.Since(l.epoch))
	now.Clock, now.Wall = now.Clock+passed, now.Wall+passed
	return now
}

// Room tells whether a message of that size may be taken: live records may fill
// half of the bound, so that carrying them forward always frees the other half.
func (l *Log) Room(bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && !l.closed && l.lives+int64(bytes)+2*block < l.most/2
}

// Taken records a message.
func (l *Log) Taken(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindMessage, seqKey(kindMessage, m.Seq), encode(m))
	r.of = m.Seq
	l.put(r)
}

// Tried records an attempt, before it is sent and again when it is clear.
func (l *Log) Tried(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindAttempt, attemptKey(a.Seq, a.N), encode(a))
	r.of = a.Seq
	l.put(r)
}

// Ended records a final answer, in place of message and attempts. One that nobody
// waits for is not carried forward: it stands while there is room.
func (l *Log) Ended(e End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Identity == "" {
		r := newRecord(kindOver, binary.BigEndian.AppendUint64(nil, e.Seq), nil)
		r.seq = e.Seq
		l.put(r)
		return
	}
	e.Handed = e.Handed || !l.owes(e.Verdict)
	l.end(e)
}

// end hands in the record of a final answer.
func (l *Log) end(e End) {
	key := textKey(kindEnd, e.Identity)
	l.ends[string(key)] = e
	r := newRecord(kindEnd, key, encode(e))
	r.of, r.seq, r.stays = e.Seq, e.Seq, e.Handed
	l.put(r)
}

// Handed records that whoever was owed the answer has it.
func (l *Log) Handed(identity string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := textKey(kindEnd, identity)
	e, ok := l.ends[string(key)]
	if !ok || e.Handed {
		return
	}
	e.Handed = true
	l.end(e)
	if l.forget[string(key)] {
		delete(l.forget, string(key))
		delete(l.ends, string(key))
	}
}

// Forget drops an ended identity; one whose answer is still owed, once it is Handed.
func (l *Log) Forget(identity string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := textKey(kindEnd, identity)
	if e, ok := l.ends[string(key)]; ok && !e.Handed {
		l.forget[string(key)] = true
		return
	}
	delete(l.ends, string(key))
}

// Waits records what is in force at an endpoint; one without anything goes.
func (l *Log) Waits(w Wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := textKey(kindWait, w.Host)
	if w.Left > 0 || w.Failing {
		l.noted[w.Host] = true
		l.put(newRecord(kindWait, key, encode(w)))
	} else if l.noted[w.Host] {
		delete(l.noted, w.Host)
		l.put(newRecord(kindGone, key, nil))
	}
}

// Session is not kept: no front of a small folder has sessions.
func (l *Log) Session(string, string, []byte) {}

// Then returns true where all that was handed in is on disk; else it calls done
// once it is.
func (l *Log) Then(done func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return true
	}
	l.done = append(l.done, done)
	return false
}

// newRecord frames a record.
func newRecord(kind byte, key, value []byte) record {
	b := make([]byte, frame, frame+3+len(key)+len(value))
	b = append(b, kind, byte(len(key)>>8), byte(len(key)))
	b = append(append(b, key...), value...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-frame))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[frame:], castagnoli))
	return record{kind: kind, key: string(key), frame: b}
}

// put writes one record, or lets it wait behind those that could not be written.
func (l *Log) put(r record) {
	if l.closed {
		return
	}
	l.stats.Records++
	l.stats.Bytes += uint64(len(r.frame))
	if len(l.waiting) == 0 {
		err := l.write(r)
		if err == nil {
			return
		}
		l.failed(fmt.Errorf("journal: nothing is taken until this is written: %w", err))
	}
	if len(l.waiting) == 0 {
		l.since = time.Now()
	}
	l.waiting = append(l.waiting, r)
	l.behind[r.of]++
	if l.retry == nil {
		l.retry = time.AfterFunc(retryWait, l.again)
	}
}

// caughtUp books that a record does not wait any more.
func (l *Log) caughtUp(r record) {
	if l.behind[r.of]--; l.behind[r.of] == 0 {
		delete(l.behind, r.of)
	}
}

// Waiting tells whether a record about a message is not on disk yet.
func (l *Log) Waiting(seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind[seq] > 0
}

// Backlogged tells whether any record waits to be written.
func (l *Log) Backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// Progress has a function called, from any goroutine, each time that records which waited
// have been written. It is set before the first record is handed in.
func (l *Log) Progress(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caught = f
}

// Cancel takes back a message whose own record is not on disk yet, with all that waits
// about it: no later run will know it. It reports false where the record is on disk.
func (l *Log) Cancel(seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(seqKey(kindMessage, seq))
	if !slices.ContainsFunc(l.waiting, func(r record) bool { return r.key == key }) {
		return false
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(r record) bool {
		if r.of == seq && r.kind == kindEnd {
			delete(l.ends, r.key)
		}
		return r.of == seq
	})
	delete(l.behind, seq)
	return true
}

// again tries what waits.
func (l *Log) again() {
	l.mu.Lock()
	l.retry = nil
	before := len(l.waiting)
	for len(l.waiting) > 0 && !l.closed && l.write(l.waiting[0]) == nil {
		l.caughtUp(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
	var done []func()
	if (len(l.waiting) < before || len(l.waiting) == 0) && l.caught != nil {
		done = append(done, l.caught)
	}
	if len(l.waiting) == 0 {
		done = append(done, l.done...)
		l.done = nil
		if l.healed != nil {
			l.healed(time.Since(l.since))
		}
	} else if !l.closed {
		l.retry = time.AfterFunc(retryWait, l.again)
	}
	l.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// write makes room and appends a record.
func (l *Log) write(r record) error {
	if err := l.clean(int64(len(r.frame))); err != nil {
		return err
	}
	return l.append(r)
}

// append writes a record behind the last whole one, and books it once it is down.
func (l *Log) append(r record) error {
	s := l.files[len(l.files)-1]
	if s.size >= l.seg {
		if err := l.roll(); err != nil {
			return err
		}
		s = l.files[len(l.files)-1]
	}
	end := s.size + int64(len(r.frame))
	if end < s.torn { // what is left of a longer record would stand behind this one
		if err := s.cut(); err != nil {
			return err
		}
	}
	if _, err := s.f.WriteAt(r.frame, s.size); err != nil {
		s.torn = max(s.torn, end) // os.File tells of no byte where a part was written
		return errors.Join(err, s.cut())
	}
	l.book(s, r)
	s.size = end
	l.big = max(l.big, int64(len(r.frame)))
	return nil
}

// cut takes off what a failed write may have left behind the last whole record.
func (s *segment) cut() error {
	if s.torn == 0 {
		return nil
	}
	if err := s.f.Truncate(s.size); err != nil {
		return err
	}
	s.torn = 0
	return nil
}

// book brings the tables up to date with a record that is down.
func (l *Log) book(s *segment, r record) {
	switch r.kind {
	case kindOver:
		l.over(r.seq)
	case kindGone:
		l.drop(r.key)
	default:
		l.note(s, r.key, int64(len(r.frame)))
		if r.seq > 0 {
			l.over(r.seq)
		}
		if r.stays {
			l.drop(r.key)
		}
	}
}

// used is what the files hold, in whole blocks.
func (l *Log) used() (n int64) {
	for _, s := range l.files {
		n += (s.size + block - 1) / block * block
	}
	return n
}

// clean frees room for a record: the live records of the oldest segment go to the
// end and its file goes, until there is room beside what the next such step needs.
func (l *Log) clean(bytes int64) error {
	for range 2 * (len(l.files) + 1) {
		oldest := l.files[0]
		if l.used()+bytes+2*block+l.seg+l.big <= l.most {
			return nil
		}
		if oldest == l.files[len(l.files)-1] {
			if err := l.roll(); err != nil {
				return err
			}
		}
		for _, key := range oldest.keys {
			p := l.live[key]
			if p == nil || p.in != oldest {
				continue
			}
			b := make([]byte, p.length)
			if _, err := oldest.f.ReadAt(b, p.at); err != nil {
				return err
			}
			if err := l.append(record{kind: key[0], key: key, frame: b}); err != nil {
				return err
			}
		}
		if err := os.Remove(oldest.f.Name()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		_ = oldest.f.Close()
		l.files = slices.Delete(l.files, 0, 1)
	}
	return fmt.Errorf("journal: %d bytes are live, no room for %d more", l.lives, bytes)
}

// roll begins a new segment.
func (l *Log) roll() error {
	n := uint64(1)
	if len(l.files) > 0 {
		last := l.files[len(l.files)-1]
		if err := last.cut(); err != nil {
			return err
		}
		n = last.n + 1
	}
	f, err := os.OpenFile(filepath.Join(l.dir, fmt.Sprintf("%016x%s", n, suffix)), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	l.files = append(l.files, &segment{n: n, f: f})
	return nil
}

// Sizes are those of the log's tables.
func (l *Log) Sizes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int{"live records": len(l.live), "segments": len(l.files), "waiting records": len(l.waiting)}
}

// Stats tells what was written in this run, and what the files hold.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Disk = uint64(l.used())
	return s
}

func (l *Log) closeAll() {
	for _, s := range l.files {
		_ = s.f.Close()
	}
}

// Close closes the files. What could not be written is lost.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.retry != nil {
		l.retry.Stop()
	}
	l.closeAll()
	if n := len(l.waiting); n > 0 {
		return fmt.Errorf("journal: %d records could not be written", n)
	}
	return nil
}
