// Package journal stores the state that a relay needs after a restart: accepted
// messages, attempts, final answers, client sessions and the waits in force at
// endpoints. It decides nothing: which messages are resumed or answered after a
// restart is the caller's choice.
//
// There are two implementations. Journal uses cockroachdb/pebble: one goroutine
// writes records in groups, with one sync per group (group commit). Pebble's log is
// checksummed, a torn end is discarded when it is opened, and tests can run it on an
// in-memory file system that loses data that was not synced. Log is a segmented log
// of bounded size for a small folder; it doesn't sync. With both, WhenWritten runs a
// function once all records submitted so far are on disk.
package journal

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the record format. A journal of another version is refused.
const Version = 1

// Stamp is a time by the clock of one run.
type Stamp struct {
	Run   uint32 `cbor:"1,keyasint"` // number of the run
	Clock int64  `cbor:"2,keyasint"` // ns since the machine booted
}

// Run is one run of the relay process, with the clocks as they stood at its start.
type Run struct {
	Version int    `cbor:"1,keyasint"` // record format
	Number  uint32 `cbor:"2,keyasint"` // counted from 1
	Boot    string `cbor:"3,keyasint"` // boot ID of the machine
	Clock   int64  `cbor:"4,keyasint"` // ns since the machine booted
	Wall    int64  `cbor:"5,keyasint"` // wall clock, Unix ns
}

// Message is a message that the relay has accepted.
type Message struct {
	Seq       uint64 `cbor:"1,keyasint"` // number of the message, unique within the journal
	Identity  string `cbor:"2,keyasint"`
	Source    string `cbor:"3,keyasint"`
	Class     string `cbor:"4,keyasint"`
	Partner   string `cbor:"5,keyasint"`
	Key       string `cbor:"6,keyasint"`
	At        Stamp  `cbor:"7,keyasint"`
	Remaining int64  `cbor:"8,keyasint"` // ns from At to the message's deadline
	Head      []byte `cbor:"9,keyasint"`
	Body      []byte `cbor:"10,keyasint"`
	Front     string `cbor:"11,keyasint"` // name of the front that delivers the final answer
	Way       []byte `cbor:"12,keyasint"` // reply address of the client, in the front's own encoding
}

// Attempt is one attempt of a message. It is recorded before it is sent, so that a
// restart knows that the message may have reached the host.
type Attempt struct {
	Seq      uint64 `cbor:"1,keyasint"` // number of the message
	N        int    `cbor:"2,keyasint"` // number of the attempt within the message
	Host     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	At       Stamp  `cbor:"5,keyasint"`
	NeverRan bool   `cbor:"6,keyasint"` // true once it is certain that the host never processed it
}

// End is the final answer of a message.
type End struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Class    string `cbor:"3,keyasint"`
	Verdict  uint8  `cbor:"4,keyasint"`
	After    int64  `cbor:"5,keyasint"` // ns that a refused client is asked to wait before it tries again
	At       Stamp  `cbor:"6,keyasint"`
	Front    string `cbor:"7,keyasint"`
	Way      []byte `cbor:"8,keyasint"`
	Handed   bool   `cbor:"9,keyasint"` // true once the client has the answer
	// Unproven marks a delivery by a response that may belong to another call: the message is owed a
	// failure.
	Unproven bool `cbor:"10,keyasint,omitempty"`
}

// Wait is the state of an endpoint that outlives a restart: a wait that it asked for,
// and whether it fails.
type Wait struct {
	Host      string `cbor:"1,keyasint"`
	At        Stamp  `cbor:"2,keyasint"`
	Remaining int64  `cbor:"3,keyasint"` // ns from At to the end of the wait that the endpoint asked for
	Failing   bool   `cbor:"4,keyasint"` // true if its latest call failed
}

// Session is the state that a front stores for one client.
type Session struct {
	Front string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
	At    Stamp  `cbor:"3,keyasint"`
	Value []byte `cbor:"4,keyasint"` // in the front's own encoding
}

// Budget is what remains of this relay's share of the zone budget.
type Budget struct {
	At     Stamp     `cbor:"1,keyasint"`
	Levels []float64 `cbor:"2,keyasint"` // bytes in each bucket, the bucket of all classes first
}

// Kinds of records: the first byte of each key.
const (
	kindRun     = 'r'
	kindMessage = 'm'
	kindAttempt = 'a'
	kindEnd     = 'e'
	kindWait    = 'w'
	kindSession = 's'
	kindSpent   = 'b'
	kindGroup   = 'g' // number of the last group written
)

func runKey(n uint32) []byte { return binary.BigEndian.AppendUint32([]byte{kindRun}, n) }

func seqKey(kind byte, seq uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, seq) }

func attemptKey(seq uint64, n int) []byte {
	return binary.BigEndian.AppendUint32(seqKey(kindAttempt, seq), uint32(n))
}

// textKey builds a key of texts. Each is preceded by its length, so that different
// texts cannot give the same key.
func textKey(kind byte, parts ...string) []byte {
	b := []byte{kind}
	for _, p := range parts {
		b = binary.AppendUvarint(b, uint64(len(p)))
		b = append(b, p...)
	}
	return b
}

// encode returns the CBOR form of a record. It cannot fail for the types of this package.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("journal: cannot encode record: %v", err))
	}
	return b
}
