// Command adapter runs the decision module for the simulator: it speaks the
// simulator's line protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"basaltcross.example/basaltcross/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
