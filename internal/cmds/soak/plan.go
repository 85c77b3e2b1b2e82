package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault names what an event does.
type Fault string

// Faults. Those of a host go to the process, or to the connections, of one host;
// those of an availability zone to the connections from and to all of its hosts.
const (
	KillNode      Fault = "KillNode"
	PauseNode     Fault = "PauseNode"
	StopNode      Fault = "StopNode" // gracefully, and starts it again
	KillUpstream  Fault = "KillUpstream"
	LeaveUpstream Fault = "LeaveUpstream" // gracefully, and starts it again
	DelayNode     Fault = "DelayNode"
	ResetNode     Fault = "ResetNode"
	SilenceToNode Fault = "SilenceToNode"
	SilenceNode   Fault = "SilenceNode" // both ways
	ForgetAll     Fault = "ForgetAll"   // open connections of a host go silent for good
	CutZone       Fault = "CutZone"
	CutStore      Fault = "CutStore" // of a host
	StoreDown     Fault = "StoreDown"
	StoreForgets  Fault = "StoreForgets"
	StoreLoses    Fault = "StoreLoses" // the answers to some changes
	StoreSlow     Fault = "StoreSlow"
	ChangeCatalog Fault = "ChangeCatalog" // a route is added
	WithdrawKey   Fault = "WithdrawKey"
)

// allFaults are the faults that a plan draws from. Those that come several times
// are more frequent.
var allFaults = []Fault{
	KillNode, KillNode, PauseNode, PauseNode, StopNode, StopNode, StopNode, KillUpstream, LeaveUpstream, LeaveUpstream,
	DelayNode, ResetNode, SilenceToNode, SilenceNode, ForgetAll, CutZone, CutStore,
	StoreDown, StoreForgets, StoreLoses, StoreSlow, ChangeCatalog, ChangeCatalog, WithdrawKey,
}

// Event is a fault and its time.
type Event struct {
	At, For time.Duration
	Fault   Fault
	// Host is a host's number, and Zone that of an availability zone.
	Host, Zone int
}

// Times of a plan.
const (
	// calmBefore is left before the first fault, in which all must be served.
	calmBefore = 2 * time.Second
	// longestFault is longer than leases, lifetimes of grants and timeouts of
	// connections.
	longestFault = 5 * time.Second
	shortest     = 300 * time.Millisecond
)

// plan draws events from a seed: single ones, and series of one fault at several
// hosts in turn, which overlap. Two in five come in a series.
func plan(seed uint64, length time.Duration, events, hosts, zones int) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	var all []Event
	for len(all) < events {
		e := Event{
			At:    calmBefore + time.Duration(random.Int64N(int64(length-calmBefore))),
			For:   shortest + time.Duration(random.Int64N(int64(longestFault-shortest))),
			Fault: allFaults[random.IntN(len(allFaults))],
			Host:  random.IntN(hosts),
			Zone:  random.IntN(zones),
		}
		all = append(all, e)
		if random.IntN(5) >= 2 {
			continue
		}
		gap := 200*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		for range 1 + random.IntN(3) {
			e.At += gap
			e.Host = (e.Host + 1) % hosts
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}
