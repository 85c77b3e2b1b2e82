package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// crashPath is the path of a request that crashes each upstream that runs it.
const crashPath = "/" + routeBrowse + "/report?" + mimic.QueryCrash

// quarantineRetryAfter is less than the retry delay in the refusal of a quarantined request,
// and more than in others.
const quarantineRetryAfter = time.Minute

// TestKillOfAllForgetsNoCrash guards against a request that crashes upstreams again after all
// nodes were killed at once, on real processes.
func TestKillOfAllForgetsNoCrash(t *testing.T) {
	ctx := t.Context()
	b, o, stop := startRevivedFleet(ctx, t)
	defer stop()
	assert.NilError(t, procs.Await(ctx, func() error { return sendCrashing(ctx, b.fleet.Hosts[3], "", 0) }))
	assert.NilError(t, procs.Await(ctx, func() error { return storedQuarantine(ctx, o) }))
	before := b.crashRuns(t)
	assert.Check(t, before > 0)
	for life := range 2 {
		for _, host := range b.fleet.Hosts {
			host.Node.Kill()
		}
		for _, host := range b.fleet.Hosts {
			assert.NilError(t, host.Node.Start())
		}
		for i, host := range b.fleet.Hosts {
			assert.NilError(t, procs.Await(ctx, func() error { return sendLookup(ctx, host) }))
			assert.NilError(t, procs.Await(ctx, func() error { return sendCrashing(ctx, host, "", i+1) }), "life %d", life)
		}
	}
	assert.Equal(t, b.crashRuns(t), before, "runs of the request")
}

// TestCrashWithinAnswerIsQuarantined guards against a request that crashes upstreams within
// their answer each time that it comes, on real processes.
func TestCrashWithinAnswerIsQuarantined(t *testing.T) {
	ctx := t.Context()
	b, _, stop := startRevivedFleet(ctx, t)
	defer stop()
	for _, host := range b.fleet.Hosts {
		assert.NilError(t, procs.Await(ctx, func() error { return sendLookup(ctx, host) }))
	}
	for _, part := range []string{mimic.CrashHead, mimic.CrashBody} {
		before, sent := b.crashRuns(t), 0
		assert.Check(t, procs.Await(ctx, func() error {
			sent++
			err := sendCrashing(ctx, b.fleet.Hosts[sent%len(b.fleet.Hosts)], part, sent)
			// The news of a crash reaches all nodes before the request comes again.
			time.Sleep(newsTime)
			return err
		}), "crash within the %s", part)
		runs := b.crashRuns(t) - before
		assert.Check(t, runs == crashesToConvict, "crash within the %s: it ran %d times", part, runs)
	}
}

const (
	// crashesToConvict is the number of crashes after which a request is quarantined.
	crashesToConvict = 2
	// newsTime is the time in which a report of a crash reaches all nodes.
	newsTime = 500 * time.Millisecond
)

// startRevivedFleet starts six hosts with the operator's initial configuration, whose upstreams
// are started again whenever they have ended. It returns a function that ends everything.
func startRevivedFleet(ctx context.Context, t *testing.T) (b *testbed, o *operator, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	b, err := startTestbed(ctx, t.TempDir(), 6, buildPrograms(t))
	assert.NilError(t, err)
	var workers conc.WaitGroup
	reviveCtx, endRevive := context.WithCancel(ctx)
	stop = func() {
		endRevive()
		workers.Wait()
		b.close()
		cancel()
	}
	o = newOperator(b.fleet.PlatformURL)
	for _, step := range []func(context.Context) error{b.fleet.StartPlatform, o.writeInitial, b.fleet.StartHosts} {
		if err := step(ctx); err != nil {
			stop()
			t.Fatal(err)
		}
	}
	for _, host := range b.fleet.Hosts {
		workers.Go(func() { revive(reviveCtx, host.Upstream) })
	}
	return b, o, stop
}

// revive starts a process again whenever it has ended, until the context ends.
func revive(ctx context.Context, process *procs.Process) {
	for ctx.Err() == nil {
		if _, err := process.Wait(100 * time.Millisecond); err == nil && ctx.Err() == nil {
			_ = process.Start() // an error fails the requests
		}
	}
}

// sendCrashing sends the request that crashes upstreams to a host, with a value of
// mimic.QueryCrash, and returns an error if it is not refused as quarantined.
func sendCrashing(ctx context.Context, host *procs.Host, part string, id int) error {
	response, err := mimic.Send(ctx, http.DefaultClient, &mimic.Request{Host: hostName, ID: fmt.Sprintf("r-%d", id), Key: "key-amis", Method: http.MethodGet, Timeout: callerTimeout, Path: crashPath + "=" + part, Address: host.Callers()})
	if err == nil && (!response.NotRun || response.RetryAfter < quarantineRetryAfter) {
		err = trace.Errorf("status %d, retry after %v, want a quarantine", response.Status, response.RetryAfter)
	}
	return trace.Wrap(err)
}

// storedQuarantine returns an error unless the store has a quarantined request.
func storedQuarantine(ctx context.Context, o *operator) error {
	listing, err := o.store.List(ctx, kinds.PrefixCrashes)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, object := range listing.Objects {
		var crashes kinds.Crashes
		if err := kinds.DecodeCrashes(object.Key, object.Value, &crashes); err != nil {
			return trace.Wrap(err)
		}
		if len(crashes.Quarantined) > 0 {
			return nil
		}
	}
	return trace.NotFound("no request is quarantined in the store")
}

// crashRuns returns how often the request that crashes upstreams has run.
func (b *testbed) crashRuns(t *testing.T) int {
	t.Helper()
	var obs Observations
	assert.NilError(t, b.readJournals(&obs))
	runs := 0
	for _, r := range obs.Records {
		if r.Kind == mimic.Ran && strings.HasPrefix(r.Path, strings.TrimSuffix(crashPath, "?"+mimic.QueryCrash)) {
			runs++
		}
	}
	return runs
}
