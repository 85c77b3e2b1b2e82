package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	cut    bool // the connection ended without a complete answer
	id     string
	sentAt time.Time
	status int // 0 without an answer
	took   time.Duration
	whole  bool // a success with the backend's seal and whole body
}

// client is a stand-in for the clients on the hosts. Each request is sent once.
type client struct {
	fleet *fleet
	http  *http.Client
}

func newClient(f *fleet) *client {
	return &client{fleet: f, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
}

// ask describes a request.
type ask struct {
	body       io.Reader
	bodyBytes  int64
	deadline   time.Duration
	host, path string
	key        string
	method     string
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request to a host's outbound address and waits for the answer.
func (c *client) send(to *host, a ask) answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	result := answer{id: newID(), sentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+to.address(portOutbound)+a.path, a.body)
	if err != nil {
		return result
	}
	request.Host = a.host
	request.ContentLength = a.bodyBytes
	request.Header.Set("Request-Id", result.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.key != "" {
		request.Header.Set("Api-Key", a.key)
	}
	c.fleet.note("request %s (%s %s) is sent to %s", result.id, a.method, a.path, to.name)
	response, err := c.http.Do(request)
	result.took = time.Since(result.sentAt)
	if err != nil {
		result.cut = ctx.Err() == nil
		c.fleet.note("request %s gets no answer: %v", result.id, err)
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.took = time.Since(result.sentAt)
	if err != nil {
		result.cut = ctx.Err() == nil
		c.fleet.note("request %s gets a cut answer with status %d: %v", result.id, response.StatusCode, err)
		return result
	}
	result.status = response.StatusCode
	result.whole = response.StatusCode == http.StatusOK && response.Header.Get("Response-Seal") == seal(result.id, body)
	c.fleet.note("request %s gets %d after %d ms, Retry-After %q", result.id, result.status, result.took.Milliseconds(), response.Header.Get("Retry-After"))
	return result
}
