package quota

import (
	"context"
	"errors"
	"expvar"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

const (
	// maxCandidates is the largest number of candidates for a shard's
	// allocator, including its holder.
	maxCandidates = 3
	// confirmTimeout is how long a holder waits for the platform or for
	// promises.
	confirmTimeout = 250 * time.Millisecond
	// unavailableRetryAfter is the time after which a caller should retry if an
	// allocator does not answer.
	unavailableRetryAfter = time.Second
	// leaseInterval is the time between rounds of the lease loop.
	leaseInterval = 200 * time.Millisecond
	// maxTokenWait is the longest time for which a request waits for a token.
	maxTokenWait = 50 * time.Millisecond
	// createBackoff is the time after a failed attempt to create an allocator in which
	// the node learns who has created it.
	createBackoff = time.Second
	// pruneRounds is the number of rounds of the lease loop from one pruning to
	// the next.
	pruneRounds = 120
	// fastRoundDivisor is the number of fast rounds in a leaseInterval.
	fastRoundDivisor = 5
	// fastRoundCount is the number of fast rounds after a handover is received.
	fastRoundCount = 20
	// maxMissedAnswers is the number of questions in a row to the holder
	// without a positive answer after which the first candidate takes over.
	maxMissedAnswers = 2
	// writeTimeout is how long a node waits for a write to the platform, or for
	// the answer to a Handover.
	writeTimeout = 3 * time.Second
)

// Mesh carries messages between nodes.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
	// RoundTrip returns how long a node lately took to answer, 0 if that is unknown.
	RoundTrip(to netip.AddrPort) time.Duration
}

// Options are the dependencies and settings of a Client.
type Options struct {
	Config *snaps.Holder
	// Limits returns the limit of a key in the configuration in force, over all
	// availability zones. It returns false if the key has none.
	Limits func(key Key) (Limit, bool)
	Log    zerolog.Logger
	Mesh   Mesh
	Self   netip.AddrPort
	Shards int
	Store  store.Store
	Table  *member.Table
	Zone   string
	Zones  []string
}

// Client admits requests within their customers' rates, and grants tokens for
// the shards whose allocators the node holds.
type Client struct {
	Options
	asks   *expvar.Map   // by outcome
	busy   []atomic.Bool // by shard: whether a round maintains it
	leases []*Lease      // by shard
	cache  *Cache
	// createAfter is the time, by shard, before which the node does not create the
	// allocator. Only the goroutine that maintains a shard uses its element.
	createAfter []time.Time
	wakeLoop    chan struct{} // begins a round of the lease loop
	fastRounds  atomic.Int64  // remaining fast rounds of the lease loop
	workers     conc.WaitGroup
	zoneIndex   int // of Zone in Zones
}

// NewClient returns a Client and registers its message handlers on the mesh.
func NewClient(now time.Time, options Options) *Client {
	c := &Client{Options: options, asks: new(expvar.Map).Init(), cache: NewCache(now), wakeLoop: make(chan struct{}, 1), zoneIndex: slices.Index(options.Zones, options.Zone)}
	c.busy = make([]atomic.Bool, options.Shards)
	c.createAfter = make([]time.Time, options.Shards)
	for range options.Shards {
		c.leases = append(c.leases, NewLease(now, options.Self))
	}
	c.Mesh.Handle(wire.KindAsk, c.handleAsk)
	c.Mesh.Handle(wire.KindHandover, c.handleHandover)
	c.Mesh.Handle(wire.KindHolding, c.handleHolding)
	c.Mesh.Handle(wire.KindPromise, c.handlePromise)
	return c
}

// Admit uses one token of a key and returns nil. If there is no token, it
// returns a refusal with the time after which to retry. The parameter within is
// the time in which a retry is still useful to the caller, or 0 if it always
// is. If a token will be available within maxTokenWait, up to maxWaiters
// requests of the key wait for it.
func (c *Client) Admit(ctx context.Context, now time.Time, key Key, limit Limit, within time.Duration) *refuse.Refusal {
	if c.cache.Take(now, key, limit) {
		c.prefetch(ctx, now, key)
		return nil
	}
	refusal := c.askAll(ctx, now, key, limit)
	if refusal != nil && refusal.RetryAfter <= maxTokenWait && c.cache.AddWaiter(key) {
		defer c.cache.RemoveWaiter(key)
		if pause.For(ctx, refusal.RetryAfter) == nil {
			refusal = c.askAll(ctx, time.Now(), key, limit)
		}
	}
	now = time.Now()
	if refusal == nil {
		c.cache.RecordAdmission(now, key)
		return nil
	}
	if refusal.Cause == refuse.RateExceeded {
		refusal.RetryAfter = c.cache.RetryAfter(now, key, refusal.RetryAfter, within)
	}
	return refusal
}

// askAll asks the allocators of all availability zones in turn for a token,
// beginning with the node's own zone. It asks none if they recently answered
// that they had no token.
func (c *Client) askAll(ctx context.Context, now time.Time, key Key, limit Limit) *refuse.Refusal {
	if wait := c.cache.EmptyFor(now, key); wait > 0 {
		return newRateExceeded(wait)
	}
	wait := maxEmptyTime
	var unanswered []string
	for i := range c.Zones {
		zone := (c.zoneIndex + i) % len(c.Zones)
		if limit.ZoneShare(key, zone, len(c.Zones)).Burst < 1 {
			continue
		}
		ask := Ask{Key: key, Now: 1, Shard: c.shardOf(key), Zone: c.Zones[zone]}
		grant, err := c.ask(ctx, time.Now(), &ask, zone == c.zoneIndex)
		if err != nil {
			unanswered = append(unanswered, c.Zones[zone]+": "+string(outcomeOf(err)))
			continue
		}
		if grant.Now > 0 {
			return nil
		}
		wait = min(wait, grant.Wait)
	}
	if len(unanswered) > 0 {
		return refuse.New(refuse.RateUnavailable, unavailableRetryAfter, "an allocator of the customer's rate does not answer, and the others have no more (%s)", strings.Join(unanswered, ", "))
	}
	c.cache.SetEmpty(time.Now(), key, wait)
	return newRateExceeded(wait)
}

// askOutcome is what became of an Ask.
type askOutcome string

// Outcomes of Asks.
const (
	askAnswered   askOutcome = "Answered"
	askFailed     askOutcome = "Failed"     // the link broke, or the node answered with an error
	askLate       askOutcome = "Late"       // the answer came after the tokens had to be used
	askNoRecord   askOutcome = "NoRecord"   // no holder is known
	askNotHere    askOutcome = "NotHere"    // this node is the recorded holder and may not grant tokens
	askUnanswered askOutcome = "Unanswered" // no answer in time
)

// outcomeOf returns the outcome of an Ask that failed with err, nil for none.
func outcomeOf(err error) askOutcome {
	switch {
	case err == nil:
		return askAnswered
	case errors.Is(err, errNoRecord):
		return askNoRecord
	case errors.Is(err, errNotHere):
		return askNotHere
	case trace.IsLimitExceeded(err):
		return askLate
	case errors.Is(err, context.DeadlineExceeded):
		return askUnanswered
	}
	return askFailed
}

// Errors of an Ask that was not sent.
var (
	errNoRecord = errors.New("no allocator is recorded")
	errNotHere  = errors.New("the allocator is not here")
)

// Asks returns the numbers of Asks, by outcome.
func (c *Client) Asks() expvar.Var {
	return c.asks
}

// newRateExceeded returns the refusal of a request for which there is no token.
func newRateExceeded(wait time.Duration) *refuse.Refusal {
	return refuse.New(refuse.RateExceeded, max(wait, time.Millisecond), "the customer's rate over all hosts is used up")
}

// LeaseState describes how the node holds the allocator of a shard. It returns
// false if the node is not the holder or has had no confirmation within
// LeaseDuration.
func (c *Client) LeaseState(shard int, now time.Time) (claims.LeaseState, bool) {
	return c.leases[shard].State(now)
}

// HeldShards returns the shards whose allocators the node holds, whether or not
// it may grant tokens for them.
func (c *Client) HeldShards() []int {
	var shards []int
	for shard, lease := range c.leases {
		if lease.Holds() {
			shards = append(shards, shard)
		}
	}
	return shards
}

// prefetch asks for tokens to hold in the background, if the demand requires
// them.
func (c *Client) prefetch(ctx context.Context, now time.Time, key Key) {
	ask := Ask{Key: key, Shard: c.shardOf(key), Zone: c.Zone}
	if !c.cache.PlanPrefetch(now, &ask, c.holderRoundTrip(&ask)) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	c.workers.Go(func() {
		guard.Run(c.Log, "tokens", func() { _, _ = c.call(ctx, time.Now(), &ask) })
	})
}

// ask sends an Ask for immediate tokens. If it goes to the node's own
// availability zone, it also asks for tokens to hold.
func (c *Client) ask(ctx context.Context, sent time.Time, ask *Ask, own bool) (*Grant, error) {
	c.cache.BeginImmediate(sent, ask)
	defer c.cache.EndImmediate(ask)
	if own {
		c.cache.PlanPrefetch(sent, ask, c.holderRoundTrip(ask))
	}
	grant, err := c.call(ctx, sent, ask)
	if err == nil && grant.Valid > 0 {
		c.settle(ctx, ask)
	}
	return grant, err
}

// settle tells the allocator in the background that the immediate tokens of an Ask are
// used. It does so for those that the allocator would otherwise count as unused for long.
func (c *Client) settle(ctx context.Context, ask *Ask) {
	settled := &Ask{Below: c.cache.SettledBelow(ask), Key: ask.Key, Shard: ask.Shard, Zone: ask.Zone}
	ctx = context.WithoutCancel(ctx)
	c.workers.Go(func() {
		guard.Run(c.Log, "settled tokens", func() {
			if _, err := c.exchange(ctx, time.Now(), settled); err != nil {
				c.Log.Debug().Err(err).Str("Zone", ask.Zone).Msg("settling immediate tokens failed")
			}
		})
	})
}

// Times of Asks to holders that answer slowly.
const (
	// maxPatience is the longest time for which a node waits for an answer. Tokens that
	// come later could not be used any more.
	maxPatience = nodeGrantTTL * 8 / 9
	// slowFactor is the wait for an answer as a multiple of the time that the holder
	// lately took.
	slowFactor = 3
)

// patience returns how long to wait for an answer that lately took a time.
func patience(roundTrip time.Duration) time.Duration {
	return max(askTimeout, min(slowFactor*roundTrip, maxPatience))
}

// holderRoundTrip returns how long the holder of an Ask's allocator lately took to answer,
// 0 if that is unknown.
func (c *Client) holderRoundTrip(ask *Ask) time.Duration {
	record, ok := c.Config.Snapshot().Allocator(ask.Zone, ask.Shard)
	if !ok || record.Holder == c.Self {
		return 0
	}
	return c.Mesh.RoundTrip(record.Holder)
}

// call sends an Ask and returns the answer. If the Ask is for tokens to hold,
// call also applies the answer to the cache. An answer with immediate tokens that comes so
// late that the allocator may have stopped counting them as unused is an error.
func (c *Client) call(ctx context.Context, sent time.Time, ask *Ask) (*Grant, error) {
	grant, err := c.exchange(ctx, sent, ask)
	now := time.Now()
	if err == nil && grant.Now > 0 && now.Sub(sent) >= grant.usableFor() {
		err = trace.LimitExceeded("the allocator answered after %v, want less than %v", now.Sub(sent), grant.usableFor())
	}
	c.asks.Add(string(outcomeOf(err)), 1)
	if ask.Seq != 0 {
		c.cache.ApplyGrant(sent, now, ask, grant)
	}
	return grant, trace.Wrap(err)
}

// exchange sends an Ask to the holder of the allocator, which may be this node,
// and returns its answer.
func (c *Client) exchange(ctx context.Context, sent time.Time, ask *Ask) (*Grant, error) {
	record, ok := c.Config.Snapshot().Allocator(ask.Zone, ask.Shard)
	if !ok {
		return nil, trace.Wrap(errNoRecord, "shard %d of zone %q", ask.Shard, ask.Zone)
	}
	var grant Grant
	if record.Holder == c.Self {
		var err error
		if grant, err = c.answerAsk(sent, c.Self, ask); err != nil {
			return nil, trace.Wrap(err)
		}
		return &grant, nil
	}
	wait := patience(c.Mesh.RoundTrip(record.Holder))
	if ask.Now > 0 && wait > askTimeout {
		ask.Patience = wait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := c.Mesh.Call(ctx, record.Holder, wire.KindAsk, ask, &grant); err != nil {
		return nil, trace.Wrap(err)
	}
	return &grant, nil
}

// answerAsk answers an Ask as the holder of the shard's allocator. It returns
// errNotHere if the node may not grant tokens for the shard, and a NotFound error if the
// key has no limit.
func (c *Client) answerAsk(now time.Time, node netip.AddrPort, ask *Ask) (Grant, error) {
	if ask.Zone != c.Zone || ask.Shard >= len(c.leases) {
		return Grant{}, trace.Wrap(errNotHere)
	}
	allocator := c.leases[ask.Shard].Allocator(now)
	if allocator == nil || !allocator.Started(now) {
		return Grant{}, trace.Wrap(errNotHere)
	}
	limit, ok := c.Limits(ask.Key)
	if !ok {
		return Grant{}, trace.NotFound("no limit for %q and %q", ask.Key.Route, ask.Key.Customer)
	}
	return allocator.GrantTokens(now, node, ask, limit.ZoneShare(ask.Key, c.zoneIndex, len(c.Zones))), nil
}

func (c *Client) handleAsk(from netip.AddrPort, body []byte) (any, error) {
	var ask Ask
	if err := wire.Decode(body, &ask); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.answerAsk(time.Now(), from, &ask)
}

// shardOf returns the shard of a key's customer.
func (c *Client) shardOf(key Key) int {
	return int(xxhash.Sum64String(key.Customer) % uint64(c.Shards))
}
