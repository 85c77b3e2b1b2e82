package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// bodiesRun is a run in which all callers send long bodies, and upstreams answer a large
// part of them before they have read the body.
type bodiesRun struct {
	// broken is the probability that an upstream gives a request a broken answer.
	broken float64
	// cores is the number of cores that a node uses at a time, 0 for all.
	cores int
	// faults are injected in turn, none if it is empty.
	faults []Fault
	// oldProtocol is the fraction of requests with HTTP/1.0.
	oldProtocol float64
}

// bodiesRuns are the variants of the bodies run.
var bodiesRuns = map[string]bodiesRun{
	"broken":     {broken: 0.5, oldProtocol: 0.5},
	"kill":       {faults: []Fault{KillNode}},
	"mixed":      {faults: []Fault{PauseNode, KillNode, PauseNode, StopNode}},
	"pause":      {faults: []Fault{PauseNode}},
	"pausestop":  {faults: []Fault{PauseNode, StopNode}},
	"plain":      {},
	"singlecore": {cores: 1},
	"stop":       {faults: []Fault{StopNode}},
	"upstreams":  {faults: []Fault{KillUpstream}},
}

// Parameters of a bodies run.
const (
	bodiesCallers       = 10 // at each host
	bodiesFaultInterval = 700 * time.Millisecond
	bodiesHosts         = 6
	bodiesLength        = 30 * time.Second
	minBodiesPause      = 50 * time.Millisecond
	maxBodiesPause      = 1500 * time.Millisecond
)

// hosts implements variant.
func (bodiesRun) hosts() int { return bodiesHosts }

// events implements variant.
func (r bodiesRun) events(seed uint64) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	var all []Event
	for at := faultFreePeriod; at < bodiesLength && len(r.faults) > 0; at += bodiesFaultInterval {
		all = append(all, Event{
			At: at, Duration: minBodiesPause + time.Duration(random.Int64N(int64(maxBodiesPause-minBodiesPause))),
			Fault: r.faults[len(all)%len(r.faults)], Host: random.IntN(bodiesHosts),
		})
	}
	return all
}

// length implements variant.
func (bodiesRun) length() time.Duration { return bodiesLength }

// programPath implements variant.
func (r bodiesRun) programPath(dir string, programPath func(name string) (string, error)) func(name string) (string, error) {
	if r.broken > 0 {
		programPath = programScript(dir, "mimic", "", fmt.Sprintf("-broken %g", r.broken), programPath)
	}
	if r.cores > 0 {
		programPath = programScript(dir, "wasabibend", fmt.Sprintf("export GOMAXPROCS=%d", r.cores), "", programPath)
	}
	return programPath
}

// startCallers implements variant.
func (r bodiesRun) startCallers(ctx context.Context, c *callers, seed uint64) {
	c.oldProtocol = r.oldProtocol
	for host := range c.hosts {
		c.startUploading(ctx, host, seed, bodiesCallers)
	}
}
