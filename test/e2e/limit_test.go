package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against a team that exceeds its limit while permits move between entry hosts under faults: answers of the store are
// lost, a permit holder is paused for longer than its lease, a data centre is partitioned, an entry host is killed and
// restarted, and the store has an outage.
func TestLimitHoldsUnderFaults(t *testing.T) {
	p := standardPlan()
	p.teams = map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 9, "clubs": 2}
	c := newCluster(t, p)
	h := &history{}
	load := c.startLoad(h, 30, func(caller, n int) *entryHost { return c.entries[(caller+n/7)%3] }, func(caller, n int) call {
		return call{
			team: []jaybarrow.TeamID{"trail", "trail", "clubs"}[caller%3], queue: "match",
			id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), nonIdempotent: n%3 == 0,
			run: time.Duration(20+caller*10) * time.Millisecond,
		}
	})
	time.Sleep(time.Second)
	c.faults(store.Faults{LostAnswers: store.LostAnswers{All: true}})
	time.Sleep(2 * time.Second)
	c.faults(store.Faults{})
	c.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(jaybarrow.TaskLease + 2*time.Second)
	c.entries[0].signal(syscall.SIGCONT)
	c.setIsolated("dc2", true)
	time.Sleep(2 * time.Second)
	c.setIsolated("dc2", false)
	c.entries[2].kill()
	c.startEntry(c.entries[2])
	c.faults(store.Faults{Outage: store.OutageRefuse})
	time.Sleep(2 * time.Second)
	c.faults(store.Faults{})
	c.awaitAllReady()
	time.Sleep(2 * time.Second)
	load.stop()
	answered := 0
	for _, x := range h.list() {
		if x.kind == "" {
			answered++
		}
	}
	assert.Assert(t, answered > 100, "only %d of %d requests were answered", answered, len(h.list()))
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}
