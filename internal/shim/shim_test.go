package shim

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const playProgram = "BASALTCROSS_SHIM_TEST"

// TestMain makes the test binary serve as the traced program too.
func TestMain(m *testing.M) {
	switch os.Getenv(playProgram) {
	case "exec":
		_ = os.Setenv(playProgram, "play")
		fmt.Fprintln(os.Stderr, Exec([]string{os.Args[0]}))
		os.Exit(3)
	case "play":
		play()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// play makes the system calls that faults are injected into, and prints their results to stderr.
func play() {
	file, err := os.Create(os.Getenv("STATE") + "/file")
	if err == nil {
		_, err = file.WriteAt(make([]byte, 100), 0)
	}
	fmt.Fprintf(os.Stderr, "file: %v\n", err)
	fmt.Fprintf(os.Stderr, "wall: %d\n", time.Now().Unix())
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	n, err := syscall.Write(pair[0], make([]byte, 100))
	fmt.Fprintf(os.Stderr, "socket: %d %v\n", n, err)
	if n > 0 { // otherwise there is nothing to read
		n, err = syscall.Read(pair[1], make([]byte, 100))
		fmt.Fprintf(os.Stderr, "read: %d %v\n", n, err)
	}
	err = syscall.SetsockoptInt(pair[0], syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1<<16)
	fmt.Fprintf(os.Stderr, "option: %v\n", err)
	text, err := os.ReadFile(os.Getenv("STATE") + "/file")
	fmt.Fprintf(os.Stderr, "content: %d %v\n", len(text), err)
	_, err = net.Dial("tcp", "127.0.0.1:1")
	fmt.Fprintf(os.Stderr, "dial: %v\n", err)
}

// TestFaultsReachTheProgram guards against faults that are counted as injected but not seen by the program, and
// against faults that occur while their kind is not active.
func TestFaultsReachTheProgram(t *testing.T) {
	for _, c := range []struct {
		kind Kind
		want string // text in the output of at least one run
	}{
		{WriteTorn, "no space left"}, {DiskError, "input/output error"}, {DiskDown, "input/output error"},
		{ShortWrite, "socket: "}, {SocketFails, "dial: dial tcp 127.0.0.1:1: socket:"},
		{ReadNoMemory, "read: -1"}, {WriteNoMemory, "socket: -1"}, {SockoptFails, "option: "}, {FileReadFails, "content: 0"},
		{WallClock, "wall: "}, {"", ""},
	} {
		seen := false
		for seed := uint64(0); seed < 20 && !seen; seed++ {
			var out bytes.Buffer
			state := t.TempDir()
			p, err := Start(Options{Path: os.Args[0],
				Env: append(os.Environ(), playProgram+"=exec", "STATE="+state), State: state,
				Stderr: &out, Seed: seed})
			if err != nil {
				t.Fatal(err)
			}
			if c.kind == WallClock {
				p.SetWall(time.Hour)
			} else if c.kind != "" {
				p.Set(c.kind, true)
			}
			<-p.Done()
			if !p.Exit().Exited() || p.Exit().ExitStatus() != 0 {
				t.Fatalf("%s: program ended with %v: %s", c.kind, p.Exit(), out.String())
			}
			text := out.String()
			switch c.kind {
			case ShortWrite:
				seen = !strings.Contains(text, "socket: 100 <nil>")
			case SockoptFails: // on the program's own socket, or within the dial
				seen = !strings.Contains(text, "option: <nil>") || strings.Contains(text, "sockopt:")
			case WallClock:
				var wall int64
				_, _ = fmt.Sscanf(text[strings.Index(text, "wall: "):], "wall: %d", &wall)
				seen = wall-time.Now().Unix() > 3000
			case "":
				seen = strings.Contains(text, "file: <nil>") && strings.Contains(text, "socket: 100 <nil>") && len(p.Hits()) == 0
			default:
				seen = strings.Contains(text, c.want)
			}
			if seen != (p.Hits()[c.kind] > 0) && c.kind != "" {
				t.Errorf("%s: seen by the program: %v, injected: %v: %s", c.kind, seen, p.Hits(), text)
			}
		}
		if !seen {
			t.Errorf("%s: the program never saw the fault", c.kind)
		}
	}
}
