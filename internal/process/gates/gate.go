package gates

import (
	"context"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// expireInterval is the interval at which Run checks the waiting requests, in
// case no request finishes in the meantime.
const expireInterval = 20 * time.Millisecond

// closedRetryAfter is the time after which a request that a closed gate has refused may be
// sent again. Gates are closed for as long as operators want, mostly for much longer.
const closedRetryAfter = time.Second

// Load is the load of a gate, as reported to other nodes.
type Load struct {
	// ColdFor is how much longer the upstream, or those of the services that it calls, are
	// cold, whichever is longer.
	ColdFor                  time.Duration
	InFlight, Limit, Waiting int
	// RateLimited is set if the upstream names a number of requests per second.
	RateLimited bool
	// Wait is the average recent wait of requests, at this gate or at the services
	// that they call, whichever is longer.
	Wait time.Duration
}

// Gate limits the requests in flight at the local upstream. Every request to the
// upstream passes through it. No other lock is acquired while its lock is held.
type Gate struct {
	mu     sync.Mutex
	closed bool // refuses all requests
	queue  *Queue
	wake   chan struct{} // wakes Run when a request starts to wait
}

// NewGate returns a Gate that uses a Limiter.
func NewGate(limiter Limiter) *Gate {
	return &Gate{queue: NewQueue(limiter), wake: make(chan struct{}, 1)}
}

// Enter waits until a request may run and returns nil; Leave or Abandon must
// then be called. It returns a refusal if the request may not run or the context
// ends first. A request that has an alternative is refused at once where it would have to
// wait for the upstream's rate.
func (g *Gate) Enter(ctx context.Context, now time.Time, t *Ticket) *refuse.Refusal {
	g.mu.Lock()
	if g.closed {
		defer g.mu.Unlock()
		return closedRefusal()
	}
	if t.HasAlternative && g.queue.RateExhausted(now) {
		defer g.mu.Unlock()
		return refuse.New(refuse.UpstreamLimited, g.queue.RetryAfter(now), "the upstream takes no more requests per second")
	}
	t.decided = make(chan bool, 1)
	runs, refused := g.queue.Offer(now, t)
	retryAfter := g.queue.RetryAfter(now)
	cause := refuse.Overloaded
	if g.queue.rates.limited() {
		cause = refuse.UpstreamLimited
	}
	decide(refused, false)
	g.mu.Unlock()
	if runs {
		return nil
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case admitted := <-t.decided:
		if admitted {
			return nil
		}
		if g.Closed() {
			return closedRefusal()
		}
		return refuse.New(cause, retryAfter, "the upstream has no room")
	case <-ctx.Done():
		return g.cancel(t, retryAfter)
	}
}

// closedRefusal returns the refusal of a request at a closed gate.
func closedRefusal() *refuse.Refusal {
	return refuse.New(refuse.Evacuated, closedRetryAfter, "the upstream's availability zone is evacuated, or may be")
}

// SetClosed sets whether the gate refuses all requests, including those that wait. It
// reports whether that changed.
func (g *Gate) SetClosed(closed bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == closed {
		return false
	}
	g.closed = closed
	if closed {
		decide(g.queue.RefuseAll(), false)
	}
	return true
}

// Closed reports whether the gate refuses all requests.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Leave records that a request has finished at the upstream, and admits or
// refuses waiting requests.
func (g *Gate) Leave(now time.Time, t *Ticket, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs, refused := g.queue.Finish(now, t, failed)
	decide(runs, true)
	decide(refused, false)
}

// Reset replaces the Limiter and discards the mean latency and the rate. It is for an
// upstream that has started cold, about which earlier responses say nothing.
func (g *Gate) Reset(limiter Limiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.limiter = limiter
	g.queue.meanSeconds = 0
	g.queue.rates = newRates()
}

// SetRate sets the number of requests per second that the upstream takes; 0 means no
// limit. It reports whether a limit began or ended.
func (g *Gate) SetRate(now time.Time, perSecond float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.queue.rates.named.limited()
	g.queue.SetRate(now, perSecond)
	return g.queue.rates.named.limited() != before
}

// Rate returns the number of requests per second that the upstream takes, 0 for no limit.
func (g *Gate) Rate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.rates.named.perSecond
}

// SetCold records that the upstream becomes warm at a time, which may have passed, and
// how many requests it takes until then.
func (g *Gate) SetCold(now, warmAt time.Time, start ColdStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCold(now, warmAt, start)
}

// ColdFor returns how long the upstream will still be cold, 0 if it is warm.
func (g *Gate) ColdFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ColdFor(now)
}

// Answered records that the upstream has responded to an admitted request.
func (g *Gate) Answered(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Answered(now, t)
}

// TakeRepeat reports whether a request that was admitted may be sent to the upstream once
// more within its rate.
func (g *Gate) TakeRepeat(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed && g.queue.TakeRepeat(now)
}

// Load returns the gate's load. Its ColdFor and Wait cover only this gate. While the
// upstream's rate leaves no room, it shows as many requests in flight as the limit.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := Load{ColdFor: g.queue.ColdFor(now), InFlight: g.queue.InFlight(), Limit: g.queue.Limit(), RateLimited: g.queue.rates.limited(), Wait: g.queue.Wait(now), Waiting: g.queue.Waiting()}
	if g.queue.RateExhausted(now) {
		load.InFlight = max(load.InFlight, load.Limit)
	}
	return load
}

// Run admits and expires waiting requests until the context ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.checkWaiting(time.Now()) {
			if pause.For(ctx, expireInterval) != nil {
				return
			}
		}
	}
}

// checkWaiting admits or refuses waiting requests and reports whether any still
// wait.
func (g *Gate) checkWaiting(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Waiting() == 0 {
		return false
	}
	runs, refused := g.queue.Next(now)
	decide(runs, true)
	decide(refused, false)
	return g.queue.Waiting() > 0
}

// cancel removes a waiting request whose context ended. If the request was
// admitted in the meantime, cancel abandons it.
func (g *Gate) cancel(t *Ticket, retryAfter time.Duration) *refuse.Refusal {
	g.mu.Lock()
	removed := g.queue.Cancel(t)
	g.mu.Unlock()
	if !removed && <-t.decided {
		g.Abandon(time.Now(), t)
	}
	return refuse.New(refuse.DeadlineExceeded, retryAfter, "the caller left before the request ran")
}

// Abandon releases the slot of a request that was admitted but does not run.
func (g *Gate) Abandon(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs, refused := g.queue.Abandon(now, t)
	decide(runs, true)
	decide(refused, false)
}

// decide sends the decision on requests to the calls of Enter that wait for it.
// It does not block, as the channels are buffered.
func decide(tickets []*Ticket, admitted bool) {
	for _, t := range tickets {
		t.decided <- admitted
	}
}
