package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
)

const (
	// sampleInterval is the time between the two samples of a fleet's counters.
	sampleInterval = 10 * time.Second
	// warmupTime is the time between the start of a fleet and the first sample, so that
	// startup traffic does not count.
	warmupTime = 5 * time.Second
)

// controlMetrics holds the metrics of a node's links to other nodes.
type controlMetrics struct {
	Control struct {
		BytesIn, BytesOut, FramesIn, FramesOut, Links float64
	}
}

// sample holds, at one time, the sums of the metrics of a fleet's nodes and the
// counters of the platform's stand-in. The bytes and frames are those that the nodes
// have sent to each other. The resident memory is in bytes.
type sample struct {
	bytes, frames, links float64
	cpu                  time.Duration
	platform             objapi.Counts
	resident             int64
}

// runControl measures the control traffic of idle fleets and prints a table. The
// sizes are numbers of hosts, separated by commas.
func runControl(ctx context.Context, sizes string) error {
	fmt.Println("nodes  links a node  bytes/s out a node  frames/s out a node  CPU % of a core a node  resident KiB a node  platform reads/s  watches/s  writes")
	for text := range strings.SplitSeq(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 3 {
			return trace.BadParameter("invalid fleet size %q: want a number of at least 3", text)
		}
		if err := measureControl(ctx, size); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// measureControl measures an idle fleet of a number of hosts and prints a line.
func measureControl(ctx context.Context, size int) error {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return trace.Wrap(err)
	}
	defer os.RemoveAll(dir)
	var hosts []string
	for i := range size {
		hosts = append(hosts, fmt.Sprintf("zone%d:-", i%3))
	}
	fleet, err := procs.New(procs.Options{Dir: dir, Hosts: hosts, ProgramPath: procs.SiblingPath})
	if err != nil {
		return trace.Wrap(err)
	}
	defer fleet.Close()
	started := time.Now()
	if err := fleet.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	startupTime := time.Since(started)
	time.Sleep(warmupTime)
	before, err := takeSample(ctx, fleet)
	if err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(sampleInterval)
	after, err := takeSample(ctx, fleet)
	if err != nil {
		return trace.Wrap(err)
	}
	n, seconds := float64(size), sampleInterval.Seconds()
	fmt.Printf("%5d %13.1f %19.0f %20.1f %23.2f %20d %17.1f %10.1f %7d   formed in %v\n", size,
		after.links/n, (after.bytes-before.bytes)/n/seconds, (after.frames-before.frames)/n/seconds,
		100*(after.cpu-before.cpu).Seconds()/n/seconds, after.resident/int64(size)>>10,
		float64(after.platform.Reads-before.platform.Reads)/seconds,
		float64(after.platform.Watches-before.platform.Watches)/seconds,
		after.platform.Writes, startupTime.Round(100*time.Millisecond))
	return nil
}

// takeSample reads the counters of a fleet.
func takeSample(ctx context.Context, fleet *procs.Fleet) (*sample, error) {
	s := &sample{}
	for _, host := range fleet.Hosts {
		var metrics controlMetrics
		if err := getJSON(ctx, "http://"+host.Admin().String()+"/metrics", &metrics); err != nil {
			return nil, trace.Wrap(err)
		}
		s.bytes += metrics.Control.BytesOut
		s.frames += metrics.Control.FramesOut
		s.links += metrics.Control.Links
		s.cpu += cpuTime(host.Node.Pid())
		s.resident += residentSet(host.Node.Pid())
	}
	return s, trace.Wrap(getJSON(ctx, fleet.PlatformURL+"/counts", &s.platform))
}

// getJSON decodes the JSON that a URL returns.
func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	return trace.Wrap(json.NewDecoder(response.Body).Decode(into))
}
