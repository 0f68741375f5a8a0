// Package journal keeps what a relay must not forget: which messages it took, what
// it was about to send, what became of them, sessions, and waits in force. Records
// are written by one goroutine in groups, each group with one sync; what is to
// happen only once a record is on disk is handed in with Then.
//
// Storage is cockroachdb/pebble: its log is checksummed, a torn end is cut off, and
// its file system can be one in memory that forgets what was not synced.
package journal

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version of the format. A journal of another one is refused.
const Version = 1

// Stamp is a moment by the clock of one run.
type Stamp struct {
	Run   uint32 `cbor:"1,keyasint"`
	Clock int64  `cbor:"2,keyasint"` // ns since the machine started
}

// Run is one run of the relay, with its clocks at its start.
type Run struct {
	Version int    `cbor:"1,keyasint"`
	Number  uint32 `cbor:"2,keyasint"`
	Boot    string `cbor:"3,keyasint"` // of the machine
	Clock   int64  `cbor:"4,keyasint"` // ns since the machine started
	Wall    int64  `cbor:"5,keyasint"` // Unix ns
}

// Message was taken.
type Message struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Source   string `cbor:"3,keyasint"`
	Class    string `cbor:"4,keyasint"`
	Partner  string `cbor:"5,keyasint"`
	Key      string `cbor:"6,keyasint"`
	At       Stamp  `cbor:"7,keyasint"`
	Left     int64  `cbor:"8,keyasint"` // of its time then, ns
	Head     []byte `cbor:"9,keyasint"`
	Body     []byte `cbor:"10,keyasint"`
	Front    string `cbor:"11,keyasint"` // to which its answer goes
	Way      []byte `cbor:"12,keyasint"` // there, as the front knows it
}

// Attempt was about to be sent; Clear once it is certain that it never ran.
type Attempt struct {
	Seq   uint64 `cbor:"1,keyasint"`
	N     int    `cbor:"2,keyasint"`
	Host  string `cbor:"3,keyasint"`
	Zone  string `cbor:"4,keyasint"`
	At    Stamp  `cbor:"5,keyasint"`
	Clear bool   `cbor:"6,keyasint"`
}

// End is a final answer.
type End struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Class    string `cbor:"3,keyasint"`
	Verdict  uint8  `cbor:"4,keyasint"`
	After    int64  `cbor:"5,keyasint"` // ns
	At       Stamp  `cbor:"6,keyasint"`
	Front    string `cbor:"7,keyasint"`
	Way      []byte `cbor:"8,keyasint"`
	Handed   bool   `cbor:"9,keyasint"` // over to the client
}

// Wait is what was told, or seen, of an endpoint.
type Wait struct {
	Host    string `cbor:"1,keyasint"`
	At      Stamp  `cbor:"2,keyasint"`
	Left    int64  `cbor:"3,keyasint"` // of a told wait then, ns
	Failing bool   `cbor:"4,keyasint"` // its last calls failed
}

// Session is what a front keeps for one client.
type Session struct {
	Front string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
	At    Stamp  `cbor:"3,keyasint"`
	Value []byte `cbor:"4,keyasint"`
}

// Spent is what is left of the relay's part of the zone budget.
type Spent struct {
	At     Stamp     `cbor:"1,keyasint"`
	Levels []float64 `cbor:"2,keyasint"`
}

// Kinds of keys.
const (
	kindRun     = 'r'
	kindMessage = 'm'
	kindAttempt = 'a'
	kindEnd     = 'e'
	kindWait    = 'w'
	kindSession = 's'
	kindSpent   = 'b'
	kindGroup   = 'g' // number of the last group
)

func runKey(n uint32) []byte { return binary.BigEndian.AppendUint32([]byte{kindRun}, n) }

func seqKey(kind byte, seq uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, seq) }

func attemptKey(seq uint64, n int) []byte {
	return binary.BigEndian.AppendUint32(seqKey(kindAttempt, seq), uint32(n))
}

func textKey(kind byte, parts ...string) []byte {
	b := []byte{kind}
	for _, p := range parts {
		b = binary.AppendUvarint(b, uint64(len(p)))
		b = append(b, p...)
	}
	return b
}

// encode cannot fail for records of this package.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("journal: a record that cannot be written: %v", err))
	}
	return b
}
