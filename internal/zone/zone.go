// Package zone counts the traffic between this relay's zone and those of partners' endpoints: every
// byte written to or read from a socket, by class, partner and zone. The counts are exact, not sampled,
// since counting costs one atomic addition. The package also reports the traffic and connects the core
// to the budget for traffic between zones.
package zone

import (
	"sync/atomic"
	"time"
)

// Traffic holds counts of bytes and calls.
type Traffic struct {
	Out   int64 `json:"bytes_out"` // to partners
	In    int64 `json:"bytes_in"`  // from partners
	Calls int64 `json:"calls"`     // attempts of which at least one byte was sent
}

type counter struct{ out, in, calls atomic.Int64 }

// Table counts traffic by class, partner and zone. It is safe for concurrent use. Class -1 holds the
// traffic that belongs to no class: connection set-up, TLS handshakes, and bytes on idle connections.
type Table struct {
	classes, partners, zones int
	cells                    []counter
}

// NewTable returns a table of fixed size, with a counter for each class, partner and zone.
func NewTable(classes, partners, zones int) *Table {
	return &Table{classes, partners, zones, make([]counter, (classes+1)*partners*zones)}
}

func (t *Table) cell(class, partner, zone int) *counter {
	if class < 0 {
		class = t.classes
	}
	if zone < 0 || zone >= t.zones { // the endpoint's zone is not in the configuration
		zone = 0
	}
	return &t.cells[(class*t.partners+partner)*t.zones+zone]
}

// Out counts n bytes sent.
func (t *Table) Out(class, partner, zone, n int) { t.cell(class, partner, zone).out.Add(int64(n)) }

// In counts n bytes received.
func (t *Table) In(class, partner, zone, n int) { t.cell(class, partner, zone).in.Add(int64(n)) }

// Call counts an attempt.
func (t *Table) Call(class, partner, zone int) { t.cell(class, partner, zone).calls.Add(1) }

// Each calls f for every cell that is not zero; class is -1 for traffic that belongs to no class.
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

// Minute is the traffic of one class with one zone within one minute.
type Minute struct {
	From  time.Time
	Class int // -1 for traffic that belongs to no class
	Zone  int
	Traffic
}

// History keeps the table's traffic of the last maxMinutes minutes, minute by minute. It is not safe for
// concurrent use.
type History struct {
	table         *Table
	maxMinutes    int
	last          map[[2]int]Traffic
	rows          []Minute
	rowsPerMinute []int // number of rows of each minute, oldest first
}

// NewHistory returns a history of the last maxMinutes minutes of a table.
func NewHistory(t *Table, maxMinutes int) *History {
	return &History{table: t, maxMinutes: maxMinutes, last: map[[2]int]Traffic{}}
}

// Mark ends the minute that began at from and stores its traffic.
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
	if h.rowsPerMinute = append(h.rowsPerMinute, n); len(h.rowsPerMinute) > h.maxMinutes {
		h.rows = h.rows[h.rowsPerMinute[0]:]
		h.rowsPerMinute = h.rowsPerMinute[1:]
	}
}

// Last returns the rows of the latest minute.
func (h *History) Last() []Minute {
	if len(h.rowsPerMinute) == 0 {
		return nil
	}
	return append([]Minute(nil), h.rows[len(h.rows)-h.rowsPerMinute[len(h.rowsPerMinute)-1]:]...)
}

// Rows returns the rows of all minutes kept, oldest first.
func (h *History) Rows() []Minute { return append([]Minute(nil), h.rows...) }
