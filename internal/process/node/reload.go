package node

import (
	"reflect"

	"github.com/wasabibend/wasabibend/internal/process/setup"
)

// Reload puts changed settings in force. Those of listeners, the fleet and the
// platform need a new start, which is logged.
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
	wanted := *settings
	wanted.Secret = next.Secret
	if !reflect.DeepEqual(wanted, next) {
		n.log.Warn().Msg("some changed settings are in force after a new start only")
	}
}
