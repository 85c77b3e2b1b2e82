package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestRejectedBody runs the cases of testdata/rejected.csv in virtual time. It guards against
// a refusal that is held back until the rest of an unread body has come, for ever if it does
// not, and against such a body being taken for the next request.
func TestRejectedBody(t *testing.T) {
	steps.Cases(t, "testdata/rejected.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) { runRejected(t, record) })
	})
}

// runRejected runs one record. Its fields are the name, what refuses the request, the length
// of the body, how many bytes of it are sent, an additional header, when the refusal comes,
// whether the next request on the connection is sent with it or after the refusal, and
// whether that is answered.
func runRejected(t *testing.T, record []string) {
	length, err := strconv.Atoi(record[2])
	assert.NilError(t, err)
	sent, err := strconv.Atoi(record[3])
	assert.NilError(t, err)
	after, err := time.ParseDuration(record[5])
	assert.NilError(t, err)
	r := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{})
	handler := r.ServeCaller
	switch record[1] {
	case "entry":
		r.CloseEntry()
	case "limit":
		applyMaxBody(t, r, 10)
	case "nodes":
	case "token":
		handler = r.ServeUpstream
	default:
		t.Fatalf("unknown part %q", record[1])
	}
	caller, conn := net.Pipe()
	listener := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{}), server: &http.Server{Handler: http.HandlerFunc(handler)}}
	go func() { _ = listener.server.Serve(listener) }()
	listener.accept <- conn
	defer synctest.Wait()
	defer listener.server.Close()
	defer caller.Close()
	reader := bufio.NewReader(caller)
	started := time.Now()
	const next = "GET /ledger/x HTTP/1.1\r\nHost: x\r\n\r\n"
	requests := fmt.Sprintf("POST /ledger/x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", strings.ReplaceAll(record[4], `\r\n`, "\r\n"), length, strings.Repeat("GET /", sent/5))
	if record[6] == "with it" {
		requests += next
	}
	go func() { _, _ = io.WriteString(caller, requests) }()
	assert.NilError(t, caller.SetReadDeadline(started.Add(time.Hour)))
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err, "the refusal did not come")
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Check(t, response.StatusCode >= http.StatusBadRequest)
	assert.Equal(t, time.Since(started), after)
	if record[6] == "after" {
		go func() { _, _ = io.WriteString(caller, next) }()
	}
	_, err = http.ReadResponse(reader, nil)
	assert.Equal(t, strconv.FormatBool(err == nil), record[7], "%v", err)
}

// applyMaxBody limits the bodies of requests of a relay's open route.
func applyMaxBody(t *testing.T, r *Relay, maxBody int64) {
	t.Helper()
	row := rows.Default("* /ledger", rows.AnyCustomer)
	row.MaxBody, row.Open = maxBody, true
	value, err := kinds.Encode(&kinds.RowObject{Row: row})
	assert.NilError(t, err)
	r.Config.Apply(snaps.Delta{Objects: []store.Object{{Key: kinds.RowKey(row.Route, row.Customer), Value: value, Version: 2}}, Revision: 2})
}
