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
	closing, release := make(chan struct{}, maxClosing), make(chan struct{})
	l.removed.closeFile = func(file *os.File) error {
		closing <- struct{}{}
		<-release
		return file.Close()
	}
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		for seq := uint64(1); len(closing) < maxClosing; seq++ {
			l.RecordMessage(Message{Seq: seq, Identity: fmt.Sprint("m", seq), Body: make([]byte, 1<<10)})
			l.RecordEnd(End{Seq: seq})
		}
	}()
	select {
	case <-removed:
	case <-time.After(20 * time.Second):
		t.Errorf("%d segments were removed, then records wait for their files to be closed", len(closing))
	}
	close(release)
	<-removed
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}
