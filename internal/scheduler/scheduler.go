package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/shard"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Deps are what a Scheduler depends on.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Store    jaybarrow.JobStore
	Register jaybarrow.Register
	Agents   jaybarrow.Agents
	Adviser  jaybarrow.Adviser
	Catalog  *catalog.Catalog
	Observer workload.Observer
	Term     leader.Term
	// LiveMemory returns the size of the live data of this process; nil when it is not known.
	LiveMemory func() budget.Bytes
	Settings   Settings
}

// Scheduler schedules the jobs of all pools during one term of the leader.
type Scheduler struct {
	deps         Deps
	teams        *teams
	cancel       context.CancelFunc
	ctx          context.Context
	group        *rungroup.Group         // a part that fails ends the term
	orderGroup   *rungroup.Group         // of orders to workers; it is waited for last, since the pools send them
	senders      *rungroup.GoroutinePool // of orderGroup
	pools        *shard.Map[jaybarrow.PoolID, *poolShard]
	jobPools     *shard.Map[jaybarrow.JobID, jaybarrow.PoolID]    // pool of each known job
	workerPools  *shard.Map[jaybarrow.WorkerID, jaybarrow.PoolID] // pool of each registered worker
	loaded       chan struct{}                                    // closed once every stored job is loaded
	orders       *budget.Orders
	waitingTasks atomic.Int64      // of all pools, as last read by each
	startsSent   atomic.Int64      // start orders of all pools
	throughput   budget.Throughput // what the processor carries of them
	memory       *budget.Memory    // used by announceCongestion only
	memoryShort  atomic.Bool       // whether new jobs are refused for want of memory
	startSlots   chan struct{}     // has a value for each start order that waits for an answer
	advice       *adviceCalls
	pageRead     chan struct{} // has a value when a page of the register or of the stored jobs was read

	refused       *refusal.Reports // of entry hosts
	refusedLogged atomic.Int64     // when they were logged last, in ns
}

// maxSenders is how many goroutines are kept for orders to workers: about as many as wait for an answer in a turn.
const maxSenders = 256

// New returns a running Scheduler. It reads the register of workers first and then the stored jobs; it plans once both are loaded.
func New(d Deps) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		deps: d, group: rungroup.New(rungroup.EndTerm(d.Log, d.Term.Resign)), teams: newTeams(d.Catalog.Limit, d.Catalog.Share), ctx: ctx, cancel: cancel,
		pools: shard.New[jaybarrow.PoolID, *poolShard](), jobPools: shard.New[jaybarrow.JobID, jaybarrow.PoolID](),
		workerPools: shard.New[jaybarrow.WorkerID, jaybarrow.PoolID](), loaded: make(chan struct{}),
		pageRead: make(chan struct{}, 1), startSlots: make(chan struct{}, d.Settings.MaxConcurrentStarts),
		orders: budget.NewOrders(d.Settings.Host, d.Clock.Now()), memory: budget.NewMemory(d.Settings.Host),
	}
	s.advice, s.refused = newAdviceCalls(s), refusal.NewReports()
	s.orderGroup = rungroup.New(rungroup.EndTerm(d.Log, d.Term.Resign))
	s.senders = rungroup.NewGoroutinePool(ctx, s.orderGroup, maxSenders)
	registered := make(chan struct{})
	s.group.Keep(ctx, "register", func() error {
		s.followRegister(ctx, registered)
		return nil
	})
	s.group.Go("takeover", func() { s.watchTakeover(ctx) })
	s.group.Keep(ctx, "configuration", func() error {
		s.followConfiguration(ctx)
		return nil
	})
	s.group.Keep(ctx, "throughput of starts", func() error {
		s.watchThroughput(ctx)
		return nil
	})
	s.group.Keep(ctx, "calls to the adviser", func() error {
		s.advice.run(ctx)
		return nil
	})
	s.group.Keep(ctx, "congested pools", func() error {
		s.announceCongestion(ctx)
		return nil
	})
	s.group.Keep(ctx, "accepted jobs", func() error {
		select {
		case <-ctx.Done():
		case <-registered:
			s.followInput(ctx)
		}
		return nil
	})
	return s
}

// Close stops sending orders and waits for the shards; running tasks continue until the leases of their workers end.
func (s *Scheduler) Close() {
	s.cancel()
	s.group.Wait()
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.group.Wait() })
	s.orderGroup.Wait()
}

// followRegister follows the register of workers and updates the shards; it closes registered after the first list.
func (s *Scheduler) followRegister(ctx context.Context, registered chan struct{}) {
	var first sync.Once
	follow.Run(ctx, follow.Deps{Clock: s.deps.Clock, Log: s.deps.Log, Settings: s.deps.Settings.Register},
		follow.Source[jaybarrow.WorkerChange]{
			Name: "register", List: countingPages(s, s.deps.Register.Workers), Changes: s.deps.Register.WorkerChanges,
			Apply: func(changes []jaybarrow.WorkerChange, isList bool, now time.Time) {
				s.applyWorkers(changes, isList, now)
				first.Do(func() { close(registered) })
			},
		})
}

// applyWorkers applies a list or changes of the register; a list also drops the workers that it does not name.
func (s *Scheduler) applyWorkers(changes []jaybarrow.WorkerChange, isList bool, now time.Time) {
	if isList {
		listed := make(map[jaybarrow.WorkerID]bool, len(changes))
		for _, c := range changes {
			listed[c.ID] = c.Worker != nil
		}
		s.workerPools.Each(func(id jaybarrow.WorkerID, _ jaybarrow.PoolID) {
			if !listed[id] {
				s.dropWorker(id)
			}
		})
	}
	for _, c := range changes {
		if c.Worker == nil || !s.knowsPool(c.Worker.Pool) {
			s.dropWorker(c.ID)
			continue
		}
		if poolID, ok := s.workerPools.Get(c.ID); ok && poolID != c.Worker.Pool {
			s.dropWorker(c.ID)
		}
		s.workerPools.Set(c.ID, c.Worker.Pool)
		s.pool(c.Worker.Pool).setWorker(*c.Worker, now)
	}
	s.setReportInterval()
}

// setReportInterval adapts the interval of the workers' reports to their number.
func (s *Scheduler) setReportInterval() {
	workers := 0
	s.workerPools.Each(func(jaybarrow.WorkerID, jaybarrow.PoolID) { workers++ })
	interval := s.deps.Settings.Host.ReportInterval(workers, s.deps.Settings.Workload.RenewInterval, s.deps.Settings.MaxReportInterval)
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.locked(func() {
			p.state.SetRenewInterval(interval)
			p.state.SetBatchDelay(s.deps.Settings.Host.BatchDelay(s.deps.Settings.Workload.BatchDelay))
		})
	})
}

// knowsPool reports whether the pool is configured or has had workers or jobs in this term. An entry that names another pool is no
// worker's; if the pool is configured later, its workers are added when they renew their entries.
func (s *Scheduler) knowsPool(id jaybarrow.PoolID) bool {
	if s.deps.Catalog.Configuration() == nil {
		return true
	}
	if _, configured := s.deps.Catalog.Pool(id); configured {
		return true
	}
	_, used := s.pools.Get(id)
	return used
}

// dropWorker removes a worker from its pool's shard; an unknown worker is ignored.
func (s *Scheduler) dropWorker(id jaybarrow.WorkerID) {
	poolID, ok := s.workerPools.Get(id)
	if !ok {
		return
	}
	s.workerPools.Delete(id)
	s.pool(poolID).dropWorker(id)
}

// pool returns the shard of the pool and creates it on first use.
func (s *Scheduler) pool(id jaybarrow.PoolID) *poolShard {
	return s.pools.GetOrCreate(id, func() *poolShard { return newPoolShard(s, id) })
}

// policy returns the scheduling policy of a queue; false when the queue is not configured.
func (s *Scheduler) policy(id jaybarrow.QueueID) (jaybarrow.QueuePolicy, bool) {
	q, ok := s.deps.Catalog.Queue(id)
	if !ok {
		return jaybarrow.QueuePolicy{}, false
	}
	return q.Policy(), true
}

// followConfiguration applies each change of the configuration to the jobs that are known; it blocks until ctx ends.
func (s *Scheduler) followConfiguration(ctx context.Context) {
	for {
		changed := s.deps.Catalog.Changed()
		s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
			p.locked(func() { p.state.UpdatePolicies(s.deps.Clock.Now()) })
			p.signal()
		})
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Announce applies a record that an entry host has just stored, before the watch on the store delivers it. Before the stored jobs
// are loaded it does nothing, because the job would be added without its stored progress; the store delivers the record later.
func (s *Scheduler) Announce(record jaybarrow.Record) {
	if s.JobsAreLoaded() {
		s.applyInputs([]jaybarrow.Record{record}, nil, s.deps.Clock.Now())
	}
}

// OrderRatePercent returns the part of the full rate at which orders are sent to workers, from 0 to 100.
func (s *Scheduler) OrderRatePercent() int { return s.orders.RatePercent() }

// Loaded returns a channel that is closed once every stored job is loaded.
func (s *Scheduler) Loaded() <-chan struct{} { return s.loaded }

// JobsAreLoaded reports whether every stored job is loaded.
func (s *Scheduler) JobsAreLoaded() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

// JobStatus returns the stored state of a job, with Known false for an unknown one; it waits until the stored jobs are loaded.
func (s *Scheduler) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	if err := s.awaitJobs(ctx); err != nil {
		return jaybarrow.JobStatus{}, err
	}
	poolID, known := s.jobPools.Get(id)
	if !known {
		return jaybarrow.JobStatus{}, nil
	}
	p := s.pool(poolID)
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.state.Status(id), nil
}

// JobsWaiting returns how many jobs of the queue have started no task; it waits until the stored jobs are loaded.
func (s *Scheduler) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	if err := s.awaitJobs(ctx); err != nil {
		return 0, err
	}
	n := 0
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		n += p.state.Waiting(queue)
	})
	return n, nil
}

// awaitJobs waits until the stored jobs are loaded; it returns a KindPeerLost error if ctx or the scheduler ends first.
func (s *Scheduler) awaitJobs(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return jaybarrow.Errorf(jaybarrow.KindPeerLost, "the scheduler has not read the stored jobs yet")
}

// Loads returns the load of each pool; it is empty before the stored jobs are loaded.
func (s *Scheduler) Loads(now time.Time) map[jaybarrow.PoolID]workload.Load {
	out := make(map[jaybarrow.PoolID]workload.Load)
	if !s.JobsAreLoaded() {
		return out
	}
	s.pools.Each(func(id jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		out[id] = p.state.Load(now)
	})
	s.addRefused(out, now)
	return out
}

// Reserve stops the assignment of new tasks to a worker. It reports false, and changes nothing, when the worker is unknown or still has
// tasks.
func (s *Scheduler) Reserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) bool {
	p := s.pool(pool)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer p.signal()
	return p.state.Reserve(worker)
}

// Drain begins to empty a worker; otherwise it changes nothing and returns the obstacle, which is empty for an unknown worker.
func (s *Scheduler) Drain(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) (drains bool, obstacle jaybarrow.DrainObstacle) {
	p := s.pool(pool)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer p.signal()
	return p.state.Drain(worker, s.deps.Clock.Now())
}

// Unreserve ends the reservation of a worker.
func (s *Scheduler) Unreserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) {
	p := s.pool(pool)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer p.signal()
	p.state.Unreserve(worker)
}

// EndWorker records that a worker has certainly ended with an order for its host.
func (s *Scheduler) EndWorker(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) {
	if p, ok := s.pools.Get(pool); ok {
		p.endWorker(worker)
	}
}

// SetMaintenanceDue replaces the set of workers whose hosts await maintenance; lasting tasks are placed on other workers where
// possible.
func (s *Scheduler) SetMaintenanceDue(due map[jaybarrow.WorkerID]bool) {
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.state.SetMaintenanceDue(due)
	})
}
