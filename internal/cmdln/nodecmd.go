package cmdln

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/logs"
	"github.com/wasabibend/wasabibend/internal/process/node"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/platform"
	"github.com/wasabibend/wasabibend/platform/objs"
)

func runNode(ctx context.Context, c *console, args []string) error {
	flags := newFlags(c, "node", "")
	file := flags.String("settings", "wasabibend.ini", "the `file` with the node's settings")
	if err := parse(flags, args, 0, 0); err != nil {
		return err
	}
	// A SIGHUP ends a process that does not expect it.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	data, err := os.ReadFile(*file)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	settings, err := setup.Parse(*file, data)
	if err != nil {
		return trace.Wrap(err)
	}
	runtime.GOMAXPROCS(settings.Procs)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, closer := logs.New(c.out, nil)
	defer closer.Close()
	n, err := node.New(settings, Version, log, objs.New(settings.Platform, objs.WithLog(log)), platform.Options(settings)...)
	if err != nil {
		return trace.Wrap(err)
	}
	watchCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watcher conc.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() { watchSettings(watchCtx, *file, data, sighups, log, n) })
	return trace.Wrap(n.Run(ctx))
}
