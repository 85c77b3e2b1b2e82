// Bench measures what the nodes add to a call: it runs a fleet of separate
// processes and compares calls over an entry node and an upstream's node with
// direct calls to the upstream, taken in turns.
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
	// clockTicks is the number of ticks a second in /proc/PID/stat.
	clockTicks = 100
	// connections is the number of open connections of callers.
	connections = 1300
	// limit bounds the whole run.
	limit = 5 * time.Minute
	// maxLatency is the longest latency that is told apart.
	maxLatency = int64(10 * time.Second / time.Microsecond)
	// pageSize is the size of a page of memory in bytes.
	pageSize = 4096
	// turn is how long one side is measured before it is the other's turn.
	turn = 500 * time.Millisecond
	// unbounded is a rate and burst that no load here reaches.
	unbounded = 1e6
)

// bench is a running fleet and its two ways to the upstream.
type bench struct {
	entry, gate *procs.Host
	fleet       *procs.Fleet
	key         string
	turns       int
}

// side is a way to the upstream.
type side struct {
	calls     int64
	failed    int64
	histogram *hdrhistogram.Histogram
	mu        sync.Mutex
	spent     time.Duration
	to        netip.AddrPort
}

func main() {
	control := flag.String("control", "", "measure the control traffic of fleets of these `sizes` instead, as in 10,20,40")
	settings := flag.String("settings", "", "a `line` to add to section Limits of the nodes' settings")
	turns := flag.Int("turns", 10, "the `number` of turns of each side")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	b := &bench{entry: fleet.Hosts[0], fleet: fleet, gate: fleet.Hosts[1], turns: turns}
	if err := b.configure(ctx); err != nil {
		return trace.Wrap(err)
	}
	fmt.Println("load                 direct p50/p99 us   by nodes p50/p99 us   added p50/p99 us   calls/s direct/nodes  node CPU us a call")
	for _, rate := range []int{46, 460} {
		b.measure(ctx, fmt.Sprintf("open loop %d/s", rate), func(ctx context.Context, s *side) { b.openLoop(ctx, s, rate) })
	}
	for _, callers := range []int{1, 15, 200} {
		b.measure(ctx, fmt.Sprintf("%d callers", callers), func(ctx context.Context, s *side) { b.closedLoop(ctx, s, callers) })
	}
	return trace.Wrap(b.memory())
}

// configure sets a row that bounds nothing and grants a key.
func (b *bench) configure(ctx context.Context) error {
	editor := edits.New(objs.New(b.fleet.PlatformURL))
	if _, err := editor.SetRow(ctx, time.Now(), "* /ledger", "amis", 0, func(row *rows.Row) error {
		row.Rate, row.Burst = unbounded, unbounded
		return nil
	}); err != nil {
		return trace.Wrap(err)
	}
	var err error
	if b.key, err = editor.GrantKey(ctx, time.Now(), "amis"); err != nil {
		return trace.Wrap(err)
	}
	return procs.Await(ctx, func() error {
		answer, err := procs.Send(ctx, http.DefaultClient, procs.Request{Key: b.key, Method: http.MethodGet, Path: "/ledger/x", Address: b.entry.Callers()})
		if err == nil && answer.Status != http.StatusOK {
			err = trace.BadParameter("status %d", answer.Status)
		}
		return err
	})
}

// measure runs a load on both sides in turns and prints a line.
func (b *bench) measure(ctx context.Context, name string, load func(context.Context, *side)) {
	direct, nodes := newSide(b.gate.Server()), newSide(b.entry.Callers())
	load(ctx, newSide(b.entry.Callers()))
	before := cpuTime(b.entry.Node.Pid()) + cpuTime(b.gate.Node.Pid())
	for range b.turns {
		load(ctx, direct)
		load(ctx, nodes)
	}
	spent := cpuTime(b.entry.Node.Pid()) + cpuTime(b.gate.Node.Pid()) - before
	at := func(s *side, q float64) int64 { return s.histogram.ValueAtQuantile(q) }
	fmt.Printf("%-18s %10d/%-8d %11d/%-10d %8d/%-9d %10.0f/%-8.0f %8d\n", name,
		at(direct, 50), at(direct, 99), at(nodes, 50), at(nodes, 99),
		at(nodes, 50)-at(direct, 50), at(nodes, 99)-at(direct, 99),
		float64(direct.calls)/direct.spent.Seconds(), float64(nodes.calls)/nodes.spent.Seconds(),
		spent.Microseconds()/max(nodes.calls, 1))
	if failed := direct.failed + nodes.failed; failed > 0 {
		fmt.Printf("  %d calls failed\n", failed)
		if status, err := b.fleet.Status(ctx, b.entry); err == nil {
			fmt.Printf("  refusals of the entry node so far: %v\n", status.Refusals)
		}
	}
}

func newSide(to netip.AddrPort) *side {
	return &side{histogram: hdrhistogram.New(1, maxLatency, 3), to: to}
}

// openLoop makes calls at random times, however long the answers take.
func (b *bench) openLoop(ctx context.Context, s *side, rate int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	started := time.Now()
	for time.Since(started) < 4*turn {
		time.Sleep(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
		calls.Go(func() { b.call(ctx, client, s) })
	}
	calls.Wait()
	s.spent += time.Since(started)
}

// closedLoop lets callers make one call after the other.
func (b *bench) closedLoop(ctx context.Context, s *side, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	started := time.Now()
	for range callers {
		calls.Go(func() {
			for time.Since(started) < turn {
				b.call(ctx, client, s)
			}
		})
	}
	calls.Wait()
	s.spent += time.Since(started)
}

func (b *bench) call(ctx context.Context, client *http.Client, s *side) {
	started := time.Now()
	answer, err := procs.Send(ctx, client, procs.Request{Key: b.key, Method: http.MethodGet, Path: "/ledger/x", Address: s.to})
	latency := time.Since(started)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err != nil || answer.Status != http.StatusOK {
		s.failed++
		return
	}
	_ = s.histogram.RecordValue(min(latency.Microseconds(), maxLatency))
}

// memory prints the memory of the entry node without and with open
// connections of callers.
func (b *bench) memory() error {
	before := residentSet(b.entry.Node.Pid())
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range connections {
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
	fmt.Printf("resident memory of the entry node: %d KiB after the load, %d KiB with %d open connections\n", before>>10, after>>10, connections)
	return nil
}

// cpuTime returns the processor time that a process used.
func cpuTime(pid int) time.Duration {
	fields := procFields(pid, "stat")
	if len(fields) < 15 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[13], 10, 64)
	system, _ := strconv.ParseInt(fields[14], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentSet returns the resident memory of a process in bytes.
func residentSet(pid int) int64 {
	fields := procFields(pid, "statm")
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * pageSize
}

func procFields(pid int, file string) []string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil
	}
	return strings.Fields(string(data))
}
