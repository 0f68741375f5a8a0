package zone

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// Guards against minutes that hold traffic of other minutes, and against a history that exceeds its bound.
func TestHistory(t *testing.T) {
	table := NewTable(2, 3, 2)
	h := NewHistory(table, 2)
	begin := time.Now()
	for m := range 4 {
		table.Out(0, 1, 1, 100*(m+1))
		table.In(0, 2, 1, 10)
		table.Out(-1, 0, 5, 7) // a zone outside the configuration counts as the first
		h.Mark(begin.Add(time.Duration(m) * time.Minute))
	}
	rows := h.Rows()
	if len(rows) != 4 {
		t.Fatalf("%d rows for two minutes, want 4", len(rows))
	}
	for i, want := range []Minute{{Class: -1, Zone: 0, Traffic: Traffic{Out: 7}}, {Class: 0, Zone: 1, Traffic: Traffic{Out: 300, In: 10}},
		{Class: -1, Zone: 0, Traffic: Traffic{Out: 7}}, {Class: 0, Zone: 1, Traffic: Traffic{Out: 400, In: 10}}} {
		want.From = begin.Add(time.Duration(2+i/2) * time.Minute)
		if rows[i] != want {
			t.Errorf("row %d: %+v, want %+v", i, rows[i], want)
		}
	}
}

// Guards against a truncated line that makes a file of minutes unreadable, and against a file that
// exceeds its bound.
func TestMinutesFile(t *testing.T) {
	r := &Reporter{Classes: []string{"c"}, Partners: []string{"p"}, Zones: []string{"near", "far"}, File: t.TempDir() + "/z"}
	m := Minute{From: time.Now().Truncate(time.Minute), Class: 0, Zone: 1, Traffic: Traffic{Out: 5, In: 6, Calls: 1}}
	for range 2 {
		if err := r.appendToFile([]Minute{m}); err != nil {
			t.Fatal(err)
		}
	}
	text, _ := os.ReadFile(r.File)
	rows, broken, err := Read(bytes.NewReader(text[:len(text)-9]))
	if err != nil || broken != 1 || len(rows) != 1 || rows[0].Zone != "far" || rows[0].Traffic != m.Traffic || !rows[0].Crosses {
		t.Errorf("%+v, %d broken, %v", rows, broken, err)
	}
	if err := os.Truncate(r.File, MostFile); err != nil {
		t.Fatal(err)
	}
	if err := r.appendToFile([]Minute{m}); err != nil {
		t.Fatal(err)
	}
	if st, err := os.Stat(r.File); err != nil || st.Size() > 1000 {
		t.Errorf("file not rotated at MostFile: %v %v", st, err)
	}
}

// BenchmarkCount measures the cost of counting one chunk of bytes while all processors count.
func BenchmarkCount(b *testing.B) {
	table := NewTable(3, 470, 3)
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			table.Out(i%3, i%470, i%3, 600)
		}
	})
}
