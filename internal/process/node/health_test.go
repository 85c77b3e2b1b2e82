package node

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/admin"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestDepartures runs the cases of testdata/departures.csv in virtual time. It guards
// against requests to an upstream that has left, after a restart of the node that knew of
// it, and against upstreams that get no requests although they are well.
func TestDepartures(t *testing.T) {
	steps.Cases(t, "testdata/departures.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runDeparture(t, record) })
	})
}

// departure is the state of a case: the upstream beside a node that has just started.
type departure struct {
	health []string // text at even positions, after the time from which it holds
	probes atomic.Int64
	start  time.Time
}

// runDeparture runs one record, whose fields the file describes.
func runDeparture(t *testing.T, record []string) {
	d := &departure{health: timed(record[2]), start: time.Now()}
	n := newCheckedNode(t, d, record[1] == "true")
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.probeUpstream(n.ctx)
	}()
	defer func() {
		n.cancel()
		<-done
	}()
	events := timed(record[3])
	for i := 0; i < len(events); i += 2 {
		time.Sleep(time.Until(d.start.Add(duration(t, events[i]))))
		applyEvent(t, n, strings.Fields(events[i+1]))
	}
	time.Sleep(time.Until(d.start.Add(10 * time.Second)))
	_, readiness := n.upstream.state(time.Now())
	assert.Equal(t, readiness.String(), record[4])
	assert.Equal(t, n.table.Self().Readiness.String(), record[4])
	maxProbes, err := strconv.ParseInt(record[5], 10, 64)
	assert.NilError(t, err)
	assert.Check(t, d.probes.Load() <= maxProbes, "%d probes, want at most %d", d.probes.Load(), maxProbes)
}

// newCheckedNode returns a Node with a catalog and an upstream whose health checks d
// answers. It does not run.
func newCheckedNode(t *testing.T, d *departure, firstStart bool) *Node {
	path := "/healthz"
	if d.health[1] == "none" {
		path = ""
	}
	decode := func([]byte) (*rows.Catalog, error) {
		return &rows.Catalog{Services: []rows.ServiceInfo{{HealthPath: path, Name: "ledger"}}, Version: 1}, nil
	}
	settings := &setup.Settings{Expiry: time.Minute, FirstStart: firstStart, Peers: netip.MustParseAddrPort("127.0.0.1:1"), Secret: &fleet.Secret{}, Server: netip.MustParseAddrPort("10.0.0.1:80"), Service: "ledger", Zone: "a", Zones: []string{"a"}}
	n, err := New(settings, "", zerolog.Nop(), objapi.New().NewMemoryStore(), WithCatalog("config/", catalogKey, decode), WithProbe(d.probe))
	assert.NilError(t, err)
	n.catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: catalogKey, Value: []byte("{}"), Version: 1}}, Revision: 1})
	return n
}

// probe implements Probe.
func (d *departure) probe(ctx context.Context, settings *setup.Settings, _ string) (admin.Announcement, error) {
	d.probes.Add(1)
	state := ""
	for i := 0; i < len(d.health); i += 2 {
		from, err := time.ParseDuration(d.health[i])
		if err == nil && time.Since(d.start) >= from {
			state = d.health[i+1]
		}
	}
	word, instance, _ := strings.Cut(state, " ")
	switch word {
	case "full":
		return admin.Announcement{}, errors.New("the upstream is full")
	case "leaving":
		return admin.Announcement{}, ErrUnhealthy
	case "silent":
		sleep(ctx, 500*time.Millisecond)
		return admin.Announcement{}, errors.New("no answer")
	}
	return admin.Announcement{Address: settings.Server, Cold: admin.ColdUnknown, Draining: word == "leaves", Instance: instance, Service: settings.Service, Slots: 30}, nil
}

// applyEvent passes a report or a deregistration of the upstream to a node.
func applyEvent(t *testing.T, n *Node, words []string) {
	born, err := strconv.ParseInt(words[2], 10, 64)
	assert.NilError(t, err)
	sequence, err := strconv.ParseUint(words[3], 10, 64)
	assert.NilError(t, err)
	bornAt := time.Time{}
	if born > 0 {
		bornAt = time.Unix(born, 0)
	}
	switch words[0] {
	case "deregister":
		n.Deregister(words[1], bornAt)
	case "draining", "ready":
		n.Announce(time.Now(), admin.Announcement{Address: n.Settings().Server, Born: bornAt, Draining: words[0] == "draining", Instance: words[1], Sequence: sequence, Service: "ledger", Slots: 30})
	default:
		t.Fatalf("unknown event %q", words[0])
	}
}

// timed splits a list of texts that begin with a time into times and the rest.
func timed(list string) []string {
	var parts []string
	for _, item := range strings.Split(list, "; ") {
		at, text, _ := strings.Cut(item, " ")
		parts = append(parts, at, text)
	}
	return parts
}

// duration parses a time of a record.
func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}
