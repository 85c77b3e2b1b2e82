package main

import (
	"context"
	"fmt"
	"time"
)

// idleRun is a run at one host of callers that rest, while the idle timeout changes in
// series or, for comparison, does not. Its hosts have one service.
type idleRun struct {
	// descriptors is the number of file descriptors that a node may open, 0 for the
	// limit of this process.
	descriptors int
	// fault is injected beside each time of a low idle timeout, empty for none.
	fault Fault
	// offset is when the fault is injected, from the start of the low idle timeout.
	offset  time.Duration
	resting Resting
	// steady means that the idle timeout does not change.
	steady bool
}

// idleHosts is the number of hosts in an idle run: one in each availability zone.
const idleHosts = 3

// spreadCallers rest for times on both sides of the low idle timeout.
var spreadCallers = Resting{Callers: 1200, EagerFraction: 1, MinRest: 1800 * time.Millisecond, MaxRest: 5 * time.Second}

// idleRuns are the variants of the idle run.
var idleRuns = map[string]idleRun{
	"blind":       {resting: Resting{BlindFraction: 1, Callers: 1200, EagerFraction: 1, MinRest: 1800 * time.Millisecond, MaxRest: 5 * time.Second}},
	"bursts":      {resting: Resting{BurstFraction: 0.5, Callers: 1200, EagerFraction: 1, MinRest: 1800 * time.Millisecond, MaxRest: 5 * time.Second, PipelinedFraction: 0.1}},
	"descriptors": {descriptors: 1900, resting: Resting{Callers: 1200, EagerFraction: 1, MinRest: 500 * time.Millisecond, MaxRest: 4 * time.Second}},
	"pause":       {fault: PauseNode, offset: -1500 * time.Millisecond, resting: spreadCallers},
	"plain":       {resting: spreadCallers},
	"steady":      {resting: spreadCallers, steady: true},
	"steadystop":  {fault: StopNode, offset: -1500 * time.Millisecond, resting: spreadCallers, steady: true},
	"stop":        {fault: StopNode, offset: -1500 * time.Millisecond, resting: spreadCallers},
	"wake":        {fault: PauseNode, offset: 1500 * time.Millisecond, resting: spreadCallers},
}

// Times of an idle run.
const (
	idleChangeInterval = 5 * time.Second // between two changes of the idle timeout
	idleChanges        = 3               // times of a low idle timeout
	idlePause          = 3 * time.Second
)

// hosts implements variant.
func (idleRun) hosts() int { return idleHosts }

// events implements variant. The events are at the first host, which is the one with
// callers.
func (r idleRun) events(uint64) []Event {
	var all []Event
	for i := range idleChanges {
		at := time.Duration(1+2*i) * idleChangeInterval
		low := Event{At: at, Duration: idleChangeInterval, Fault: LowerIdle, IdleTimeout: lowIdleTimeout}
		if r.steady {
			low.IdleTimeout = idleTimeout
		}
		all = append(all, low)
		if r.fault != "" {
			all = append(all, Event{At: at + r.offset, Duration: idlePause, Fault: r.fault})
		}
	}
	sortEvents(all)
	return all
}

// length implements variant.
func (idleRun) length() time.Duration { return 0 }

// programPath implements variant. If the run limits the descriptors of nodes, that of the
// node is a script that sets the limit.
func (r idleRun) programPath(dir string, programPath func(name string) (string, error)) func(name string) (string, error) {
	if r.descriptors == 0 {
		return programPath
	}
	return programScript(dir, "wasabibend", fmt.Sprintf("ulimit -n %d", r.descriptors), "", programPath)
}

// startCallers implements variant.
func (r idleRun) startCallers(ctx context.Context, c *callers, seed uint64) {
	c.startResting(ctx, 0, seed, r.resting)
}
