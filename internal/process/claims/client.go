package claims

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

const (
	claimTimeout   = time.Second
	releaseTimeout = time.Second
	// retryAfter is the time after which a request whose claim got no answer should
	// be retried.
	retryAfter = time.Second
)

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 256

// Mesh sends messages between nodes.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	HandleSlow(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
}

// Options are the dependencies and settings of a Client.
type Options struct {
	Config *snaps.Holder
	Mesh   Mesh
	// Self is the address at which other nodes reach this one.
	Self netip.AddrPort
	// Shards is the number of shards in each availability zone.
	Shards int
	// LeaseState returns how the node holds a shard of its availability zone, or
	// false if it does not.
	LeaseState func(shard int, now time.Time) (LeaseState, bool)
	Log        zerolog.Logger
	Store      store.Store
	// Zone is the availability zone of the node, and Zones are those of the fleet.
	Zone  string
	Zones []string
}

// Client claims keys, and grants the claims of the shards that the node holds.
type Client struct {
	Options
	byShard []*ShardClaims
	workers conc.WaitGroup // sending releases
}

// NewClient returns a Client and registers its handler with the mesh.
func NewClient(options Options) *Client {
	c := &Client{Options: options}
	for shard := range options.Shards {
		c.byShard = append(c.byShard, NewShardClaims(options.Store, options.Zone, shard, options.Log, func(now time.Time) (LeaseState, bool) { return options.LeaseState(shard, now) }))
	}
	c.Mesh.HandleSlow(wire.KindClaim, c.handle)
	return c
}

// Rewrite writes the claims of all shards that the node holds to the store again, after
// the store was restored from an older copy. It returns when that is done or the context
// ends.
func (c *Client) Rewrite(ctx context.Context) {
	var workers conc.WaitGroup
	for _, claims := range c.byShard {
		workers.Go(func() { claims.Rewrite(ctx) })
	}
	workers.Wait()
}

// Wait waits until all releases have been sent.
func (c *Client) Wait() {
	c.workers.Wait()
}

// Request asks the holder of a shard to claim or release a key.
type Request struct {
	// Attempt identifies the attempt to run the request with the key. It is not 0,
	// which marks claims read from the store.
	Attempt uint64
	ID      ID
	Release bool `cbor:",omitempty"`
	Shard   int
	Zone    string
}

// Check implements wire.Checker.
func (r *Request) Check() error {
	if r.Attempt == 0 || r.Shard < 0 || r.Zone == "" {
		return trace.BadParameter("Request: want an attempt, a shard and a zone")
	}
	return nil
}

// Answer is the answer to a Request. It is empty for a release.
type Answer struct {
	Granted bool
}

// Check implements wire.Checker.
func (a *Answer) Check() error {
	return nil
}

// Claim claims a customer's idempotency key. If the refusal is nil, the request
// may run; if it then does not run, release must be called to give up the claim.
func (c *Client) Claim(ctx context.Context, customer, key string) (release func(), refusal *refuse.Refusal) {
	if len(key) > MaxKeyBytes {
		return nil, refuse.New(refuse.BadRequest, 0, "the idempotency key has more than %d bytes", MaxKeyBytes)
	}
	id := NewID(customer, key)
	request := &Request{
		Attempt: rand.Uint64() | 1,
		ID:      id,
		Shard:   int(xxhash.Sum64String(customer) % uint64(c.Shards)),
		Zone:    c.Zones[xxhash.Sum64(id[:])%uint64(len(c.Zones))],
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := c.send(ctx, request)
	if err != nil {
		// The claim may have been granted although no answer came.
		c.release(request)
		return nil, refuse.New(refuse.ClaimUnreachable, retryAfter, "the holder of the idempotency key does not answer")
	}
	if !answer.Granted {
		return nil, refuse.Uncertain(refuse.Repeated, "the idempotency key was used before")
	}
	return func() { c.release(request) }, nil
}

// send sends a request to the node that holds the shard, which may be this one.
func (c *Client) send(ctx context.Context, request *Request) (*Answer, error) {
	record, ok := c.Config.Snapshot().Allocator(request.Zone, request.Shard)
	if !ok {
		return nil, trace.NotFound("no node is known to hold the shard")
	}
	if record.Holder == c.Self {
		return c.serve(ctx, request)
	}
	var answer Answer
	if err := c.Mesh.Call(ctx, record.Holder, wire.KindClaim, request, &answer); err != nil {
		return nil, trace.Wrap(err)
	}
	return &answer, nil
}

// release gives up a claim in the background. It does not retry if that fails, as
// the claim expires.
func (c *Client) release(request *Request) {
	released := *request
	released.Release = true
	c.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		guard.Run(c.Log, "release of a claim", func() { _, _ = c.send(ctx, &released) })
	})
}

// serve handles a request for a shard that this node holds.
func (c *Client) serve(ctx context.Context, request *Request) (*Answer, error) {
	if request.Zone != c.Zone || request.Shard >= len(c.byShard) {
		return nil, trace.NotFound("the shard is not here")
	}
	claims := c.byShard[request.Shard]
	if request.Release {
		claims.Release(time.Now(), request.ID, request.Attempt)
		return &Answer{}, nil
	}
	granted, err := claims.Claim(ctx, request.ID, request.Attempt)
	return &Answer{Granted: granted}, trace.Wrap(err)
}

func (c *Client) handle(_ netip.AddrPort, body []byte) (any, error) {
	var request Request
	if err := wire.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	return c.serve(ctx, &request)
}
