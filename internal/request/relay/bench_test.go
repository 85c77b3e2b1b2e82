package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/process/stats"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// fakeDeps stands in for the dependencies of a Relay. It admits all requests, grants
// all claims and has an upstream at a fixed address, or none if that is invalid.
type fakeDeps struct {
	*crash.Table
	address netip.AddrPort
	left    *atomic.Bool // the upstream has left
	leaving *atomic.Bool // the upstream has said that it leaves
}

// Accepts implements LocalUpstream.
func (f fakeDeps) Accepts(time.Time, string) bool {
	return !f.left.Load()
}

// Admit implements Admitter.
func (fakeDeps) Admit(context.Context, time.Time, quota.Key, quota.Limit, time.Duration) *refuse.Refusal {
	return nil
}

// Claim implements Claimer.
func (fakeDeps) Claim(context.Context, string, string) (func(), *refuse.Refusal) {
	return func() {}, nil
}

// Leaving implements LocalUpstream.
func (f fakeDeps) Leaving(string) bool {
	return f.leaving.Load()
}

// MarkDown implements LocalUpstream.
func (fakeDeps) MarkDown(string) {}

// MarkLeaving implements LocalUpstream.
func (fakeDeps) MarkLeaving(time.Time, string) {}

// ReportCrash implements CrashDetector.
func (fakeDeps) ReportCrash(time.Time) {}

// Upstream implements LocalUpstream.
func (f fakeDeps) Upstream(string) (netip.AddrPort, string, bool) {
	return f.address, "", f.address.IsValid()
}

// serveConns listens on a loopback address, which it returns, and calls serve for
// each connection until the test ends.
func serveConns(tb testing.TB, serve func(net.Conn)) netip.AddrPort {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveOK responds to each request on a connection with status 200.
func serveOK(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Type: text/plain\r\n\r\nok\n"); err != nil {
			return
		}
	}
}

// newRelay returns a Relay at the address self with an upstream, a table with one open
// route, and the given members in its member table.
func newRelay(tb testing.TB, self, upstream netip.AddrPort, members ...member.Record) *Relay {
	tb.Helper()
	return newPatientRelay(tb, rows.Default("* /ledger", rows.AnyCustomer).Timeout, self, upstream, members...)
}

// newPatientRelay is newRelay with a route whose requests have the given time.
func newPatientRelay(tb testing.TB, timeout time.Duration, self, upstream netip.AddrPort, members ...member.Record) *Relay {
	tb.Helper()
	config := snaps.NewHolder()
	row := rows.Default("* /ledger", rows.AnyCustomer)
	row.Open = true
	row.Timeout = timeout
	value, err := kinds.Encode(&kinds.RowObject{Row: row})
	assert.NilError(tb, err)
	config.Apply(snaps.Delta{Objects: []store.Object{{Key: kinds.RowKey(row.Route, row.Customer), Value: value, Version: 1}}, Revision: 1})
	secret, err := fleet.NewSecret("the secret of the test")
	assert.NilError(tb, err)
	table := member.NewTable(time.Now(), member.Record{Peers: self, Readiness: member.Absent, Zone: "zone"})
	table.Merge(time.Now(), members)
	f := fakeDeps{Table: crash.NewTable(), address: upstream, leaving: &atomic.Bool{}, left: &atomic.Bool{}}
	return New(Options{
		Admitter: f, Claimer: f, Config: config, Crashes: f, FirstByte: time.Minute, Gate: gates.NewGate(gates.Static(100)),
		Idle: time.Minute, InFlight: 1000, Local: f, Pool: pool.New(), Secret: secret, Self: self, Stats: stats.New(),
		Table: table, Tracer: noop.NewTracerProvider().Tracer(""), Zone: "zone",
	})
}

// BenchmarkCall measures a call through an entry node and an upstream's node in one
// process. The allocations include those of net/http.
func BenchmarkCall(b *testing.B) {
	upstream := serveConns(b, serveOK)
	upstreamNode := newRelay(b, netip.AddrPort{}, upstream)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { upstreamNode.ServePeer(w, r) }))
	server.Start()
	defer server.Close()
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	upstreamNode.Self = peer
	entryNode := newRelay(b, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: peer, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		entryNode.ServeCaller(recorder, httptest.NewRequest(http.MethodGet, "/ledger/x", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Body.String())
		}
	}
}
