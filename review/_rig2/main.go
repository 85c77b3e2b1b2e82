// Rig2 plays one case of the second review: a small fleet of nodes as separate processes on
// loopback addresses, with stand-ins for the platform's store, the backends and the clients.
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// limit is the longest time for which a case may run.
const limit = 115 * time.Second

// play is a case. It returns whether the rule was broken.
type play func(f *fleet, trouble bool) (bool, error)

var plays = map[string]play{
	"attempts":    playAttempts,
	"poison":      playPoison,
	"popular":     playPopular,
	"open-stop":   playOpenStop,
	"slow-upload": playSlowUpload,
}

func main() {
	name := flag.String("case", "", "the `name` of the case")
	node := flag.String("node", "target/wasabibend", "the node's `program`")
	record := flag.String("record", "record.txt", "the `file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether to cause the disruption")
	flag.Parse()
	os.Exit(run(*name, *node, *record, *trouble))
}

func run(name, node, record string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig2: there is no case %q\n", name)
		return cannot
	}
	f, err := newFleet(node, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return cannot
	}
	defer f.close()
	watchdog := time.AfterFunc(limit, func() {
		f.close()
		fmt.Fprintln(os.Stderr, "rig2: the case took too long")
		os.Exit(cannot)
	})
	defer watchdog.Stop()
	wasBroken, err := p(f, trouble)
	switch {
	case err != nil:
		f.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return cannot
	case wasBroken:
		return broken
	}
	return held
}
