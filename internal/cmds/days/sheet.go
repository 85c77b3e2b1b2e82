package main

import (
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Prefixes of the names of a sheet's sections.
const (
	prefixFault   = "Fault "
	prefixKind    = "Kind "
	prefixService = "Service "
)

// Sheet describes a deployment and a day of it.
type Sheet struct {
	// Customers is the number of customers. The demand of the n-th one is in proportion to
	// 1/n.
	Customers int
	Faults    []Fault
	Kinds     []Kind
	// Length is the duration of the day.
	Length time.Duration
	// MinServed is the fraction of the requests that must be served in each window of
	// windowLength without a fault, and MinServedDay the one over the whole day.
	MinServed, MinServedDay float64
	// RateFactor is the rate of each customer, as a multiple of its mean demand.
	RateFactor float64
	// RecoveryTime is the time after a fault that counts as a part of it.
	RecoveryTime time.Duration
	Services     []Service
	// Settings is text that is appended to the settings of each node.
	Settings string
	Zones    []string
}

// Service is a kind of upstream.
type Service struct {
	Hosts int
	Name  string
	// Slots is the number of requests that an upstream runs at a time.
	Slots int
}

// Kind is a kind of request.
type Kind struct {
	// Body is the length of the request's body in bytes.
	Body int
	// Calls are the kinds of requests that the upstream sends while it runs one of this
	// kind, one after the other.
	Calls      []string
	Idempotent bool
	Importance int
	Name       string
	Objective  time.Duration
	// PerSecond is the mean number of requests of callers, 0 if only upstreams send them.
	PerSecond float64
	// Retries is how often a caller repeats a request that was not served.
	Retries int
	Service string
	// Timeout is the longest wait of the caller, and RouteTimeout that of the operators.
	Timeout, RouteTimeout time.Duration
	// Work is the mean time for which an upstream runs a request.
	Work time.Duration
}

// Action is what a fault does.
type Action string

// Actions. Those on hosts affect the node and the upstream.
const (
	Burst     Action = "Burst" // the demand is multiplied by Factor
	CutZone   Action = "CutZone"
	Delay     Action = "Delay"     // bytes to and from the hosts take Latency longer
	Forget    Action = "Forget"    // open connections to the hosts go silent for good, new ones work
	KillHosts Action = "KillHosts" // hosts are started again after the fault
	KillNodes Action = "KillNodes"
	PauseAll  Action = "PauseAll" // all processes but the callers
	PauseHost Action = "PauseHosts"
	PauseNode Action = "PauseNodes"
	StopNodes Action = "StopNodes" // one after the other, gracefully, and started again
	StoreDown Action = "StoreDown"
)

// actions are all actions.
var actions = []Action{Burst, CutZone, Delay, Forget, KillHosts, KillNodes, PauseAll, PauseHost, PauseNode, StopNodes, StoreDown}

// Fault is something that happens during a day.
type Fault struct {
	Action Action
	// At is the time since the start of the demand, and For the duration.
	At, For time.Duration
	Factor  float64
	Latency time.Duration
	// Share is the fraction of the hosts that are affected, chosen by the seed, of the
	// hosts in Zone or, if that is empty, of all.
	Share float64
	Zone  string
}

// ReadSheet reads a sheet from the INI files of a deployment and of a day, and checks it.
func ReadSheet(name, day string) (*Sheet, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, name, day)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s and %s", name, day)
	}
	s := &Sheet{}
	if err := file.Section("Day").MapTo(s); err != nil {
		return nil, trace.Wrap(err, "section Day of %s", name)
	}
	s.Settings = strings.ReplaceAll(file.Section("Day").Key("Settings").String(), ";", "\n")
	for _, section := range file.Sections() {
		if err := s.add(section); err != nil {
			return nil, trace.Wrap(err, "section %s of %s", section.Name(), name)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s, trace.Wrap(s.Check(), "sheet %s", name)
}

// add adds what a section describes.
func (s *Sheet) add(section *ini.Section) error {
	name := section.Name()
	switch {
	case strings.HasPrefix(name, prefixFault):
		var f Fault
		if err := section.MapTo(&f); err != nil {
			return err
		}
		s.Faults = append(s.Faults, f)
	case strings.HasPrefix(name, prefixKind):
		k := Kind{Name: strings.TrimPrefix(name, prefixKind)}
		if err := section.MapTo(&k); err != nil {
			return err
		}
		s.Kinds = append(s.Kinds, k)
	case strings.HasPrefix(name, prefixService):
		v := Service{Name: strings.TrimPrefix(name, prefixService)}
		if err := section.MapTo(&v); err != nil {
			return err
		}
		s.Services = append(s.Services, v)
	}
	return nil
}

// Check returns an error that names the first invalid entry.
func (s *Sheet) Check() error {
	if s.Customers < 1 || s.Length <= 0 || len(s.Zones) == 0 || !(s.RateFactor > 0) {
		return trace.BadParameter("Day: want Customers, Length, RateFactor and Zones")
	}
	for _, k := range s.Kinds {
		if !slices.ContainsFunc(s.Services, func(v Service) bool { return v.Name == k.Service }) {
			return trace.BadParameter("%s%s: the service %q does not exist", prefixKind, k.Name, k.Service)
		}
		if k.Timeout <= 0 || k.RouteTimeout <= 0 || k.Work <= 0 {
			return trace.BadParameter("%s%s: want Timeout, RouteTimeout and Work", prefixKind, k.Name)
		}
		for _, call := range k.Calls {
			if s.kind(call) == nil {
				return trace.BadParameter("%s%s: the kind %q does not exist", prefixKind, k.Name, call)
			}
		}
	}
	for _, f := range s.Faults {
		if !slices.Contains(actions, f.Action) {
			return trace.BadParameter("%s at %v: want one of %v, got %q", prefixFault, f.At, actions, f.Action)
		}
	}
	return nil
}

// kind returns the kind with a name, or nil.
func (s *Sheet) kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// Scale multiplies rates, numbers of customers, slots and numbers of hosts. The rate of a
// customer stays as it is. Each service keeps a host in each zone.
func (s *Sheet) Scale(factor, hosts float64) {
	s.Customers = max(int(float64(s.Customers)*factor+0.5), 1)
	for i := range s.Kinds {
		s.Kinds[i].PerSecond *= factor
	}
	for i := range s.Services {
		v := &s.Services[i]
		scaled := max(int(float64(v.Hosts)*hosts+0.5), len(s.Zones))
		v.Slots = max(int(float64(v.Slots*v.Hosts)*factor/float64(scaled)), 2)
		v.Hosts = scaled
	}
}
