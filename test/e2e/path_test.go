package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// standardPlan has 3 entry hosts in 3 data centres, 2 pools and 12 workers.
func standardPlan() plan {
	return plan{
		dataCentres: 3, entriesPerDC: 1, workersPerPool: 2, pools: []jaybarrow.PoolID{"desk", "batch"},
		teams: map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 24, "clubs": 24, "quotes": 24, "tally": 24},
		queues: []jaybarrow.Queue{
			{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 10000},
			{ID: "render", Pool: "batch", Class: jaybarrow.ClassSlow, TargetMs: 600000},
		},
	}
}

// Guards against a break on the path through separate processes: an answer lost, doubled or given to another request.
func TestRequestsThroughAllEntryHosts(t *testing.T) {
	c := newCluster(t, standardPlan())
	h := &history{}
	var callers sync.WaitGroup
	teams := []jaybarrow.TeamID{"trail", "clubs", "quotes", "tally"}
	for i := range 24 {
		callers.Go(func() {
			for j := range 25 {
				queue := jaybarrow.QueueID("match")
				if j%2 == 1 {
					queue = "render"
				}
				c.send(h, c.entries[i%len(c.entries)], call{
					team: teams[i%len(teams)], queue: queue, id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", i, j)),
					nonIdempotent: j%5 == 0, run: 5 * time.Millisecond,
				})
			}
		})
	}
	callers.Wait()
	for _, x := range h.list() {
		assert.Equal(t, x.kind, jaybarrow.ErrorKind(""), "%+v", x)
	}
	assert.NilError(t, checkAll(c.ledgers(), h.list(), c.plan.teams))
}
