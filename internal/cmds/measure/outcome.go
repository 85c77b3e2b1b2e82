package main

import (
	"fmt"
	"math"
	"strings"
)

// outcome holds the results of a run: the goodput during the trigger in % of the
// capacity, the important requests served in %, the recovery time in seconds, and the
// least that a customer got in % of its fair share.
type outcome struct {
	goodput, important, recovery, worst float64
}

// outcome computes the results of a run. Goodput is relative to the capacity during
// the trigger, or to the demand if that is lower.
func (m *model) outcome() outcome {
	seconds := (m.End - m.Begin).Seconds()
	capacity := m.capacity() / max(m.Slow, 1)
	total := 0
	for _, n := range m.served {
		total += n
	}
	o := outcome{
		goodput:   100 * float64(total) / seconds / min(capacity, m.Surge*m.capacity()),
		important: 100,
		recovery:  m.recoveryTime(),
		worst:     m.worstCustomer(capacity * seconds),
	}
	if m.importantDemanded > 0 {
		o.important = 100 * float64(m.importantServed) / float64(m.importantDemanded)
	}
	return o
}

// worstCustomer returns the served requests of the customer that got least in relation
// to its fair share, in % of that share. The capacity is a number of requests.
func (m *model) worstCustomer(capacity float64) float64 {
	shares := fairShares(m.demanded, capacity)
	worst := math.Inf(1)
	for i, share := range shares {
		if share > 0 {
			worst = min(worst, 100*float64(m.served[i])/share)
		}
	}
	return worst
}

// fairShares returns the max-min fair shares of a capacity: no customer gets more
// than it demands, and all whose demand is not met get the same. The share is -1 for
// a customer without demand.
func fairShares(demanded []int, capacity float64) []float64 {
	shares := make([]float64, len(demanded))
	unsettled := len(demanded)
	for unsettled > 0 {
		equalShare := capacity / float64(unsettled)
		changed := false
		for i, d := range demanded {
			if shares[i] == 0 && float64(d) <= equalShare {
				shares[i] = float64(d)
				if d == 0 {
					shares[i] = -1
				}
				capacity -= float64(d)
				unsettled--
				changed = true
			}
		}
		if !changed {
			for i := range shares {
				if shares[i] == 0 {
					shares[i] = equalShare
				}
			}
			break
		}
	}
	return shares
}

// recoveryTime returns the seconds from the end of the trigger to the first window
// at which the goodput, averaged over this window and the next, has returned to
// recoveredFraction of that before the trigger. The first window of the run does not
// count. If the service does not recover, it returns the time to the end of the run.
func (m *model) recoveryTime() float64 {
	begin, end, last := int(m.Begin/goodputWindow), int(m.End/goodputWindow), int(m.Length/goodputWindow)
	servedBefore := 0
	for _, n := range m.servedByWindow[1:begin] {
		servedBefore += n
	}
	threshold := recoveredFraction * float64(servedBefore) / float64(begin-1)
	for i := end; i+1 < last; i++ {
		if float64(m.servedByWindow[i]+m.servedByWindow[i+1])/2 >= threshold {
			return float64(i-end) * goodputWindow.Seconds()
		}
	}
	return (m.Length - m.End).Seconds()
}

// summary collects the outcomes of several seeds.
type summary struct {
	outcomes []outcome
}

func (s *summary) add(o outcome) {
	s.outcomes = append(s.outcomes, o)
}

// String returns the cells of a table row: means, each with the range in brackets.
func (s *summary) String() string {
	var cells []string
	for _, get := range []func(o outcome) float64{
		func(o outcome) float64 { return o.goodput },
		func(o outcome) float64 { return o.important },
		func(o outcome) float64 { return o.worst },
		func(o outcome) float64 { return o.recovery },
	} {
		sum, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
		for _, o := range s.outcomes {
			v := get(o)
			sum += v
			lowest = min(lowest, v)
			highest = max(highest, v)
		}
		cells = append(cells, fmt.Sprintf("%.1f (%.1f-%.1f)", sum/float64(len(s.outcomes)), lowest, highest))
	}
	return strings.Join(cells, " | ")
}
