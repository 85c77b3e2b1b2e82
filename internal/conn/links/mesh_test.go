package links

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// echo is a request that the test's handler returns as the answer.
type echo struct {
	Text string
}

// Check implements wire.Checker.
func (e *echo) Check() error {
	if e.Text == "" {
		return trace.BadParameter("Text is missing")
	}
	return nil
}

func newSecret(t *testing.T, text string) *fleet.Secret {
	t.Helper()
	secret, err := fleet.NewSecret(text)
	assert.NilError(t, err)
	return secret
}

// newTestMesh returns a mesh that accepts links on a loopback address, with a
// handler that returns each echo, and that address.
func newTestMesh(t *testing.T, secret string) (*Mesh, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	m := NewMesh(ctx, address, newSecret(t, secret))
	m.Handle(wire.KindPing, func(_ netip.AddrPort, body []byte) (any, error) {
		var e echo
		if err := wire.Decode(body, &e); err != nil {
			return nil, err
		}
		return e, nil
	})
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		m.Wait()
	})
	return m, address
}

// TestMeshSimultaneousDials makes two nodes open links to each other at the same
// time, which once deadlocked both meshes.
func TestMeshSimultaneousDials(t *testing.T) {
	for range 20 {
		a, addressA := newTestMesh(t, "the secret of the test")
		b, addressB := newTestMesh(t, "the secret of the test")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		var calls sync.WaitGroup
		for range 4 {
			for _, pair := range []struct {
				mesh *Mesh
				to   netip.AddrPort
			}{{a, addressB}, {b, addressA}} {
				calls.Go(func() {
					var answer echo
					assert.Check(t, pair.mesh.Call(ctx, pair.to, wire.KindPing, echo{Text: "x"}, &answer))
				})
			}
		}
		calls.Wait()
		cancel()
	}
}

// TestMeshRejects checks that a node with another secret cannot open a link, and
// that invalid messages and unknown kinds are answered with an error.
func TestMeshRejects(t *testing.T) {
	_, address := newTestMesh(t, "the secret of the test")
	otherSecret, _ := newTestMesh(t, "the secret of others")
	var answer echo
	err := otherSecret.Call(t.Context(), address, wire.KindPing, echo{Text: "x"}, &answer)
	assert.Check(t, trace.IsConnectionProblem(err), "%v", err)
	sameSecret, _ := newTestMesh(t, "the secret of the test")
	err = sameSecret.Call(t.Context(), address, wire.KindPing, echo{}, &answer)
	assert.ErrorContains(t, err, "Text is missing")
	err = sameSecret.Call(t.Context(), address, wire.KindNews, echo{Text: "x"}, &answer)
	assert.ErrorContains(t, err, "unknown")
}

// BenchmarkCall measures a request and its answer, including the work of both
// nodes.
func BenchmarkCall(b *testing.B) {
	secret, err := fleet.NewSecret("the secret of the test")
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serverMesh := NewMesh(ctx, address, secret)
	serverMesh.Handle(wire.KindPing, func(_ netip.AddrPort, body []byte) (any, error) {
		var e echo
		err := wire.Decode(body, &e)
		return e, err
	})
	server := &http.Server{Handler: serverMesh}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	clientMesh := NewMesh(ctx, netip.MustParseAddrPort("127.0.0.1:1"), secret)
	b.ReportAllocs()
	for b.Loop() {
		var answer echo
		if err := clientMesh.Call(ctx, address, wire.KindPing, echo{Text: "0123456789012345678901234567890123456789"}, &answer); err != nil {
			b.Fatal(err)
		}
	}
}

// TestMeshHandlerPanics guards against an unexpected error in the handler of one message
// that takes down the link, the count of accepted links or the process.
func TestMeshHandlerPanics(t *testing.T) {
	m, address := newTestMesh(t, "the secret of the test")
	fail := func(netip.AddrPort, []byte) (any, error) { panic("unexpected") }
	m.Handle(wire.KindNews, fail)
	m.HandleSlow(wire.KindClaim, fail)
	caller, _ := newTestMesh(t, "the secret of the test")
	var answer echo
	for _, kind := range []wire.Kind{wire.KindNews, wire.KindClaim} {
		err := caller.Call(t.Context(), address, kind, echo{Text: "x"}, &answer)
		assert.ErrorContains(t, err, "unexpected error")
	}
	link := caller.lookup(address)
	assert.NilError(t, caller.Call(t.Context(), address, wire.KindPing, echo{Text: "x"}, &answer))
	assert.Check(t, link != nil && caller.lookup(address) == link, "the link was closed")
	assert.Equal(t, m.Links(), 1)
}
