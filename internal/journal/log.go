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
	dir          string
	maxBytes     int64 // limit on the size of all files, each rounded up to whole blocks
	segmentBytes int64 // size at which a segment is full
	readClocks   func() (Run, error)
	epoch        time.Time // when the clocks of run were read
	run          Run

	mu               sync.Mutex
	files            []*segment               // oldest first; records are appended to the last one
	live             map[string]*location     // index of the live records, by key
	messageKeys      map[uint64][]string      // keys of the records of a message and its attempts
	ends             map[string]End           // final answers by key
	forgetOnceHanded map[string]bool          // keys of final answers to be forgotten once the client has them
	needsNotice      func(verdict uint8) bool // see LogOptions
	longestRecord    int64                    // size of the longest record
	liveBytes        int64                    // size of all live records
	waiting          []record                 // records that couldn't be written yet, in order
	waitingByMessage map[uint64]int           // number of waiting records, by message
	waitHosts        map[string]bool          // hosts with a recorded wait that hasn't been deleted
	callbacks        []func()                 // to be called once nothing waits
	onProgress       func()                   // called when waiting records were written; may be nil
	waitingSince     time.Time                // when the oldest waiting record was submitted
	retryTimer       *time.Timer
	closed           bool
	onWriteError     func(error)
	onRecovered      func(time.Duration)
	stats            Stats
	removed          closer
}

// segment is one file of a Log.
type segment struct {
	number     uint64 // number, also the name of the file
	file       *os.File
	size       int64    // size of the whole records
	partialEnd int64    // end of partial records written since the last truncation; 0 for none
	keys       []string // keys of all records written here, live or not, in order
}

// record is a record to be written, with the changes to the index that follow from it.
type record struct {
	kind        byte
	key         string
	messageSeq  uint64 // number of the message that the record is about; 0 for none
	endedSeq    uint64 // number of the message that the record ends; 0 for none
	discardable bool   // not copied to newer segments: nobody waits for the final answer that it holds
	frame       []byte // bytes to be written
}

// location is the position of a live record.
type location struct {
	in     *segment
	offset int64 // offset in the file
	length int64
}

const (
	blockSize      = 512 // bytes; the size of a file is rounded up to whole blocks
	targetSegments = 12  // approximate number of segments of a full log
	headerSize     = 8   // bytes of length and checksum before each record
	segmentSuffix  = ".log"
	retryInterval  = 5 * time.Millisecond // pause after a failed write
	maxRecordBytes = 1 << 20              // bytes; a longer length field counts as damage
)

// Kinds of log records that have no key of their own: a message has ended without a
// final answer that must be stored; the record of a key is deleted.
const (
	kindMessageEnded = 'o'
	kindDeleted      = 'x'
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTooSmall reports that the limit on the size of a folder leaves no room for a journal.
var ErrTooSmall = errors.New("journal: size limit is too small for one segment and its successor")

// LogOptions configures a Log.
type LogOptions struct {
	Dir      string
	MaxBytes int64 // limit on the bytes in the folder
	// NeedsNotice reports whether a client must learn of final answers with a verdict. The
	// other answers count as handed over from the start.
	NeedsNotice func(verdict uint8) bool
	// OnWriteError is called when a write fails. The write is tried again, and HasRoom reports
	// false until it succeeds.
	OnWriteError func(error)
	// OnRecovered is called when no record waits any more after a failed write, with the
	// time that the oldest one had waited; may be nil.
	OnRecovered func(waited time.Duration)
	// ReadClocks returns a run that starts now; nil for the clocks of the machine.
	ReadClocks func() (Run, error)
}

// OpenLog opens or creates the journal in a folder and returns what it holds. A partial
// record at the end, left by a crash, is truncated. A segment with a record that can't be
// read is read up to that record; damaged reports such segments unless it is the newest
// one. On an error no file is left open and the folder is as before, so that the caller
// may try again.
func OpenLog(opt LogOptions) (_ *Log, _ *Contents, damaged error, err error) {
	dir := opt.Dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("journal: %w", err)
	}
	if opt.ReadClocks == nil {
		opt.ReadClocks = ReadClocks
	}
	l := &Log{dir: dir, maxBytes: opt.MaxBytes - opt.MaxBytes/16, readClocks: opt.ReadClocks,
		live: map[string]*location{}, messageKeys: map[uint64][]string{}, ends: map[string]End{},
		forgetOnceHanded: map[string]bool{}, waitHosts: map[string]bool{}, waitingByMessage: map[uint64]int{},
		needsNotice: opt.NeedsNotice, onWriteError: opt.OnWriteError, onRecovered: opt.OnRecovered, removed: newCloser()}
	if l.segmentBytes = l.maxBytes / targetSegments; l.segmentBytes < 8*blockSize {
		return nil, nil, nil, fmt.Errorf("%w: %d bytes", ErrTooSmall, opt.MaxBytes)
	}
	if l.run, err = l.readClocks(); err != nil {
		return nil, nil, nil, fmt.Errorf("journal: %w", err)
	}
	l.epoch = time.Now()
	defer func() {
		if err != nil {
			l.closeFiles()
			err = fmt.Errorf("journal: %w", err)
		}
	}()
	names, err := segmentFiles(dir)
	if err != nil {
		return nil, nil, nil, err
	}
	k := &Contents{Runs: map[uint32]Run{}, Attempts: map[uint64][]Attempt{}}
	r := &reader{l: l, runs: k.Runs, messages: map[uint64]Message{},
		attempts: map[string]Attempt{}, waits: map[string]Wait{}}
	for i, name := range names {
		n, err := strconv.ParseUint(strings.TrimSuffix(filepath.Base(name), segmentSuffix), 16, 64)
		if err != nil {
			continue // not a file of the log
		}
		torn, err := r.readSegment(name, n)
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
	r.fillContents(k)
	for n := range k.Runs {
		if !k.refersTo(n) {
			delete(k.Runs, n)
			l.unindex(string(runKey(n)))
		}
	}
	k.ThisRun, k.Runs[l.run.Number] = l.run, l.run
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.files) == 0 {
		if err := l.roll(); err != nil {
			return nil, nil, nil, err
		}
	}
	for _, w := range k.Waits {
		l.waitHosts[w.Host] = true
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
		if strings.HasSuffix(e.Name(), segmentSuffix) {
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
	lastSeq  uint64             // highest number of a message
}

// readSegment reads one file up to the first record that can't be read, and truncates it
// there. The error torn says what is wrong with that record.
func (r *reader) readSegment(name string, n uint64) (torn, err error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	s := &segment{number: n, file: f}
	r.l.files = append(r.l.files, s)
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	for rest := data; len(rest) > 0; {
		if len(rest) < headerSize {
			torn = errors.New("record header is incomplete")
			break
		}
		length := int64(binary.BigEndian.Uint32(rest))
		if length < 3 || length > maxRecordBytes || length > int64(len(rest)-headerSize) {
			torn = errors.New("record is incomplete, or its length is out of range")
			break
		}
		payload := rest[headerSize : headerSize+length]
		if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(payload, castagnoli) {
			torn = errors.New("record checksum does not match")
			break
		}
		if torn = r.readRecord(s, payload, headerSize+length); torn != nil {
			break
		}
		s.size += headerSize + length
		rest = rest[headerSize+length:]
	}
	if torn != nil {
		err = f.Truncate(s.size)
	}
	return torn, err
}

// readRecord reads one record and applies it. The payload is the kind (1 byte), the length
// of the key (2 bytes), the key and the value.
func (r *reader) readRecord(s *segment, payload []byte, size int64) error {
	kind := payload[0]
	length := int(binary.BigEndian.Uint16(payload[1:]))
	if length > len(payload)-3 {
		return errors.New("record key is incomplete")
	}
	key, value := string(payload[3:3+length]), payload[3+length:]
	l := r.l
	var err error
	switch kind {
	case kindMessageEnded:
		seq := binary.BigEndian.Uint64([]byte(key))
		r.lastSeq = max(r.lastSeq, seq)
		l.unindexMessage(seq)
		delete(r.messages, seq)
		return nil
	case kindDeleted:
		l.unindex(key)
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
		r.messages[x.Seq], r.lastSeq = x, max(r.lastSeq, x.Seq)
	case kindAttempt:
		var x Attempt
		err = cbor.Unmarshal(value, &x)
		r.attempts[key], r.lastSeq = x, max(r.lastSeq, x.Seq)
	case kindEnd:
		var x End
		err = cbor.Unmarshal(value, &x)
		l.ends[key], r.lastSeq = x, max(r.lastSeq, x.Seq)
		l.unindexMessage(x.Seq)
		delete(r.messages, x.Seq)
		if x.Handed {
			l.unindex(key)
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
	l.indexRecord(s, key, size)
	return nil
}

// fillContents sets what the log holds, after all segments were read.
func (r *reader) fillContents(k *Contents) {
	k.LastSeq = r.lastSeq
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
			r.l.unindex(key) // the message's own record is damaged
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

// indexRecord enters a record in the index as the live one of its key. It must be called
// before the size of the segment is advanced past the record.
func (l *Log) indexRecord(s *segment, key string, size int64) {
	if kind := key[0]; l.live[key] == nil && (kind == kindMessage || kind == kindAttempt) {
		seq := binary.BigEndian.Uint64([]byte(key[1:]))
		l.messageKeys[seq] = append(l.messageKeys[seq], key)
	}
	l.unindex(key)
	l.live[key] = &location{s, s.size, size}
	l.liveBytes += size
	s.keys = append(s.keys, key)
}

// unindex removes the record of a key from the index.
func (l *Log) unindex(key string) {
	if p := l.live[key]; p != nil {
		l.liveBytes -= p.length
		delete(l.live, key)
	}
}

// unindexMessage removes the records of a message and its attempts from the index.
func (l *Log) unindexMessage(seq uint64) {
	for _, key := range l.messageKeys[seq] {
		l.unindex(key)
	}
	delete(l.messageKeys, seq)
}

// ReadClocks returns a run that starts now, by the clocks of the machine. Ages across a
// restart of the process are computed by the monotonic clock, since it can't be set. The
// wall clock is used only if the machine has rebooted.
func ReadClocks() (Run, error) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Run{}, err
	}
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, unix.CLOCK_MONOTONIC, uintptr(unsafe.Pointer(&t)),
		0); errno != 0 {
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

// HasRoom reports whether a message of a size may be accepted. Live records may fill half of
// the size limit, so that copying them to new segments always frees the other half.
func (l *Log) HasRoom(bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && !l.closed && l.liveBytes+int64(bytes)+2*blockSize < l.maxBytes/2
}

// RecordMessage records an accepted message.
func (l *Log) RecordMessage(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindMessage, seqKey(kindMessage, m.Seq), encode(m))
	r.messageSeq = m.Seq
	l.put(r)
}

// RecordAttempt records an attempt before it is sent, and again with NeverRan set when it
// is certain that the host never processed it.
func (l *Log) RecordAttempt(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := newRecord(kindAttempt, attemptKey(a.Seq, a.N), encode(a))
	r.messageSeq = a.Seq
	l.put(r)
}

// RecordEnd records a final answer, which replaces the records of the message and its
// attempts. An answer that no client waits for is not copied to newer segments: it lasts
// until its segment is removed.
func (l *Log) RecordEnd(e End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Identity == "" {
		r := newRecord(kindMessageEnded, binary.BigEndian.AppendUint64(nil, e.Seq), nil)
		r.endedSeq = e.Seq
		l.put(r)
		return
	}
	e.Handed = e.Handed || !e.Unproven && !l.needsNotice(e.Verdict)
	l.putEnd(e)
}

// putEnd submits the record of a final answer.
func (l *Log) putEnd(e End) {
	key := textKey(kindEnd, e.Identity)
	l.ends[string(key)] = e
	r := newRecord(kindEnd, key, encode(e))
	r.messageSeq, r.endedSeq, r.discardable = e.Seq, e.Seq, e.Handed
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
	l.putEnd(e)
	if l.forgetOnceHanded[string(key)] {
		delete(l.forgetOnceHanded, string(key))
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
		l.forgetOnceHanded[string(key)] = true
		return
	}
	delete(l.ends, string(key))
}

// RecordWait records the state of an endpoint. If no wait is left and the endpoint doesn't
// fail, its record is deleted.
func (l *Log) RecordWait(w Wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := textKey(kindWait, w.Host)
	if w.Remaining > 0 || w.Failing {
		l.waitHosts[w.Host] = true
		l.put(newRecord(kindWait, key, encode(w)))
	} else if l.waitHosts[w.Host] {
		delete(l.waitHosts, w.Host)
		l.put(newRecord(kindDeleted, key, nil))
	}
}

// Session does nothing: the fronts that use a Log have no sessions.
func (l *Log) Session(string, string, []byte) {}

// WhenWritten returns true, without calling done, if all submitted records are on disk.
// Otherwise it returns false and calls done once they are.
func (l *Log) WhenWritten(done func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return true
	}
	l.callbacks = append(l.callbacks, done)
	return false
}

// newRecord returns a record with its frame: length, checksum and payload.
func newRecord(kind byte, key, value []byte) record {
	b := make([]byte, headerSize, headerSize+3+len(key)+len(value))
	b = append(b, kind, byte(len(key)>>8), byte(len(key)))
	b = append(append(b, key...), value...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-headerSize))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[headerSize:], castagnoli))
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
		l.onWriteError(fmt.Errorf("journal: write failed; no message is accepted until it succeeds: %w", err))
	}
	if len(l.waiting) == 0 {
		l.waitingSince = time.Now()
	}
	l.waiting = append(l.waiting, r)
	l.waitingByMessage[r.messageSeq]++
	if l.retryTimer == nil {
		l.retryTimer = time.AfterFunc(retryInterval, l.retryWrites)
	}
}

// countWritten accounts for a waiting record that has been written.
func (l *Log) countWritten(r record) {
	if l.waitingByMessage[r.messageSeq]--; l.waitingByMessage[r.messageSeq] == 0 {
		delete(l.waitingByMessage, r.messageSeq)
	}
}

// Waiting reports whether a record about a message is not on disk yet.
func (l *Log) Waiting(seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitingByMessage[seq] > 0
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
	l.onProgress = f
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
		if r.messageSeq == seq && r.kind == kindEnd {
			delete(l.ends, r.key)
		}
		return r.messageSeq == seq
	})
	delete(l.waitingByMessage, seq)
	return true
}

// retryWrites tries to write the waiting records.
func (l *Log) retryWrites() {
	l.mu.Lock()
	l.retryTimer = nil
	before := len(l.waiting)
	for len(l.waiting) > 0 && !l.closed && l.write(l.waiting[0]) == nil {
		l.countWritten(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
	var done []func()
	if (len(l.waiting) < before || len(l.waiting) == 0) && l.onProgress != nil {
		done = append(done, l.onProgress)
	}
	if len(l.waiting) == 0 {
		done = append(done, l.callbacks...)
		l.callbacks = nil
		if l.onRecovered != nil {
			l.onRecovered(time.Since(l.waitingSince))
		}
	} else if !l.closed {
		l.retryTimer = time.AfterFunc(retryInterval, l.retryWrites)
	}
	l.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// write frees space for a record and appends it.
func (l *Log) write(r record) error {
	if err := l.freeSpace(int64(len(r.frame))); err != nil {
		return err
	}
	return l.append(r)
}

// append writes a record after the last whole one, and updates the index if that succeeds.
func (l *Log) append(r record) error {
	s := l.files[len(l.files)-1]
	if s.size >= l.segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
		s = l.files[len(l.files)-1]
	}
	end := s.size + int64(len(r.frame))
	if end < s.partialEnd { // the rest of a longer partial record would follow this one
		if err := s.truncate(); err != nil {
			return err
		}
	}
	if _, err := s.file.WriteAt(r.frame, s.size); err != nil {
		s.partialEnd = max(s.partialEnd, end) // os.File may report 0 bytes although a part was written
		return errors.Join(err, s.truncate())
	}
	l.updateIndex(s, r)
	s.size = end
	l.longestRecord = max(l.longestRecord, int64(len(r.frame)))
	return nil
}

// truncate removes what a failed write may have left after the last whole record.
func (s *segment) truncate() error {
	if s.partialEnd == 0 {
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return err
	}
	s.partialEnd = 0
	return nil
}

// updateIndex enters a record that is on disk, and removes those that it ends or deletes.
func (l *Log) updateIndex(s *segment, r record) {
	switch r.kind {
	case kindMessageEnded:
		l.unindexMessage(r.endedSeq)
	case kindDeleted:
		l.unindex(r.key)
	default:
		l.indexRecord(s, r.key, int64(len(r.frame)))
		if r.endedSeq > 0 {
			l.unindexMessage(r.endedSeq)
		}
		if r.discardable {
			l.unindex(r.key)
		}
	}
}

// usedBytes returns the size of the files, each rounded up to whole blocks.
func (l *Log) usedBytes() (n int64) {
	for _, s := range l.files {
		n += (s.size + blockSize - 1) / blockSize * blockSize
	}
	return n
}

// freeSpace makes space for a record: it copies the live records of the oldest segment to
// the end of the log and removes the segment, until there is space for the record and for
// what the next such step needs.
func (l *Log) freeSpace(bytes int64) error {
	for range 2 * (len(l.files) + 1) {
		oldest := l.files[0]
		if l.usedBytes()+bytes+2*blockSize+l.segmentBytes+l.longestRecord <= l.maxBytes {
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
			if _, err := oldest.file.ReadAt(b, p.offset); err != nil {
				return err
			}
			if err := l.append(record{kind: key[0], key: key, frame: b}); err != nil {
				return err
			}
		}
		if err := os.Remove(oldest.file.Name()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		l.removed.close(oldest.file)
		l.files = slices.Delete(l.files, 0, 1)
	}
	return fmt.Errorf("journal: no space left: live records have %d bytes, the new record %d", l.liveBytes, bytes)
}

// roll starts a new segment.
func (l *Log) roll() error {
	n := uint64(1)
	if len(l.files) > 0 {
		last := l.files[len(l.files)-1]
		if err := last.truncate(); err != nil {
			return err
		}
		n = last.number + 1
	}
	f, err := os.OpenFile(filepath.Join(l.dir, fmt.Sprintf("%016x%s", n, segmentSuffix)),
		os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	l.files = append(l.files, &segment{number: n, file: f})
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
	s.Disk = uint64(l.usedBytes())
	return s
}

func (l *Log) closeFiles() {
	for _, s := range l.files {
		_ = s.file.Close()
	}
}

// Close closes the files. Waiting records are lost, and reported as an error.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.retryTimer != nil {
		l.retryTimer.Stop()
	}
	l.closeFiles()
	l.removed.wait()
	if n := len(l.waiting); n > 0 {
		return fmt.Errorf("journal: %d records were lost because they could not be written", n)
	}
	return nil
}
