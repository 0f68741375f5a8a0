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

// Log is a journal of bounded size for a small folder. It appends checksummed records to
// segment files. To free space, it copies the live records of the oldest segment to the
// end of the log and then removes that segment.
//
// Log survives the end of the process, not of the machine: it never syncs, and a record
// counts as on disk once write(2) has accepted all of it, which is enough against
// SIGKILL. If a write fails, its record and those after it wait in memory, in order, and
// are tried again. The index of live records changes when a record is on disk, not when
// it is submitted. If the process is killed in the middle of a write, the next start
// truncates the partial record.
//
// A record that ends another one is never copied: the record that it ends is in the same
// segment or in an older one, and so is removed with it or before it.
//
// It is safe for concurrent use.
type Log struct {
	dir    string
	most   int64 // limit on the size of all files, each rounded up to whole blocks
	seg    int64 // size at which a segment is full
	clocks func() (Run, error)
	epoch  time.Time // when the clocks of run were read
	run    Run

	mu      sync.Mutex
	files   []*segment               // oldest first; records are appended to the last one
	live    map[string]*place        // index of the live records, by key
	seqs    map[uint64][]string      // keys of the records of a message and its attempts
	ends    map[string]End           // final answers by key
	forget  map[string]bool          // keys of final answers to be forgotten once the client has them
	owes    func(verdict uint8) bool // see LogOptions
	big     int64                    // size of the longest record
	lives   int64                    // size of all live records
	waiting []record                 // records that couldn't be written yet, in order
	behind  map[uint64]int           // number of waiting records, by message
	noted   map[string]bool          // hosts with a recorded wait that hasn't been deleted
	done    []func()                 // to be called once nothing waits
	caught  func()                   // called when waiting records were written; may be nil
	since   time.Time                // when the oldest waiting record was submitted
	retry   *time.Timer
	closed  bool
	failed  func(error)
	healed  func(time.Duration)
	stats   Stats
}

// segment is one file of a Log.
type segment struct {
	n    uint64 // number, also the name of the file
	f    *os.File
	size int64    // size of the whole records
	torn int64    // end of partial records written since the last truncation; 0 for none
	keys []string // keys of all records written here, live or not, in order
}

// record is a record to be written, with the changes to the index that follow from it.
type record struct {
	kind  byte
	key   string
	of    uint64 // number of the message that the record is about; 0 for none
	seq   uint64 // number of the message that the record ends; 0 for none
	stays bool   // not copied to newer segments: nobody waits for the final answer that it holds
	frame []byte // bytes to be written
}

// place is the position of a live record.
type place struct {
	in     *segment
	at     int64 // offset in the file
	length int64
}

const (
	block     = 512 // bytes; the size of a file is rounded up to whole blocks
	segments  = 12  // approximate number of segments of a full log
	frame     = 8   // bytes of length and checksum before each record
	suffix    = ".log"
	retryWait = 5 * time.Millisecond // pause after a failed write
	longest   = 1 << 20              // bytes; a longer length field counts as damage
)

// Kinds of log records that have no key of their own: a message has ended without a
// final answer that must be stored; the record of a key is deleted.
const (
	kindOver = 'o'
	kindGone = 'x'
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrSmall reports that the limit on the size of a folder leaves no room for a journal.
var ErrSmall = errors.New("journal: size limit is too small for one segment and its successor")

// LogOptions configures a Log.
type LogOptions struct {
	Dir  string
	Most int64 // limit on the bytes in the folder
	// Owes reports whether a client must learn of final answers with a verdict. The
	// other answers count as handed over from the start.
	Owes func(verdict uint8) bool
	// Failed is called when a write fails. The write is tried again, and Room reports
	// false until it succeeds.
	Failed func(error)
	// Recovered is called when no record waits any more after a failed write, with the
	// time that the oldest one had waited; may be nil.
	Recovered func(waited time.Duration)
	// Clocks returns a run that starts now; nil for the clocks of the machine.
	Clocks func() (Run, error)
}

// OpenLog opens or creates the journal in a folder and returns what it holds. A partial
// record at the end, left by a crash, is truncated. A segment with a record that can't be
// read is read up to that record; damaged reports such segments unless it is the newest
// one. On an error no file is left open and the folder is as before, so that the caller
// may try again.
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
			continue // not a file of the log
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

// segmentFiles returns the paths of a folder's segments, the oldest first. A folder that
// can't be read is an error, so that it isn't taken for an empty one.
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

// reader reads the segments of a log when it is opened.
type reader struct {
	l        *Log
	runs     map[uint32]Run
	messages map[uint64]Message
	attempts map[string]Attempt // by key
	waits    map[string]Wait    // by key
	last     uint64             // highest number of a message
}

// segment reads one file up to the first record that can't be read, and truncates it
// there. It returns as torn why that record can't be read.
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
			torn = errors.New("record header is incomplete")
			break
		}
		length := int64(binary.BigEndian.Uint32(rest))
		if length < 3 || length > longest || length > int64(len(rest)-frame) {
			torn = errors.New("record is incomplete, or its length is out of range")
			break
		}
		payload := rest[frame : frame+length]
		if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(payload, castagnoli) {
			torn = errors.New("record checksum does not match")
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

// record reads one record and applies it. The payload is the kind (1 byte), the length of
// the key (2 bytes), the key and the value.
func (r *reader) record(s *segment, payload []byte, size int64) error {
	kind := payload[0]
	length := int(binary.BigEndian.Uint16(payload[1:]))
	if length > len(payload)-3 {
		return errors.New("record key is incomplete")
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
		err = fmt.Errorf("unknown kind of record %q", kind)
	}
	if err != nil {
		return err
	}
	l.note(s, key, size)
	return nil
}

// kept fills in what the log holds, after all segments were read.
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
			r.l.drop(key) // the message's own record is damaged
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

// note enters a record in the index as the live one of its key. It must be called before
// the size of the segment is advanced past the record.
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

// drop removes a record from the index.
func (l *Log) drop(key string) {
	if p := l.live[key]; p != nil {
		l.lives -= p.length
		delete(l.live, key)
	}
}

// over removes the records of a message and its attempts from the index.
func (l *Log) over(seq uint64) {
	for _, key := range l.seqs[seq] {
		l.drop(key)
	}
	delete(l.seqs, seq)
}

// Clocks returns a run that starts now by the clocks of the machine. Ages across a restart
// of the process are computed by the monotonic clock, since it can't be set. The wall
// clock is used only if the machine has rebooted.
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

// Stamp returns the current time.
func (l *Log) Stamp() Stamp { return Stamp{l.run.Number, l.run.Clock + int64(time.Since(l.epoch))} }

// Now returns the current run with the clocks as they stand now instead of at its start.
func (l *Log) Now() Run {
	now := l.run
	passed := int64(time.Since(l.epoch))
	now.Clock, now.Wall = now.Clock+passed, now.Wall+passed
	return now
}

// Room reports whether a message of a size may be accepted. Live records may fill half of
// the size limit, so that copying them to new segments always frees the other half.
func (l *Log) Room(bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && !l.closed && l.lives+int64(bytes)+2*block < l.most/2
}

// Taken records an accepted message.
func (l *Log) Taken(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindMessage, seqKey(kindMessage, m.Seq), encode(m))
	r.of = m.Seq
	l.put(r)
}

// Tried records an attempt before it is sent, and again with Clear set when it is certain
// that the host never processed it.
func (l *Log) Tried(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindAttempt, attemptKey(a.Seq, a.N), encode(a))
	r.of = a.Seq
	l.put(r)
}

// Ended records a final answer, which replaces the records of the message and its
// attempts. An answer that no client waits for is not copied to newer segments: it lasts
// until its segment is removed.
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

// end submits the record of a final answer.
func (l *Log) end(e End) {
	key := textKey(kindEnd, e.Identity)
	l.ends[string(key)] = e
	r := newRecord(kindEnd, key, encode(e))
	r.of, r.seq, r.stays = e.Seq, e.Seq, e.Handed
	l.put(r)
}

// Handed records that the client has the final answer of an identity.
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

// Forget drops the final answer of an identity. If a client still waits for the answer, it
// is dropped after the call of Handed.
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

// Waits records the state of an endpoint. If no wait is left and the endpoint doesn't
// fail, its record is deleted.
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

// Session does nothing: the fronts that use a Log have no sessions.
func (l *Log) Session(string, string, []byte) {}

// Then returns true, without calling done, if all submitted records are on disk. Otherwise
// it returns false and calls done once they are.
func (l *Log) Then(done func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return true
	}
	l.done = append(l.done, done)
	return false
}

// newRecord returns a record with its frame: length, checksum and payload.
func newRecord(kind byte, key, value []byte) record {
	b := make([]byte, frame, frame+3+len(key)+len(value))
	b = append(b, kind, byte(len(key)>>8), byte(len(key)))
	b = append(append(b, key...), value...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-frame))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[frame:], castagnoli))
	return record{kind: kind, key: string(key), frame: b}
}

// put writes a record. If that fails, or if other records wait to be written, the record
// is appended to those.
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
		l.failed(fmt.Errorf("journal: write failed; no message is accepted until it succeeds: %w", err))
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

// caughtUp accounts for a waiting record that has been written.
func (l *Log) caughtUp(r record) {
	if l.behind[r.of]--; l.behind[r.of] == 0 {
		delete(l.behind, r.of)
	}
}

// Waiting reports whether a record about a message is not on disk yet.
func (l *Log) Waiting(seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind[seq] > 0
}

// Backlogged reports whether any record waits to be written.
func (l *Log) Backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// Progress sets a function that is called, from any goroutine, each time that waiting
// records have been written. It must be set before the first record is submitted.
func (l *Log) Progress(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caught = f
}

// Cancel withdraws a message whose own record is not on disk yet, with all waiting records
// about it, so that no later run knows the message. It returns false if the record is on
// disk.
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

// again tries to write the waiting records.
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

// write frees space for a record and appends it.
func (l *Log) write(r record) error {
	if err := l.clean(int64(len(r.frame))); err != nil {
		return err
	}
	return l.append(r)
}

// append writes a record after the last whole one, and updates the index if that succeeds.
func (l *Log) append(r record) error {
	s := l.files[len(l.files)-1]
	if s.size >= l.seg {
		if err := l.roll(); err != nil {
			return err
		}
		s = l.files[len(l.files)-1]
	}
	end := s.size + int64(len(r.frame))
	if end < s.torn { // the rest of a longer partial record would follow this one
		if err := s.cut(); err != nil {
			return err
		}
	}
	if _, err := s.f.WriteAt(r.frame, s.size); err != nil {
		s.torn = max(s.torn, end) // os.File may report 0 bytes although a part was written
		return errors.Join(err, s.cut())
	}
	l.book(s, r)
	s.size = end
	l.big = max(l.big, int64(len(r.frame)))
	return nil
}

// cut truncates what a failed write may have left after the last whole record.
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

// book updates the index with a record that is on disk.
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

// used returns the size of the files, each rounded up to whole blocks.
func (l *Log) used() (n int64) {
	for _, s := range l.files {
		n += (s.size + block - 1) / block * block
	}
	return n
}

// clean frees space for a record: it copies the live records of the oldest segment to the
// end of the log and removes the segment, until there is space for the record and for what
// the next such step needs.
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
	return fmt.Errorf("journal: no space left: live records have %d bytes, the new record %d", l.lives, bytes)
}

// roll starts a new segment.
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

// Sizes returns the number of entries in the log's tables, by the name of the table.
func (l *Log) Sizes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int{"live records": len(l.live), "segments": len(l.files), "waiting records": len(l.waiting)}
}

// Stats returns what was written in this run, and the size of the files.
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

// Close closes the files. Waiting records are lost, and reported as an error.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.retry != nil {
		l.retry.Stop()
	}
	l.closeAll()
	if n := len(l.waiting); n > 0 {
		return fmt.Errorf("journal: %d records were lost because they could not be written", n)
	}
	return nil
}
