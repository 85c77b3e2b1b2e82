package node

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// TestReload checks which settings are in force after changes of the settings file, and
// what the status tells of them.
func TestReload(t *testing.T) {
	n := &Node{log: zerolog.Nop()}
	start := time.Unix(1000, 0)
	first := &setup.Settings{Drain: time.Second, Expiry: time.Second}
	n.settings.Store(first)
	n.reloaded.Store(&reloadState{at: start})
	assert.DeepEqual(t, n.settingsStatus(), admin.Settings{Digest: first.Digest(), LoadedAt: start})

	n.RejectSettings(start.Add(time.Second), errors.New("Drain: want a duration"))
	assert.DeepEqual(t, n.settingsStatus(), admin.Settings{Digest: first.Digest(), LoadedAt: start, Rejected: "Drain: want a duration"})

	second := &setup.Settings{Drain: 2 * time.Second, Expiry: 2 * time.Second}
	n.Reload(start.Add(time.Minute), second)
	assert.Equal(t, n.Settings().Drain, 2*time.Second)
	assert.Equal(t, n.Settings().Expiry, time.Second, "Expiry needs a restart")
	status := n.settingsStatus()
	assert.Check(t, status.Digest != first.Digest() && status.Digest != second.Digest())
	assert.DeepEqual(t, status, admin.Settings{Digest: status.Digest, LoadedAt: start.Add(time.Minute), Pending: []string{"Expiry"}})
}
