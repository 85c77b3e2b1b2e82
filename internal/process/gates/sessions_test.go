package gates

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestSessions runs the scripts in testdata, which check the decisions of a queue
// step by step in simulated time.
func TestSessions(t *testing.T) {
	steps.Run(t, "testdata/*.txtar", func() steps.Session {
		return &gateSession{ScriptState: steps.NewScriptState(), names: make(map[*Ticket]string), tickets: make(map[string]*Ticket)}
	})
}

// gateSession is the state of a running script.
type gateSession struct {
	steps.ScriptState
	names   map[*Ticket]string
	queue   *Queue
	tickets map[string]*Ticket
}

// End implements steps.Session.
func (s *gateSession) End(*testing.T) {}

// Step implements steps.Session.
func (s *gateSession) Step(t *testing.T, words []string) {
	switch words[0] {
	case "limit": // limit N
		n, err := strconv.Atoi(words[1])
		assert.NilError(t, err)
		s.queue = NewQueue(Static(n))
	case "offer": // offer NAME CUSTOMER IMPORTANCE [DEPTH [WEIGHT [DEADLINE]]]
		s.offer(t, words[1:])
	case "finish": // finish NAME
		s.queue.Answered(s.Now, s.tickets[words[1]])
		runs, refused := s.queue.Finish(s.Now, s.tickets[words[1]], false)
		s.show(runs, refused)
	case "lose": // lose NAME, whose request ends without a response
		runs, refused := s.queue.Finish(s.Now, s.tickets[words[1]], true)
		s.show(runs, refused)
	case "cold": // cold TIME, which is how long the upstream is still cold
		d, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		s.queue.SetCold(s.Now, s.Now.Add(d), ColdStart{PerSecond: 4, Time: 3 * time.Second})
	case "starts": // starts FROM TO: the requests that start if they come all the time
		s.starts(t, words[1], words[2])
	case "next":
		runs, refused := s.queue.Next(s.Now)
		s.show(runs, refused)
	case "rate": // rate N, 0 for none
		n, err := strconv.ParseFloat(words[1], 64)
		assert.NilError(t, err)
		s.queue.SetRate(s.Now, n)
	case "repeat": // sends the request of an admitted ticket once more
		fmt.Fprintf(&s.Out, ": %t", s.queue.TakeRepeat(s.Now))
	default:
		t.Fatalf("unknown step %q", words)
	}
}

// starts shows how many requests start in each second between two times, if one waits
// at all times and each takes 10 ms.
func (s *gateSession) starts(t *testing.T, from, to string) {
	start := s.Now
	times := make([]time.Duration, 2)
	for i, text := range []string{from, to} {
		d, err := time.ParseDuration(text)
		assert.NilError(t, err)
		times[i] = d
	}
	count := 0
	for at := times[0]; at < times[1]; at += 10 * time.Millisecond {
		now := start.Add(at)
		ticket := &Ticket{Customer: "load", Deadline: now.Add(time.Hour), Importance: 9, Weight: 1}
		if runs, _ := s.queue.Offer(now, ticket); runs {
			count++
			s.queue.Answered(now.Add(time.Millisecond), ticket)
			s.queue.Finish(now.Add(time.Millisecond), ticket, false)
		} else {
			s.queue.Cancel(ticket)
		}
		if (at+10*time.Millisecond)%time.Second == 0 {
			fmt.Fprintf(&s.Out, ": %d", count)
			count = 0
		}
	}
}

func (s *gateSession) offer(t *testing.T, words []string) {
	numbers := []float64{0, 0, 1, 3600}
	for i, word := range words[2:] {
		v, err := strconv.ParseFloat(word, 64)
		assert.NilError(t, err)
		numbers[i] = v
	}
	ticket := &Ticket{Customer: words[1], Deadline: s.Now.Add(time.Duration(numbers[3] * float64(time.Second))), Depth: int(numbers[1]), Importance: int(numbers[0]), Weight: numbers[2]}
	s.tickets[words[0]] = ticket
	s.names[ticket] = words[0]
	runs, refused := s.queue.Offer(s.Now, ticket)
	if runs {
		s.Out.WriteString(": runs")
	}
	s.show(nil, refused)
}

func (s *gateSession) show(runs, refused []*Ticket) {
	s.list(": runs", runs)
	s.list(": refused", refused)
}

func (s *gateSession) list(label string, tickets []*Ticket) {
	var names []string
	for _, ticket := range tickets {
		names = append(names, s.names[ticket])
	}
	slices.Sort(names)
	if len(names) > 0 {
		fmt.Fprintf(&s.Out, "%s %s", label, strings.Join(names, " "))
	}
}

// TestGradientRestoresLimitOfSlowUpstream checks that the limit recovers when it
// fell because the upstream itself became slower, and not because of a queue.
func TestGradientRestoresLimitOfSlowUpstream(t *testing.T) {
	const slots = 25
	g := NewGradient()
	now := time.Unix(1000, 0)
	run := func(service time.Duration, seconds int) {
		end := now.Add(time.Duration(seconds) * time.Second)
		for now.Before(end) {
			inFlight := g.Limit()
			latency := max(service, service*time.Duration(inFlight)/slots)
			now = now.Add(latency / time.Duration(inFlight))
			g.Observe(now, Sample{InFlight: inFlight, Latency: latency})
		}
	}
	run(40*time.Millisecond, 20)
	before := g.Limit()
	assert.Check(t, before >= slots && before <= 2*slots, "initial limit %d", before)
	run(200*time.Millisecond, 20)
	assert.Check(t, g.Limit() >= slots && g.Limit() <= 2*slots, "limit %d while the upstream is slow", g.Limit())
	run(40*time.Millisecond, 20)
	assert.Check(t, g.Limit() >= slots && g.Limit() <= 2*slots, "limit %d after the upstream recovered", g.Limit())
}
