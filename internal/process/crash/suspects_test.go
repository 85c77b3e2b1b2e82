package crash

import (
	"context"
	"hash/fnv"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
)

// TestSuspects runs the scripts of testdata/suspects.txtar in virtual time. It guards against
// a popular path that is refused for ten minutes because two upstreams crashed for other
// reasons, and against suspects that are refused for as long as equal requests overlap.
func TestSuspects(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "suspects.txtar"))
	assert.NilError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSuspectScript(t)
				for line := range strings.Lines(string(file.Data)) {
					s.step(t, strings.Fields(line))
				}
				s.cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// suspectScript is a fleet of three nodes and the requests that run at them.
type suspectScript struct {
	crashFleet
	cancel context.CancelFunc
	runs   map[string]scriptRun
}

// scriptRun is a run at a node.
type scriptRun struct {
	node int
	run  *Run
}

func newSuspectScript(t *testing.T) *suspectScript {
	ctx, cancel := context.WithCancel(t.Context())
	s := &suspectScript{cancel: cancel, runs: make(map[string]scriptRun)}
	s.crashFleet = crashFleet{cancels: make([]context.CancelFunc, 3), ctx: ctx, net: mesh.NewNetwork(time.Millisecond), nodes: make([]*Agent, 3)}
	for i := range s.nodes {
		s.start(t, i)
	}
	time.Sleep(5 * time.Second)
	return s
}

// request returns the fingerprint of a request by its name.
func request(name string) Fingerprint {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Fingerprint(h.Sum64())
}

// step runs one line of a script.
func (s *suspectScript) step(t *testing.T, words []string) {
	t.Helper()
	line := strings.Join(words, " ")
	now := time.Now()
	node := int(words[1][0] - 'a')
	switch words[0] {
	case "run", "repeat":
		run := s.nodes[node].Begin(now, request(words[2]), words[0] == "repeat")
		assert.Assert(t, run != nil, "%s: it is refused", line)
		s.runs[words[3]] = scriptRun{node: node, run: run}
	case "refused":
		assert.Check(t, s.nodes[node].Begin(now, request(words[2]), false) == nil, "%s: it runs", line)
	case "end", "fail":
		s.end(words[1], words[0] == "end")
	case "crash":
		s.nodes[node].ReportCrash(now)
		for name, run := range s.runs {
			if run.node == node {
				s.end(name, false)
			}
		}
	case "sleep":
		d, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		time.Sleep(d)
	case "restart":
		s.cancels[node]()
		s.net.Remove(address(node))
		time.Sleep(300 * time.Millisecond)
		s.start(t, node)
	case "served", "quarantined":
		for i, n := range s.nodes {
			refused := n.QuarantineLeft(now, request(words[1])) > 0
			assert.Check(t, refused == (words[0] == "quarantined"), "%s: node %d, refused: %v", line, i, refused)
		}
	default:
		t.Fatalf("unknown step %q", line)
	}
}

// end ends a run.
func (s *suspectScript) end(name string, succeeded bool) {
	run := s.runs[name]
	delete(s.runs, name)
	s.nodes[run.node].End(time.Now(), run.run, succeeded)
}
