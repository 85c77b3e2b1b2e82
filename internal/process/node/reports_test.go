package node

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestWrongReports runs the cases of testdata/reports.csv in virtual time. It guards
// against one wrong report that keeps the upstream from getting requests for good, and
// against one that revokes a drain that was acknowledged.
func TestWrongReports(t *testing.T) {
	steps.Cases(t, "testdata/reports.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runReports(t, record) })
	})
}

// runReports runs one record, whose fields the file describes.
func runReports(t *testing.T, record []string) {
	d := &departure{health: timed(record[2]), start: time.Now()}
	n := newCheckedNode(t, d, record[1] == "true")
	n.upstream.expiry = 10 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.probeUpstream(n.ctx)
	}()
	defer func() {
		n.cancel()
		<-done
	}()
	beats := timed(record[3])
	for i := 0; i < len(beats); i += 2 {
		go beat(t, n, duration(t, beats[i]), strings.Fields(beats[i+1]))
	}
	if record[4] != "" {
		events := timed(record[4])
		for i := 0; i < len(events); i += 2 {
			time.AfterFunc(duration(t, events[i]), func() { applyEvent(t, n, strings.Fields(events[i+1])) })
		}
	}
	want := timed(record[5])
	for i := 0; i < len(want); i += 2 {
		time.Sleep(time.Until(d.start.Add(duration(t, want[i]))))
		_, readiness := n.upstream.state(time.Now())
		assert.Check(t, is.Equal(readiness.String()+" "+n.upstream.announcement().Instance, want[i+1]), "after %s", want[i])
	}
	time.Sleep(time.Until(d.start.Add(50 * time.Second)))
}

// beat sends the reports of an upstream each second from a time on. words are its instance,
// its start and the time of the last report, if they end.
func beat(t *testing.T, n *Node, from time.Duration, words []string) {
	end := 45 * time.Second
	if len(words) > 2 {
		end = duration(t, words[2])
	}
	start := time.Now()
	for at := from; at <= end; at += time.Second {
		time.Sleep(time.Until(start.Add(at)))
		applyEvent(t, n, []string{"ready", words[0], words[1], strconv.Itoa(int((at-from)/time.Second) + 1)})
	}
}
