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

// driver returns the entry host that drives the maintenance of the data centre while all of its entry hosts are ready.
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

// awaitMaintenance waits until no host of the pools drains and no wave runs.
func (c *cluster) awaitMaintenance(pools ...jaybarrow.PoolID) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		f, err := replay(c.log(jaybarrow.Prefix), nil)
		if err != nil {
			return poll.Error(err)
		}
		for _, id := range pools {
			if record := f.drains[id]; len(record.Drains)+len(record.Pending) > 0 {
				return poll.Continue("%+v", record)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(200*time.Millisecond))
}

// Guards against an exceeded budget, a host in two pools, and work that a drain or a reboot cuts off: a wave over a pool and
// moves by two operators through different entry hosts run under load, while answers of the store are lost, the driver is
// killed, and a rack of the pool fails by itself.
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
	p := c.playPlatform()
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
	down := c.failRack("dc2-rack-1", 10*time.Second)
	c.startEntry(driver)
	c.awaitEntry(driver)
	time.Sleep(5 * time.Second)
	moved := m.stop()
	c.awaitMaintenance("desk", "batch")
	load.stop()
	p.stop()

	f, err := replay(c.log(jaybarrow.Prefix), down)
	assert.NilError(t, err)
	l := ledgers(c.ledgers())
	assert.NilError(t, checkEmptied(l, f.emptied))
	assert.NilError(t, checkAll(l, h.list(), c.plan.teams))
	assert.Assert(t, len(p.cutOff) == 0, "reboots cut off tasks %v", p.cutOff)
	result := porcupine.CheckOperationsTimeout(membership.ToModel(), moved, patience)
	assert.Equal(t, result, porcupine.Ok, "the hosts' pools do not follow from the moves")
	t.Logf("%d drains, %d moves, %d reboots, %d requests", f.begun, f.moved, p.reboots, len(h.list()))
	assert.Assert(t, f.moved > 0 && p.reboots > 0, "%d moves and %d reboots: nothing was tested", f.moved, p.reboots)
}

// failRack makes all hosts of the rack fail by themselves and return after the time. It returns for each host when the list
// certainly said that it was down; a host that was already asked to reboot is left out.
func (c *cluster) failRack(rack jaybarrow.RackID, lasts time.Duration) map[jaybarrow.HostID]span {
	c.t.Helper()
	down := make(map[jaybarrow.HostID]span)
	var failed []*workerHost
	for _, w := range c.workers {
		if w.host.Rack == rack {
			failed = append(failed, w)
			w.end()
			c.condition(string(w.host.ID), jaybarrow.HostDown)
		}
	}
	from := time.Now().Add(inForce)
	time.Sleep(lasts)
	to := time.Now()
	for _, w := range failed {
		down[w.host.ID] = span{from.UnixNano(), to.UnixNano()}
		w.begin()
		c.condition(string(w.host.ID), jaybarrow.HostLive)
	}
	for _, r := range fetch[[]store.Reboot](c.t, c.control, "/control/reboots") {
		if r.TimeNs > from.Add(-inForce-2*time.Second).UnixNano() {
			delete(down, r.Host)
		}
	}
	return down
}

// Guards against an exceeded budget when a drain begins on an entry host that has not read the platform's list yet, so that
// it does not know which hosts are down.
func TestNoDrainBeginsWithoutTheList(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 1, entriesPerDC: 2, workersPerPool: 2, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 8},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000}},
	})
	c.condition(string(c.workers[0].host.ID), jaybarrow.HostDown)
	started := c.entries[1]
	started.kill()
	c.faults(store.Faults{Outage: store.OutageHosts})
	c.startEntry(started)
	c.awaitEntry(started)
	begin := func() error {
		_, err := c.operator(started).BeginDrain(context.Background(), c.workers[1].host.ID, jaybarrow.PurposeHold, "")
		return err
	}
	err := begin()
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
	c.faults(store.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := begin()
		if jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable) {
			return poll.Continue("%v", err)
		}
		assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
		return poll.Success()
	}, poll.WithTimeout(patience))
}

// Guards against a drain or a wave that begins although the hosts that failed by themselves have spent the budget.
func TestFailedHostsCountAgainstTheBudget(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{
		dataCentres: 1, entriesPerDC: 2, workersPerPool: 8, budget: 2, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 8},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 30000}},
	})
	p := c.playPlatform()
	ctx := context.Background()
	failed := c.workers[:2] // of one rack
	for _, w := range failed {
		w.end()
		c.condition(string(w.host.ID), jaybarrow.HostDown)
	}
	time.Sleep(inForce)
	for i, e := range c.entries {
		_, err := c.operator(e).BeginDrain(ctx, c.workers[4+i].host.ID, jaybarrow.PurposeReboot, "")
		assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
	}
	_, err := c.operator(c.entries[0]).BeginWave(ctx, "desk")
	assert.NilError(t, err)
	time.Sleep(2 * time.Second)
	f, err := replay(c.log(jaybarrow.Prefix), nil)
	assert.NilError(t, err)
	assert.Equal(t, f.begun, 0, "a drain began while the failed hosts had spent the budget")
	for _, w := range failed {
		w.begin()
		c.condition(string(w.host.ID), jaybarrow.HostLive)
	}
	c.awaitMaintenance("desk")
	p.stop()
	f, err = replay(c.log(jaybarrow.Prefix), nil)
	assert.NilError(t, err)
	assert.Equal(t, f.begun, len(c.workers), "the wave did not go on")
}
