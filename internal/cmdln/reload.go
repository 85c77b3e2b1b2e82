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

// settingsTarget takes the versions of a settings file.
type settingsTarget interface {
	// Reload puts settings in force.
	Reload(now time.Time, settings *setup.Settings)
	// RejectSettings takes the error of a version that is not valid.
	RejectSettings(now time.Time, err error)
}

// watchSettings passes the new settings to the target whenever the contents of the
// settings file have changed, until the context ends. It reads the file every
// reloadInterval and on SIGHUP. If the file cannot be read, it logs the error.
func watchSettings(ctx context.Context, file string, log zerolog.Logger, target settingsTarget) {
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
			target.RejectSettings(time.Now(), err)
			continue
		}
		target.Reload(time.Now(), settings)
	}
}
