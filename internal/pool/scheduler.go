package pool

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// HostSource gives the hosts of a pool that this entry host may use.
type HostSource interface {
	// PoolHosts returns the hosts of the pool and whether each accepts work.
	PoolHosts(pool jaybarrow.PoolID) []schedule.HostView
	// Host returns the host's record.
	Host(id jaybarrow.HostID) (jaybarrow.Host, bool)
	// Share returns the team's share.
	Share(team jaybarrow.TeamID) jaybarrow.Share
	// Changed returns channels that are closed at the next change of the hosts and of the drains.
	Changed() (hosts, drains <-chan struct{})
}

// Deps are what a Scheduler depends on.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Hosts     HostSource
	Workers   jaybarrow.Workers
	Permits   jaybarrow.Permits
	NewPool   func() *schedule.Pool
	NewTaskID func(jaybarrow.RequestID) jaybarrow.TaskID
	Entry     jaybarrow.EntryID
	// Incarnation returns the registration of this process; 0 before it is registered.
	Incarnation func() jaybarrow.Incarnation
	StartWindow time.Duration // a task must start at the worker within this time of its decision
}

// Scheduler runs a scheduler for each pool; each pool's state has its own lock.
type Scheduler struct {
	deps  Deps
	pools *shard.Map[jaybarrow.PoolID, *poolRun]
	owned *shard.Map[jaybarrow.RequestID, *waiter]
	group conc.WaitGroup
	stop  chan struct{}
	once  sync.Once
}

type poolRun struct {
	sync.Mutex
	id    jaybarrow.PoolID
	state *schedule.Pool
	wake  chan struct{}
}

// waiter is a request between its arrival and its answer.
type waiter struct {
	request jaybarrow.Request
	pool    *poolRun
	result  chan result     // buffered, gets exactly one result
	ctx     context.Context // ends when the request is cancelled
	cancel  context.CancelFunc
}

type result struct {
	body []byte
	err  error
}

// New returns a running Scheduler without pools; a pool is created by its first request.
func New(deps Deps) *Scheduler {
	s := &Scheduler{
		deps:  deps,
		pools: shard.New[jaybarrow.PoolID, *poolRun](),
		owned: shard.New[jaybarrow.RequestID, *waiter](),
		stop:  make(chan struct{}),
	}
	s.group.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-deps.Permits.Available():
				s.pools.Each(func(_ jaybarrow.PoolID, p *poolRun) { p.signal() })
			}
		}
	})
	return s
}

// Close stops the pools' loops and waits for running tasks.
func (s *Scheduler) Close() {
	s.once.Do(func() { close(s.stop) })
	s.group.Wait()
}

func (s *Scheduler) pool(id jaybarrow.PoolID) *poolRun {
	return s.pools.GetOrCreate(id, func() *poolRun {
		p := &poolRun{id: id, state: s.deps.NewPool(), wake: make(chan struct{}, 1)}
		s.group.Go(func() { s.loop(p) })
		return p
	})
}

func (p *poolRun) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run queues the request and waits for its answer.
func (s *Scheduler) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	p := s.pool(request.Pool)
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	w := &waiter{request: request, pool: p, result: make(chan result, 1), ctx: taskCtx, cancel: cancel}
	if !s.add(w) {
		return nil, jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s is already here", request.ID)
	}
	defer s.owned.Delete(request.ID)
	if err := s.arrive(p, request); err != nil {
		return nil, err
	}
	p.signal()
	select {
	case r := <-w.result:
		return r.body, r.err
	case <-ctx.Done():
		s.withdraw(w)
		r := <-w.result
		return r.body, r.err
	}
}

func (s *Scheduler) add(w *waiter) bool {
	added := false
	s.owned.Update(w.request.ID, func(old *waiter, present bool) (*waiter, bool) {
		if present {
			return old, true
		}
		added = true
		return w, true
	})
	return added
}

func (s *Scheduler) arrive(p *poolRun, r jaybarrow.Request) error {
	item := jaybarrow.Item{
		ID: r.ID, Team: r.Team, Class: r.Class, Slots: r.Demand.Slots, Demand: r.Demand,
		Share: s.deps.Hosts.Share(r.Team), Arrived: r.Arrived, Target: r.Target, Deadline: r.Deadline, Estimate: r.Declared,
	}
	p.Lock()
	defer p.Unlock()
	return p.state.Arrive(s.deps.Clock.Now(), item)
}

// Cancel ends a queued or running request of the team.
func (s *Scheduler) Cancel(_ context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	w, ok := s.owned.Get(id)
	if !ok {
		return false, nil
	}
	if w.request.Team != team {
		return false, jaybarrow.Errorf(jaybarrow.KindForbidden, "request %s belongs to another team", id)
	}
	s.withdraw(w)
	return true, nil
}

// withdraw answers a waiting request with KindCancelled, or cancels its running task.
func (s *Scheduler) withdraw(w *waiter) {
	w.pool.Lock()
	waiting := w.pool.state.Withdraw(w.request.ID)
	w.pool.Unlock()
	if waiting {
		w.finish(nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled while waiting"))
	}
	w.cancel()
}

func (w *waiter) finish(body []byte, err error) {
	select {
	case w.result <- result{body, err}:
	default:
	}
}

func (s *Scheduler) loop(p *poolRun) {
	for {
		hosts, drains := s.deps.Hosts.Changed()
		s.refresh(p)
		expiry := s.step(p)
		select {
		case <-s.stop:
			return
		case <-p.wake:
		case <-hosts:
		case <-drains:
		case <-expiry:
		}
	}
}

func (s *Scheduler) refresh(p *poolRun) {
	hosts := s.deps.Hosts.PoolHosts(p.id)
	p.Lock()
	defer p.Unlock()
	p.state.SetHosts(hosts)
}

// step starts what can start and refuses what expired; it returns a timer for the next deadline, nil when there is none.
func (s *Scheduler) step(p *poolRun) <-chan time.Time {
	now := s.deps.Clock.Now()
	p.Lock()
	expired := p.state.Expired(now)
	var starts []schedule.Start
	for {
		start, ok := p.state.Next(now, s.deps.Permits.TryAcquire)
		if !ok {
			break
		}
		starts = append(starts, start)
	}
	next, waiting := p.state.NextDeadline()
	p.Unlock()
	for _, item := range expired {
		if w, ok := s.owned.Get(item.ID); ok {
			w.finish(nil, jaybarrow.Errorf(jaybarrow.KindDeadlinePassed, "no slot before the deadline"))
		}
	}
	for _, start := range starts {
		s.group.Go(func() { s.runTask(p, start) })
	}
	if !waiting {
		return nil
	}
	return s.deps.Clock.After(next.Sub(now))
}

func (s *Scheduler) runTask(p *poolRun, start schedule.Start) {
	begun := s.deps.Clock.Now()
	defer p.signal()
	defer s.deps.Permits.Release(start.Item.Team, start.Item.Slots)
	defer func() {
		p.Lock()
		p.state.Finished(s.deps.Clock.Now(), start.Item.ID, s.deps.Clock.Now().Sub(begun))
		p.Unlock()
	}()
	w, ok := s.owned.Get(start.Item.ID)
	if !ok {
		return
	}
	host, ok := s.deps.Hosts.Host(start.Host)
	if !ok {
		w.finish(nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "host %s left", start.Host))
		return
	}
	task := jaybarrow.Task{
		ID: s.deps.NewTaskID(start.Item.ID), Request: start.Item.ID, Team: start.Item.Team, Demand: start.Item.Demand,
		Entry: s.deps.Entry, Incarnation: s.deps.Incarnation(), Idempotent: w.request.Idempotent,
		StartBy: begun.Add(s.deps.StartWindow), Body: w.request.Body,
	}
	body, err := s.deps.Workers.Run(w.ctx, host, task)
	w.finish(body, err)
	if err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectMayHaveRun {
		s.deps.Workers.AwaitEnd(host, task)
	}
}
