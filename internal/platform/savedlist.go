package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"basaltcross.example/basaltcross/internal/agent"
)

// savedList holds a host list in two files of the state folder, which are overwritten in turn, so that one of
// them is whole when the process is killed while it writes the other. It changes no entry of the folder once
// both files exist: replacing a file by a rename makes some file systems write the new file to the disk while
// they hold the folder's lock, and the journal, which adds and removes files there, would wait for it.
//
// It is not safe for concurrent use.
type savedList struct {
	paths    [2]string
	maxBytes int64 // bytes of a file; a longer list is not saved
	next     int   // index of the file that is written next
}

func newSavedList(dir string, maxBytes int64) *savedList {
	path := filepath.Join(dir, "hosts.json")
	return &savedList{paths: [2]string{path, path + ".new"}, maxBytes: maxBytes}
}

// listHeader is the format of the line before a list: the checksum and the length of the JSON that follows. A
// longer list that was in the file before may follow behind it.
const listHeader = "%08x %d\n"

var listChecksum = crc32.MakeTable(crc32.Castagnoli)

// Errors of saved lists.
var (
	errListTooLong = errors.New("the list of hosts is too long to be saved")
	errListDamaged = errors.New("the saved list of hosts is damaged")
)

// write saves a list in place of the older one of the two files. A list that is too long removes both, since an
// outdated list would be worse than the one in the configuration.
func (s *savedList) write(l agent.List) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	content := append(fmt.Appendf(nil, listHeader, crc32.Checksum(text, listChecksum), len(text)), text...)
	if int64(len(content)) > s.maxBytes {
		if err := s.remove(); err != nil {
			return err
		}
		return fmt.Errorf("platform: %w: it has %d bytes, at most %d are saved", errListTooLong, len(content), s.maxBytes)
	}
	if err := overwrite(s.paths[s.next], content); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	s.next = 1 - s.next
	return nil
}

// overwrite writes the beginning of a file in place.
func overwrite(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Close())
}

// remove removes both files.
func (s *savedList) remove() error {
	for _, path := range s.paths {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("platform: %w", err)
		}
	}
	return nil
}

// newest returns the saved list if its revision is later than that of known, else known. An error that is not a
// system error means that there are files and none of them holds a whole list.
func (s *savedList) newest(known agent.List) (agent.List, error) {
	newest, found := known, false
	var damaged error
	for i, path := range s.paths {
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return known, fmt.Errorf("platform: %w", err)
		}
		l, err := parseSavedList(text)
		if err != nil {
			damaged = errors.Join(damaged, fmt.Errorf("platform: %s: %w", path, err))
			continue
		}
		found = true
		if l.Rev > newest.Rev && len(l.Targets) > 0 {
			newest, s.next = l, 1-i
		}
	}
	if found {
		return newest, nil
	}
	return known, damaged
}

// parseSavedList parses the content of one file. Earlier versions wrote the list alone.
func parseSavedList(content []byte) (l agent.List, err error) {
	header, text, _ := bytes.Cut(content, []byte("\n"))
	var checksum uint32
	var length int
	if _, err := fmt.Sscanf(string(header)+"\n", listHeader, &checksum, &length); err != nil {
		text = content
	} else if length < 0 || length > len(text) || crc32.Checksum(text[:length], listChecksum) != checksum {
		return l, errListDamaged
	} else {
		text = text[:length]
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("%w: %w", errListDamaged, err)
	}
	return l, nil
}
