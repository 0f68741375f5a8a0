package platform

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
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
	maxBytes int64 // bytes of a file
	next     int   // index of the file that is written next
}

func newSavedList(dir string, maxBytes int64) *savedList {
	path := filepath.Join(dir, "hosts.json")
	return &savedList{paths: [2]string{path, path + ".new"}, maxBytes: maxBytes}
}

// listHeader is the format of the line before a list: the checksum and the length of what follows, the list as JSON,
// compressed by gzip if it is too long otherwise. A longer list that was in the file before may follow behind it.
const listHeader = "%08x %d\n"

var listChecksum = crc32.MakeTable(crc32.Castagnoli)

// Errors of saved lists.
var (
	errListTooLong = errors.New("the list of hosts is too long to be saved")
	errListDamaged = errors.New("the saved list of hosts is damaged")
)

// write saves a list in place of the older one of the two files. Of a list that is too long only the revision is saved:
// it tells the next process that every older list is outdated. The error is then errListTooLong.
func (s *savedList) write(l agent.List) error {
	content, err := s.encode(l)
	if err != nil && !errors.Is(err, errListTooLong) {
		return err
	}
	if err := overwrite(s.paths[s.next], content); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	s.next = 1 - s.next
	return err
}

// encode returns the content of a file that holds a list: as it is if it is short enough, else compressed. If that is
// too long as well, it returns the content for the list's revision and errListTooLong.
func (s *savedList) encode(l agent.List) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	content := withListHeader(text)
	if int64(len(content)) <= s.maxBytes {
		return content, nil
	}
	compressed, err := compressList(text)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	if content = withListHeader(compressed); int64(len(content)) <= s.maxBytes {
		return content, nil
	}
	text, err = json.Marshal(agent.List{Rev: l.Rev, All: true, Targets: []agent.Target{}})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return withListHeader(text), fmt.Errorf("platform: %w: it has %d bytes, at most %d are saved", errListTooLong,
		len(content), s.maxBytes)
}

// withListHeader returns the content of a file.
func withListHeader(list []byte) []byte {
	return append(fmt.Appendf(nil, listHeader, crc32.Checksum(list, listChecksum), len(list)), list...)
}

// compressList compresses a list. A relay has a part of a processor, and lists change while hosts are replaced, so that
// speed goes before size.
func compressList(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return compressed.Bytes(), err
}

// maxListText bounds the size of a saved list as JSON, in bytes: a file holds no more than the agent sent.
const maxListText = 4 << 20

// decompressList returns the text of a list, which may be compressed.
func decompressList(list []byte) ([]byte, error) {
	magic := []byte{0x1f, 0x8b} // of gzip (RFC 1952); JSON doesn't begin so
	if !bytes.HasPrefix(list, magic) {
		return list, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(list))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxListText+1))
	if err == nil && len(text) > maxListText {
		err = fmt.Errorf("it has over %d bytes", maxListText)
	}
	return text, err
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

// newest returns the saved list if its revision is later than that of known, else known. If the later one holds no hosts,
// newest returns the zero List, of which nothing is known: known would name hosts that have left. An error that is not
// a system error means that there are files and none of them holds a whole list.
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
		if l.Rev > newest.Rev {
			newest, s.next = l, 1-i
		}
	}
	switch {
	case found && len(newest.Targets) == 0:
		return agent.List{}, nil
	case found:
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
	if text, err = decompressList(text); err != nil {
		return l, fmt.Errorf("%w: %w", errListDamaged, err)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("%w: %w", errListDamaged, err)
	}
	return l, nil
}
