package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestCheck runs the cases of testdata/check.csv. It guards against a day that passes
// although too little was served: over the whole day, for some seconds, or for one kind of
// request or one customer.
func TestCheck(t *testing.T) {
	steps.Cases(t, "testdata/check.csv", func(t *testing.T, record []string) {
		from, err := time.ParseDuration(record[2])
		assert.NilError(t, err)
		to, err := time.ParseDuration(record[3])
		assert.NilError(t, err)
		d := wellServedDay()
		for i := range d.Outcomes {
			o := &d.Outcomes[i]
			at := o.Sent.Sub(d.Start)
			if at >= from && at < to && (record[1] == "all" || record[1] == o.Kind.Name || record[1] == customerName(o.Customer)) {
				o.Served = false
			}
		}
		shortages := d.Check()
		if record[4] == "" {
			assert.Equal(t, len(shortages), 0, "%v", shortages)
			return
		}
		assert.Check(t, strings.Contains(strings.Join(shortages, "\n"), record[4]), "%v", shortages)
	})
}

// wellServedDay returns a day of 20 s with two kinds and ten customers, a fault from 8 s to
// 10 s, and all requests served.
func wellServedDay() *Day {
	d := &Day{Sheet: &Sheet{
		Customers: 10, Faults: []Fault{{Action: Burst, At: 8 * time.Second, For: 2 * time.Second}}, Kinds: []Kind{{Name: "read"}, {Name: "write"}},
		Length: 20 * time.Second, MinServed: 0.95, MinServedDay: 0.8, RecoveryTime: 3 * time.Second,
	}, Start: time.Unix(1000, 0)}
	for at := time.Duration(0); at < d.Sheet.Length; at += 10 * time.Millisecond {
		i := int(at / (10 * time.Millisecond))
		sent := d.Start.Add(at)
		d.Outcomes = append(d.Outcomes, Outcome{Customer: i / 2 % 10, Done: sent, Kind: &d.Sheet.Kinds[i%2], Sent: sent, Served: true})
	}
	return d
}

// TestSheets checks that all days of all deployments can be read, also when they are
// scaled down.
func TestSheets(t *testing.T) {
	days, err := filepath.Glob("sheets/days/*.ini")
	assert.NilError(t, err)
	assert.Check(t, len(days) > 0)
	for _, day := range days {
		s, err := ReadSheet("sheets/shifted.ini", day)
		assert.NilError(t, err)
		s.Scale(0.1, 0.01)
		for _, v := range s.Services {
			assert.Equal(t, v.Hosts, len(s.Zones))
		}
	}
}
