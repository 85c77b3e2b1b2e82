package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// ageClasses are the upper limits of the classes of the time from a request's last byte to
// the end of its connection.
var ageClasses = []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, maxCrossing, callerTimeout}

// tally counts the requests of resting callers by how they ended.
type tally struct {
	answered, otherAnswers, timedOut, unsent int
	// partial counts responses that were cut after their header.
	partial int
	// ranAndCut counts requests that ran and were cut, and disturbedCut those of them that
	// a fault may have cut.
	ranAndCut, disturbedCut int
	// The others were cut and did not run: impaired at a node that was paused or killed,
	// behind those behind another request, cut the rest by age class.
	behind, impaired int
	cut              []map[cutKind]int
}

// cutKind says more about a request that was cut and did not run.
type cutKind struct {
	first   bool // on its connection
	reached Reached
}

func (k cutKind) String() string {
	if k.first {
		return string(k.reached) + ", first on its connection"
	}
	return string(k.reached)
}

func newTally(obs *Observations) *tally {
	t := &tally{}
	for range ageClasses {
		t.cut = append(t.cut, make(map[cutKind]int))
	}
	c := newChecker(obs)
	for i := range obs.Outcomes {
		if o := &obs.Outcomes[i]; o.Kept {
			t.add(c, o)
		}
	}
	return t
}

// logCuts writes a line for each request of resting callers that was cut.
func logCuts(out io.Writer, obs *Observations) {
	c := newChecker(obs)
	for i := range obs.Outcomes {
		o := &obs.Outcomes[i]
		if !o.Kept || !o.cut() {
			continue
		}
		age := "not whole"
		if !o.Whole.IsZero() {
			age = o.Done.Sub(o.Whole).String()
		}
		fmt.Fprintf(out, "%v %s host %d route %s age %s runs %d first %v behind %v partial %v reached %q: %v\n", o.Sent.Sub(obs.PlanStart), o.ID, o.Host+1, o.Route, age, len(c.runsByID[o.ID]), o.First, o.Behind, o.Partial, o.Reached, o.Err)
	}
}

// add counts a request.
func (t *tally) add(c *checker, o *Outcome) {
	switch {
	case o.served():
		t.answered++
	case o.Response != nil:
		t.otherAnswers++
	case o.timedOut():
		t.timedOut++
	case o.Partial:
		t.partial++
	case len(c.runsByID[o.ID]) > 0:
		t.ranAndCut++
		if c.disturbed(o) {
			t.disturbedCut++
		}
	case o.Whole.IsZero():
		t.unsent++
	case c.impaired(o):
		t.impaired++
	case o.Behind:
		t.behind++
	default:
		class := 0
		for class < len(ageClasses)-1 && o.Done.Sub(o.Whole) > ageClasses[class] {
			class++
		}
		t.cut[class][cutKind{first: o.First, reached: o.Reached}]++
	}
}

// print prints the counts.
func (t *tally) print(out io.Writer) {
	fmt.Fprintf(out, "resting callers: %d served, %d other answers, %d timed out, %d cut within the answer, %d ran and cut without an answer (%d of them beside a fault that may cut)\n",
		t.answered, t.otherAnswers, t.timedOut, t.partial, t.ranAndCut, t.disturbedCut)
	fmt.Fprintf(out, "  not run and cut: %d while being sent, %d at a paused or killed node, %d behind another\n", t.unsent, t.impaired, t.behind)
	for i, counts := range t.cut {
		kinds := slices.SortedFunc(maps.Keys(counts), func(a, b cutKind) int { return strings.Compare(a.String(), b.String()) })
		for _, kind := range kinds {
			fmt.Fprintf(out, "  not run and cut at most %v after the last byte, %v: %d\n", ageClasses[i], kind, counts[kind])
		}
	}
}
