package main

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortRun is a bodies run of a few seconds.
type shortRun struct {
	bodiesRun
}

// length implements variant.
func (shortRun) length() time.Duration { return 5 * time.Second }

// TestBrokenRun plays a short run whose upstreams give broken answers. It guards against such
// answers that reach callers, through real processes. Answers in order that are cut are left
// to longer runs, as docs/SOAK.md lists causes that are open.
func TestBrokenRun(t *testing.T) {
	t.Parallel()
	violations, err := Soak(t.Context(), 1, Options{Dir: t.TempDir(), Out: t.Output(), ProgramPath: buildPrograms(t), Variant: shortRun{bodiesRuns["broken"]}})
	assert.NilError(t, err)
	violations = slices.DeleteFunc(violations, func(v Violation) bool { return v.Guarantee == guaranteeCut })
	assert.Equal(t, len(violations), 0, "%v", violations)
}
