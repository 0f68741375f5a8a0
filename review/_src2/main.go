package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases are the cases of the review, by name. Each returns what breaks the rule.
var cases = map[string]func(*scene) ([]string, error){}

// scene is what a case plays on.
type scene struct {
	rec     *record
	root    string
	dir     string
	trouble bool
	seed    uint64
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	seed := flag.Uint64("seed", 1, "seed of what is drawn")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *trouble, *seed))
}

// run plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(name, root, out string, trouble bool, seed uint64) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	rec, done, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer done()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	type result struct {
		breaks []string
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		breaks, err := play(&scene{rec: rec, root: root, dir: dir, trouble: trouble, seed: seed})
		ended <- result{breaks, err}
	}()
	var r result
	select {
	case r = <-ended:
	case <-time.After(110 * time.Second):
		r.err = fmt.Errorf("the case did not end within 110 s")
	}
	endAll()
	switch {
	case r.err != nil:
		rec.log("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case len(r.breaks) > 0:
		for _, b := range r.breaks {
			rec.log("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return 1
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
