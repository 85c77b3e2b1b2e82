package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
)

// Timing of crash handling.
const (
	// probeTimeout bounds each step of the probe of an upstream that may have
	// crashed: the connect and the read.
	probeTimeout = 50 * time.Millisecond
	// suspectRetryAfter is the retry delay in a refusal because the upstream is
	// running another suspect.
	suspectRetryAfter = 100 * time.Millisecond
)

// checkCrash checks after a failed send, or a response that broke off, whether the upstream is
// down and, if so, marks it as down. It reports whether the upstream crashed while it was
// running the request. If the upstream may still run it, endRun goes on to watch it.
func (lc *localCall) checkCrash(err error) bool {
	var sendErr *pool.SendError
	unsent := errors.As(err, &sendErr) && !sendErr.Sent
	ended := lc.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case ended && unsent:
		return false
	case unsent:
		lc.relay.Local.MarkDown(lc.instance)
		return false
	case ended || lc.relay.acceptsConnections(lc.address):
		lc.mayStillRun = true
		return false
	}
	return lc.relay.recordEnd(time.Now(), lc.instance)
}

// recordEnd marks an instance of the upstream that has ended as down. It reports whether it
// crashed, and tells the other nodes: one that has said that it leaves ends as planned.
func (r *Relay) recordEnd(now time.Time, instance string) (crashed bool) {
	r.Local.MarkDown(instance)
	if r.Local.Leaving(instance) {
		return false
	}
	r.Crashes.ReportCrash(now)
	return true
}

// endRun ends the run of a call that has ended. If the upstream may still run the request, and
// it is not known to succeed, the run goes on for lateCrashTime.
func (lc *localCall) endRun(now time.Time, failed bool) {
	r := lc.relay
	if lc.mayStillRun && !r.Crashes.Innocent(now, lc.running.Chain.Fingerprint) {
		r.crashWatch.begin(now, lc)
		return
	}
	r.Crashes.End(now, lc.run, !failed)
}

// acceptsConnections reports whether a process accepts and keeps a connection at an
// address, or may do so. The listener of a process that is terminating may still accept
// connections, but they are closed at once.
func (r *Relay) acceptsConnections(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(r.Background, probeTimeout)
	defer cancel()
	c, err := r.Dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		var netErr net.Error
		// Nothing is known of the upstream if the node ends, or if no answer came in time.
		return r.Background.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
