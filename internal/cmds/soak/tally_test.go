package main

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// TestTally checks that each request of a resting caller is counted once, by how it
// ended, and that those of other callers are not.
func TestTally(t *testing.T) {
	obs := &Observations{PlanStart: start, Events: []Event{{At: time.Minute, Duration: time.Second, Fault: PauseNode}}}
	add := func(ran bool, change func(o *Outcome)) {
		o, r := lookup("k-"+string(rune('a'+len(obs.Outcomes))), "amis", time.Second)
		o.Err, o.Kept, o.Response, o.Whole = io.EOF, true, nil, o.Sent
		change(&o)
		obs.Outcomes = append(obs.Outcomes, o)
		if ran {
			obs.Records = append(obs.Records, r)
		}
	}
	cutAfter := func(age time.Duration, reached Reached, first bool) {
		add(false, func(o *Outcome) { o.Done, o.First, o.Reached = o.Whole.Add(age), first, reached })
	}
	add(true, func(o *Outcome) { o.Response = &mimic.Response{Status: http.StatusOK, Verified: true} })
	add(false, func(o *Outcome) { o.Response = &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable} })
	add(true, func(o *Outcome) { o.Err = os.ErrDeadlineExceeded })
	add(true, func(o *Outcome) { o.Partial = true })
	add(true, func(*Outcome) {})
	add(true, func(o *Outcome) { o.Sent, o.Done = start.Add(time.Minute), start.Add(time.Minute) })
	add(false, func(o *Outcome) { o.Sent, o.Done = start.Add(time.Minute), start.Add(time.Minute) })
	add(false, func(o *Outcome) { o.Err, o.Whole = errors.New("broken pipe"), time.Time{} })
	add(false, func(o *Outcome) { o.Behind = true })
	add(true, func(o *Outcome) { o.Kept = false })
	cutAfter(time.Millisecond, ReachedNothing, false)
	cutAfter(time.Millisecond, ReachedNothing, true)
	cutAfter(maxCrossing, ReachedProcess, false)
	cutAfter(maxCrossing+1, ReachedProcess, false)
	cutAfter(3*time.Second, ReachedKernel, false)
	var out strings.Builder
	newTally(obs).print(&out)
	assert.Equal(t, out.String(), `resting callers: 1 served, 1 other answers, 1 timed out, 1 cut within the answer, 2 ran and cut without an answer (1 of them beside a fault that may cut)
  not run and cut: 1 while being sent, 1 at a paused or killed node, 1 behind another
  not run and cut at most 1ms after the last byte, after the close: 1
  not run and cut at most 1ms after the last byte, after the close, first on its connection: 1
  not run and cut at most 200ms after the last byte, read by the node: 1
  not run and cut at most 2s after the last byte, arrived, not read: 1
  not run and cut at most 2s after the last byte, read by the node: 1
`)
}
