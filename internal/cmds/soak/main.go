// Soak runs the real programs as separate processes on loopback, injects faults
// from outside, and checks what callers, upstreams and the operator see.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/pause"
)

// Signals that are sent to processes.
const (
	resume    = syscall.SIGCONT
	stop      = syscall.SIGSTOP
	terminate = syscall.SIGTERM
)

// Options are the properties of a soak.
type Options struct {
	// Dir is where logs are written, below a directory for each seed.
	Dir    string
	Events int
	Hosts  int
	// Length is the time in which faults begin.
	Length   time.Duration
	Out      io.Writer
	Programs func(name string) (string, error)
	// Timed tells to check the promises with a bound on time too.
	Timed bool
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	options := Options{Out: os.Stdout, Programs: procs.SiblingPath, Timed: true}
	flag.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "wasabibend-soak"), "the `directory` for logs")
	flag.IntVar(&options.Events, "events", 14, "the `number` of faults of a seed, at least")
	flag.IntVar(&options.Hosts, "hosts", 12, "the `number` of hosts, with a node and an upstream each")
	flag.DurationVar(&options.Length, "length", 20*time.Second, "the `time` in which faults begin")
	seed := flag.Uint64("seed", 1, "the first `seed`")
	seeds := flag.Uint64("seeds", 1, "the `number` of seeds")
	flag.Parse()
	broken := 0
	for s := *seed; s < *seed+*seeds; s++ {
		violations, err := Soak(ctx, s, options)
		if err != nil {
			return trace.Wrap(err, "seed %d", s)
		}
		if len(violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return trace.Errorf("%d of %d seeds broke a promise; logs are in %s", broken, *seeds, options.Dir)
	}
	return nil
}

// Soak plays one seed and returns the promises that were broken.
func Soak(ctx context.Context, seed uint64, options Options) ([]Violation, error) {
	dir, err := makeDir(options.Dir, seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	evidence, err := play(ctx, seed, dir, options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	violations := Check(evidence, options.Timed)
	served := 0
	for i := range evidence.Outcomes {
		if evidence.Outcomes[i].served() {
			served++
		}
	}
	fmt.Fprintf(options.Out, "seed %d: %d events, %d of %d requests served, recovered after %v, %d violations\n",
		seed, len(evidence.Events), served, len(evidence.Outcomes), evidence.Recovery.Round(time.Millisecond), len(violations))
	for i, v := range violations {
		if i == maxShown {
			fmt.Fprintf(options.Out, "  and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintln(options.Out, " ", v)
	}
	return violations, nil
}

// maxShown bounds the violations that are printed of a seed.
const maxShown = 10

// play runs a fleet through the plan of a seed and gathers the evidence.
func play(ctx context.Context, seed uint64, dir string, options Options) (*Evidence, error) {
	worldCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := startWorld(worldCtx, dir, options.Hosts, options.Programs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer w.close()
	o := newOperator(w.fleet.PlatformURL)
	if err := w.fleet.StartPlatform(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := o.begin(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.fleet.StartHosts(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	log, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer log.Close()
	callersCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	c := startCallers(callersCtx, w.fleet.Hosts, o)
	e := &Evidence{Begun: time.Now(), Events: plan(seed, options.Length, options.Events, options.Hosts, len(zones))}
	if err := w.play(ctx, e.Events, o, func(format string, args ...any) { fmt.Fprintf(log, format+"\n", args...) }); err != nil {
		return nil, trace.Wrap(err)
	}
	e.Healed = time.Now()
	if err := awaitRecovery(ctx, c); err != nil {
		return nil, trace.Wrap(err)
	}
	e.Recovery = time.Since(e.Healed)
	if err := pause.For(ctx, time.Until(e.Healed.Add(settleTime+time.Second))); err != nil {
		return nil, trace.Wrap(err)
	}
	endCallers()
	e.Outcomes = c.wait()
	e.Added, e.Withdrawn = o.state()
	e.Records, err = w.records()
	return e, trace.Wrap(err)
}

// Times of waiting for the recovery.
const (
	recoveryPoll = 50 * time.Millisecond
	// recoveryGiveUp ends a run that does not recover at all.
	recoveryGiveUp = 90 * time.Second
)

// awaitRecovery waits until each host has served most of its last requests.
func awaitRecovery(ctx context.Context, c *callers) error {
	c.forget()
	until := time.Now().Add(recoveryGiveUp)
	for {
		reason, ok := c.recovered()
		if ok {
			return nil
		}
		if time.Now().After(until) {
			return trace.Errorf("the system did not recover within %v: %s", recoveryGiveUp, reason)
		}
		if err := pause.For(ctx, recoveryPoll); err != nil {
			return trace.Wrap(err)
		}
	}
}
