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

// inForce is the time within which a change must hold everywhere (section 1.5 of the design page).
const inForce = 6 * time.Second

// Guards against new work on a host that leaves, and against an end to what it runs: one host leaves by a drain, one by the
// platform's list, and one by the list while the records of the store cannot be read.
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
			run = 8 * time.Second // outlasts the time within which the host must be left alone
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
	time.Sleep(inForce + 3*time.Second)
	c.faults(store.Faults{})
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s through %s: %s %s", x.request, x.entry, x.kind, x.message)
	}
	l := ledgers(c.ledgers())
	assert.NilError(t, checkInvariants(l, h.list(), c.plan.teams))
	assert.NilError(t, checkLeavingHosts(l, leavingSince))
}

// checkLeft finds a task that was started on a host more than inForce after the host was announced as leaving, and a task
// there that did not end by itself.
func checkLeavingHosts(l ledgers, leavingSince map[jaybarrow.HostID]time.Time) error {
	for host, at := range leavingSince {
		completed := 0
		for _, e := range l[host] {
			switch {
			case e.StartedNs == 0:
			case time.Unix(0, e.StartedNs).After(at.Add(inForce)):
				return fmt.Errorf("task %s started on %s %s after it was announced as leaving", e.Task, host, time.Unix(0, e.StartedNs).Sub(at))
			case e.Outcome != task.OutcomeDone:
				return fmt.Errorf("task %s on the leaving host %s ended as %q", e.Task, host, e.Outcome)
			default:
				completed++
			}
		}
		if completed == 0 {
			return fmt.Errorf("no task ran on %s before it left, so nothing was tested", host)
		}
	}
	return nil
}
