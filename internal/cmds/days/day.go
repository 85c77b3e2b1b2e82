package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/pause"
)

const (
	// windowLength is the length of the windows in which the served requests are counted.
	windowLength = 2 * time.Second
	// windowStep is the time from the start of one window to that of the next.
	windowStep = 500 * time.Millisecond
	// statusInterval is the interval at which the nodes are asked for their status.
	statusInterval = time.Second
	// inFlight is how long requests are in flight that a fault may end.
	inFlight = 2 * time.Second
	// minChecked is the number of requests below which a group of them is not checked.
	minChecked = 50
	// starvedShare is the largest part of the served share of all requests that a starved
	// group is served.
	starvedShare = 0.5
)

// Day is what was observed of a day.
type Day struct {
	// Bodies is the number of bodies that upstreams checked.
	Bodies int
	// Differing describes each body that is not the caller's.
	Differing []string
	// Late is the largest lateness of the load's timer. A machine that falls behind the
	// demand makes it grow.
	Late     time.Duration
	Outcomes []Outcome
	Sheet    *Sheet
	Start    time.Time
	samples  []sample
}

// sample is what the nodes said of themselves at one time.
type sample struct {
	at        time.Duration // since the start of the day
	refusals  map[string]int64
	answering int // nodes that answered
}

// watch asks all nodes for their status until the context ends.
func (d *Day) watch(ctx context.Context, fleet *fleet) {
	before := make(map[string]map[string]int64) // refusals by host and cause
	for pause.For(ctx, statusInterval) == nil {
		s := sample{at: time.Since(d.Start), refusals: make(map[string]int64)}
		var mu sync.Mutex
		var workers conc.WaitGroup
		for _, host := range fleet.Hosts {
			workers.Go(func() {
				status, err := fleet.Status(ctx, host)
				if err != nil {
					return // counted by answering
				}
				mu.Lock()
				defer mu.Unlock()
				s.answering++
				for cause, n := range status.Refusals {
					s.refusals[cause] += n - min(before[host.Name][cause], n)
				}
				before[host.Name] = status.Refusals
			})
		}
		workers.Wait()
		d.samples = append(d.samples, s)
	}
}

// disturbed reports whether a fault, or its RecoveryTime, overlaps a time span.
func (d *Day) disturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(d.Sheet.Faults, func(f Fault) bool {
		return f.At < to+inFlight && from < f.At+f.For+d.Sheet.RecoveryTime
	})
}

// served returns the number of requests that were sent in a time span and satisfy the
// condition, and how many of these were served.
func (d *Day) served(from, to time.Duration, condition func(*Outcome) bool) (served, sent int) {
	for i := range d.Outcomes {
		o := &d.Outcomes[i]
		if at := o.Sent.Sub(d.Start); at < from || at >= to || !condition(o) {
			continue
		}
		sent++
		if o.Served {
			served++
		}
	}
	return served, sent
}

// anyOutcome is the condition that all requests satisfy.
func anyOutcome(*Outcome) bool { return true }

// Check returns where too little was served: over the day, in a window without a fault, or
// for a kind of request, or at the hosts of an availability zone, or for a customer.
func (d *Day) Check() []string {
	var shortages []string
	all, sent := d.served(0, d.Sheet.Length, anyOutcome)
	share := float64(all) / float64(max(sent, 1))
	if share < d.Sheet.MinServedDay {
		shortages = append(shortages, fmt.Sprintf("%.3f of the day's requests were served, want %.3f", share, d.Sheet.MinServedDay))
	}
	for from := time.Duration(0); from+windowLength <= d.Sheet.Length; from += windowStep {
		if d.disturbed(from, from+windowLength) {
			continue
		}
		served, sent := d.served(from, from+windowLength, anyOutcome)
		if share := float64(served) / float64(max(sent, 1)); share < d.Sheet.MinServed {
			shortages = append(shortages, fmt.Sprintf("%.3f of the %d requests from %v were served, want %.3f", share, sent, from, d.Sheet.MinServed))
		}
	}
	for i := range d.Sheet.Kinds {
		k := &d.Sheet.Kinds[i]
		shortages = append(shortages, d.starved("kind "+k.Name, share, func(o *Outcome) bool { return o.Kind == k })...)
	}
	for i := range d.Sheet.Customers {
		shortages = append(shortages, d.starved("customer "+customerName(i), share, func(o *Outcome) bool { return o.Customer == i })...)
	}
	return shortages
}

// starved returns a text if the requests that satisfy the condition were served much less
// often than all.
func (d *Day) starved(name string, share float64, condition func(*Outcome) bool) []string {
	served, sent := d.served(0, d.Sheet.Length, condition)
	if sent < minChecked || float64(served) >= starvedShare*share*float64(sent) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d of %d requests were served, of all %.3f", name, served, sent, share)}
}

// print writes a table of the day, with a line for each second.
func (d *Day) print(out io.Writer) {
	served, sent := d.served(0, d.Sheet.Length, anyOutcome)
	fmt.Fprintf(out, "served %d of %d (%.4f), the timer was late by %v at most\n", served, sent, float64(served)/float64(max(sent, 1)), d.Late.Round(time.Millisecond))
	fmt.Fprintf(out, "upstreams checked %d bodies, %d differ\n", d.Bodies, len(d.Differing))
	for i := range d.Sheet.Kinds {
		k := &d.Sheet.Kinds[i]
		inTime := 0
		served, sent := d.served(0, d.Sheet.Length, func(o *Outcome) bool {
			if o.Kind == k && o.Served && o.Done.Sub(o.Sent) <= k.Objective {
				inTime++
			}
			return o.Kind == k
		})
		if sent > 0 {
			fmt.Fprintf(out, "  %-18s %6d of %6d served, %6d in time\n", k.Name, served, sent, inTime)
		}
	}
	for second := time.Duration(0); second < d.Sheet.Length; second += time.Second {
		served, sent := d.served(second, second+time.Second, anyOutcome)
		statuses := make(map[int]int)
		d.served(second, second+time.Second, func(o *Outcome) bool {
			if !o.Served {
				statuses[o.Status]++
			}
			return false
		})
		fmt.Fprintf(out, "%4v %5d of %5d served, others by status %v%s\n", second, served, sent, statuses, d.refusalsAt(second))
	}
}

// refusalsAt returns the refusals by cause that the nodes counted in a second.
func (d *Day) refusalsAt(second time.Duration) string {
	for _, s := range d.samples {
		if s.at < second+time.Second || s.at >= second+2*time.Second {
			continue
		}
		text := fmt.Sprintf("; %d nodes answer, refusals:", s.answering)
		for _, cause := range slices.Sorted(maps.Keys(s.refusals)) {
			if n := s.refusals[cause]; n > 0 {
				text += fmt.Sprintf(" %s %d", cause, n)
			}
		}
		return text
	}
	return ""
}
