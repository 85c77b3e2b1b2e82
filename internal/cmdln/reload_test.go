package cmdln

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/process/setup"
)

// TestSignalWhileStarting guards against a node that is ended by SIGHUP because it has not
// read its settings yet. The settings file is a named pipe, so that the node waits for them.
func TestSignalWhileStarting(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	check(t, syscall.Mkfifo(file, 0o600))
	var out, errOut bytes.Buffer
	code := make(chan int, 1)
	go func() { code <- Main([]string{"node", "-settings", file}, &out, &errOut) }()
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	check(t, err)
	check(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = pipe.WriteString("[Node]\nDialect = Unknown\n")
	check(t, err)
	check(t, pipe.Close())
	if got := <-code; got != exitFailure {
		t.Errorf("exit code %d, want %d: %s", got, exitFailure, errOut.String())
	}
}

// TestSettingsChangedWhileStarting guards against a change of the settings file that is never
// put in force because it came after the node had read its settings, but before it began to
// watch the file.
func TestSettingsChangedWhileStarting(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	check(t, os.WriteFile(file, []byte("[Node]\nDialect = Unknown\n"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sighups := make(chan os.Signal, 1)
	target := rejectedSettings(make(chan error, 1))
	go watchSettings(ctx, file, []byte("before"), sighups, zerolog.Nop(), target)
	sighups <- syscall.SIGHUP
	if err := <-target; !strings.Contains(err.Error(), "Admin") {
		t.Errorf("%v, want an error about Admin", err)
	}
}

// check ends the test if there is an error.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// rejectedSettings receives the errors of versions that are not valid.
type rejectedSettings chan error

// Reload implements settingsTarget.
func (r rejectedSettings) Reload(time.Time, *setup.Settings) {
	r <- errors.New("the settings are valid")
}

// RejectSettings implements settingsTarget.
func (r rejectedSettings) RejectSettings(_ time.Time, err error) {
	r <- err
}
