package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// fixed is an upstream at an address, and admits all requests.
type fixed struct {
	*crash.Table
	address netip.AddrPort
}

// Admit implements Admitter.
func (fixed) Admit(context.Context, time.Time, quota.Key, quota.Limit, time.Duration) *refuse.Refusal {
	return nil
}

// Claim implements Claimer.
func (fixed) Claim(context.Context, string, string) (func(), *refuse.Refusal) { return func() {}, nil }

// Crashed implements Local.
func (fixed) Crashed() {}

// ReportCrash implements Crashes.
func (fixed) ReportCrash(time.Time) {}

// Upstream implements Local.
func (f fixed) Upstream(string) (netip.AddrPort, string, bool) {
	return f.address, "", f.address.IsValid()
}

// listenOn serves each connection at an address on loopback by a function.
func listenOn(tb testing.TB, serve func(net.Conn)) netip.AddrPort {
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

// answerAll answers each request on a connection.
func answerAll(c net.Conn) {
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

func newRelay(tb testing.TB, self, upstream netip.AddrPort, members ...member.Record) *Relay {
	tb.Helper()
	config := snaps.NewHolder()
	row := rows.Default("* /ledger", rows.AnyCustomer)
	row.Open = true
	value, err := kinds.Encode(&kinds.RowObject{Row: row})
	assert.NilError(tb, err)
	config.Apply(snaps.Delta{Objects: []store.Object{{Key: kinds.RowKey(row.Route, row.Customer), Value: value, Version: 1}}, Revision: 1})
	secret, err := fleet.NewSecret("the secret of the test")
	assert.NilError(tb, err)
	table := member.NewTable(time.Now(), member.Record{Peers: self, Readiness: member.Absent, Zone: "zone"})
	table.Merge(time.Now(), members)
	f := fixed{Table: crash.NewTable(), address: upstream}
	return New(Options{
		Admitter: f, Claimer: f, Config: config, Crashes: f, FirstByte: time.Minute, Gate: gates.NewGate(gates.Static(100)),
		Idle: time.Minute, InFlight: 1000, Local: f, Pool: pool.New(), Secret: secret, Self: self, Stats: stats.New(),
		Table: table, Tracer: noop.NewTracerProvider().Tracer(""), Zone: "zone",
	})
}

// BenchmarkCall measures a call over an entry node and an upstream's node, all
// in one process, and its allocations, those of net/http among them.
func BenchmarkCall(b *testing.B) {
	upstream := listenOn(b, answerAll)
	gate := newRelay(b, netip.AddrPort{}, upstream)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { gate.ServePeer(w, r) }))
	server.Start()
	defer server.Close()
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	gate.Self = peer
	entry := newRelay(b, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: peer, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		entry.ServeCaller(recorder, httptest.NewRequest(http.MethodGet, "/ledger/x", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Body.String())
		}
	}
}
