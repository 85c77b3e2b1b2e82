package quota

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestRestarts runs the cases of testdata/restarts.csv in virtual time: nodes are killed and
// started again at their addresses. A zone's first holder that does not begin again like a
// successor, while other nodes of its zone go on, grants a burst twice. If it does after a
// loss of power, the fleet refuses what comes first.
func TestRestarts(t *testing.T) {
	steps.Cases(t, "testdata/restarts.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFleet(ctx, t, 2, 4, Limit{Burst: 50, Rate: 100}, nil)
			time.Sleep(warmUp)
			f.restart(ctx, f.selectNodes(record[1])...)
			time.Sleep(restartTime)
			lease := f.holder("zone0").client.leases[0]
			assert.Equal(t, lease.Term(), uint64(1))
			allocator := lease.Allocator(time.Now())
			assert.Check(t, allocator != nil)
			assert.Equal(t, allocator.firstTerm && allocator.Started(time.Now()), record[2] == "yes")
			cancel()
			time.Sleep(drainTime)
		})
	})
}

// restartTime is the time after a restart in which a node reads the record and asks the
// other candidates.
const restartTime = 500 * time.Millisecond

// selectNodes returns the nodes of a case: the "holder" of zone0, it with one ("candidate")
// or both ("candidates") of the others that may take over, or all of the "zone" or "fleet".
func (f *fleet) selectNodes(name string) []*testNode {
	holder, candidate := f.holder("zone0"), f.candidate("zone0")
	record, _ := holder.config.Snapshot().Allocator("zone0", 0)
	var selected []*testNode
	for _, n := range f.nodes {
		if name == "fleet" || name == "zone" && n.zone == "zone0" || n == holder ||
			name == "candidate" && n == candidate || name == "candidates" && slices.Contains(record.Candidates, n.address) {
			selected = append(selected, n)
		}
	}
	return selected
}
