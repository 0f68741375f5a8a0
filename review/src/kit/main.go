package kit

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 110 * time.Second

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

// register notes a process that must not outlive the case.
func register(cmd *exec.Cmd) {
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, cmd)
}

// end ends all processes that still run, and the case.
func end(code int) {
	processesMu.Lock()
	for _, p := range processes {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
		}
	}
	os.Exit(code)
}

// Main runs a case. Its arguments are the repository's root and the folder of the case. The program
// exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
func Main(run func(root, folder string) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Println("arguments: the repository's root and the folder of the case")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
			fmt.Println("the case took too long")
		}
		end(2)
	}()
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println("the case couldn't run:", err)
	}
	end(code)
}
