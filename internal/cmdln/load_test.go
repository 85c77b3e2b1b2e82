package cmdln

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
)

// backgroundLoad is a set of callers that repeat a request while the script
// continues.
type backgroundLoad struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // requests by outcome
}

// stop waits for the requests in flight and returns the number of requests by
// outcome.
func (l *backgroundLoad) stop() map[string]int {
	l.cancel()
	l.callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// cmdLoad starts callers that repeat a request in the background:
// load CALLERS [FLAGS] METHOD PATH
// The callers are spread evenly over the nodes unless -node names one.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	callers, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseRequest(ts, args[1:])
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &backgroundLoad{cancel: cancel, counts: make(map[string]int)}
	for i := range callers {
		nodeRequest := r.Request
		if !slices.Contains(args, "-node") {
			nodeRequest.Address = s.fleet.Hosts[i%len(s.fleet.Hosts)].Callers()
		}
		s.load.callers.Go(func() { s.load.repeat(ctx, nodeRequest) })
	}
}

// callerPause is how long a caller waits after each request.
const callerPause = 5 * time.Millisecond

// repeat sends a request again and again until the context ends, and counts the
// outcomes. The end of the context does not interrupt a request in flight.
func (l *backgroundLoad) repeat(ctx context.Context, r procs.Request) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		response, err := procs.Send(context.WithoutCancel(ctx), client, r)
		outcome := "complete"
		switch {
		case err != nil && strings.Contains(err.Error(), "connection refused"):
			outcome = "connection refused"
		case err != nil:
			outcome = "incomplete"
		case response.Status != http.StatusOK:
			outcome = response.Header.Get("Wasabibend-Refusal")
		}
		l.mu.Lock()
		l.counts[outcome]++
		l.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// loadPatience is how long unload waits for the number of complete responses, which a busy
// machine reaches later.
const loadPatience = time.Minute

// awaitComplete waits until a number of requests got a complete response, or for
// loadPatience.
func (l *backgroundLoad) awaitComplete(count int) {
	for end := time.Now().Add(loadPatience); time.Now().Before(end); time.Sleep(callerPause) {
		l.mu.Lock()
		complete := l.counts["complete"]
		l.mu.Unlock()
		if complete >= count {
			return
		}
	}
}

// cmdUnload waits until at least MIN requests of the load got a complete
// response with status 200, ends the load, and checks that the others had one of the
// given outcomes:
// unload MIN [OUTCOME...]
// An outcome is the cause of a refusal, "connection refused", or "incomplete" if any
// other error occurred before the end of the response.
func cmdUnload(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	minComplete, err := strconv.Atoi(args[0])
	ts.Check(err)
	s.load.awaitComplete(minComplete)
	counts := s.load.stop()
	s.load = nil
	ts.Logf("outcomes of the load: %v", counts)
	for outcome := range counts {
		if outcome != "complete" && !slices.Contains(args[1:], outcome) {
			ts.Fatalf("unexpected outcome in the load: %v", counts)
		}
	}
	if counts["complete"] < minComplete {
		ts.Fatalf("want at least %d complete responses, got %v", minComplete, counts)
	}
}
