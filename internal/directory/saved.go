package directory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"basaltcross.example/basaltcross/internal/member"
)

// savedList is the last good list on disk. The file has a header line and then this as JSON.
type savedList struct {
	At      int64         `json:"at"` // time of the write, Unix s
	Sources []savedSource `json:"sources"`
}

// savedSource is the latest report of one source.
type savedSource struct {
	Name    string         `json:"name"`
	Origin  string         `json:"origin"` // see Source
	Entries []member.Entry `json:"entries"`
}

// savedHeader is the first line of the file.
type savedHeader struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Length  int    `json:"length"` // bytes after the first line
	Sum     string `json:"sum"`    // XXH64 of the bytes after the first line, in hexadecimal
}

const (
	savedFormat  = "basaltcross endpoint list"
	savedVersion = 1
)

// write replaces the file by way of a temporary one, so that a crash leaves either the old
// list or the new one.
func (s *savedList) write(path string) error {
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	head, err := json.Marshal(savedHeader{savedFormat, savedVersion, len(body),
		fmt.Sprintf("%016x", xxhash.Sum64(body))})
	if err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	_, err = f.Write(append(append(head, '\n'), body...))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("directory: %w", err)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	err = dir.Sync()
	if e := dir.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	return nil
}

// readSaved reads a saved list. It returns nil without an error if there is no file.
func readSaved(path string, most int) (*savedList, error) {
	st, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	if st.Size() > int64(most) {
		return nil, fmt.Errorf("directory: %s has %d bytes, more than the limit of %d", path, st.Size(), most)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	line, body, _ := bytes.Cut(text, []byte{'\n'})
	var head savedHeader
	if err := json.Unmarshal(line, &head); err != nil || head.Format != savedFormat {
		return nil, fmt.Errorf("directory: %s is not a saved endpoint list", path)
	}
	if head.Version != savedVersion {
		return nil, fmt.Errorf("directory: %s has format version %d, this program reads %d",
			path, head.Version, savedVersion)
	}
	if len(body) != head.Length || fmt.Sprintf("%016x", xxhash.Sum64(body)) != head.Sum {
		return nil, fmt.Errorf("directory: %s is damaged: its length or checksum does not match", path)
	}
	s := &savedList{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("directory: %s: %w", path, err)
	}
	return s, nil
}

// age returns the age of a saved list; 0 if its time is in the future.
func (s *savedList) age(now time.Time) time.Duration { return max(0, now.Sub(time.Unix(s.At, 0))) }
