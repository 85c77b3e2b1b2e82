package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzDecode checks that whatever a peer sends as a context either fails to
// decode or is one that checks and encodes again.
func FuzzDecode(f *testing.F) {
	valid, err := (&Chain{Customer: "amis", Depth: 3, Importance: 5, Remaining: time.Second, Retries: 2, Service: "ledger", Weight: 1}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add("")
	f.Add("oA")
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		again, err := c.Encode()
		assert.NilError(t, err)
		second, err := Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, c, second)
	})
}

// TestBudget follows the retries of a root request down a chain and back.
func TestBudget(t *testing.T) {
	root := NewBudget(3)
	part := root.Split()
	assert.Equal(t, part, 2)
	child := NewBudget(part)
	assert.Check(t, child.Begin(1))
	child.Fail(1)
	assert.Check(t, child.Begin(2), "another call is no retry")
	assert.Check(t, child.Begin(1))
	assert.Check(t, child.Begin(1))
	assert.Check(t, !child.Begin(1), "both retries are used")
	root.Return(child.Close())
	assert.Check(t, root.Take())
	assert.Check(t, !root.Take())
	child.Return(5)
	assert.Check(t, !child.Take(), "a closed budget takes nothing back")
}

// TestRatio checks that retries stay a tenth of first tries.
func TestRatio(t *testing.T) {
	r := NewRatios()
	retries := 0
	for range 10000 {
		r.First("ledger")
		for r.Retry("ledger", 0) {
			retries++
		}
	}
	assert.Check(t, retries <= 10000*ratioPerCall+ratioMost, "%d retries", retries)
	assert.Check(t, retries >= 10000*ratioPerCall-1, "%d retries", retries)
}
