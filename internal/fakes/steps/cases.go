package steps

import (
	"encoding/csv"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Cases runs a subtest for each record of a CSV file. The file's first line names the
// fields, and the first field of a record is the name of its subtest. Lines that begin
// with # are comments.
func Cases(t *testing.T, file string, run func(t *testing.T, record []string)) {
	t.Helper()
	in, err := os.Open(file)
	assert.NilError(t, err)
	defer in.Close()
	reader := csv.NewReader(in)
	reader.Comment = '#'
	records, err := reader.ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(record[0], func(t *testing.T) { run(t, record) })
	}
}
