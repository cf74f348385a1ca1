package fleetkeeper_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against two leaders that order the same host within TakeoverDelay, and against a takeover that delays the orders for all
// hosts: only hosts that the previous leader may have ordered recently must wait, and maintenance as a whole.
func TestAfterATakeoverOnlyHostsThatMayHaveBeenOrderedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := func(id jaybarrow.HostID, age time.Duration) workload.WorkerLoad {
			return workload.WorkerLoad{ID: workerOf(id), Usable: true, StartedMs: time.Now().Add(-age).UnixMilli()}
		}
		settings := fleetkeeper.DefaultSettings()
		settings.Plan.Headroom = 0
		k := newKeeper(
			settings,
			[]jaybarrow.FleetHost{hostIn("batch", "old"), hostIn("batch", "young"), hostIn("rest", "due"), hostIn("reserve", "spare")},
			newPools(map[jaybarrow.PoolID]workload.Load{
				"desk":  {Waiting: jaybarrow.Resources{CPU: 2700}},
				"batch": {Workers: []workload.WorkerLoad{worker("old", time.Hour), worker("young", time.Second)}},
				"rest":  {Workers: []workload.WorkerLoad{worker("due", time.Hour)}, Used: jaybarrow.Resources{CPU: 900}},
			}),
			waves{{Wave: jaybarrow.Wave{ID: 1, Hosts: []jaybarrow.HostID{"due"}, AtOnce: 1, Within: time.Second}, ReceivedAt: time.Now()}},
		)
		advance(2 * settings.TakeoverDelay)
		k.Close()
		at := func(id jaybarrow.HostID) time.Duration {
			o, ok := k.fleet.firstOrder(id)
			assert.Assert(t, ok, "no order for %s", id)
			return o.at.Sub(k.startedAt)
		}
		assert.Assert(t, at("old") < settings.TakeoverDelay-settings.MinOrderDuration, "the host with an old worker was ordered after %v", at("old"))
		assert.Assert(t, at("young") >= settings.TakeoverDelay-settings.MinOrderDuration, "the host with a new worker was ordered after %v", at("young"))
		assert.Assert(t, at("spare") >= settings.TakeoverDelay-settings.MinOrderDuration, "the spare host was ordered after %v", at("spare"))
		assert.Assert(t, at("due") >= settings.TakeoverDelay, "maintenance began after %v", at("due"))
	})
}

// Guards against an order that a network partition delays until a successor has sent its own: no order is sent unless the platform
// has just answered a call for the list of hosts.
func TestNoOrderWithoutAFreshHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPools(map[jaybarrow.PoolID]workload.Load{"desk": {}})
		settings := fleetkeeper.DefaultSettings()
		k := newKeeper(settings, []jaybarrow.FleetHost{hostIn("reserve", "a"), hostIn("reserve", "b")}, p, waves(nil))
		advance(2 * settings.TakeoverDelay)
		answered := make(chan struct{})
		k.fleet.unanswered.Store(&answered)
		p.setLoad("desk", workload.Load{Waiting: jaybarrow.Resources{CPU: 1800}})
		advance(settings.TakeoverDelay)
		assert.Equal(t, k.fleet.movedTo("desk"), 0)
		k.fleet.unanswered.Store(nil)
		close(answered)
		advance(2 * settings.Interval)
		k.Close()
		assert.Equal(t, k.fleet.movedTo("desk"), 2)
	})
}

// Guards against idle hosts that stay in their pool because the spare pool has no hosts and is therefore not part of the decision.
func TestIdleHostsGoBackToAnEmptySparePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hosts []jaybarrow.FleetHost
		var load workload.Load
		for _, id := range []jaybarrow.HostID{"a", "b", "c", "d"} {
			hosts = append(hosts, hostIn("desk", id))
			load.Workers = append(load.Workers, workload.WorkerLoad{ID: workerOf(id), Usable: true, StartedMs: time.Now().Add(-time.Hour).UnixMilli()})
		}
		settings := fleetkeeper.DefaultSettings()
		settings.Plan.Headroom = 1
		k := newKeeper(settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": load}), waves(nil))
		advance(settings.TakeoverDelay + 2*settings.Plan.ReturnAfter)
		k.Close()
		assert.Equal(t, k.fleet.movedTo("reserve"), len(hosts)-settings.Plan.Headroom)
	})
}

// Guards against a leader that keeps its term after its decisions on hosts have ended by a panic, here in a call for the loads.
func TestAPanicOfTheLoopEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := fleetkeeper.DefaultSettings()
		k := newKeeper(settings, nil, nil, waves(nil))
		advance(settings.Interval)
		assert.Assert(t, k.resigned.Load())
		assert.Equal(t, k.faults.Load(), int64(1))
		defer func() { assert.Assert(t, recover() != nil, "Close did not propagate the panic") }()
		k.Close()
	})
}

// Guards against a leader that keeps its term after an order for a host has panicked, with the host counted as ordered for ever.
func TestAPanicOfAnOrderEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPools(map[jaybarrow.PoolID]workload.Load{"desk": {Waiting: jaybarrow.Resources{CPU: 900}}})
		settings := fleetkeeper.DefaultSettings()
		k := newKeeper(settings, []jaybarrow.FleetHost{hostIn("reserve", "spare")}, p, waves(nil))
		k.fleet.faulty.Store(true)
		advance(2 * settings.TakeoverDelay)
		assert.Assert(t, k.resigned.Load(), "the term goes on after the fault of an order")
		assert.Assert(t, k.faults.Load() > 0)
		defer func() { assert.Assert(t, recover() != nil, "Close did not propagate the panic") }()
		k.Close()
	})
}

// Guards against a list of hosts that can never be read, so that no host is moved or maintained, because one time limit covers all of its
// pages: 930 hosts on 5 pages, from a platform that takes 60 times its usual 4 ms for each.
func TestALargeListOfHostsIsReadFromASlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := make([]jaybarrow.FleetHost, 930)
		for i := range hosts {
			hosts[i] = hostIn("reserve", jaybarrow.HostID("h"+strconv.Itoa(i)))
		}
		settings := fleetkeeper.DefaultSettings()
		k := newKeeper(settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": {Waiting: jaybarrow.Resources{CPU: 900}}}), waves(nil))
		k.fleet.answerTime.Store(int64(240 * time.Millisecond))
		advance(2*settings.TakeoverDelay + 10*time.Second)
		k.Close()
		assert.Assert(t, k.fleet.movedTo("desk") > 0, "no host was moved")
	})
}

// Guards against a process that is paused between a decision and its orders, and then sends them although its lease has ended and a
// successor may order the same hosts.
func TestAPauseAfterTheDecisionSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := workload.WorkerLoad{ID: workerOf("a"), Usable: true, StartedMs: time.Now().Add(-time.Hour).UnixMilli()}
		p := newPools(map[jaybarrow.PoolID]workload.Load{
			"desk":  {Waiting: jaybarrow.Resources{CPU: 900}},
			"batch": {Workers: []workload.WorkerLoad{idle}},
		})
		settings := fleetkeeper.DefaultSettings()
		settings.Plan.Headroom = 0
		k := newKeeper(settings, []jaybarrow.FleetHost{hostIn("batch", "a")}, p, waves(nil))
		var decided atomic.Bool
		p.onReserve = func() {
			decided.Store(true)
			k.lapsed.Store(true) // as if the process had been paused here
		}
		advance(2 * settings.TakeoverDelay)
		k.Close()
		assert.Assert(t, decided.Load(), "no order was decided")
		_, ordered := k.fleet.firstOrder("a")
		assert.Assert(t, !ordered, "an order was sent after the lease had ended")
	})
}

// Guards against orders that were decided during the term and wait for those before them while the platform is slow: a successor may have ordered
// the same hosts when their turn comes.
func TestOrdersThatWaitAreNotSentAfterTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := fleetkeeper.DefaultSettings()
		var hosts []jaybarrow.FleetHost
		for i := range 5 * settings.MaxConcurrentOrders {
			hosts = append(hosts, hostIn("reserve", jaybarrow.HostID("h"+strconv.Itoa(i))))
		}
		k := newKeeper(settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": {Waiting: jaybarrow.Resources{CPU: 50_000}}}), waves(nil))
		k.fleet.orderTime.Store(int64(200 * time.Millisecond))
		for k.fleet.movedTo("desk") == 0 {
			advance(settings.Interval / 10)
		}
		k.lapsed.Store(true)
		k.Close()
		assert.Equal(t, k.fleet.movedTo("desk"), settings.MaxConcurrentOrders)
	})
}

// Guards against operators who cannot tell why a wave does not go on: its status names the hosts that cannot be emptied, and why.
func TestTheStatusOfAWaveNamesHostsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := func(id jaybarrow.HostID) workload.WorkerLoad {
			return workload.WorkerLoad{ID: workerOf(id), Usable: true, Runs: 2, Lasting: 2, StartedMs: time.Now().Add(-time.Hour).UnixMilli()}
		}
		p := newPools(map[jaybarrow.PoolID]workload.Load{"desk": {Workers: []workload.WorkerLoad{load("a"), load("b")}}})
		p.obstacles = map[jaybarrow.WorkerID]jaybarrow.DrainObstacle{workerOf("a"): jaybarrow.ObstacleNoRoom}
		settings := fleetkeeper.DefaultSettings()
		wave := fleetkeeper.KnownWave{Wave: jaybarrow.Wave{ID: 1, Hosts: []jaybarrow.HostID{"a", "b"}, AtOnce: 2, Within: time.Second}, ReceivedAt: time.Now()}
		reported := &reportedWaves{waves: waves{wave}}
		k := newKeeper(settings, []jaybarrow.FleetHost{hostIn("desk", "a"), hostIn("desk", "b"), hostIn("desk", "c")}, p, reported)
		advance(2 * settings.TakeoverDelay)
		k.Close()
		assert.DeepEqual(t, reported.last(), jaybarrow.WaveStatus{
			State: jaybarrow.WaveRunning, Waiting: map[jaybarrow.HostID]jaybarrow.DrainObstacle{"a": jaybarrow.ObstacleNoRoom},
		})
	})
}

// Guards against a wave that is said to be completed although the maintenance that it asks for has not begun, since another wave names the same
// hosts.
func TestEachOfTwoWavesOverTheSameHostsIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPools(map[jaybarrow.PoolID]workload.Load{"desk": {}})
		settings := fleetkeeper.DefaultSettings()
		names := []jaybarrow.HostID{"a", "b", "c"}
		var all []jaybarrow.FleetHost
		for _, id := range names {
			all = append(all, hostIn("reserve", id))
		}
		wave := func(id jaybarrow.WaveID) fleetkeeper.KnownWave {
			return fleetkeeper.KnownWave{Wave: jaybarrow.Wave{ID: id, Hosts: names, AtOnce: 3, Within: time.Minute}, ReceivedAt: time.Now()}
		}
		reported := &reportedWaves{waves: waves{wave(1), wave(2)}}
		k := newKeeper(settings, all, p, reported)
		k.fleet.busyTime = 50 * time.Millisecond
		advance(4 * settings.TakeoverDelay)
		k.Close()
		assert.Equal(t, reported.last().State, jaybarrow.WaveCompleted)
		begun := make(map[jaybarrow.WaveID]int)
		for _, m := range k.fleet.maintained {
			begun[m.wave]++
		}
		assert.DeepEqual(t, begun, map[jaybarrow.WaveID]int{1: 3, 2: 3})
	})
}
