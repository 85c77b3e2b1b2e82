// Standin holds the stand-ins and the drivers of the review's scripts: backends and
// clients as the users' protocol describes them, and a driver for each case. It starts
// the project's own programs as separate processes on loopback addresses.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// caseTimeout is less than the 120 s that a script may take.
const caseTimeout = 112 * time.Second

// cases are the drivers, by name. A driver reports whether the rule was broken.
var cases = map[string]func(ctx context.Context, c *caseRun) (broken bool, err error){}

// caseRun is one run of a case.
type caseRun struct {
	dir     string // temporary folder
	record  *record
	root    string // the repository
	trouble bool
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "backend" {
		if err := runBackend(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "backend:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(exitUnable)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase runs a case and returns the exit code. record.txt is written to a folder.
func runCase(name, root, folder string) int {
	dir, err := os.MkdirTemp("", "review-"+name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer record.file.Close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	broken, err := cases[name](ctx, &caseRun{dir: dir, record: record, root: root, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		record.add(time.Now(), "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitUnable
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// newID returns a new ID of a request.
func newID(prefix string) string {
	return fmt.Sprintf("%s-%016x", prefix, rand.Uint64())
}
