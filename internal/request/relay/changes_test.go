package relay

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

const (
	// changeAfter is when a change comes into force, counted from the request.
	changeAfter = time.Second
	// answerAfter is when the request goes on, or the upstream answers.
	answerAfter = 2 * changeAfter
)

// TestChangeInFlight runs the cases of testdata/changes.csv in virtual time. It guards
// against a change that is applied to a request that was admitted before it came into force,
// so that the request is cut or refused.
func TestChangeInFlight(t *testing.T) {
	steps.Cases(t, "testdata/changes.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runChange(t, record[1], record[2]) })
	})
}

// runChange makes a change while a request is at a stage.
func runChange(t *testing.T, stage, change string) {
	n := newPipeNodes(t, 2)
	defer n.close()
	catalog := &rows.Catalog{
		Customers: []rows.Customer{{Burst: 10, Keys: []string{"key"}, Name: "amis", Rate: 10}},
		Limits:    rows.Limits{BodyBytes: 1 << 20},
		Routes:    []rows.Route{{Attempts: 3, Host: "x", Idempotent: true, Importance: rows.MaxImportance, Name: "browse", Objective: 5 * time.Second, Prefix: "/", Shares: []rows.Share{{Service: "ledger", Weight: 1}}, Timeout: 10 * time.Second}},
	}
	n.entry.Catalog = snaps.NewHolder(snaps.WithCatalog("catalog", func(value []byte) (*rows.Catalog, error) {
		decoded := &rows.Catalog{}
		return decoded, json.Unmarshal(value, decoded)
	}))
	apply := func() {
		catalog.Version++
		value, err := json.Marshal(catalog)
		assert.NilError(t, err)
		from := n.entry.Catalog.Snapshot().Revision()
		n.entry.Catalog.Apply(snaps.Delta{From: from, Objects: []store.Object{{Key: "catalog", Value: value, Version: catalog.Version}}, Revision: catalog.Version})
		assert.Equal(t, n.entry.Catalog.Snapshot().CatalogVersion(), catalog.Version)
	}
	apply()
	request := httptest.NewRequest(http.MethodGet, "http://x/a", nil)
	response := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	n.hold(t, stage, &request, response)
	request.Header.Set(headerKey, "key")
	time.AfterFunc(changeAfter, func() {
		n.change(t, change, catalog)
		apply()
	})
	start := time.Now()
	n.entry.ServeCaller(response, request)
	assert.Equal(t, response.Code, http.StatusOK, response.Body.String())
	assert.Check(t, time.Since(start) <= answerAfter+changeAfter/10, "answered after %v", time.Since(start))
}

// hold lets a request wait at a stage until answerAfter. It may replace the request.
func (n *pipeNodes) hold(t *testing.T, stage string, request **http.Request, response *deadlineRecorder) {
	switch stage {
	case "body":
		caller, conn := net.Pipe()
		t.Cleanup(func() { _ = conn.Close() })
		response.conn = conn
		*request = httptest.NewRequest(http.MethodPut, "http://x/a", conn)
		go func() {
			defer caller.Close()
			if _, err := io.WriteString(caller, "some"); err != nil {
				return // the request has been given up
			}
			time.Sleep(answerAfter)
			if _, err := io.WriteString(caller, "more"); err != nil {
				return
			}
		}()
		n.serveUpstream = func(c net.Conn) { serveAfter(c, 0) }
	case "gate":
		gate := gates.NewGate(gates.Static(1))
		n.nodes[0].Gate = gate
		running := &gates.Ticket{Customer: "other", Deadline: time.Now().Add(time.Hour), Weight: 1}
		assert.Check(t, gate.Enter(t.Context(), time.Now(), running) == nil)
		time.AfterFunc(answerAfter, func() { gate.Leave(time.Now(), running, false) })
	case "rate":
		admitter := &slowAdmitter{granted: make(chan struct{}), waits: make(chan struct{})}
		n.entry.Admitter = admitter
		time.AfterFunc(answerAfter, admitter.grant)
	case "upstream":
		n.serveUpstream = func(c net.Conn) { serveAfter(c, answerAfter) }
	default:
		t.Fatalf("unknown stage %q", stage)
	}
}

// change changes the catalog or the first node.
func (n *pipeNodes) change(t *testing.T, change string, catalog *rows.Catalog) {
	node, route := n.nodes[0], &catalog.Routes[0]
	switch change {
	case "attempts lowered":
		route.Attempts = 1
	case "body limit lowered":
		catalog.Limits.BodyBytes = 1
	case "key withdrawn":
		catalog.Customers = nil
	case "node draining":
		node.CloseGate()
		node.FinishBy(time.Now(), time.Now())
	case "rate lowered":
		catalog.Customers[0].Rate, catalog.Customers[0].Burst = 0.01, 0.01
	case "regions restricted":
		route.Regions = []string{"elsewhere"}
	case "route moved":
		route.Shares[0].Service = "books"
	case "route removed":
		catalog.Routes = nil
	case "slots lowered":
		node.Gate.Reset(gates.Static(1))
	case "time limit lowered":
		route.Timeout, route.Objective = changeAfter/2, changeAfter/4
	case "zone evacuated":
		assert.Check(t, node.Gate.SetClosed(true))
	default:
		t.Errorf("unknown change %q", change)
	}
}

// serveAfter responds to each request on a connection after a time, once it has read the
// body.
func serveAfter(c net.Conn, delay time.Duration) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"); err != nil {
			return
		}
	}
}
