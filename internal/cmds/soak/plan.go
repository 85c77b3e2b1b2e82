package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is the kind of an event.
type Fault string

// Faults. Those of a host affect a process or the connections of one host, and
// those of an availability zone the connections from and to all of its hosts.
const (
	KillNode      Fault = "KillNode"
	PauseNode     Fault = "PauseNode"
	StopNode      Fault = "StopNode" // stops it gracefully and restarts it
	StopHost      Fault = "StopHost" // like StopNode, but peers get no answer at all until the restart
	KillUpstream  Fault = "KillUpstream"
	LeaveUpstream Fault = "LeaveUpstream" // stops it gracefully and restarts it
	DelayNode     Fault = "DelayNode"
	ResetNode     Fault = "ResetNode"
	SilenceToNode Fault = "SilenceToNode" // blocks traffic to the node only
	SilenceNode   Fault = "SilenceNode"   // blocks traffic in both directions
	ForgetAll     Fault = "ForgetAll"     // open connections of a host stay open but carry no more data
	CutZone       Fault = "CutZone"
	CutStore      Fault = "CutStore" // blocks a host's connections to the store
	StoreDown     Fault = "StoreDown"
	StoreForgets  Fault = "StoreForgets"  // the store has lost its history of changes, so watches fail
	StoreLoses    Fault = "StoreLoses"    // responses to some writes are lost
	StoreRestored Fault = "StoreRestored" // the store comes back from a copy that is as old as the event is long
	StoreSlow     Fault = "StoreSlow"
	ChangeCatalog Fault = "ChangeCatalog" // adds a route
	LowerIdle     Fault = "LowerIdle"     // the configuration allows connections to be idle for a short time only
	WithdrawKey   Fault = "WithdrawKey"
)

// allFaults are the faults that a plan draws from. Repeated entries are drawn more
// often.
var allFaults = []Fault{
	KillNode, KillNode, PauseNode, PauseNode, StopNode, StopNode, StopNode, StopHost, StopHost, KillUpstream, LeaveUpstream, LeaveUpstream,
	DelayNode, ResetNode, SilenceToNode, SilenceNode, ForgetAll, CutZone, CutStore,
	StoreDown, StoreForgets, StoreLoses, StoreRestored, StoreSlow, ChangeCatalog, ChangeCatalog, WithdrawKey,
	LowerIdle, LowerIdle, LowerIdle,
}

// Event is a fault with its time and target.
type Event struct {
	// At is the time from the start of the plan. Duration is how long the fault lasts;
	// faults that take effect at once ignore it.
	At, Duration time.Duration
	Fault        Fault
	// Host and Zone are the indexes of the affected host and availability zone. Which
	// of them counts depends on the fault.
	Host, Zone int
	// IdleTimeout is the idle timeout in force during LowerIdle.
	IdleTimeout time.Duration
}

// hitsProcess reports whether the event signals or ends a process.
func (e *Event) hitsProcess() bool {
	switch e.Fault {
	case KillNode, KillUpstream, LeaveUpstream, PauseNode, StopHost, StopNode:
		return true
	}
	return false
}

// Times of a plan's events.
const (
	// faultFreePeriod precedes the first fault. Every request in it is expected to be
	// served.
	faultFreePeriod = 2 * time.Second
	// maxFaultDuration is longer than leases, lifetimes of grants and timeouts of
	// connections, so that a fault can outlast them.
	maxFaultDuration = 5 * time.Second
	minFaultDuration = 300 * time.Millisecond
)

// Idle timeouts of the configuration.
const (
	idleTimeout    = 15 * time.Second
	lowIdleTimeout = 2 * time.Second // the highest during LowerIdle
	minIdleTimeout = 500 * time.Millisecond
)

// plan draws at least the given number of events from a seed, sorted by time. Two
// in five events are followed by the same fault at the next hosts in turn; the
// faults of such a series may overlap.
func plan(seed uint64, faultPeriod time.Duration, events, hosts, zones int) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	var all []Event
	for len(all) < events {
		e := Event{
			At:       faultFreePeriod + time.Duration(random.Int64N(int64(faultPeriod-faultFreePeriod))),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Fault:    allFaults[random.IntN(len(allFaults))],
			Host:     random.IntN(hosts),
			Zone:     random.IntN(zones),
		}
		if e.Fault == LowerIdle {
			e.IdleTimeout = minIdleTimeout + time.Duration(random.Int64N(int64(lowIdleTimeout-minIdleTimeout)))
		}
		all = append(all, e)
		if random.IntN(5) >= 2 {
			continue
		}
		interval := 200*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		for range 1 + random.IntN(3) {
			e.At += interval
			e.Host = (e.Host + 1) % hosts
			all = append(all, e)
		}
	}
	sortEvents(all)
	return all
}

// sortEvents sorts events by time.
func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
}
