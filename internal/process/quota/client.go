package quota

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// Bounds of the client.
const (
	candidates    = 3 // nodes that may hold a shard's allocator
	confirmTime   = 250 * time.Millisecond
	defaultWait   = time.Second
	leaseInterval = 200 * time.Millisecond
	patience      = 50 * time.Millisecond // longest wait for a token
	pruneEvery    = 120                   // rounds of the lease loop
	quickRounds   = 5                     // rounds of the lease loop within its interval, if need be
	quickTime     = 20                    // rounds that are made at once after a handover
	silentMost    = 2                     // questions without an answer before the first candidate takes over
	writeTime     = 3 * time.Second
)

// Mesh carries messages between nodes.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
}

// Options are what a Client works with.
type Options struct {
	Config *snaps.Holder
	// Limits returns the limit of a key by the configuration in force.
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

// Client admits requests within their customers' rates, and deals tokens for
// the shards whose allocators the node holds.
type Client struct {
	Options
	leases  []*Lease
	cache   *Cache
	hurry   chan struct{} // begins a round of the lease loop
	quickly atomic.Int64  // rounds of the lease loop to make at once
	workers conc.WaitGroup
	zone    int
}

// NewClient returns a Client and sets its handlers on the mesh.
func NewClient(now time.Time, options Options) *Client {
	c := &Client{Options: options, cache: NewCache(now), hurry: make(chan struct{}, 1), zone: slices.Index(options.Zones, options.Zone)}
	for range options.Shards {
		c.leases = append(c.leases, NewLease(now, options.Self))
	}
	c.Mesh.Handle(wire.KindAsk, c.handleAsk)
	c.Mesh.Handle(wire.KindHandover, c.handleHandover)
	c.Mesh.Handle(wire.KindHolding, c.handleHolding)
	c.Mesh.Handle(wire.KindPromise, c.handlePromise)
	return c
}

// Admit uses one token of a key. If there is none, it returns a refusal with
// the time after which to ask again, which is useful to its caller within a time,
// 0 for any. A few requests wait for a token that comes soon.
func (c *Client) Admit(ctx context.Context, now time.Time, key Key, limit Limit, within time.Duration) *refuse.Refusal {
	if c.cache.Take(now, key, limit) {
		c.askAhead(ctx, now, key)
		return nil
	}
	refusal := c.askAll(ctx, now, key, limit)
	if refusal != nil && refusal.RetryAfter <= patience && c.cache.Queue(key) {
		defer c.cache.Unqueue(key)
		if pause.For(ctx, refusal.RetryAfter) == nil {
			refusal = c.askAll(ctx, time.Now(), key, limit)
		}
	}
	now = time.Now()
	if refusal == nil {
		c.cache.Admitted(now, key)
		return nil
	}
	if refusal.Cause == refuse.RateExceeded {
		refusal.RetryAfter = c.cache.Return(now, key, refusal.RetryAfter, within)
	}
	return refusal
}

// askAll asks the allocators of all availability zones in turn, the own one
// first, unless they said a moment ago that they have no token.
func (c *Client) askAll(ctx context.Context, now time.Time, key Key, limit Limit) *refuse.Refusal {
	if wait := c.cache.EmptyFor(now, key); wait > 0 {
		return exceeded(wait)
	}
	wait := maxEmpty
	silent := false
	for i := range c.Zones {
		zone := (c.zone + i) % len(c.Zones)
		if limit.Part(key, zone, len(c.Zones)).Burst < 1 {
			continue
		}
		ask := Ask{Key: key, Now: 1, Shard: c.shard(key), Zone: c.Zones[zone]}
		grant, err := c.ask(ctx, time.Now(), &ask, zone == c.zone)
		if err != nil {
			silent = true
			continue
		}
		if grant.Now > 0 {
			return nil
		}
		wait = min(wait, grant.Wait)
	}
	if silent {
		return refuse.New(refuse.RateUnavailable, defaultWait, "an allocator of the customer's rate does not answer, and the others have no more")
	}
	c.cache.SetEmpty(time.Now(), key, wait)
	return exceeded(wait)
}

func exceeded(wait time.Duration) *refuse.Refusal {
	return refuse.New(refuse.RateExceeded, max(wait, time.Millisecond), "the customer's rate over all hosts is used up")
}

// Standing tells how the node holds a shard, or false if it does not.
func (c *Client) Standing(shard int, now time.Time) (claims.LeaseState, bool) {
	return c.leases[shard].Standing(now)
}

// Holds returns the shards whose allocators the node holds.
func (c *Client) Holds() []int {
	var shards []int
	for shard, lease := range c.leases {
		if lease.Holds() {
			shards = append(shards, shard)
		}
	}
	return shards
}

// askAhead asks for tokens to hold, if demand calls for them, without keeping
// the request waiting.
func (c *Client) askAhead(ctx context.Context, now time.Time, key Key) {
	ask := Ask{Key: key, Shard: c.shard(key), Zone: c.Zone}
	if !c.cache.Plan(now, &ask) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	c.workers.Go(func() {
		_, _ = c.call(ctx, time.Now(), &ask)
	})
}

// ask sends an Ask for use at once, and asks for tokens to hold along with it
// if it goes to the node's own availability zone.
func (c *Client) ask(ctx context.Context, sent time.Time, ask *Ask, own bool) (*Grant, error) {
	c.cache.BeginNow(sent, ask)
	defer c.cache.EndNow(ask)
	if own {
		c.cache.Plan(sent, ask)
	}
	return c.call(ctx, sent, ask)
}

func (c *Client) call(ctx context.Context, sent time.Time, ask *Ask) (*Grant, error) {
	grant, err := c.exchange(ctx, sent, ask)
	now := time.Now()
	if err == nil && now.Sub(sent) >= askTime {
		err = trace.LimitExceeded("the answer came too late")
	}
	if ask.Seq != 0 {
		c.cache.Settle(sent, now, ask, grant)
	}
	return grant, trace.Wrap(err)
}

func (c *Client) exchange(ctx context.Context, sent time.Time, ask *Ask) (*Grant, error) {
	record, ok := c.Config.Snapshot().Allocator(ask.Zone, ask.Shard)
	if !ok {
		return nil, trace.NotFound("no allocator is known")
	}
	var grant Grant
	if record.Holder == c.Self {
		var err error
		if grant, err = c.deal(sent, c.Self, ask); err != nil {
			return nil, trace.Wrap(err)
		}
		return &grant, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if err := c.Mesh.Call(ctx, record.Holder, wire.KindAsk, ask, &grant); err != nil {
		return nil, trace.Wrap(err)
	}
	return &grant, nil
}

// deal answers an Ask as the holder of the shard's allocator.
func (c *Client) deal(now time.Time, node netip.AddrPort, ask *Ask) (Grant, error) {
	if ask.Zone != c.Zone || ask.Shard >= len(c.leases) {
		return Grant{}, trace.NotFound("the allocator is not here")
	}
	allocator := c.leases[ask.Shard].Allocator(now)
	if allocator == nil || !allocator.Started(now) {
		return Grant{}, trace.NotFound("the allocator is not here")
	}
	limit, ok := c.Limits(ask.Key)
	if !ok {
		return Grant{}, trace.NotFound("no limit for %q and %q", ask.Key.Route, ask.Key.Customer)
	}
	return allocator.Deal(now, node, ask, limit.Part(ask.Key, c.zone, len(c.Zones))), nil
}

func (c *Client) handleAsk(from netip.AddrPort, body []byte) (any, error) {
	var ask Ask
	if err := wire.Decode(body, &ask); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.deal(time.Now(), from, &ask)
}

func (c *Client) shard(key Key) int {
	return int(xxhash.Sum64String(key.Customer) % uint64(c.Shards))
}
