package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rendezvous"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// driver returns the entry host that drives the maintenance of the data centre when all of its entry hosts are ready.
func (c *cluster) driver(dc jaybarrow.DataCentreID) *entryHost {
	var candidates []jaybarrow.EntryID
	for _, e := range c.entries {
		if e.dataCentre == dc {
			candidates = append(candidates, e.id)
		}
	}
	owner, _ := rendezvous.Owner("maintenance", candidates)
	return c.entry(owner)
}

// awaitMaintenance waits until the pools have no drains and no wave has pending hosts.
func (c *cluster) awaitMaintenance(pools ...jaybarrow.PoolID) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		f, err := replay(c.storeWrites(jaybarrow.Prefix), nil)
		if err != nil {
			return poll.Error(err)
		}
		for _, id := range pools {
			if record := f.drains[id]; len(record.Drains)+len(record.Pending) > 0 {
				return poll.Continue("%+v", record)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(200*time.Millisecond))
}

// Guards against an exceeded budget, a host in two pools, and tasks that a drain or a reboot interrupts. A maintenance wave and
// host moves by two operators run under load, while answers of the store are lost, the driver is killed, and a rack fails.
func TestMaintenanceUnderFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 2, entriesPerDC: 2, workersPerPool: 4, budget: 2, pools: []jaybarrow.PoolID{"desk", "batch"},
		teams: map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 40, "tally": 40},
		queues: []jaybarrow.Queue{
			{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000},
			{ID: "render", Pool: "batch", Class: jaybarrow.ClassSlow, TargetMs: 600000},
		},
	})
	rebooter := c.startRebooter()
	h := &history{}
	load := c.startLoad(h, 24, func(caller, _ int) *entryHost { return c.entries[caller%4] }, func(caller, n int) call {
		return call{
			team: []jaybarrow.TeamID{"trail", "tally"}[caller%2], queue: []jaybarrow.QueueID{"match", "render"}[n%2],
			id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), run: time.Duration(50+100*(caller%8)) * time.Millisecond,
		}
	})
	driver := c.driver("dc1")
	var others []*entryHost
	for _, e := range c.entries {
		if e != driver {
			others = append(others, e)
		}
	}
	m := c.startMoves(others[0], others[2])
	_, err := c.operator(driver).BeginWave(context.Background(), "desk")
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	c.faults(store.Faults{LostAnswers: store.LostAnswers{All: true, Prefix: jaybarrow.DrainPrefix}})
	time.Sleep(2 * time.Second)
	c.faults(store.Faults{})
	driver.kill()
	time.Sleep(2 * time.Second)
	downInterval := c.failRack("dc2-rack-1", 10*time.Second)
	c.startEntry(driver)
	c.awaitEntryReady(driver)
	time.Sleep(5 * time.Second)
	moves := m.stop()
	c.awaitMaintenance("desk", "batch")
	load.stop()
	rebooter.stop()

	f, err := replay(c.storeWrites(jaybarrow.Prefix), downInterval)
	assert.NilError(t, err)
	l := ledgers(c.ledgers())
	assert.NilError(t, checkDrainedHosts(l, f.emptyIntervals))
	assert.NilError(t, checkInvariants(l, h.list(), c.plan.teams))
	assert.Assert(t, len(rebooter.interrupted) == 0, "reboots interrupted the tasks %v", rebooter.interrupted)
	result := porcupine.CheckOperationsTimeout(membership.ToModel(), moves, waitTimeout)
	assert.Equal(t, result, porcupine.Ok, "the history of moves and reads is not linearizable")
	t.Logf("%d drains, %d moves, %d reboots, %d requests", f.drainsStarted, f.moves, rebooter.reboots, len(h.list()))
	assert.Assert(t, f.moves > 0 && rebooter.reboots > 0, "%d moves and %d reboots; both must be above 0", f.moves, rebooter.reboots)
}

// failRack makes all hosts of the rack fail and restarts them after the outage. It returns for each host the interval in which
// the platform's list is known to have reported it as down. Hosts whose reboot was requested from 2 s before the failure on are
// left out, because a reboot changes the reported condition too.
func (c *cluster) failRack(rack jaybarrow.RackID, outageDuration time.Duration) map[jaybarrow.HostID]interval {
	c.t.Helper()
	downInterval := make(map[jaybarrow.HostID]interval)
	var failed []*workerHost
	for _, w := range c.workers {
		if w.host.Rack == rack {
			failed = append(failed, w)
			w.killProcess()
			c.condition(string(w.host.ID), jaybarrow.HostDown)
		}
	}
	from := time.Now().Add(inForceLimit)
	time.Sleep(outageDuration)
	to := time.Now()
	for _, w := range failed {
		downInterval[w.host.ID] = interval{from.UnixNano(), to.UnixNano()}
		w.restart()
		c.condition(string(w.host.ID), jaybarrow.HostLive)
	}
	for _, r := range fetchJSON[[]store.Reboot](c.t, c.storeControl, "/control/reboots") {
		if r.TimeNs > from.Add(-inForceLimit-2*time.Second).UnixNano() {
			delete(downInterval, r.Host)
		}
	}
	return downInterval
}

// Guards against an exceeded budget when a drain begins through an entry host that has not yet read the platform's host list and
// so does not know which hosts are down.
func TestNoDrainBeginsWithoutTheHostList(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 1, entriesPerDC: 2, workersPerPool: 2, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 8},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000}},
	})
	c.condition(string(c.workers[0].host.ID), jaybarrow.HostDown)
	restarted := c.entries[1]
	restarted.kill()
	c.faults(store.Faults{Outage: store.OutageHosts})
	c.startEntry(restarted)
	c.awaitEntryReady(restarted)
	beginDrain := func() error {
		_, err := c.operator(restarted).BeginDrain(context.Background(), c.workers[1].host.ID, jaybarrow.PurposeHold, "")
		return err
	}
	err := beginDrain()
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
	c.faults(store.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := beginDrain()
		if jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable) {
			return poll.Continue("%v", err)
		}
		assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// Guards against drains, by an operator or a wave, that begin although failed hosts already use up the budget.
func TestFailedHostsCountAgainstTheBudget(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 1, entriesPerDC: 2, workersPerPool: 8, budget: 2, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 8},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000}},
	})
	rebooter := c.startRebooter()
	ctx := context.Background()
	failed := c.workers[:2] // both in the same rack
	for _, w := range failed {
		w.killProcess()
		c.condition(string(w.host.ID), jaybarrow.HostDown)
	}
	time.Sleep(inForceLimit)
	for i, e := range c.entries {
		_, err := c.operator(e).BeginDrain(ctx, c.workers[4+i].host.ID, jaybarrow.PurposeReboot, "")
		assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
	}
	_, err := c.operator(c.entries[0]).BeginWave(ctx, "desk")
	assert.NilError(t, err)
	time.Sleep(2 * time.Second)
	f, err := replay(c.storeWrites(jaybarrow.Prefix), nil)
	assert.NilError(t, err)
	assert.Equal(t, f.drainsStarted, 0, "a drain began while the failed hosts used up the budget")
	for _, w := range failed {
		w.restart()
		c.condition(string(w.host.ID), jaybarrow.HostLive)
	}
	c.awaitMaintenance("desk")
	rebooter.stop()
	f, err = replay(c.storeWrites(jaybarrow.Prefix), nil)
	assert.NilError(t, err)
	assert.Equal(t, f.drainsStarted, len(c.workers), "the wave did not drain every host after the failed hosts returned")
}
