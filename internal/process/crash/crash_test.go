package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportAfterRepeat guards against a node that does not pass on the report of a crash,
// because it suspects the request already: a repeated request can be faster than the report.
func TestReportAfterRepeat(t *testing.T) {
	now := time.Now()
	table := NewTable()
	run := table.Begin(now, guilty, true)
	assert.Check(t, run != nil)
	table.End(now, run, false)
	report := &Report{Suspects: []Fingerprint{guilty}}
	assert.Check(t, table.Merge(now, report), "the report is new to the node's neighbours")
	assert.Check(t, !table.Merge(now, report), "the report goes round")
}
