package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoak plays the seeds of testdata/seeds.txt against real processes, and
// checks the promises that hold whatever the time. Each seed that ever broke a
// promise is there, with a line on the cause.
func TestSoak(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "github.com/wasabibend/wasabibend", "github.com/wasabibend/wasabibend/internal/cmds/mimic", "github.com/wasabibend/wasabibend/internal/cmds/platform")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, seed := range readSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			violations, err := Soak(context.Background(), seed, Options{
				Dir: t.TempDir(), Events: 8, Hosts: 6, Length: 6 * time.Second, Out: t.Output(),
				Programs: func(name string) (string, error) { return filepath.Join(programs, name), nil },
			})
			assert.NilError(t, err)
			assert.Equal(t, len(violations), 0, "%v", violations)
		})
	}
}

// readSeeds returns the numbers that begin the lines of testdata/seeds.txt.
func readSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	assert.NilError(t, err)
	defer file.Close()
	var seeds []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		number, _, _ := strings.Cut(lines.Text(), " ")
		if number == "" || number == "#" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		assert.NilError(t, err)
		seeds = append(seeds, seed)
	}
	assert.NilError(t, lines.Err())
	return seeds
}
