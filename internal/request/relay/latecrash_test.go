package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// lateRequest is the fingerprint of the request of TestLateCrash.
const lateRequest crash.Fingerprint = 7

// TestLateCrash guards against a request that crashes upstreams again and again because each
// crash comes after the end of its call: its caller has left, its deadline has passed, or the
// upstream ends its connections first.
func TestLateCrash(t *testing.T) {
	steps.Cases(t, "testdata/latecrashes.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) { runLateCrash(t, record) })
	})
}

// runLateCrash runs one record, whose fields the file describes.
func runLateCrash(t *testing.T, record []string) {
	answer, err := strconv.Unquote(`"` + record[2] + `"`)
	assert.NilError(t, err)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	u := &lateUpstream{answer: answer, cuts: record[3] == "upstream", watched: record[4]}
	if record[3] == "caller" {
		u.answered = leave
	}
	now := time.Now()
	r := newRelay(t, netip.AddrPort{}, netip.MustParseAddrPort(upstreamOfPipes))
	r.Dialer, r.Pool = u, pool.New(pool.WithDialer(u))
	r.Local.(fakeDeps).leaving.Store(record[4] == "leaves")
	crashes := &countedCrashes{Table: crash.NewTable()}
	r.Crashes = crashes
	switch record[1] {
	case "innocent":
		crashes.End(now, crashes.Begin(now, lateRequest, false), true)
	case "suspect":
		crashes.Merge(now, &crash.Report{Suspects: []crash.Fingerprint{lateRequest}})
	}
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, PathCall+"/ledger/x", nil)
	c := &chain.Chain{Fingerprint: lateRequest, Remaining: 200 * time.Millisecond, Service: "ledger"}
	lc, refusal := r.enterGate(ctx, now, c, false)
	assert.Check(t, refusal == nil)
	request, _ := lc.upstreamRequest(w, req)
	if pending, _, refusal := lc.call(request); refusal == nil {
		assert.Check(t, !streams(t, r, w, req, c, pending))
	}
	assert.Equal(t, r.Gate.Load(time.Now()).InFlight, 0, "the slot is free")
	time.Sleep(2 * lateCrashTime)
	r.Wait()
	got := "none"
	switch {
	case crashes.QuarantineLeft(time.Now(), lateRequest) > 0:
		got = "guilty"
	case crashes.reported.Load() > 0:
		got = "suspect"
		assert.Equal(t, len(crashes.State(time.Now()).Suspects), 1)
	}
	assert.Equal(t, got, record[5])
	if record[1] == "innocent" {
		assert.Equal(t, u.dialed.Load(), int32(1), "the upstream is not watched")
	}
}

// lateUpstream is an upstream at the end of pipes that answers one request and becomes then
// what watched says. It implements pool.Dialer.
type lateUpstream struct {
	answer   string
	answered func() // called after the answer
	crashed  atomic.Bool
	cuts     bool // the answer
	dialed   atomic.Int32
	watched  string // see latecrashes.csv
}

// DialContext implements pool.Dialer.
func (u *lateUpstream) DialContext(context.Context, string, string) (net.Conn, error) {
	if u.crashed.Load() {
		return nil, io.ErrClosedPipe
	}
	client, server := net.Pipe()
	if u.dialed.Add(1) == 1 {
		go u.serve(server)
	} else {
		go u.accept(server)
	}
	return client, nil
}

// serve answers a request.
func (u *lateUpstream) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, u.answer); err != nil {
		return
	}
	time.Sleep(10 * time.Millisecond)
	if u.answered != nil {
		u.answered()
	}
	if !u.cuts {
		_, _ = io.Copy(io.Discard, c) // until the node closes it
	}
}

// accept accepts a connection of a probe or of the watch.
func (u *lateUpstream) accept(c net.Conn) {
	defer c.Close()
	if u.watched != "runs on" {
		time.Sleep(2 * probeTimeout) // longer than a probe lasts
		u.crashed.Store(u.watched != "closes")
		return
	}
	_, _ = io.Copy(io.Discard, c)
}
