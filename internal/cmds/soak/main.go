// Soak runs the real programs as separate processes on loopback, injects faults
// from outside, and checks the system's guarantees against what callers, upstreams
// and the operator observed.
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

// Signals that process faults send.
const (
	signalResume    = syscall.SIGCONT
	signalPause     = syscall.SIGSTOP
	signalTerminate = syscall.SIGTERM
)

// Options configure a run.
type Options struct {
	// Dir is the directory for logs. Each seed has a subdirectory.
	Dir string
	// Events is the minimum number of faults.
	Events int
	// Hosts is the number of hosts.
	Hosts int
	// FaultPeriod is the time from the start within which faults begin.
	FaultPeriod time.Duration
	// Out receives the summary and the violations.
	Out io.Writer
	// Resting describes the callers at each host that rest between requests.
	Resting Resting
	// ProgramPath returns the path of a program's executable.
	ProgramPath func(name string) (string, error)
	// CheckTimeBounds is whether to check also the guarantees with a time bound.
	CheckTimeBounds bool
	// Uploading is the number of callers at each host that send long bodies.
	Uploading int
	// Variant is played in place of the seed's plan if it is not nil.
	Variant variant
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
	options := Options{Out: os.Stdout, ProgramPath: procs.SiblingPath, CheckTimeBounds: true, Resting: mixedCallers}
	flag.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "wasabibend-soak"), "the `directory` for logs")
	flag.IntVar(&options.Events, "events", 14, "the minimum `number` of faults of a seed")
	flag.IntVar(&options.Hosts, "hosts", 12, "the `number` of hosts, with a node and an upstream each")
	flag.DurationVar(&options.FaultPeriod, "length", 20*time.Second, "the `time` from the start within which faults begin")
	bodies := flag.String("bodies", "", "play, in place of the seed's faults, the `variant` of the bodies run: "+names(bodiesRuns))
	idle := flag.String("idle", "", "play, in place of the seed's faults, the `variant` of the idle run: "+names(idleRuns))
	flag.IntVar(&options.Resting.Callers, "resting", mixedCallers.Callers, "the `number` of callers at each host that rest between requests")
	seed := flag.Uint64("seed", 1, "the first `seed`")
	seeds := flag.Uint64("seeds", 1, "the `number` of seeds")
	flag.IntVar(&options.Uploading, "uploading", 3, "the `number` of callers at each host that send long bodies")
	flag.Parse()
	var err error
	if options.Variant, err = chooseVariant(*idle, *bodies); err != nil {
		return trace.Wrap(err)
	}
	violated := 0
	for s := *seed; s < *seed+*seeds; s++ {
		violations, err := Soak(ctx, s, options)
		if err != nil {
			return trace.Wrap(err, "seed %d", s)
		}
		if len(violations) > 0 {
			violated++
		}
	}
	if violated > 0 {
		return trace.Errorf("%d of %d seeds violated a guarantee; logs are in %s", violated, *seeds, options.Dir)
	}
	return nil
}

// Soak injects the faults of a seed into a new fleet and returns the violations of
// guarantees.
func Soak(ctx context.Context, seed uint64, options Options) ([]Violation, error) {
	dir, err := recreateDir(options.Dir, seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	observations, err := collectObservations(ctx, seed, dir, options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	violations := Check(observations, options.CheckTimeBounds)
	served := 0
	for i := range observations.Outcomes {
		if observations.Outcomes[i].served() {
			served++
		}
	}
	if _, ok := options.Variant.(bodiesRun); !ok {
		newTally(observations).print(options.Out)
	}
	newBodyTally(observations).print(options.Out)
	recovery := ""
	if options.Variant == nil {
		recovery = fmt.Sprintf("recovered after %v, ", observations.RecoveryTime.Round(time.Millisecond))
	}
	fmt.Fprintf(options.Out, "seed %d: %d events, %d of %d requests served, %s%d violations\n",
		seed, len(observations.Events), served, len(observations.Outcomes), recovery, len(violations))
	for i, v := range violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(options.Out, "  and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintln(options.Out, " ", v)
	}
	return violations, nil
}

// maxPrintedViolations is the maximum number of violations printed for a seed.
const maxPrintedViolations = 10

// collectObservations starts a fleet, injects the faults of a seed's plan or of a variant,
// waits for recovery after a plan, and returns what was observed.
func collectObservations(ctx context.Context, seed uint64, dir string, options Options) (*Observations, error) {
	testbedCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := options.Variant
	if run != nil {
		options.Hosts = run.hosts()
		options.ProgramPath = run.programPath(dir, options.ProgramPath)
	}
	b, err := startTestbed(testbedCtx, dir, options.Hosts, options.ProgramPath)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer b.close()
	o := newOperator(b.fleet.PlatformURL)
	if err := b.fleet.StartPlatform(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := o.writeInitial(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := b.fleet.StartHosts(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	log, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer log.Close()
	callersCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	c := newCallers(b.fleet.Hosts, o)
	obs := &Observations{PlanStart: time.Now()}
	if run != nil {
		run.startCallers(callersCtx, c, seed)
		obs.Events = run.events(seed)
	} else {
		c.start(callersCtx)
		for host := range b.fleet.Hosts {
			c.startResting(callersCtx, host, seed, options.Resting)
			c.startUploading(callersCtx, host, seed, options.Uploading)
		}
		obs.Events = plan(seed, options.FaultPeriod, options.Events, options.Hosts, len(zones))
	}
	if obs.Events, err = b.injectFaults(ctx, obs.Events, o, func(format string, args ...any) { fmt.Fprintf(log, format+"\n", args...) }); err != nil {
		return nil, trace.Wrap(err)
	}
	obs.FaultsEnded = time.Now()
	if run != nil {
		if err := pause.For(ctx, time.Until(obs.PlanStart.Add(run.length()))); err != nil {
			return nil, trace.Wrap(err)
		}
	} else {
		if err := awaitRecovery(ctx, c); err != nil {
			return nil, trace.Wrap(err)
		}
		obs.RecoveryTime = time.Since(obs.FaultsEnded)
		if err := pause.For(ctx, time.Until(obs.FaultsEnded.Add(settleTime+checkedTime))); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	endCallers()
	obs.Outcomes = c.wait()
	obs.AddedRoutes, obs.WithdrawnKeys = o.changes()
	if err := b.readJournals(obs); err != nil {
		return nil, trace.Wrap(err)
	}
	logCuts(log, obs)
	return obs, nil
}

// checkedTime is how long requests are sent after settleTime, for the guarantees that hold
// from then on.
const checkedTime = 2 * time.Second

// Poll interval and timeout of awaitRecovery.
const (
	recoveryPollInterval = 50 * time.Millisecond
	// recoveryTimeout fails a run that does not recover.
	recoveryTimeout = 90 * time.Second
)

// awaitRecovery waits until each host serves at least minServedFraction of its
// recent requests. It returns an error after recoveryTimeout.
func awaitRecovery(ctx context.Context, c *callers) error {
	c.resetRecent()
	deadline := time.Now().Add(recoveryTimeout)
	for {
		reason, ok := c.recovered()
		if ok {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.Errorf("the system did not recover within %v: %s", recoveryTimeout, reason)
		}
		if err := pause.For(ctx, recoveryPollInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}
