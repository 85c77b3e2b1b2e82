package main

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// TestBodies runs the cases of testdata/bodies.csv. It guards against a day that passes
// although an upstream read another body than the caller's.
func TestBodies(t *testing.T) {
	steps.Cases(t, "testdata/bodies.csv", func(t *testing.T, record []string) {
		d := &Day{Sheet: &Sheet{Kinds: []Kind{{Body: 20000, Name: "upload"}}}, Start: time.Unix(1000, 0)}
		after, err := time.ParseDuration(record[1])
		assert.NilError(t, err)
		read := mimic.Body{Whole: record[3] == "true"}
		read.Bytes, err = strconv.ParseInt(record[2], 10, 64)
		assert.NilError(t, err)
		if record[4] == "true" {
			read.DiffersAt = new(int64)
		}
		d.addRecords([]mimic.Record{{At: d.Start.Add(after), Body: &read, ID: "r-1", Kind: mimic.Read, Path: "/upload/r-1"}, {At: d.Start, Kind: mimic.Ran}})
		d.Outcomes = []Outcome{{BodyDiffers: record[5] == "true", Kind: &d.Sheet.Kinds[0]}}
		d.addOutcomes()
		assert.Equal(t, strconv.Itoa(len(d.Differing)), record[6])
	})
}
