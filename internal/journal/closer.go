package journal

import (
	"os"
	"sync"
)

// maxClosing bounds the files that a closer closes at a time.
const maxClosing = 4

// closer closes removed files in the background: the file system may keep a close waiting until what it was
// writing of the file is on the disk.
type closer struct {
	slots     chan struct{} // an element for each file that is being closed
	running   *sync.WaitGroup
	closeFile func(*os.File) error
}

func newCloser() closer {
	return closer{slots: make(chan struct{}, maxClosing), running: new(sync.WaitGroup), closeFile: (*os.File).Close}
}

// close closes a file. It waits only if maxClosing files are being closed.
func (c *closer) close(file *os.File) {
	select {
	case c.slots <- struct{}{}:
		c.running.Go(func() {
			_ = c.closeFile(file)
			<-c.slots
		})
	default:
		_ = c.closeFile(file)
	}
}

// wait waits until all files are closed.
func (c *closer) wait() { c.running.Wait() }
