package node

import (
	"reflect"

	"github.com/wasabibend/wasabibend/internal/process/setup"
)

// Reload applies the settings that can change at run time: Drain, Join, LameDuck,
// RetryRatio and RetrySlack. It logs a warning if other settings differ, which take
// effect only after a restart.
func (n *Node) Reload(settings *setup.Settings) {
	next := *n.settings.Load()
	next.Drain = settings.Drain
	next.Join = settings.Join
	next.LameDuck = settings.LameDuck
	next.RetryRatio = settings.RetryRatio
	next.RetrySlack = settings.RetrySlack
	n.settings.Store(&next)
	n.log.Info().Float64("RetryRatio", next.RetryRatio).Float64("RetrySlack", next.RetrySlack).
		Dur("Drain", next.Drain).Dur("LameDuck", next.LameDuck).Msg("settings reloaded")
	requested := *settings
	requested.Secret = next.Secret
	if !reflect.DeepEqual(requested, next) {
		n.log.Warn().Msg("some changed settings take effect only after a restart")
	}
}
