package main

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// overloadCase describes a case: a service, its load, and a trigger that overloads the
// service for a time. All fields but Name are keys of the case's INI file.
type overloadCase struct {
	Name string `ini:"-"`

	Upstreams int
	// Slots is the number of requests that an upstream serves at a time.
	Slots int
	// ServiceTime is the mean time for which a request holds a slot.
	ServiceTime time.Duration

	// Demand is the demand outside the trigger and Surge that during the trigger, as
	// multiples of the capacity.
	Demand, Surge float64
	// Slow is the factor by which the service time grows during the trigger.
	Slow float64
	// Large is the fraction of the demand that comes from the first customer. The
	// others share the rest equally.
	Large     float64
	Customers int
	// Important and Low are the fractions of requests with the highest and the lowest
	// importance.
	Important, Low float64
	// Deadline is the clients' timeout, after which they retry.
	Deadline time.Duration
	// Retries is the maximum number of retries of a request.
	Retries int

	// Begin and End bound the trigger. Length is the duration of the whole run.
	Begin, End, Length time.Duration
}

// loadCase reads a case from an INI file. It returns an error for unknown keys and
// for values with which no run is possible.
func loadCase(file string) (*overloadCase, error) {
	c := &overloadCase{Name: strings.TrimSuffix(filepath.Base(file), ".ini")}
	if err := ini.StrictMapTo(c, file); err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	if c.Upstreams < 1 || c.Slots < 1 || c.ServiceTime <= 0 || c.Customers < 2 || c.Deadline <= 0 || c.End <= c.Begin || c.Length <= c.End {
		return nil, trace.BadParameter("%s: want at least 1 upstream, 1 slot and 2 customers, a ServiceTime and a Deadline above 0, and Begin < End < Length", file)
	}
	if minBegin := 2 * goodputWindow; c.Begin < minBegin {
		return nil, trace.BadParameter("%s: Begin %v: want at least %v, as recovery is measured against the goodput before", file, c.Begin, minBegin)
	}
	return c, nil
}

// capacity returns the number of requests a second that the upstreams can serve
// outside the trigger.
func (c *overloadCase) capacity() float64 {
	return float64(c.Upstreams*c.Slots) / c.ServiceTime.Seconds()
}
