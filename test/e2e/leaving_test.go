package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// inForceLimit is the time within which a change must be in force on every entry host (section 1.5 of the design page).
const inForceLimit = 6 * time.Second

// Guards against new tasks on a leaving host, and against running tasks there that are ended early. One host leaves by a drain,
// one by the platform's host list, and one by the list while the store's records cannot be read.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 1, entriesPerDC: 2, workersPerPool: 4, budget: 4, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 32},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000}},
	})
	h := &history{}
	load := c.startLoad(h, 16, func(caller, _ int) *entryHost { return c.entries[caller%2] }, func(caller, n int) call {
		run := 100 * time.Millisecond
		if caller < 8 {
			run = 8 * time.Second // longer than the time within which new tasks must stop
		}
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), run: run}
	})
	time.Sleep(time.Second)
	leavingSince := make(map[jaybarrow.HostID]time.Time)
	byDrain, byList, duringOutage := c.workers[0].host.ID, c.workers[1].host.ID, c.workers[2].host.ID
	_, err := c.operator(c.entries[0]).BeginDrain(context.Background(), byDrain, jaybarrow.PurposeHold, "")
	assert.NilError(t, err)
	leavingSince[byDrain] = time.Now()
	c.condition(string(byList), jaybarrow.HostLeaving)
	leavingSince[byList] = time.Now()
	time.Sleep(time.Second)
	c.faults(store.Faults{Outage: store.OutageRecords})
	c.condition(string(duringOutage), jaybarrow.HostLeaving)
	leavingSince[duringOutage] = time.Now()
	time.Sleep(inForceLimit + 3*time.Second)
	c.faults(store.Faults{})
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s through %s: %s %s", x.request, x.entry, x.kind, x.message)
	}
	l := ledgers(c.ledgers())
	assert.NilError(t, checkInvariants(l, h.list(), c.plan.teams))
	assert.NilError(t, checkLeavingHosts(l, leavingSince))
}

// checkLeavingHosts returns an error if a task started on a host more than inForceLimit after the host began to leave, or if a
// task there did not complete.
func checkLeavingHosts(l ledgers, leavingSince map[jaybarrow.HostID]time.Time) error {
	for host, at := range leavingSince {
		completed := 0
		for _, e := range l[host] {
			switch {
			case e.StartedNs == 0:
			case time.Unix(0, e.StartedNs).After(at.Add(inForceLimit)):
				return fmt.Errorf("task %s started on %s %s after the host began to leave", e.Task, host, time.Unix(0, e.StartedNs).Sub(at))
			case e.Outcome != task.OutcomeDone:
				return fmt.Errorf("task %s on the leaving host %s ended as %q", e.Task, host, e.Outcome)
			default:
				completed++
			}
		}
		if completed == 0 {
			return fmt.Errorf("no task ran on %s before it left, so the test checked nothing", host)
		}
	}
	return nil
}
