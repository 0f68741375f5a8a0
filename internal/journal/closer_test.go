package journal

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Guards against hand-ins that are answered late: writing a record must not wait until the file of a removed segment is
// closed, which takes as long as the disk does.
func TestRecordsDoNotWaitForTheCloseOfARemovedSegment(t *testing.T) {
	l, _ := openLog(t, t.TempDir(), 1<<18)
	release := make(chan struct{})
	l.removed.closeFile = func(file *os.File) error {
		<-release
		return file.Close()
	}
	const wanted = maxClosing / 2 // segments; a record may remove more than one
	written := make(chan struct{})
	go func() {
		defer close(written)
		for seq := uint64(1); len(l.removed.slots) < wanted; seq++ {
			l.RecordMessage(Message{Seq: seq, Identity: fmt.Sprint("m", seq), Body: make([]byte, 1<<10)})
			l.RecordEnd(End{Seq: seq})
			select {
			case <-release: // it has taken too long
				return
			default:
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Error("records wait for the file of a removed segment to be closed")
	}
	close(release)
	<-written
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}
