// Days plays a day of a deployment on real processes on loopback: the stand-in store,
// nodes, upstreams and callers with the deployment's own demand. It measures how much is
// served, and fails if that is too little.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Options configure a run.
type Options struct {
	// Dir is the directory for logs and the report.
	Dir string
	Out io.Writer
	// ProgramPath returns the path of a program's executable.
	ProgramPath func(name string) (string, error)
	Seed        uint64
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	options := Options{Out: os.Stdout, ProgramPath: procs.SiblingPath}
	dayName := flag.String("day", "", "the `file` with the faults of the day")
	flag.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "wasabibend-days"), "the `directory` for logs")
	hosts := flag.Float64("hosts", 1, "the `factor` by which the numbers of hosts are multiplied")
	scale := flag.Float64("scale", 1, "the `factor` by which rates and slots are multiplied")
	flag.Uint64Var(&options.Seed, "seed", 1, "the `seed` that chooses hosts for faults")
	sheetName := flag.String("sheet", "", "the `file` that describes the deployment")
	flag.Parse()
	sheet, err := ReadSheet(*sheetName, *dayName)
	if err != nil {
		return trace.Wrap(err)
	}
	sheet.Scale(*scale, *hosts)
	day, err := Play(ctx, sheet, options)
	if err != nil {
		return trace.Wrap(err)
	}
	day.print(options.Out)
	if len(day.Differing) > 0 {
		for _, text := range day.Differing {
			fmt.Fprintln(options.Out, "BODY:", text)
		}
		return trace.Errorf("bodies were not those of their callers; logs are in %s", options.Dir)
	}
	if shortages := day.Check(); len(shortages) > 0 {
		for _, s := range shortages {
			fmt.Fprintln(options.Out, "SHORT:", s)
		}
		return trace.Errorf("too little was served; logs are in %s", options.Dir)
	}
	return nil
}

// Play plays the day of a sheet and returns what was observed.
func Play(ctx context.Context, sheet *Sheet, options Options) (*Day, error) {
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	fleetCtx, endFleet := context.WithCancel(ctx)
	defer endFleet()
	fleet, err := startFleet(fleetCtx, sheet, options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer fleet.Close()
	l := newLoad(sheet, fleet.Hosts)
	day := &Day{Sheet: sheet, Start: time.Now()}
	dayCtx, cancel := context.WithTimeout(ctx, sheet.Length)
	defer cancel()
	var workers conc.WaitGroup
	workers.Go(func() { l.run(dayCtx) })
	workers.Go(func() { day.watch(dayCtx, fleet) })
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	faults := make(chan error, len(sheet.Faults))
	for _, f := range sheet.Faults {
		hosts := chooseHosts(random, fleet.Hosts, f)
		workers.Go(func() {
			if pause.For(dayCtx, time.Until(day.Start.Add(f.At))) == nil {
				faults <- trace.Wrap(inject(ctx, fleet, l, hosts, f), "%s at %v", f.Action, f.At)
			}
		})
	}
	workers.Wait()
	close(faults)
	for err := range faults {
		if err != nil {
			return nil, err
		}
	}
	day.Late = time.Duration(l.late.Load())
	day.Outcomes = l.outcomes
	for _, host := range fleet.Hosts {
		records, err := mimic.ReadJournal(journalPath(options.Dir, host))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		day.addRecords(records)
	}
	day.addOutcomes()
	return day, nil
}

// chooseHosts returns the indexes of the hosts that a fault affects.
func chooseHosts(random *rand.Rand, all []*procs.Host, f Fault) []int {
	var chosen []int
	for i, host := range all {
		if f.Zone == "" || f.Zone == host.Zone {
			chosen = append(chosen, i)
		}
	}
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:int(f.Share*float64(len(chosen))+0.5)]
}
