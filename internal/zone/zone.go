// Package zone counts what passes between this relay's zone and those of
// partners' endpoints: every byte handed to or read from a socket, by class,
// partner and zone. Exact, not sampled: a counter is an atomic addition.
package zone

import (
	"sync/atomic"
	"time"
)

// Traffic is a count of bytes and calls.
type Traffic struct {
	Out   int64 `json:"bytes_out"` // to partners
	In    int64 `json:"bytes_in"`
	Calls int64 `json:"calls"` // attempts of which a byte went out
}

type counter struct{ out, in, calls atomic.Int64 }

// Table counts by class, partner and zone. It is safe for concurrent use.
// Index -1 for the class stands for what no class can be charged with:
// connection set-up, TLS handshakes, and bytes on idle connections.
type Table struct {
	classes, partners, zones int
	cells                    []counter
}

// NewTable makes one of fixed size: a counter for each class, partner and zone.
func NewTable(classes, partners, zones int) *Table {
	return &Table{classes, partners, zones, make([]counter, (classes+1)*partners*zones)}
}

func (t *Table) cell(class, partner, zone int) *counter {
	if class < 0 {
		class = t.classes
	}
	if zone < 0 || zone >= t.zones { // an endpoint without a zone of the configuration
		zone = 0
	}
	return &t.cells[(class*t.partners+partner)*t.zones+zone]
}

// Out and In count bytes, Call an attempt.
func (t *Table) Out(class, partner, zone, n int) { t.cell(class, partner, zone).out.Add(int64(n)) }
func (t *Table) In(class, partner, zone, n int)  { t.cell(class, partner, zone).in.Add(int64(n)) }
func (t *Table) Call(class, partner, zone int)   { t.cell(class, partner, zone).calls.Add(1) }

// Each calls f for every cell in which something passed; class is -1 for what
// no class is charged with.
func (t *Table) Each(f func(class, partner, zone int, x Traffic)) {
	for c := range t.classes + 1 {
		class := c
		if c == t.classes {
			class = -1
		}
		for p := range t.partners {
			for z := range t.zones {
				k := t.cell(class, p, z)
				if x := (Traffic{k.out.Load(), k.in.Load(), k.calls.Load()}); x != (Traffic{}) {
					f(class, p, z, x)
				}
			}
		}
	}
}

// Minute is what passed within one minute, by class and zone.
type Minute struct {
	From  time.Time
	Class int // -1 for none
	Zone  int
	Traffic
}

// History keeps the table's growth minute by minute, for so many minutes; the
// oldest go first. It is not safe for concurrent use.
type History struct {
	table *Table
	most  int
	last  map[[2]int]Traffic
	rows  []Minute
	mins  []int // rows of each minute kept, oldest first
}

// NewHistory keeps most minutes of a table.
func NewHistory(t *Table, most int) *History {
	return &History{table: t, most: most, last: map[[2]int]Traffic{}}
}

// Mark ends a minute that began at from.
func (h *History) Mark(from time.Time) {
	sum := map[[2]int]Traffic{}
	h.table.Each(func(class, _, zone int, x Traffic) {
		s := sum[[2]int{class, zone}]
		sum[[2]int{class, zone}] = Traffic{s.Out + x.Out, s.In + x.In, s.Calls + x.Calls}
	})
	n := 0
	for class := -1; class < h.table.classes; class++ {
		for z := range h.table.zones {
			k := [2]int{class, z}
			was, is := h.last[k], sum[k]
			if d := (Traffic{is.Out - was.Out, is.In - was.In, is.Calls - was.Calls}); d != (Traffic{}) {
				h.rows = append(h.rows, Minute{from, class, z, d})
				n++
			}
		}
	}
	h.last = sum
	if h.mins = append(h.mins, n); len(h.mins) > h.most {
		h.rows = h.rows[h.mins[0]:]
		h.mins = h.mins[1:]
	}
}

// Last are the rows of the minute marked last.
func (h *History) Last() []Minute {
	if len(h.mins) == 0 {
		return nil
	}
	return append([]Minute(nil), h.rows[len(h.rows)-h.mins[len(h.mins)-1]:]...)
}

// Rows are the minutes kept, oldest first.
func (h *History) Rows() []Minute { return append([]Minute(nil), h.rows...) }
