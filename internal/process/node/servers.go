package node

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/conn/links"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/request/relay"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// server is an HTTP server on one listener.
type server struct {
	drains   bool // requests in flight are finished when the node stops
	http     *http.Server
	listener *conns.Listener
}

// serve serves until the server or its listener is closed.
func (s *server) serve() {
	_ = s.http.Serve(s.listener)
}

// maxHeaderFields is the maximum number of header fields of a request. A request's header may
// be held while it waits, and a short field takes some thirty times as much memory as on the
// wire.
const maxHeaderFields = 256

// limitFields returns a handler that refuses requests with more than a number of header
// fields, and closes their connections.
func limitFields(handler http.Handler, limit int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fields := 0
		for _, values := range req.Header {
			fields += len(values)
		}
		if fields > limit {
			w.Header()["Connection"] = []string{"close"}
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		handler.ServeHTTP(w, req)
	})
}

// listen opens the listeners of all valid addresses in the settings. If one fails,
// it closes the others and returns the errors of all that failed.
func (n *Node) listen() ([]*server, error) {
	var servers []*server
	var errs []error
	listeners := []struct {
		address   netip.AddrPort
		drains    bool
		handler   http.Handler
		maxFields int
	}{
		{n.settings.Load().Admin, false, n.adminHandler(), maxHeaderFields},
		{n.settings.Load().Callers, true, http.HandlerFunc(n.relay.ServeCaller), maxHeaderFields},
		{n.settings.Load().PeersBind, false, n.peersHandler(), maxHeaderFields + relay.MaxNodeFields},
		{n.settings.Load().Upstream, false, n.upstreamHandler(), maxHeaderFields},
		{n.settings.Load().Ready, false, n.adminHandler(), maxHeaderFields},
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		listener, err := conns.Listen(n.ctx, l.address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s := &server{
			drains:   l.drains,
			http:     &http.Server{ConnContext: relay.CallerContext, ErrorLog: discardLogger(), Handler: guard.Handler(n.log, limitFields(l.handler, l.maxFields)), IdleTimeout: idleTimeout, MaxHeaderBytes: n.settings.Load().HeaderBytes, ReadHeaderTimeout: headerTimeout},
			listener: listener,
		}
		if l.drains {
			s.http.IdleTimeout = 0 // reapConns closes idle connections
			s.http.ConnState = func(conn net.Conn, state http.ConnState) { n.conns.SetState(time.Now(), conn, state) }
		}
		servers = append(servers, s)
	}
	if len(errs) > 0 {
		for _, s := range servers {
			_ = s.listener.Close()
		}
		return nil, trace.Wrap(errors.Join(errs...))
	}
	return servers, nil
}

// peersHandler returns the handler of the listener for other nodes: forwarded
// calls, the links between nodes, and offers of the secret.
func (n *Node) peersHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, links.Path, n.mesh)
	router.POST(pathAdopt, n.handleAdopt)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, relay.PathCall+"/") {
			n.relay.ServePeer(w, r)
			return
		}
		router.ServeHTTP(w, r)
	})
}

// upstreamHandler returns the handler of the listener for the upstream beside the
// node: its announcements, and in the native dialect the calls that it makes.
func (n *Node) upstreamHandler() http.Handler {
	if n.newUpstreamHandler != nil {
		return n.newUpstreamHandler(n)
	}
	router := httprouter.New()
	router.PUT(admin.PathAnnounce, n.handleAnnounce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == admin.PathAnnounce {
			router.ServeHTTP(w, r)
			return
		}
		n.relay.ServeUpstream(w, r)
	})
}
