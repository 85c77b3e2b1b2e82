package conns

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestIdleLimits runs the scripts in testdata/limits. It guards against a configuration that
// lowers the idle limit and so closes connections on which callers send requests within the
// limit that they knew, which get no answer.
func TestIdleLimits(t *testing.T) {
	steps.Run(t, "testdata/limits/*.txtar", func() steps.Session {
		return &limitSession{ScriptState: steps.NewScriptState(), conns: make(map[string]*Conn), tracker: NewTracker(10, testIdleTimeout)}
	})
}

// limitSession runs steps on the connections of a Tracker: limit DURATION sets the idle
// limit; open, active, idle and closed CONN set the state of a connection; close closes the
// idle connections and stop does so as a stop does, and both print those that end; untracked
// CONN prints whether Close closes a connection whose state is never set.
type limitSession struct {
	steps.ScriptState
	conns   map[string]*Conn
	tracker *Tracker
}

// End implements steps.Session.
func (s *limitSession) End(*testing.T) {}

// Step implements steps.Session.
func (s *limitSession) Step(t *testing.T, words []string) {
	switch words[0] {
	case "active":
		s.tracker.SetState(s.Now, s.conns[words[1]], http.StateActive)
	case "close":
		s.tracker.CloseIdle(s.Now)
		s.printEnded()
	case "idle":
		s.tracker.SetState(s.Now, s.conns[words[1]], http.StateIdle)
	case "limit":
		limit, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		s.tracker.SetIdleTimeout(limit)
	case "open":
		s.conns[words[1]], _ = connPair(t)
		s.tracker.SetState(s.Now, s.conns[words[1]], http.StateNew)
	case "stop":
		s.tracker.stopIdle(s.Now)
		s.printEnded()
	case "untracked":
		s.closeUntracked(t)
	default:
		t.Fatalf("unknown step %q", words)
	}
}

// closeUntracked closes a connection whose state is never set and of which bytes were read,
// and prints whether it is closed.
func (s *limitSession) closeUntracked(t *testing.T) {
	t.Helper()
	conn, caller := connPair(t)
	_, err := caller.Write(make([]byte, 1))
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	_, err = conn.TCPConn.Read(make([]byte, 1))
	fmt.Fprintf(&s.Out, ": %t", errors.Is(err, net.ErrClosed))
}

// printEnded prints the names of the connections that are asked to end.
func (s *limitSession) printEnded() {
	var ended []string
	for name, conn := range s.conns {
		if conn.endReason != "" {
			ended = append(ended, name)
			s.tracker.SetState(s.Now, conn, http.StateClosed)
			delete(s.conns, name)
		}
	}
	slices.Sort(ended)
	fmt.Fprintf(&s.Out, ": %s", strings.Join(ended, " "))
}
