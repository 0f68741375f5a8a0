package directory

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/member"
)

// fileEvents receives what a File reports: an empty string for a list, or the text of an error.
type fileEvents chan string

func (e fileEvents) Report(member.Report)  { e <- "" }
func (e fileEvents) ReportError(err error) { e <- err.Error() }
func (e fileEvents) ReportAlive()          {}

// next returns the next event for which wanted is true.
func (e fileEvents) next(t *testing.T, wanted func(string) bool) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case got := <-e:
			if wanted(got) {
				return
			}
		case <-timeout:
			t.Fatal("the file is not read")
		}
	}
}

func isList(event string) bool  { return event == "" }
func isError(event string) bool { return event != "" }

// withoutDescriptors runs do while the process can't open a file.
func withoutDescriptors(t *testing.T, do func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 1 // open descriptors stay valid
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
	}()
	do()
}

// Guards against a relay that never learns its hosts, or a change of them: the list file could not be read for
// want of descriptors, and was not read again since it didn't change.
func TestListFileIsReadOnceDescriptorsAreLeft(t *testing.T) {
	file := &File{Path: filepath.Join(t.TempDir(), "list.cue"), MaxBytes: 1 << 16,
		Names: Names{Partners: map[string]int{"p": 0}, Kinds: []int{0}, Zones: map[string]int{"z": 0}}}
	write := func(path, state string) {
		text := `endpoints: [{addr: "127.0.0.1:1", partner: "p", zone: "z", state: "` + state + `"}]`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file.Path, "ready")
	next := file.Path + ".next"
	write(next, "draining")
	events := make(fileEvents, 1000)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	withoutDescriptors(t, func() {
		go func() { file.Follow(ctx, events); close(ended) }()
		events.next(t, isError) // the folder can't be watched
		events.next(t, isError) // nor the file be read
	})
	events.next(t, isList)
	withoutDescriptors(t, func() {
		if err := os.Rename(next, file.Path); err != nil {
			t.Fatal(err)
		}
		events.next(t, isError)
	})
	events.next(t, isList)
	stop()
	<-ended
}
