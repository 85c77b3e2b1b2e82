package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLoadCase checks that cases with which no run is possible are refused. One whose
// trigger begins at once has no goodput before it, by which the outcome would divide.
func TestLoadCase(t *testing.T) {
	files, err := filepath.Glob("cases/*.ini")
	assert.NilError(t, err)
	assert.Check(t, len(files) > 0)
	for _, file := range files {
		_, err := loadCase(file)
		assert.NilError(t, err)
	}
	base, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	for _, c := range []struct {
		key, value, want string
	}{
		{"Begin", "500ms", "Begin 500ms: want at least 1s"},
		{"Begin", "0s", "Begin 0s: want at least 1s"},
		{"Slots", "0", "want at least 1 upstream, 1 slot"},
		{"Customers", "1", "2 customers"},
	} {
		var lines []string
		for _, line := range strings.Split(string(base), "\n") {
			if !strings.HasPrefix(strings.TrimSpace(line), c.key) {
				lines = append(lines, line)
			}
		}
		file := filepath.Join(t.TempDir(), "case.ini")
		assert.NilError(t, os.WriteFile(file, []byte(c.key+" = "+c.value+"\n"+strings.Join(lines, "\n")), 0o600))
		_, err := loadCase(file)
		assert.ErrorContains(t, err, c.want, c.key)
	}
}
