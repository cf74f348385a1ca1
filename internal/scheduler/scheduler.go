package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/leader"
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
	Settings Settings
}

// Scheduler serves one term.
type Scheduler struct {
	deps   Deps
	teams  *teams
	cancel context.CancelFunc
	ctx    context.Context
	group  conc.WaitGroup
	pools  *shard.Map[jaybarrow.PoolID, *poolShard]
	places *shard.Map[jaybarrow.JobID, jaybarrow.PoolID] // the pool of each job
	homes  *shard.Map[jaybarrow.WorkerID, jaybarrow.PoolID]
	loaded chan struct{} // closed once every stored job is known
}

// New returns a Scheduler that begins by reading what is stored.
func New(d Deps) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		deps: d, teams: newTeams(d.Catalog.Limit, d.Catalog.Share), ctx: ctx, cancel: cancel,
		pools: shard.New[jaybarrow.PoolID, *poolShard](), places: shard.New[jaybarrow.JobID, jaybarrow.PoolID](),
		homes: shard.New[jaybarrow.WorkerID, jaybarrow.PoolID](), loaded: make(chan struct{}),
	}
	registered := make(chan struct{})
	s.group.Go(func() { s.followRegister(ctx, registered) })
	s.group.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-registered:
		}
		s.followInput(ctx)
	})
	return s
}

// Close stops giving orders; what runs goes on until its leases end.
func (s *Scheduler) Close() {
	s.cancel()
	s.group.Wait()
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) { p.group.Wait() })
}

// followRegister keeps the workers of all shards up to date; registered is closed after the first list.
func (s *Scheduler) followRegister(ctx context.Context, registered chan struct{}) {
	var first sync.Once
	follow.Run(ctx, follow.Deps{Clock: s.deps.Clock, Log: s.deps.Log, Settings: s.deps.Settings.Register},
		follow.Source[[]jaybarrow.WorkerChange]{
			Name: "register", List: s.deps.Register.Workers, Changes: s.deps.Register.WorkerChanges,
			Apply: func(news []jaybarrow.WorkerChange, whole bool, now time.Time) {
				s.applyWorkers(news, whole, now)
				first.Do(func() { close(registered) })
			},
		})
}

func (s *Scheduler) applyWorkers(news []jaybarrow.WorkerChange, whole bool, now time.Time) {
	if whole {
		listed := make(map[jaybarrow.WorkerID]bool, len(news))
		for _, c := range news {
			listed[c.ID] = c.Worker != nil
		}
		s.homes.Each(func(id jaybarrow.WorkerID, _ jaybarrow.PoolID) {
			if !listed[id] {
				s.dropWorker(id)
			}
		})
	}
	for _, c := range news {
		if c.Worker == nil {
			s.dropWorker(c.ID)
			continue
		}
		if home, ok := s.homes.Get(c.ID); ok && home != c.Worker.Pool {
			s.dropWorker(c.ID)
		}
		s.homes.Set(c.ID, c.Worker.Pool)
		s.pool(c.Worker.Pool).setWorker(*c.Worker, now)
	}
}

func (s *Scheduler) dropWorker(id jaybarrow.WorkerID) {
	home, ok := s.homes.Get(id)
	if !ok {
		return
	}
	s.homes.Delete(id)
	s.pool(home).dropWorker(id)
}

// pool returns the shard of the pool, created when needed.
func (s *Scheduler) pool(id jaybarrow.PoolID) *poolShard {
	return s.pools.GetOrCreate(id, func() *poolShard { return newPoolShard(s, id) })
}

// policy returns what the configuration says of a queue.
func (s *Scheduler) policy(id jaybarrow.QueueID) (workload.Policy, bool) {
	q, ok := s.deps.Catalog.Queue(id)
	if !ok {
		return workload.Policy{}, false
	}
	return workload.Policy{
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Advice: q.Advice,
	}, true
}

// Announce takes a record that an entry host has just stored. It is left to the store before the stored jobs are known, since a
// job's progress would be missed.
func (s *Scheduler) Announce(record jaybarrow.Record) {
	if s.knowsJobs() {
		s.applyInputs(inputs{records: []jaybarrow.Record{record}}, s.deps.Clock.Now())
	}
}

// knowsJobs reports whether every stored job is known.
func (s *Scheduler) knowsJobs() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

// JobStatus returns the stored state of a job.
func (s *Scheduler) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	if err := s.ready(ctx); err != nil {
		return jaybarrow.JobStatus{}, err
	}
	home, known := s.places.Get(id)
	if !known {
		return jaybarrow.JobStatus{}, nil
	}
	p := s.pool(home)
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.work.Status(id), nil
}

// JobsWaiting returns how many jobs of the queue have started no task.
func (s *Scheduler) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	if err := s.ready(ctx); err != nil {
		return 0, err
	}
	n := 0
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		n += p.work.Waiting(queue)
	})
	return n, nil
}

func (s *Scheduler) ready(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return jaybarrow.Errorf(jaybarrow.KindPeerLost, "the scheduler has not read the stored jobs yet")
}

// Loads returns the load of each pool; none before the stored jobs are known.
func (s *Scheduler) Loads(now time.Time) map[jaybarrow.PoolID]workload.Load {
	out := make(map[jaybarrow.PoolID]workload.Load)
	if !s.knowsJobs() {
		return out
	}
	s.pools.Each(func(id jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		out[id] = p.work.Load(now)
	})
	return out
}

// Reserve keeps new tasks from a worker; see workload.Pool.
func (s *Scheduler) Reserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID, onlyEmpty bool) bool {
	p := s.pool(pool)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer p.signal()
	return p.work.Reserve(worker, onlyEmpty)
}

// Unreserve lets a worker receive new tasks again.
func (s *Scheduler) Unreserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) {
	p := s.pool(pool)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer p.signal()
	p.work.Unreserve(worker)
}

// SetDue names the workers whose hosts are still to be maintained; see workload.Pool.
func (s *Scheduler) SetDue(due map[jaybarrow.WorkerID]bool) {
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.work.SetDue(due)
	})
}
