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
	"github.com/wasabibend/wasabibend/internal/process/crash"
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

	mu       sync.Mutex
	until    time.Time // end of the watch
	watching bool
}

// begin keeps a run in flight for lateCrashTime, and watches the upstream for as long.
func (w *crashWatch) begin(now time.Time, address netip.AddrPort, instance string, run *crash.Run) {
	time.AfterFunc(lateCrashTime, func() { w.relay.Crashes.End(now.Add(lateCrashTime), run, false) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.until = now.Add(lateCrashTime)
	if w.watching || w.ctx.Err() != nil {
		return
	}
	w.watching = true
	w.workers.Go(func() { w.watch(address, instance) })
}

// watch reports a crash if the upstream ends before the watch is over.
func (w *crashWatch) watch(address netip.AddrPort, instance string) {
	for w.continues(time.Now()) {
		if w.awaitEnd(address) && !w.relay.acceptsConnections(address) {
			w.relay.Local.MarkDown(instance)
			w.relay.Crashes.ReportCrash(time.Now())
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
	w.watching = now.Before(w.until)
	return w.watching
}

// end returns when the watch is over, unless another call extends it.
func (w *crashWatch) end() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.until
}

// stop ends the watch.
func (w *crashWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = false
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
	for until := w.end(); time.Now().Before(until); until = w.end() {
		if err := c.SetReadDeadline(until); err != nil {
			return false
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return w.ctx.Err() == nil
		}
	}
	return false
}
