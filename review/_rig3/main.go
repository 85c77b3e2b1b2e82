// Rig3 runs a case of the third review with processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. They report whether the rule was broken.
var cases = make(map[string]func(root string, rec *record, trouble bool) (bool, error))

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER REPOSITORY")
		return cannot
	}
	rec, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		rec.say("the case was ended before it was over")
		closeFleets()
		os.Exit(cannot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble=%t", os.Args[1], trouble)
	wasBroken, err := cases[os.Args[1]](os.Args[3], rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return cannot
	case wasBroken:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
