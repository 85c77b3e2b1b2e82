package gates

import (
	"context"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// expireEvery is the interval at which waiting requests are looked at when
// none finishes.
const expireEvery = 20 * time.Millisecond

// Load is what a gate tells other nodes of itself.
type Load struct {
	InFlight, Limit, Waiting int
	// Wait is how long requests waited lately, here or at what they call.
	Wait time.Duration
}

// Gate is the only way to the upstream beside the node. Its lock is a leaf.
type Gate struct {
	mu    sync.Mutex
	queue *Queue
	wake  chan struct{} // tells Run that a request waits
}

// NewGate returns a Gate with a Limiter.
func NewGate(limiter Limiter) *Gate {
	return &Gate{queue: NewQueue(limiter), wake: make(chan struct{}, 1)}
}

// Enter waits until a request may run. It returns a refusal if it may not.
// After nil, Leave must be called.
func (g *Gate) Enter(ctx context.Context, now time.Time, t *Ticket) *refuse.Refusal {
	g.mu.Lock()
	t.decided = make(chan bool, 1)
	runs, refused := g.queue.Offer(now, t)
	after := g.queue.RetryAfter()
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
		return refuse.New(refuse.Overloaded, after, "the upstream has no room")
	case <-ctx.Done():
		return g.giveUp(t, after)
	}
}

// Leave takes in that a request left the upstream.
func (g *Gate) Leave(now time.Time, t *Ticket, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs, refused := g.queue.Finish(now, t, failed)
	decide(runs, true)
	decide(refused, false)
}

// Reset begins anew with a Limiter, for an upstream that started cold.
func (g *Gate) Reset(limiter Limiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.limiter = limiter
	g.queue.mean = 0
}

// Load returns the gate's load.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{InFlight: g.queue.InFlight(), Limit: g.queue.Limit(), Wait: g.queue.Wait(now), Waiting: g.queue.Waiting()}
}

// Run looks at waiting requests until the context ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.lookAgain(time.Now()) {
			if pause.For(ctx, expireEvery) != nil {
				return
			}
		}
	}
}

// lookAgain decides on waiting requests and reports whether any is left.
func (g *Gate) lookAgain(now time.Time) bool {
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

// giveUp ends the wait of a request whose caller left.
func (g *Gate) giveUp(t *Ticket, after time.Duration) *refuse.Refusal {
	g.mu.Lock()
	withdrawn := g.queue.Withdraw(t)
	g.mu.Unlock()
	if !withdrawn && <-t.decided {
		g.Abandon(time.Now(), t)
	}
	return refuse.New(refuse.DeadlineExceeded, after, "the caller left before the request ran")
}

// Abandon frees the place of a request that was admitted but does not run.
func (g *Gate) Abandon(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs, refused := g.queue.Abandon(now, t)
	decide(runs, true)
	decide(refused, false)
}

func decide(tickets []*Ticket, admitted bool) {
	for _, t := range tickets {
		t.decided <- admitted
	}
}
