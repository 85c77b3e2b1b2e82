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

// reloadPoll is how often the file with the settings is looked at, as it may
// change without a signal.
const reloadPoll = 5 * time.Second

// watchSettings hands settings that changed to a function, on SIGHUP and when
// the file has other contents, until the context ends. A file that is not valid
// changes nothing.
func watchSettings(ctx context.Context, file string, log zerolog.Logger, changed func(*setup.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadPoll)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn().Err(err).Msg("the settings cannot be read again")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			log.Warn().Err(err).Msg("the settings cannot be read again")
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		settings, err := setup.Parse(file, data)
		if err != nil {
			log.Error().Err(err).Msg("the changed settings are not valid")
			continue
		}
		changed(settings)
	}
}
