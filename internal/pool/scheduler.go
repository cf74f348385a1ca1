package pool

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Scheduler schedules the requests of its pools; the state of each pool has its own lock.
type Scheduler struct {
	deps         Deps
	pools        *shard.Map[jaybarrow.PoolID, *poolRuntime]
	requests     *shard.Map[requestKey, *waiter]
	permitDemand *permitDemand
	lifecycle    lifecycle
	group        *rungroup.Group
	stop         chan struct{}
	once         sync.Once
}

// New returns a running Scheduler without pools; the first request for a pool creates it.
func New(deps Deps) *Scheduler {
	s := &Scheduler{
		deps:         deps.withDefaults(),
		group:        rungroup.New(deps.OnFault),
		pools:        shard.New[jaybarrow.PoolID, *poolRuntime](),
		requests:     shard.New[requestKey, *waiter](),
		permitDemand: newPermitDemand(deps.Permits),
		stop:         make(chan struct{}),
	}
	s.group.Go("wake-ups for permits", func() {
		for {
			select {
			case <-s.stop:
				return
			case <-deps.Permits.Available():
				s.wakePermitWaiters()
			}
		}
	})
	return s
}

// wakePermitWaiters wakes the loops of the pools in which work waits for permits.
func (s *Scheduler) wakePermitWaiters() {
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolRuntime) {
		if p.wakeOnPermits.Load() {
			p.wakeLoop()
		}
	})
}

// Run queues the request and blocks until it is answered; when ctx ends, the request is cancelled.
func (s *Scheduler) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	startedAt := s.deps.Clock.Now()
	body, err := s.run(ctx, request)
	kind := jaybarrow.ErrorKind("")
	if err != nil {
		kind = jaybarrow.AsError(err).Kind
	}
	s.deps.Meter.Answered(request.Team, request.Class, kind, s.deps.Clock.Now().Sub(startedAt))
	return body, err
}

func (s *Scheduler) run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	w, err := s.submit(ctx, request)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	defer s.requests.Delete(w.key())
	select {
	case r := <-w.result:
		return r.body, r.err
	case <-ctx.Done():
		s.withdraw(w)
		r := <-w.result
		return r.body, r.err
	}
}

// submit queues the request; the returned waiter receives exactly one result.
func (s *Scheduler) submit(ctx context.Context, request jaybarrow.Request) (*waiter, error) {
	s.lifecycle.RLock()
	defer s.lifecycle.RUnlock()
	if kind := s.lifecycle.refusal; kind != "" {
		return nil, jaybarrow.Errorf(kind, "the scheduler takes no more requests")
	}
	p := s.pool(request.Pool)
	w := newWaiter(ctx, request, p)
	if !s.register(w) {
		w.stop()
		return nil, jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s is already in progress", request.ID)
	}
	if err := s.enqueue(p, w); err != nil {
		s.requests.Delete(w.key())
		w.stop()
		s.deps.Journal.Note(w.subject(), "refused", err.Error())
		return nil, err
	}
	return w, nil
}

// register records the request as in progress; it reports false when the team already has a request with this id here.
func (s *Scheduler) register(w *waiter) bool {
	added := false
	s.requests.Update(w.key(), func(old *waiter, present bool) (*waiter, bool) {
		if present {
			return old, true
		}
		added = true
		return w, true
	})
	return added
}

// enqueue queues the request and decides at once, so that admission of the next request takes the starts into account.
func (s *Scheduler) enqueue(p *poolRuntime, w *waiter) error {
	item, admissionEstimate := s.item(w)
	p.Lock()
	now := s.deps.Clock.Now()
	evicted, err := p.state.Enqueue(now, item, admissionEstimate)
	if err != nil {
		p.Unlock()
		return err
	}
	p.budget.deposit()
	p.queued[item.ID] = w
	due := s.decide(p, now)
	for _, item := range evicted {
		due.evicted = append(due.evicted, p.takeQueued(item.ID))
	}
	needsWake := p.needsEarlierTimer(now)
	p.Unlock()
	s.execute(p, due)
	if needsWake {
		p.wakeLoop()
	}
	return nil
}

// item returns the request as an item for the pool's order, and the run time that admission assumes.
func (s *Scheduler) item(w *waiter) (item jaybarrow.Item, admissionEstimate time.Duration) {
	r := w.request
	item = jaybarrow.Item{
		ID: w.itemID(), Team: r.Team, Class: r.Class, Slots: r.Demand.Slots, Demand: r.Demand,
		Share: s.deps.Hosts.Share(r.Team), Arrived: r.Arrived, Target: r.Target, Deadline: r.Deadline,
		Estimate: s.deps.Estimates.Estimate(r.Team, r.Queue, r.Declared),
	}
	return item, s.deps.Estimates.Quantile(r.Team, r.Queue, r.Declared, s.deps.AdmissionQuantile)
}

// Cancel ends a queued or running request of the team; it reports whether there was one that had not been answered.
func (s *Scheduler) Cancel(_ context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	w, ok := s.requests.Get(keyOf(team, id))
	if !ok {
		return false, nil
	}
	return s.withdraw(w), nil
}

// withdraw answers a queued request with KindCancelled, or cancels its running task; it reports false when the request has been
// answered. It cancels the context first, so that a request that returns to the queue at the same time either sees the
// cancellation or is found in the queue.
func (s *Scheduler) withdraw(w *waiter) bool {
	if !w.cancel() {
		return false
	}
	p := w.pool
	p.Lock()
	waiting := p.queued[w.itemID()] == w
	if waiting {
		p.state.Withdraw(w.itemID())
		p.takeQueued(w.itemID())
	}
	p.Unlock()
	if waiting {
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled while waiting"))
	}
	return true
}

// refuse answers the request with the error; it has no further attempt.
func (s *Scheduler) refuse(w *waiter, err *jaybarrow.Error) {
	s.deps.Journal.Note(w.subject(), "refused", err.Error())
	w.finish(nil, err)
}

// Loads returns the load of each pool.
func (s *Scheduler) Loads() map[jaybarrow.PoolID]schedule.Load {
	loads := make(map[jaybarrow.PoolID]schedule.Load)
	s.pools.Each(func(id jaybarrow.PoolID, p *poolRuntime) { loads[id] = s.load(p) })
	return loads
}

// Load returns the load of one pool; false before its first request.
func (s *Scheduler) Load(id jaybarrow.PoolID) (schedule.Load, bool) {
	p, ok := s.pools.Get(id)
	if !ok {
		return schedule.Load{}, false
	}
	return s.load(p), true
}

func (s *Scheduler) load(p *poolRuntime) schedule.Load {
	p.Lock()
	defer p.Unlock()
	return p.state.Load(s.deps.Clock.Now())
}
