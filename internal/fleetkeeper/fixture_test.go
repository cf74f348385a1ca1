package fleetkeeper_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// fleet is a platform that records the first order for each host.
type fleet struct {
	hosts      []jaybarrow.FleetHost
	unanswered atomic.Pointer[chan struct{}] // a call for the list waits until the channel is closed; nil when it does not wait
	answerTime atomic.Int64                  // of a call for a page of hosts, in ns
	lists      atomic.Int64                  // calls for the first page of hosts
	faulty     atomic.Bool                   // orders panic
	orderTime  atomic.Int64                  // of a move, in ns; it is carried out when it arrives
	lock       sync.Mutex
	orders     map[jaybarrow.HostID]order
	maintained []maintenance // orders to maintain, while each of which the host is busy for busyTime
	busyTime   time.Duration
}

// maintenance is an order to maintain a host for a wave that the platform has taken.
type maintenance struct {
	host jaybarrow.HostID
	wave jaybarrow.WaveID
	at   time.Time
}

// order is a move to a pool, or maintenance when the pool is empty.
type order struct {
	at time.Time
	to jaybarrow.PoolID
}

// Hosts returns a page of at most pageSize hosts after answerTime, or ctx's error.
func (f *fleet) Hosts(ctx context.Context, page jaybarrow.PageToken) ([]jaybarrow.FleetHost, jaybarrow.PageToken, error) {
	if answered := f.unanswered.Load(); answered != nil {
		<-*answered
	}
	select {
	case <-ctx.Done():
		return nil, "", ctx.Err()
	case <-time.After(time.Duration(f.answerTime.Load())):
	}
	first, _ := strconv.Atoi(string(page))
	if first == 0 {
		f.lists.Add(1)
	}
	if end := first + pageSize; end < len(f.hosts) {
		return f.hosts[first:end], jaybarrow.PageToken(strconv.Itoa(end)), nil
	}
	return f.hosts[first:], "", nil
}

// pageSize is the number of hosts that the platform puts into a page.
const pageSize = 200

// recordFirst records the order unless the host already has one.
func (f *fleet) recordFirst(host jaybarrow.HostID, to jaybarrow.PoolID) (jaybarrow.FleetOrderOutcome, error) {
	if f.faulty.Load() {
		panic("broken order")
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if _, ordered := f.orders[host]; !ordered {
		f.orders[host] = order{at: time.Now(), to: to}
	}
	return jaybarrow.FleetOrderDone, nil
}

func (f *fleet) Move(_ context.Context, host jaybarrow.HostID, to jaybarrow.PoolID, _ jaybarrow.Lead) (jaybarrow.FleetOrderOutcome, error) {
	outcome, err := f.recordFirst(host, to)
	time.Sleep(time.Duration(f.orderTime.Load()))
	return outcome, err
}

func (f *fleet) Maintain(_ context.Context, host jaybarrow.HostID, wave jaybarrow.WaveID, _ jaybarrow.Lead) (jaybarrow.FleetOrderOutcome, error) {
	f.lock.Lock()
	busy := slices.ContainsFunc(f.maintained, func(m maintenance) bool { return m.host == host && time.Since(m.at) < f.busyTime })
	if !busy {
		f.maintained = append(f.maintained, maintenance{host, wave, time.Now()})
	}
	f.lock.Unlock()
	if busy {
		return jaybarrow.FleetOrderBusy, nil
	}
	return f.recordFirst(host, "")
}

func (f *fleet) firstOrder(host jaybarrow.HostID) (order, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	o, ok := f.orders[host]
	return o, ok
}

// movedTo returns the number of hosts whose first order was a move to the pool.
func (f *fleet) movedTo(pool jaybarrow.PoolID) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	n := 0
	for _, o := range f.orders {
		if o.to == pool {
			n++
		}
	}
	return n
}

// pools holds loads of pools whose workers can always be reserved.
type pools struct {
	lock     sync.Mutex
	loads    map[jaybarrow.PoolID]workload.Load
	reserved map[jaybarrow.WorkerID]bool
	// obstacles keep workers from being drained.
	obstacles map[jaybarrow.WorkerID]jaybarrow.DrainObstacle
	// onReserve is called by Reserve; nil calls nothing.
	onReserve func()
}

func newPools(loads map[jaybarrow.PoolID]workload.Load) *pools {
	return &pools{loads: loads, reserved: make(map[jaybarrow.WorkerID]bool)}
}

// byPool returns the loads; it returns none for nil, whose method Loads panics.
func (p *pools) SetComing(map[jaybarrow.PoolID]scheduler.Coming) {}

func (p *pools) byPool() map[jaybarrow.PoolID]workload.Load {
	if p == nil {
		return nil
	}
	return p.loads
}

func (p *pools) setLoad(pool jaybarrow.PoolID, l workload.Load) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.loads[pool] = l
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

func (p *pools) Drain(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) (bool, jaybarrow.DrainObstacle) {
	p.lock.Lock()
	obstacle := p.obstacles[worker]
	p.lock.Unlock()
	return obstacle == "" && p.Reserve(pool, worker), obstacle
}

func (p *pools) Reserve(_ jaybarrow.PoolID, worker jaybarrow.WorkerID) bool {
	if p.onReserve != nil {
		p.onReserve()
	}
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

func (*pools) EndWorker(jaybarrow.PoolID, jaybarrow.WorkerID) {}

func (*pools) SetMaintenanceDue(map[jaybarrow.WorkerID]bool) {}

type waves []fleetkeeper.KnownWave

func (w waves) Waves() []fleetkeeper.KnownWave { return w }

func (waves) ReportWave(context.Context, jaybarrow.WaveID, jaybarrow.WaveStatus, jaybarrow.Revision) error {
	return nil
}

// reportedWaves keeps the last status that was reported.
type reportedWaves struct {
	waves
	lock   sync.Mutex
	status jaybarrow.WaveStatus
}

func (r *reportedWaves) ReportWave(_ context.Context, _ jaybarrow.WaveID, status jaybarrow.WaveStatus, _ jaybarrow.Revision) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.status = status
	return nil
}

func (r *reportedWaves) last() jaybarrow.WaveStatus {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.status
}

// emptyStore has no records and accepts every commit.
type emptyStore struct{ jaybarrow.JobStore }

func (emptyStore) Get(context.Context, jaybarrow.Key) (jaybarrow.Record, error) {
	return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record")
}

func (emptyStore) Commit(context.Context, jaybarrow.Commit) (jaybarrow.Revision, error) {
	return 1, nil
}

// keeper is a Keeper under test with its platform.
type keeper struct {
	*fleetkeeper.Keeper
	startedAt time.Time
	fleet     *fleet
	resigned  *atomic.Bool
	lapsed    *atomic.Bool  // whether the leader's lease may have ended
	faults    *atomic.Int64 // faults that were reported after the term was resigned
}

// newKeeper returns a keeper of the hosts and pools; the pool named reserve is the spare pool.
func newKeeper(settings fleetkeeper.Settings, hosts []jaybarrow.FleetHost, p *pools, knownWaves fleetkeeper.Waves) *keeper {
	return newKeeperWith(emptyStore{}, nil, settings, hosts, p, knownWaves)
}

// newKeeperOn returns a keeper like newKeeper with its progress in the store.
func newKeeperOn(store jaybarrow.JobStore, settings fleetkeeper.Settings, hosts []jaybarrow.FleetHost, p *pools, knownWaves fleetkeeper.Waves) *keeper {
	return newKeeperWith(store, nil, settings, hosts, p, knownWaves)
}

// newKeeperDuring is newKeeper during evacuations.
func newKeeperDuring(evacuated func(jaybarrow.DataCentreID) bool, settings fleetkeeper.Settings, hosts []jaybarrow.FleetHost, p *pools, knownWaves fleetkeeper.Waves) *keeper {
	return newKeeperWith(emptyStore{}, evacuated, settings, hosts, p, knownWaves)
}

func newKeeperWith(
	store jaybarrow.JobStore, evacuated func(jaybarrow.DataCentreID) bool, settings fleetkeeper.Settings, hosts []jaybarrow.FleetHost, p *pools,
	knownWaves fleetkeeper.Waves,
) *keeper {
	configuration := &jaybarrow.Configuration{Version: 1, Pools: []jaybarrow.JobPool{{ID: "reserve", Spare: true}}}
	for id := range p.byPool() {
		configuration.Pools = append(configuration.Pools, jaybarrow.JobPool{ID: id})
	}
	known := catalog.New(time.Now())
	known.Apply(configuration)
	f := &fleet{orders: make(map[jaybarrow.HostID]order), hosts: hosts}
	resigned, lapsed, faults := new(atomic.Bool), new(atomic.Bool), new(atomic.Int64)
	return &keeper{startedAt: time.Now(), fleet: f, resigned: resigned, lapsed: lapsed, faults: faults, Keeper: fleetkeeper.New(fleetkeeper.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Fleet: f, Store: store, Catalog: known, Settings: settings, Pools: p, Waves: knownWaves, Evacuated: evacuated,
		Term: leader.Term{
			Fence: 1, Valid: func() bool { return !lapsed.Load() }, Resign: func(string) { resigned.Store(true) },
			Unfenced: func(ctx context.Context, limit time.Duration, call func(context.Context)) error {
				if lapsed.Load() {
					return leader.ErrLeadEnded
				}
				limited, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				call(limited)
				return nil
			},
		},
		OnFault: func(rungroup.Fault) {
			if resigned.Load() {
				faults.Add(1)
			}
		},
	})}
}

// advance lets the test's fake time pass and waits until every goroutine blocks.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// hostIn returns a host that is up; it has a worker unless it is in the spare pool.
func hostIn(pool jaybarrow.PoolID, id jaybarrow.HostID) jaybarrow.FleetHost {
	h := jaybarrow.FleetHost{ID: id, Pool: pool, State: jaybarrow.FleetHostUp, Capacity: jaybarrow.Resources{CPU: 1000}}
	if pool != "reserve" {
		h.Worker = workerOf(id)
	}
	return h
}

func workerOf(id jaybarrow.HostID) jaybarrow.WorkerID { return jaybarrow.WorkerID("worker-" + id) }
