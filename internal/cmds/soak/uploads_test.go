package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// TestLongRequest checks that a caller with a long body waits for 100 Continue if it asked for
// it, and goes on sending after an answer that comes first.
func TestLongRequest(t *testing.T) {
	for _, c := range []struct {
		name            string
		chunked, expect bool
		header          string // a part of the header that is sent
		interim         string // sent before the final response
		closes          bool
	}{
		{name: "length", header: "Content-Length: 20000"},
		{name: "chunked", chunked: true, header: "Transfer-Encoding: chunked"},
		{name: "continue", expect: true, header: "Expect: 100-continue", interim: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "answer in place of continue", expect: true, header: "Expect: 100-continue"},
		{name: "closed after the answer", chunked: true, closes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			request := &mimic.Request{Address: netip.MustParseAddrPort("127.0.0.1:80"), BodyBytes: 20000, Chunked: c.chunked, Expect: c.expect, Host: hostName, ID: "u-1", Method: http.MethodPost, Path: "/upload/u-1", Timeout: time.Minute}
			long := &longRequest{asked: make(chan struct{}, 1), conn: client, ended: make(chan struct{}), protocol: "HTTP/1.1", reader: bufio.NewReader(client), request: request, route: routeUpload}
			type result struct {
				outcome Outcome
				open    bool
			}
			done := make(chan result, 1)
			go func() {
				o, open := long.exchange(t.Context(), time.Now())
				done <- result{o, open}
			}()
			reader := bufio.NewReader(server)
			header := readHeader(t, reader)
			assert.Check(t, strings.Contains(header, c.header), header)
			answer := c.interim + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
			if c.closes {
				answer += "Connection: close\r\n"
			}
			_, err := io.WriteString(server, answer+"\r\n")
			assert.NilError(t, err)
			received, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(header), reader)))
			assert.NilError(t, err)
			body, err := io.ReadAll(received.Body)
			assert.NilError(t, err)
			assert.DeepEqual(t, body, request.Body())
			r := <-done
			assert.NilError(t, r.outcome.Err)
			assert.Equal(t, r.open, !c.closes)
			assert.Check(t, r.outcome.Response.NotRun)
		})
	}
}

// readHeader reads the header of a request.
func readHeader(t *testing.T, reader *bufio.Reader) string {
	var header strings.Builder
	for !strings.HasSuffix(header.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		header.WriteString(line)
	}
	return header.String()
}

// TestBodyTally checks that requests and bodies are counted once, and those with other bytes
// or another length as differing.
func TestBodyTally(t *testing.T) {
	obs := &Observations{}
	add := func(response *mimic.Response, err error, reads ...mimic.Record) {
		id := fmt.Sprintf("u-%d", len(obs.Outcomes))
		obs.Outcomes = append(obs.Outcomes, Outcome{BodyBytes: 20000, Err: err, ID: id, Response: response, Upload: true})
		for i, r := range reads {
			r.ID, r.Instance, r.Kind = id, fmt.Sprintf("i-%d", i), mimic.Read
			obs.Records = append(obs.Records, r)
		}
	}
	refused := mimic.Record{Body: &mimic.Body{Bytes: 10}, Early: http.StatusServiceUnavailable}
	whole := mimic.Record{Body: &mimic.Body{Bytes: 20000, Whole: true}}
	served := &mimic.Response{Status: http.StatusOK, Verified: true}
	add(served, nil, whole)
	add(served, nil, refused, whole)
	add(served, nil, refused, mimic.Record{Body: &mimic.Body{Bytes: 4096, DiffersAt: new(int64)}}, mimic.Record{Body: &mimic.Body{Bytes: 20000, DiffersAt: new(int64), Whole: true}})
	add(served, nil, mimic.Record{Body: &mimic.Body{Bytes: 19000, Whole: true}})
	add(&mimic.Response{Status: http.StatusServiceUnavailable, NotRun: true}, nil, refused)
	add(&mimic.Response{Status: http.StatusInternalServerError}, nil, mimic.Record{Body: &mimic.Body{Bytes: 20000, Whole: true}, Early: http.StatusInternalServerError})
	add(nil, io.EOF)
	var out strings.Builder
	newBodyTally(obs).print(&out)
	assert.Equal(t, out.String(), `long bodies: 7 requests, 4 served, 1 refused as not run, 1 other answers, 1 cut or not connected, 0 timed out
  all bodies: upstreams checked 8 with 99030 bytes, 5 of them whole; answered early: 0 with 200, 1 with 500, 3 refused; 2 requests were refused early and sent on; 2 differ
`)
}
