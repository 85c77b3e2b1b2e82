package cmdln

import (
	"context"
	"runtime"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

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
	log := zerolog.New(c.err).With().Timestamp().Logger()
	n, err := node.New(settings, Version, log, objs.New(settings.Platform), platform.Options(settings)...)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(n.Run(ctx))
}
