package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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

// Guards against requests that are lost, run twice or get another request's answer on the path through separate processes:
// 10,000 requests from 4 teams go through 3 entry hosts, one of which is stopped halfway.
func TestRequestsThroughAllEntryHosts(t *testing.T) {
	t.Parallel()
	const callers, callsPerCaller = 25, 400
	c := newCluster(t, standardPlan())
	h := &history{}
	var stopping atomic.Bool // the platform's load balancer sends no new requests to a stopping entry host
	var group sync.WaitGroup
	teams := []jaybarrow.TeamID{"trail", "clubs", "quotes", "tally"}
	for i := range callers {
		group.Go(func() {
			for j := range callsPerCaller {
				e := c.entries[(i+j)%len(c.entries)]
				if e == c.entries[2] && stopping.Load() {
					e = c.entries[0]
				}
				c.send(h, e, call{
					team: teams[i%len(teams)], queue: []jaybarrow.QueueID{"match", "render"}[j%2],
					id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", i, j)), nonIdempotent: j%5 == 0, run: 2 * time.Millisecond,
				})
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(h.list()); n < callers*callsPerCaller/2 {
			return poll.Continue("%d answered", n)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	stopping.Store(true)
	assert.Equal(t, c.entries[2].stop(waitTimeout), 0)
	group.Wait()
	assert.Equal(t, len(h.list()), callers*callsPerCaller)
	for _, x := range h.list() {
		assert.Equal(t, x.kind, jaybarrow.ErrorKind(""), "%+v", x)
	}
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}
