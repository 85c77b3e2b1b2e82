package quota

import (
	"context"
	"flag"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// unreliableSeeds is the number of runs of a case, each with its own seed. Fifty are run by
// hand.
var unreliableSeeds = flag.Uint64("unreliable-seeds", 5, "the `number` of seeds of each case of TestUnreliableLinks")

// TestUnreliableLinks runs the cases of testdata/unreliable.csv in virtual time. Questions
// and answers are slow, delayed by random times and thereby reordered, lost and delivered
// twice, while nodes die, zones are cut off and allocators are taken over. No customer may
// get more than its burst and rate in any time window.
func TestUnreliableLinks(t *testing.T) {
	steps.Cases(t, "testdata/unreliable.csv", func(t *testing.T, record []string) {
		t.Parallel()
		admitted, lent := 0, 0
		for seed := range *unreliableSeeds {
			synctest.Test(t, func(t *testing.T) {
				n, loans := runUnreliable(t, record, seed)
				admitted += n
				lent += loans
			})
		}
		t.Logf("%d requests admitted, %d loans", admitted, lent)
		assert.Check(t, admitted > 0)
		assert.Check(t, lent > 0 || record[7] == "no", "no node got a loan")
	})
}

// runUnreliable runs one record with one seed, and returns the numbers of admitted requests
// and of loans. The fields of the record are: name, number of zones, nodes per zone, rate,
// burst, requests per second, origin of the requests (see sendRequests), whether loans are
// expected, and events. An event is a time since requests began, + or - for the begin or end
// of a fault, and its name.
func runUnreliable(t *testing.T, record []string, seed uint64) (admitted, lent int) {
	number := func(i int) float64 { return parseNumber(t, record[i]) }
	limit := Limit{Burst: number(4), Rate: number(3)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	links := newUnreliableLinks(seed)
	f := newFleet(ctx, t, int(number(1)), int(number(2)), limit, links)
	f.duration = unreliableDuration
	time.Sleep(warmUp)
	var work sync.WaitGroup
	work.Go(func() { f.sendRequests(ctx, seed, "large", number(5), record[6], limit) })
	work.Go(func() {
		start := time.Now()
		for _, event := range strings.Fields(record[8]) {
			sign := strings.IndexAny(event, "+-")
			at, err := time.ParseDuration(event[:sign])
			assert.Check(t, err)
			time.Sleep(time.Until(start.Add(at)))
			for event[sign] == '+' && !f.hasHolder("zone0") && time.Since(start) < f.duration {
				time.Sleep(usualDelay) // until a takeover ends
			}
			f.setFault(ctx, event[sign+1:], event[sign] == '+')
		}
	})
	work.Wait()
	assert.Check(t, withinLimit(f.admitted["large"], limit), "seed %d: the customer got more than its rate and burst", seed)
	cancel()
	time.Sleep(drainTime)
	return len(f.admitted["large"]), links.lent
}

// unreliableDuration is how long the customer sends requests in a case.
const unreliableDuration = 14 * time.Second

// unreliableLinks delay, lose and double the messages between nodes' clients at random, in
// addition to what the network does.
type unreliableLinks struct {
	mu      sync.Mutex
	doubled float64 // fraction of questions delivered twice
	jitter  time.Duration
	lent    int     // answers with a loan
	lost    float64 // fraction of questions, and of answers
	random  *rand.Rand
}

func newUnreliableLinks(seed uint64) *unreliableLinks {
	return &unreliableLinks{random: rand.New(rand.NewPCG(seed, 2))}
}

// setFault begins or ends a fault: "jitter-MS", "lost-PERCENT" or "doubled-PERCENT". It
// returns false if the name is of another.
func (l *unreliableLinks) setFault(name string, on bool) bool {
	kind, text, ok := strings.Cut(name, "-")
	value, err := strconv.ParseFloat(text, 64)
	if l == nil || !ok || err != nil {
		return false
	}
	if !on {
		value = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch kind {
	case "jitter":
		l.jitter = time.Duration(value) * time.Millisecond
	case "lost":
		l.lost = value / 100
	case "doubled":
		l.doubled = value / 100
	}
	return true
}

// copies returns how often a question is delivered.
func (l *unreliableLinks) copies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.doubled {
		return 2
	}
	return 1
}

// deliver waits for the random delay of a message. It returns false if the message is lost.
func (l *unreliableLinks) deliver() bool {
	l.mu.Lock()
	delay := time.Duration(l.random.Float64() * float64(l.jitter))
	lost := l.random.Float64() < l.lost
	l.mu.Unlock()
	time.Sleep(delay)
	return !lost
}

// endpoint returns a node's Mesh: the endpoint itself if the links are nil.
func (l *unreliableLinks) endpoint(ctx context.Context, inner *mesh.Node) Mesh {
	if l == nil {
		return inner
	}
	return &unreliableEndpoint{Node: inner, ctx: ctx, links: l, trips: make(map[netip.AddrPort]time.Duration)}
}

// unreliableEndpoint is a node's end of unreliableLinks.
type unreliableEndpoint struct {
	*mesh.Node
	ctx   context.Context // ends with the node
	links *unreliableLinks

	mu    sync.Mutex
	trips map[netip.AddrPort]time.Duration // of the last answers
}

// rawAnswer is an encoded answer.
type rawAnswer struct {
	cbor.RawMessage
}

// Check implements wire.Checker.
func (*rawAnswer) Check() error {
	return nil
}

// lateTime is how long a question or answer may be on its way after the sender has given up.
const lateTime = 8 * time.Second

// Call implements Mesh. A question that the sender gives up on is still delivered.
func (e *unreliableEndpoint) Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error {
	data, err := wire.Encode(request)
	if err != nil {
		return trace.Wrap(err)
	}
	sent := time.Now()
	copies := e.links.copies()
	answers := make(chan rawAnswer, copies)
	failures := make(chan error, copies)
	for range copies {
		go func() {
			callCtx, cancel := context.WithTimeout(e.ctx, lateTime)
			defer cancel()
			if !e.links.deliver() {
				return
			}
			var raw rawAnswer
			if err := e.Node.Call(callCtx, to, kind, cbor.RawMessage(data), &raw); err != nil {
				failures <- err
			} else if e.links.deliver() {
				e.mu.Lock()
				e.trips[to] = time.Since(sent)
				e.mu.Unlock()
				answers <- raw
			}
		}()
	}
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case err := <-failures:
		return trace.Wrap(err)
	case raw := <-answers:
		if err := wire.Decode(raw.RawMessage, answer); err != nil {
			return trace.Wrap(err)
		}
		e.links.countLoan(answer)
		return nil
	}
}

// countLoan counts an answer if it has a loan.
func (l *unreliableLinks) countLoan(answer wire.Checker) {
	if grant, ok := answer.(*Grant); ok && grant.Rate > 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lent++
	}
}

// RoundTrip implements Mesh. It returns how long the last answer took, also if it came after
// the sender had given up.
func (e *unreliableEndpoint) RoundTrip(to netip.AddrPort) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trips[to]
}
