package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// bodyTally counts the requests with long bodies, and what upstreams read of all bodies.
type bodyTally struct {
	requests, served, refused, otherAnswers, cut, timedOut int
	// read counts the bodies that upstreams read to their end or until they were cut, and
	// whole those of them that were complete. A request may have several.
	read, whole int
	bytes       int64
	// broken counts the broken answers of upstreams, by form.
	broken map[string]int
	// early counts the answers that upstreams gave before they had read the body, by status.
	early map[int]int
	// refusedAndSent counts the requests that an upstream refused early and of which another
	// one got the body, too.
	refusedAndSent int
	// differing counts the requests of which an upstream read other bytes than the
	// caller's, or another number of bytes as the whole body.
	differing int
}

func newBodyTally(obs *Observations) *bodyTally {
	t := &bodyTally{broken: make(map[string]int), early: make(map[int]int)}
	for i := range obs.Outcomes {
		if o := &obs.Outcomes[i]; o.Upload {
			t.addOutcome(o)
		}
	}
	sent := make(map[string]int)
	for i := range obs.Outcomes {
		sent[obs.Outcomes[i].ID] = obs.Outcomes[i].BodyBytes
	}
	differing, refused := make(map[string]bool), make(map[string]bool)
	readers := make(map[string]map[string]bool) // instances by request
	for _, r := range obs.Records {
		if isBroken(r) {
			t.broken[r.Broken]++
		}
		if r.Kind != mimic.Read {
			continue
		}
		if r.Body.DiffersAt != nil || r.Body.Whole && r.Body.Bytes != int64(sent[r.ID]) {
			differing[r.ID] = true
		}
		if r.Early == http.StatusServiceUnavailable {
			refused[r.ID] = true
		}
		if readers[r.ID] == nil {
			readers[r.ID] = make(map[string]bool)
		}
		readers[r.ID][r.Instance] = true
		t.addRecord(&r)
	}
	t.differing = len(differing)
	for id := range refused {
		if len(readers[id]) > 1 {
			t.refusedAndSent++
		}
	}
	return t
}

// addOutcome counts a request.
func (t *bodyTally) addOutcome(o *Outcome) {
	t.requests++
	switch {
	case o.served():
		t.served++
	case o.Response != nil && o.Response.NotRun:
		t.refused++
	case o.Response != nil:
		t.otherAnswers++
	case o.timedOut():
		t.timedOut++
	default:
		t.cut++
	}
}

// addRecord counts a body that an upstream read.
func (t *bodyTally) addRecord(r *mimic.Record) {
	if r.Body.DiffersAt != nil && !r.Body.Whole {
		return // counted as differing, and here if the end of the body follows
	}
	t.read++
	t.bytes += r.Body.Bytes
	if r.Body.Whole {
		t.whole++
	}
	if r.Early != 0 {
		t.early[r.Early]++
	}
}

// print prints the counts.
func (t *bodyTally) print(out io.Writer) {
	fmt.Fprintf(out, "long bodies: %d requests, %d served, %d refused as not run, %d other answers, %d cut or not connected, %d timed out\n",
		t.requests, t.served, t.refused, t.otherAnswers, t.cut, t.timedOut)
	fmt.Fprintf(out, "  all bodies: upstreams checked %d with %d bytes, %d of them whole; answered early: %d with 200, %d with 500, %d refused; %d requests were refused early and sent on; %d differ\n",
		t.read, t.bytes, t.whole, t.early[http.StatusOK], t.early[http.StatusInternalServerError], t.early[http.StatusServiceUnavailable], t.refusedAndSent, t.differing)
	for _, form := range slices.Sorted(maps.Keys(t.broken)) {
		fmt.Fprintf(out, "  broken answers of upstreams, %s: %d\n", form, t.broken[form])
	}
}
