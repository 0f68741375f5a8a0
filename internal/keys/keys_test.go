package keys

import (
	"math/big"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// issueInto issues a server certificate into a new directory and gives its key file a mode.
func issueInto(t *testing.T, authority *Authority, keyMode os.FileMode) (dir string, serial *big.Int) {
	t.Helper()
	dir = t.TempDir()
	certFile, keyFile, err := authority.Issue(dir, "server", time.Now().Add(-time.Hour), time.Now().Add(time.Hour), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := new(CertStore).LoadPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(keyFile, keyMode); err != nil {
		t.Fatal(err)
	}
	return dir, pair.Cert().Leaf.SerialNumber
}

// Guards against a private key that is accessible to others and comes into use all the same, because the files
// were replaced between the check of the mode and the reading.
func TestModeIsCheckedOfTheKeyThatIsRead(t *testing.T) {
	authority, err := NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	private, _ := issueInto(t, authority, 0o600)
	open, openSerial := issueInto(t, authority, 0o644)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "server.pem"), filepath.Join(dir, "server.key")
	// Hard links keep the originals, renames replace each file at once.
	replaceBy := func(source string) {
		for _, name := range []string{"server.pem", "server.key"} {
			next := filepath.Join(dir, "next")
			if err := os.Link(filepath.Join(source, name), next); err != nil {
				t.Error(err)
				return
			}
			if err := os.Rename(next, filepath.Join(dir, name)); err != nil {
				t.Error(err)
				return
			}
		}
	}
	replaceBy(private)
	stop := make(chan struct{})
	var replacing sync.WaitGroup
	replacing.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				replaceBy(open)
				replaceBy(private)
			}
		}
	})
	const loads = 4_000
	loaded := 0
	for range loads {
		pair, err := new(CertStore).LoadPair(certFile, keyFile)
		if err != nil {
			continue
		}
		loaded++
		if pair.Cert().Leaf.SerialNumber.Cmp(openSerial) == 0 {
			t.Error("a key that is accessible to others came into use")
			break
		}
	}
	close(stop)
	replacing.Wait()
	if loaded == 0 {
		t.Errorf("none of %d loads found a whole private pair", loads)
	}
}

// Guards against a certificate that stays in use until it has expired, although its file was replaced: the new file
// could not be read for want of descriptors, and was not read again since it didn't change.
func TestReplacedFileIsReadOnceDescriptorsAreLeft(t *testing.T) {
	authority, err := NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir, _ := issueInto(t, authority, 0o600)
	replacement, want := issueInto(t, authority, 0o600)
	rejected := 0
	store := &CertStore{Report: func(_ string, _ time.Time, err error) {
		if err != nil {
			rejected++
		}
	}}
	certFile, keyFile := filepath.Join(dir, "server.pem"), filepath.Join(dir, "server.key")
	pair, err := store.LoadPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := store.LoadPool(certFile)
	if err != nil {
		t.Fatal(err)
	}
	oldPool := pool.CertPool()
	for _, name := range []string{"server.pem", "server.key"} {
		if err := os.Rename(filepath.Join(replacement, name), filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 1, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	store.ReloadChanged(time.Now())
	store.ReloadChanged(time.Now())
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if rejected != 2 {
		t.Errorf("%d errors reported for two files that could not be read, want 2", rejected)
	}
	store.ReloadChanged(time.Now())
	if got := pair.Cert().Leaf.SerialNumber; got.Cmp(want) != 0 {
		t.Errorf("certificate %d is in use, want %d, which replaced it", got, want)
	}
	if pool.CertPool() == oldPool {
		t.Error("the replaced authorities are still in use")
	}
}
