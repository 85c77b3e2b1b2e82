// Package steps runs test scripts and compares their transcripts with the expected
// ones. A script is a sequence of steps in simulated time, kept in a data file.
package steps

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// ScriptState is the simulated time and the transcript of a running script. Each
// Session embeds it.
type ScriptState struct {
	// Now is the simulated time.
	Now time.Time
	// Out is the transcript. Run writes the time and text of each step, and
	// Session.Step appends the result.
	Out   strings.Builder
	start time.Time
}

// NewScriptState returns the ScriptState of a script that has not run any step.
func NewScriptState() ScriptState {
	start := time.Unix(1000000, 0)
	return ScriptState{Now: start, start: start}
}

// scriptState returns the ScriptState that a Session embeds.
func (s *ScriptState) scriptState() *ScriptState {
	return s
}

// Session is the state of a running script.
type Session interface {
	scriptState() *ScriptState
	// End checks the state after the last step.
	End(t *testing.T)
	// Step runs one step, split into words, and appends its result to Out.
	Step(t *testing.T, words []string)
}

// Run runs each file that matches a pattern as a subtest with a new Session. It
// fails if no file matches. A file is a txtar archive with two parts. The first has
// one step a line; blank lines and lines whose first word is # are skipped. The step
// "at DURATION" sets the time since the start. The second part is the expected
// transcript, which the test flag -update replaces by the actual one.
func Run(t *testing.T, pattern string, newSession func() Session) {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no file matches %s", pattern)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			s := newSession()
			for line := range strings.Lines(string(archive.Files[0].Data)) {
				runStep(t, s, strings.TrimSpace(line))
			}
			s.End(t)
			transcript := s.scriptState().Out.String()
			if golden.FlagUpdate() {
				archive.Files[1].Data = []byte(transcript)
				assert.NilError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
			}
			assert.Equal(t, transcript, string(archive.Files[1].Data))
		})
	}
}

// runStep writes one line of a script to the transcript and runs it.
func runStep(t *testing.T, s Session, line string) {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	state := s.scriptState()
	fmt.Fprintf(&state.Out, "%6s  %s", state.Now.Sub(state.start), line)
	if words[0] == "at" {
		d, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		state.Now = state.start.Add(d)
	} else {
		s.Step(t, words)
	}
	state.Out.WriteString("\n")
}
