package cmdln

import (
	"bytes"
	"context"
	"os"
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
// settings file have changed from the last ones, until the context ends. It reads the file
// every reloadInterval and on each SIGHUP. If the file cannot be read, it logs the error.
func watchSettings(ctx context.Context, file string, last []byte, sighups <-chan os.Signal, log zerolog.Logger, target settingsTarget) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
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
