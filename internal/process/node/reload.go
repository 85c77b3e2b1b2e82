package node

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// reloadState describes the last change of the settings file. It is immutable.
type reloadState struct {
	at       time.Time
	pending  []string // changed settings that take effect only after a restart
	rejected string   // error of the last version of the file, empty if it is in force
}

// Reload applies the settings that can change at run time: Drain, Join, LameDuck,
// RetryRatio and RetrySlack. It logs a warning that names other settings that differ,
// which take effect only after a restart.
func (n *Node) Reload(now time.Time, settings *setup.Settings) {
	next := *n.settings.Load()
	next.Drain = settings.Drain
	next.Join = settings.Join
	next.LameDuck = settings.LameDuck
	next.RetryRatio = settings.RetryRatio
	next.RetrySlack = settings.RetrySlack
	n.settings.Store(&next)
	pending := next.ChangedFields(settings)
	n.reloaded.Store(&reloadState{at: now, pending: pending})
	n.log.Info().Str("Settings", next.Digest()).Float64("RetryRatio", next.RetryRatio).Float64("RetrySlack", next.RetrySlack).
		Dur("Drain", next.Drain).Dur("LameDuck", next.LameDuck).Msg("settings reloaded")
	if len(pending) > 0 {
		n.log.Warn().Strs("Settings", pending).Msg("some changed settings take effect only after a restart")
	}
}

// RejectSettings records that the changed settings file is not valid, so that the
// previous settings stay in force.
func (n *Node) RejectSettings(now time.Time, err error) {
	last := n.reloaded.Load()
	n.reloaded.Store(&reloadState{at: last.at, pending: last.pending, rejected: trace.UserMessage(err)})
	n.log.Error().Time("At", now).Err(err).Msg("the changed settings file is not valid; the previous settings stay in force")
}

// settingsStatus returns the state of the node's settings.
func (n *Node) settingsStatus() admin.Settings {
	last := n.reloaded.Load()
	return admin.Settings{Digest: n.settings.Load().Digest(), LoadedAt: last.at, Pending: last.pending, Rejected: last.rejected}
}
