package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lateRuns checks DRAIN: it reports whether requests reached a backend later than drain_ms
// after the acknowledgement.
func lateRuns(f *fleet, b *backend) bool {
	late := b.lateArrivals(boundDrain)
	for _, a := range late {
		f.note("DRAIN: request %s reached %s %d ms after the acknowledgement", a.id, b.id, a.at.Sub(b.ackedAt).Milliseconds())
	}
	f.note("%d requests reached the draining backend later than %v after the acknowledgement", len(late), boundDrain)
	fmt.Printf("late requests: %d\n", len(late))
	return len(late) > 0
}

// playSlowUpload drains a backend while clients send their bodies in pieces.
func playSlowUpload(f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.add(zone, "kortasafn", backendOptions{work: fixed(400 * time.Millisecond)})
		f.add(zone, "boka", backendOptions{})
	}
	if err := f.startAll(&config{
		Routes:   []route{{Name: "upload", Host: vhost, PathPrefix: "/upload/", RouteType: "upload", TimeoutMS: 8000, TargetMS: 2000, Service: "kortasafn", MaxAttempts: 2}},
		Services: []service{newService("kortasafn"), newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key}}},
	}); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, h := range f.hosts {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if !uploadInPieces(f, h) {
					failed.Add(1)
				}
			}()
		}
	}
	time.Sleep(400 * time.Millisecond)
	leaving := f.hosts[0].backend
	if trouble {
		leaving.drain()
		leaving.leave()
	}
	wg.Wait()
	f.note("%d of %d uploads failed", failed.Load(), 3*len(f.hosts))
	fmt.Printf("uploads failed: %d of %d\n", failed.Load(), 3*len(f.hosts))
	return lateRuns(f, leaving), nil
}

// uploadInPieces sends an upload in chunks, the first of which comes after a pause, and
// reports whether it succeeded.
func uploadInPieces(f *fleet, h *host) bool {
	const bodyBytes = 60000
	const pause = 2600 * time.Millisecond
	id := newID()
	conn, err := net.DialTimeout("tcp", h.address(portOutbound), time.Second)
	if err != nil {
		f.note("request %s: %v", id, err)
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	f.note("the header of request %s (POST, in chunks) is sent to %s", id, h.name)
	fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, vhost, id, key)
	time.Sleep(pause)
	f.note("request %s: its body is sent", id)
	if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", bodyBytes, strings.Repeat("m", bodyBytes)); err != nil {
		f.note("request %s: %v", id, err)
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.note("request %s gets no answer: %v", id, err)
		return false
	}
	defer response.Body.Close()
	f.note("request %s gets %d", id, response.StatusCode)
	return response.StatusCode == http.StatusOK
}
