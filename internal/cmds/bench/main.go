// Bench measures the latency and processor time that nodes add to a call. It runs a
// fleet of separate processes and compares calls through an entry node and the
// upstream's node with direct calls to the upstream, in alternating turns. With
// -control it measures the control traffic of idle fleets instead.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/version/edits"
	"github.com/wasabibend/wasabibend/pkg/rows"
	"github.com/wasabibend/wasabibend/platform/objs"
)

const (
	// clockTicksPerSecond is the number of clock ticks in a second. Processor times in
	// /proc/PID/stat are in clock ticks.
	clockTicksPerSecond = 100
	// openConnections is the number of connections of callers with which the memory
	// of the entry node is measured.
	openConnections = 1300
	// timeout applies to the whole run.
	timeout = 5 * time.Minute
	// maxLatencyMicros is the highest latency in the histograms, in microseconds.
	// Longer ones count as this.
	maxLatencyMicros = int64(10 * time.Second / time.Microsecond)
	// pageSizeBytes is the size of a page of memory. Sizes in /proc/PID/statm are in
	// pages.
	pageSizeBytes = 4096
	// turnDuration is the length of a turn with a fixed number of callers. Turns of
	// open loops take four times as long.
	turnDuration = 500 * time.Millisecond
	// unlimited is a rate and a burst that the load of this program never reaches.
	unlimited = 1e6
)

// bench is a running fleet with an entry node, which has no upstream, and a host with
// the upstream.
type bench struct {
	entry, upstream *procs.Host
	fleet           *procs.Fleet
	key             string
	turns           int
}

// path is a way to the upstream, direct or through nodes, and the results measured
// on it.
type path struct {
	calls     int64
	failed    int64
	histogram *hdrhistogram.Histogram
	mu        sync.Mutex
	spent     time.Duration
	address   netip.AddrPort
}

func main() {
	control := flag.String("control", "", "measure the control traffic of fleets of these `sizes` instead, such as 10,20,40")
	settings := flag.String("settings", "", "a `line` to add to the section Limits of the nodes' settings")
	turns := flag.Int("turns", 10, "the `number` of turns of each path")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	work := func() error { return run(ctx, *settings, *turns) }
	if *control != "" {
		work = func() error { return runControl(ctx, *control) }
	}
	if err := work(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(ctx context.Context, settings string, turns int) error {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return trace.Wrap(err)
	}
	defer os.RemoveAll(dir)
	fleet, err := procs.New(procs.Options{Dir: dir, Hosts: []string{"alpha:-", "alpha:ledger"}, ProgramPath: procs.SiblingPath, Settings: "[Limits]\n" + settings + "\n"})
	if err != nil {
		return trace.Wrap(err)
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	b := &bench{entry: fleet.Hosts[0], fleet: fleet, upstream: fleet.Hosts[1], turns: turns}
	if err := b.configure(ctx); err != nil {
		return trace.Wrap(err)
	}
	fmt.Println("load                 direct p50/p99 us   by nodes p50/p99 us   added p50/p99 us   calls/s direct/nodes  node CPU us a call")
	for _, rate := range []int{46, 460} {
		b.measure(ctx, fmt.Sprintf("open loop %d/s", rate), func(ctx context.Context, p *path) { b.openLoop(ctx, p, rate) })
	}
	for _, callers := range []int{1, 15, 200} {
		b.measure(ctx, fmt.Sprintf("%d callers", callers), func(ctx context.Context, p *path) { b.closedLoop(ctx, p, callers) })
	}
	return trace.Wrap(b.memory())
}

// configure adds a row whose rate limit is never reached, grants a key, and waits
// until both are in force at the entry node.
func (b *bench) configure(ctx context.Context) error {
	editor := edits.New(objs.New(b.fleet.PlatformURL))
	if _, err := editor.SetRow(ctx, time.Now(), "* /ledger", "amis", 0, func(row *rows.Row) error {
		row.Rate, row.Burst = unlimited, unlimited
		return nil
	}); err != nil {
		return trace.Wrap(err)
	}
	var err error
	if b.key, err = editor.GrantKey(ctx, time.Now(), "amis"); err != nil {
		return trace.Wrap(err)
	}
	return procs.Await(ctx, func() error {
		response, err := procs.Send(ctx, http.DefaultClient, procs.Request{Key: b.key, Method: http.MethodGet, Path: "/ledger/x", Address: b.entry.Callers()})
		if err == nil && response.Status != http.StatusOK {
			err = trace.BadParameter("status %d", response.Status)
		}
		return err
	})
}

// measure runs a load on both paths in alternating turns, after one turn through the
// nodes that does not count, and prints a line of the table.
func (b *bench) measure(ctx context.Context, name string, load func(context.Context, *path)) {
	direct, nodes := newPath(b.upstream.Server()), newPath(b.entry.Callers())
	load(ctx, newPath(b.entry.Callers()))
	before := cpuTime(b.entry.Node.Pid()) + cpuTime(b.upstream.Node.Pid())
	for range b.turns {
		load(ctx, direct)
		load(ctx, nodes)
	}
	spent := cpuTime(b.entry.Node.Pid()) + cpuTime(b.upstream.Node.Pid()) - before
	percentile := func(p *path, q float64) int64 { return p.histogram.ValueAtQuantile(q) }
	fmt.Printf("%-18s %10d/%-8d %11d/%-10d %8d/%-9d %10.0f/%-8.0f %8d\n", name,
		percentile(direct, 50), percentile(direct, 99), percentile(nodes, 50), percentile(nodes, 99),
		percentile(nodes, 50)-percentile(direct, 50), percentile(nodes, 99)-percentile(direct, 99),
		float64(direct.calls)/direct.spent.Seconds(), float64(nodes.calls)/nodes.spent.Seconds(),
		spent.Microseconds()/max(nodes.calls, 1))
	if failed := direct.failed + nodes.failed; failed > 0 {
		fmt.Printf("  %d calls failed\n", failed)
		if status, err := b.fleet.Status(ctx, b.entry); err == nil {
			fmt.Printf("  refusals of the entry node so far: %v\n", status.Refusals)
		}
	}
}

// newPath returns a path to an address, without results.
func newPath(address netip.AddrPort) *path {
	return &path{histogram: hdrhistogram.New(1, maxLatencyMicros, 3), address: address}
}

// openLoop starts calls at random times with a mean rate a second, however long the
// responses take.
func (b *bench) openLoop(ctx context.Context, p *path, rate int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	started := time.Now()
	for time.Since(started) < 4*turnDuration {
		time.Sleep(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
		calls.Go(func() { b.call(ctx, client, p) })
	}
	calls.Wait()
	p.spent += time.Since(started)
}

// closedLoop runs a number of callers, each of which makes one call after the other.
func (b *bench) closedLoop(ctx context.Context, p *path, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	started := time.Now()
	for range callers {
		calls.Go(func() {
			for time.Since(started) < turnDuration {
				b.call(ctx, client, p)
			}
		})
	}
	calls.Wait()
	p.spent += time.Since(started)
}

// call makes a call and records its latency, or a failure.
func (b *bench) call(ctx context.Context, client *http.Client, p *path) {
	started := time.Now()
	response, err := procs.Send(ctx, client, procs.Request{Key: b.key, Method: http.MethodGet, Path: "/ledger/x", Address: p.address})
	latency := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if err != nil || response.Status != http.StatusOK {
		p.failed++
		return
	}
	_ = p.histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// memory prints the resident memory of the entry node before and after
// openConnections connections are opened and used.
func (b *bench) memory() error {
	before := residentSet(b.entry.Node.Pid())
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range openConnections {
		c, err := net.Dial("tcp", b.entry.Callers().String())
		if err != nil {
			return trace.Wrap(err)
		}
		open = append(open, c)
		if _, err := fmt.Fprintf(c, "GET /ledger/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", b.key); err != nil {
			return trace.Wrap(err)
		}
		if _, err := io.ReadAtLeast(c, make([]byte, 4096), 1); err != nil {
			return trace.Wrap(err)
		}
	}
	after := residentSet(b.entry.Node.Pid())
	fmt.Printf("resident memory of the entry node: %d KiB after the load, %d KiB with %d open connections\n", before>>10, after>>10, openConnections)
	return nil
}

// cpuTime returns the processor time that a process has used, or 0 if it cannot be
// read.
func cpuTime(pid int) time.Duration {
	fields := procFields(pid, "stat")
	if len(fields) < 15 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[13], 10, 64)
	system, _ := strconv.ParseInt(fields[14], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentSet returns the resident memory of a process in bytes, or 0 if it cannot be
// read.
func residentSet(pid int) int64 {
	fields := procFields(pid, "statm")
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * pageSizeBytes
}

// procFields returns the fields of a file of a process in /proc, nil if it cannot be
// read.
func procFields(pid int, file string) []string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil
	}
	return strings.Fields(string(data))
}
