package fleetkeeper_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// manualClock moves only when the test advances it.
type manualClock struct {
	lock    sync.Mutex
	now     time.Time
	waiting []wait
	arrived *sync.Cond
}

type wait struct {
	until time.Time
	done  chan time.Time
}

func newManualClock() *manualClock {
	c := &manualClock{now: time.UnixMilli(1_800_000_000_000)}
	c.arrived = sync.NewCond(&c.lock)
	return c
}

func (c *manualClock) Now() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.now
}

func (c *manualClock) After(d time.Duration) <-chan time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	w := wait{until: c.now.Add(d), done: make(chan time.Time, 1)}
	c.waiting = append(c.waiting, w)
	c.arrived.Broadcast()
	return w.done
}

// advance moves the clock once n goroutines wait for it.
func (c *manualClock) advance(n int, d time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.waiting) < n {
		c.arrived.Wait()
	}
	c.now = c.now.Add(d)
	c.waiting = slices.DeleteFunc(c.waiting, func(w wait) bool {
		if w.until.After(c.now) {
			return false
		}
		w.done <- c.now
		return true
	})
}

// fleet notes when each host's first order arrived.
type fleet struct {
	clock  *manualClock
	hosts  []jaybarrow.FleetHost
	lock   sync.Mutex
	orders map[jaybarrow.HostID]time.Time
}

func (f *fleet) Hosts(context.Context) ([]jaybarrow.FleetHost, error) { return f.hosts, nil }

func (f *fleet) note(host jaybarrow.HostID) (jaybarrow.FleetOrderOutcome, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if _, ordered := f.orders[host]; !ordered {
		f.orders[host] = f.clock.Now()
	}
	return jaybarrow.FleetOrderDone, nil
}

func (f *fleet) Move(_ context.Context, host jaybarrow.HostID, _ jaybarrow.PoolID, _ jaybarrow.FenceToken) (jaybarrow.FleetOrderOutcome, error) {
	return f.note(host)
}

func (f *fleet) Maintain(_ context.Context, host jaybarrow.HostID, _ jaybarrow.WaveID, _ jaybarrow.FenceToken) (jaybarrow.FleetOrderOutcome, error) {
	return f.note(host)
}

func (f *fleet) orderedAt(host jaybarrow.HostID) (time.Time, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	at, ok := f.orders[host]
	return at, ok
}

// pools has idle workers, which can be reserved.
type pools struct {
	lock     sync.Mutex
	loads    map[jaybarrow.PoolID]workload.Load
	reserved map[jaybarrow.WorkerID]bool
}

func (p *pools) Loads(time.Time) map[jaybarrow.PoolID]workload.Load {
	p.lock.Lock()
	defer p.lock.Unlock()
	out := make(map[jaybarrow.PoolID]workload.Load)
	for id, l := range p.loads {
		l.Workers = slices.Clone(l.Workers)
		for i, w := range l.Workers {
			l.Workers[i].Reserved = p.reserved[w.ID]
		}
		out[id] = l
	}
	return out
}

func (p *pools) Reserve(_ jaybarrow.PoolID, worker jaybarrow.WorkerID, _ bool) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reserved[worker] = true
	return true
}

func (p *pools) Unreserve(_ jaybarrow.PoolID, worker jaybarrow.WorkerID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reserved[worker] = false
}

func (*pools) SetDue(map[jaybarrow.WorkerID]bool) {}

type waves []fleetkeeper.KnownWave

func (w waves) Waves() []fleetkeeper.KnownWave { return w }

func (waves) ReportWave(context.Context, jaybarrow.WaveID, jaybarrow.WaveState) error { return nil }

// emptyStore has no records.
type emptyStore struct{ jaybarrow.JobStore }

func (emptyStore) Get(context.Context, jaybarrow.Key) (jaybarrow.Record, error) {
	return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record")
}

func (emptyStore) Commit(context.Context, jaybarrow.Commit) (jaybarrow.Revision, error) {
	return 1, nil
}

// Guards against two leaders that order one host shortly after one another, and against a takeover during which no host moves at
// all: only hosts that the previous leader may have ordered lately must wait.
func TestAfterATakeoverOnlyHostsThatMayHaveBeenOrderedWait(t *testing.T) {
	clock := newManualClock()
	began := clock.Now()
	host := func(id string, pool jaybarrow.PoolID) jaybarrow.FleetHost {
		return jaybarrow.FleetHost{
			ID: jaybarrow.HostID(id), Pool: pool, State: jaybarrow.FleetHostUp, Worker: jaybarrow.WorkerID("worker-" + id),
			Capacity: jaybarrow.Resources{CPU: 1000},
		}
	}
	spare := host("spare", "reserve")
	spare.Worker = ""
	f := &fleet{clock: clock, orders: make(map[jaybarrow.HostID]time.Time), hosts: []jaybarrow.FleetHost{
		host("old", "batch"), host("young", "batch"), host("due", "rest"), spare,
	}}
	worker := func(id string, age time.Duration) workload.WorkerLoad {
		return workload.WorkerLoad{ID: jaybarrow.WorkerID("worker-" + id), Usable: true, BornMs: began.Add(-age).UnixMilli()}
	}
	known := catalog.New(began)
	known.Apply(&jaybarrow.Configuration{Version: 1, Pools: []jaybarrow.JobPool{{ID: "desk"}, {ID: "batch"}, {ID: "rest"}, {ID: "reserve", Spare: true}}})
	settings := fleetkeeper.DefaultSettings()
	settings.Plan.Keep = 0
	k := fleetkeeper.New(fleetkeeper.Deps{
		Clock: clock, Log: zerolog.Nop(), Fleet: f, Store: emptyStore{}, Catalog: known, Settings: settings,
		Pools: &pools{reserved: make(map[jaybarrow.WorkerID]bool), loads: map[jaybarrow.PoolID]workload.Load{
			"desk":  {Waiting: jaybarrow.Resources{CPU: 2700}},
			"batch": {Workers: []workload.WorkerLoad{worker("old", time.Hour), worker("young", time.Second)}},
			"rest":  {Workers: []workload.WorkerLoad{worker("due", time.Hour)}, Used: jaybarrow.Resources{CPU: 900}},
		}},
		Waves: waves{{Wave: jaybarrow.Wave{ID: 1, Hosts: []jaybarrow.HostID{"due"}, AtOnce: 1, Within: time.Second}, Since: began}},
		Term:  leader.Term{Fence: 1, Valid: func() bool { return true }, Resign: func(string) {}},
	})
	const loops = 2 // of the keeper, each of which waits for the clock
	for range int(2*settings.Quiet/settings.Interval) + 1 {
		clock.advance(loops, settings.Interval)
	}
	clock.advance(loops, 0)
	k.Close()
	at := func(id jaybarrow.HostID) time.Duration {
		ordered, ok := f.orderedAt(id)
		assert.Assert(t, ok, "no order for %s", id)
		return ordered.Sub(began)
	}
	assert.Assert(t, at("old") < settings.Quiet-settings.Move, "the old host waited %v", at("old"))
	assert.Assert(t, at("young") >= settings.Quiet-settings.Move, "the young host was ordered after %v", at("young"))
	assert.Assert(t, at("spare") >= settings.Quiet-settings.Move, "the spare host was ordered after %v", at("spare"))
	assert.Assert(t, at("due") >= settings.Quiet, "maintenance began after %v", at("due"))
}
