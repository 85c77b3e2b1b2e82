package relay

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// lateCrashTime is for how long a request whose call has ended without a whole response may be
// what crashes the upstream, which may still run it.
const lateCrashTime = time.Second

// crashWatch watches the upstream while it may still run requests whose calls have ended, with
// one connection for all of them. No other lock is acquired while its lock is held.
type crashWatch struct {
	ctx     context.Context // ends the watch
	relay   *Relay
	workers conc.WaitGroup

	mu      sync.Mutex
	running bool
	watched watched
}

// watched is what is watched, and for how long.
type watched struct {
	address  netip.AddrPort
	instance string // of the upstream
	until    time.Time
}

// begin keeps the run of a call in flight for lateCrashTime, and watches the upstream for as
// long.
func (w *crashWatch) begin(now time.Time, lc *localCall) {
	run, until := lc.run, now.Add(lateCrashTime)
	time.AfterFunc(lateCrashTime, func() { w.relay.Crashes.End(until, run, false) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = watched{address: lc.address, instance: lc.instance, until: until}
	if w.running || w.ctx.Err() != nil {
		return
	}
	w.running = true
	w.workers.Go(w.run)
}

// run reports a crash if the upstream ends before the watch is over.
func (w *crashWatch) run() {
	for w.continues(time.Now()) {
		address := w.current().address
		if w.awaitEnd(address) && !w.relay.acceptsConnections(address) {
			w.relay.recordEnd(time.Now(), w.current().instance)
			w.stop()
			return
		}
		// An upstream that closes idle connections is not asked more often than this.
		if pause.For(w.ctx, probeTimeout) != nil {
			w.stop()
			return
		}
	}
}

// continues reports whether the watch goes on. If not, the next call begins another.
func (w *crashWatch) continues(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = now.Before(w.watched.until)
	return w.running
}

// current returns what is watched, which each call that ends may change.
func (w *crashWatch) current() watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watched
}

// stop ends the watch.
func (w *crashWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
}

// awaitEnd waits until the watch is over or a connection to the upstream ends, and reports
// whether that ended.
func (w *crashWatch) awaitEnd(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	c, err := w.relay.Dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return w.ctx.Err() == nil
	}
	defer context.AfterFunc(w.ctx, func() { _ = c.Close() })()
	defer c.Close()
	for until := w.current().until; time.Now().Before(until); until = w.current().until {
		if err := c.SetReadDeadline(until); err != nil {
			return false
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return w.ctx.Err() == nil
		}
	}
	return false
}
