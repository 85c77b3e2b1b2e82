package cmdln

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/process/setup"
)

// reloadInterval is the time between checks of the settings file, which may change
// without a SIGHUP.
const reloadInterval = 5 * time.Second

// watchSettings calls apply with the new settings whenever the contents of the
// settings file have changed, until the context ends. It reads the file every
// reloadInterval and on SIGHUP. If the file cannot be read or is not valid, it logs
// the error and does not call apply.
func watchSettings(ctx context.Context, file string, log zerolog.Logger, apply func(*setup.Settings)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn().Err(err).Msg("cannot read the settings file")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			log.Warn().Err(err).Msg("cannot read the settings file; the previous settings stay in force")
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		settings, err := setup.Parse(file, data)
		if err != nil {
			log.Error().Err(err).Msg("the changed settings file is not valid; the previous settings stay in force")
			continue
		}
		apply(settings)
	}
}
