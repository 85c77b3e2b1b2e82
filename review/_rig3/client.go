package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	body                    []byte // sent in chunks; nil for a short one with its length
	host, key, method, path string
	limit                   time.Duration
}

// answer is what a client got for a request.
type answer struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int  // 0 without an answer
	complete bool // a whole answer came
	err      error
	seal     string // field Response-Seal
}

// client sends requests to a node. It keeps its connections.
type client struct {
	http   *http.Client
	node   *host
	record *record
}

func newClient(rec *record, node *host) *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}}, node: node, record: rec}
}

var lastID atomic.Int64

// send sends a request once and waits for its answer.
func (c *client) send(r request) answer {
	a := answer{id: fmt.Sprintf("r%06d", lastID.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	var body io.Reader
	switch {
	case r.body != nil:
		body = struct{ io.Reader }{bytes.NewReader(r.body)}
	case r.method == http.MethodPost:
		body = struct{ io.Reader }{strings.NewReader("body of " + a.id)}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.node.address(portOut)+r.path, body)
	if err != nil {
		a.err = err
		return a
	}
	switch {
	case r.body != nil:
		req.ContentLength = -1
	case body != nil:
		req.ContentLength = int64(len("body of " + a.id))
	}
	req.Host = r.host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.limit.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Api-Key", r.key)
	}
	response, err := c.http.Do(req)
	if err == nil {
		a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	a.ended, a.err, a.complete = time.Now(), err, err == nil
	c.record.add("client at %s: %s %s %s: status %d after %v, %v", c.node.name, a.id, r.method, r.path, a.status, a.ended.Sub(a.sent).Round(time.Millisecond), errText(err))
	return a
}

func errText(err error) string {
	if err == nil {
		return "complete"
	}
	return err.Error()
}

// answers collects what clients got.
type answers struct {
	mu  sync.Mutex
	all []answer
}

func (a *answers) add(one answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

// byID returns the answers by the id of the request.
func (a *answers) byID() map[string]answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := make(map[string]answer, len(a.all))
	for _, one := range a.all {
		found[one.id] = one
	}
	return found
}
