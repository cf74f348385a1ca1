package pool

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Scheduler runs a scheduler for each pool; each pool's state has its own lock.
type Scheduler struct {
	deps  Deps
	pools *shard.Map[jaybarrow.PoolID, *poolRun]
	owned *shard.Map[requestKey, *waiter]
	lacks *lacks
	life  lifecycle
	group conc.WaitGroup
	stop  chan struct{}
	once  sync.Once
}

// New returns a running Scheduler without pools; a pool is created by its first request.
func New(deps Deps) *Scheduler {
	s := &Scheduler{
		deps:  deps.withDefaults(),
		pools: shard.New[jaybarrow.PoolID, *poolRun](),
		owned: shard.New[requestKey, *waiter](),
		lacks: newLacks(deps.Permits),
		stop:  make(chan struct{}),
	}
	s.group.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-deps.Permits.Available():
				s.permitsAvailable()
			}
		}
	})
	return s
}

// permitsAvailable wakes the pools in which work was skipped for lack of permits.
func (s *Scheduler) permitsAvailable() {
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolRun) {
		if p.lacksPermits.Load() {
			p.signal()
		}
	})
}

// Run queues the request and waits for its answer.
func (s *Scheduler) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	begun := s.deps.Clock.Now()
	body, err := s.run(ctx, request)
	kind := jaybarrow.ErrorKind("")
	if err != nil {
		kind = jaybarrow.AsError(err).Kind
	}
	s.deps.Meter.Answered(request.Team, request.Class, kind, s.deps.Clock.Now().Sub(begun))
	return body, err
}

func (s *Scheduler) run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	w, err := s.submit(ctx, request)
	if err != nil {
		return nil, err
	}
	defer w.cancel()
	defer s.owned.Delete(w.key())
	select {
	case r := <-w.result:
		return r.body, r.err
	case <-ctx.Done():
		s.withdraw(w)
		r := <-w.result
		return r.body, r.err
	}
}

// submit queues the request; its waiter gets a result unless an error is returned.
func (s *Scheduler) submit(ctx context.Context, request jaybarrow.Request) (*waiter, error) {
	s.life.RLock()
	defer s.life.RUnlock()
	if kind := s.life.refusal; kind != "" {
		return nil, jaybarrow.Errorf(kind, "the scheduler takes no more requests")
	}
	p := s.pool(request.Pool)
	w := newWaiter(ctx, request, p)
	if !s.add(w) {
		w.cancel()
		return nil, jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s is already here", request.ID)
	}
	if err := s.arrive(p, w); err != nil {
		s.owned.Delete(w.key())
		w.cancel()
		s.deps.Journal.Note(w.subject(), "refused", err.Error())
		return nil, err
	}
	return w, nil
}

func (s *Scheduler) add(w *waiter) bool {
	added := false
	s.owned.Update(w.key(), func(old *waiter, present bool) (*waiter, bool) {
		if present {
			return old, true
		}
		added = true
		return w, true
	})
	return added
}

// arrive queues the request and starts what can start, so that admission of the next request sees the effect.
func (s *Scheduler) arrive(p *poolRun, w *waiter) error {
	item, likely := s.item(w)
	p.Lock()
	now := s.deps.Clock.Now()
	evicted, err := p.state.Enqueue(now, item, likely)
	if err != nil {
		p.Unlock()
		return err
	}
	p.budget.earn()
	p.waiters[item.ID] = w
	b := s.decide(p, now)
	for _, item := range evicted {
		b.evicted = append(b.evicted, p.takeWaiter(item.ID))
	}
	sooner := p.wakesSooner(now)
	p.Unlock()
	s.apply(p, b)
	if sooner {
		p.signal()
	}
	return nil
}

// item returns what the order needs to know of the request, and the run time that admission assumes.
func (s *Scheduler) item(w *waiter) (item jaybarrow.Item, likely time.Duration) {
	r := w.request
	item = jaybarrow.Item{
		ID: w.itemID(), Team: r.Team, Class: r.Class, Slots: r.Demand.Slots, Demand: r.Demand,
		Share: s.deps.Hosts.Share(r.Team), Arrived: r.Arrived, Target: r.Target, Deadline: r.Deadline,
		Estimate: s.deps.Estimates.Estimate(r.Team, r.Queue, r.Declared),
	}
	return item, s.deps.Estimates.Quantile(r.Team, r.Queue, r.Declared, s.deps.AdmissionQuantile)
}

// Cancel ends a queued or running request of the team.
func (s *Scheduler) Cancel(_ context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	w, ok := s.owned.Get(keyOf(team, id))
	if !ok {
		return false, nil
	}
	s.withdraw(w)
	return true, nil
}

// withdraw answers a waiting request with KindCancelled, or cancels its running task. The context ends first: a task that
// is about to return to the queue sees that, or is found in the queue.
func (s *Scheduler) withdraw(w *waiter) {
	w.cancel()
	p := w.pool
	p.Lock()
	waiting := p.waiters[w.itemID()] == w
	if waiting {
		p.state.Withdraw(w.itemID())
		p.takeWaiter(w.itemID())
	}
	p.Unlock()
	if waiting {
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled while waiting"))
	}
}

// refuse answers a request that did not run.
func (s *Scheduler) refuse(w *waiter, err *jaybarrow.Error) {
	s.deps.Journal.Note(w.subject(), "refused", err.Error())
	w.finish(nil, err)
}

// Loads returns the load of each pool.
func (s *Scheduler) Loads() map[jaybarrow.PoolID]schedule.Load {
	loads := make(map[jaybarrow.PoolID]schedule.Load)
	s.pools.Each(func(id jaybarrow.PoolID, p *poolRun) { loads[id] = s.load(p) })
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

func (s *Scheduler) load(p *poolRun) schedule.Load {
	p.Lock()
	defer p.Unlock()
	return p.state.Load(s.deps.Clock.Now())
}
