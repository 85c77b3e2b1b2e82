package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// TestSoak plays the seeds of testdata/seeds.txt against real processes, and
// checks the promises that hold whatever the time. Each seed that ever broke a
// promise is there, with a line on the cause.
func TestSoak(t *testing.T) {
	programs := buildPrograms(t)
	for _, seed := range readSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			violations, err := Soak(context.Background(), seed, Options{
				Dir: t.TempDir(), Events: 8, Hosts: 6, Length: 6 * time.Second, Out: t.Output(),
				Programs: programs,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(violations), 0, "%v", violations)
		})
	}
}

// buildPrograms returns where the programs are that it builds.
func buildPrograms(t *testing.T) func(name string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "github.com/wasabibend/wasabibend", "github.com/wasabibend/wasabibend/internal/cmds/mimic", "github.com/wasabibend/wasabibend/internal/cmds/platform")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return func(name string) (string, error) { return filepath.Join(dir, name), nil }
}

// TestStartWithoutStore starts nodes again, one after a graceful stop and one after
// a kill, while the store is down: others give them what they need to serve.
func TestStartWithoutStore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w, err := startWorld(ctx, t.TempDir(), 6, buildPrograms(t))
	assert.NilError(t, err)
	defer w.close()
	o := newOperator(w.fleet.PlatformURL)
	assert.NilError(t, w.fleet.StartPlatform(ctx))
	assert.NilError(t, o.begin(ctx))
	assert.NilError(t, w.fleet.StartHosts(ctx))
	assert.NilError(t, w.fleet.SetFaults(ctx, objapi.Faults{Down: true}))
	for i, fault := range []Fault{StopNode, KillNode} {
		host := w.fleet.Hosts[i]
		assert.NilError(t, w.disturb(ctx, Event{Fault: fault, Host: i}, host))
		assert.NilError(t, procs.Await(ctx, func() error { return lookUp(ctx, host) }), "%s", fault)
	}
}

// lookUp sends a request to a host and returns an error if it is not served.
func lookUp(ctx context.Context, host *procs.Host) error {
	answer, err := mimic.Send(ctx, http.DefaultClient, &mimic.Request{Host: hostName, ID: "r-1", Key: "key-amis", Method: http.MethodGet, Patience: patience, Path: "/" + routeLookup + "/x", To: host.Callers()})
	if err == nil && !answer.Proper {
		err = trace.Errorf("answered by %d", answer.Status)
	}
	return trace.Wrap(err)
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
