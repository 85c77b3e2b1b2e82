package cmdln

import (
	"context"
	"runtime"

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
	settings, err := setup.Load(*file)
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
	watcher.Go(func() { watchSettings(watchCtx, *file, log, n) })
	return trace.Wrap(n.Run(ctx))
}
