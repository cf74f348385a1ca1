package pool

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// poolRun is the runtime of one pool.
type poolRun struct {
	sync.Mutex
	id      jaybarrow.PoolID
	state   *schedule.Pool
	waiters map[jaybarrow.RequestID]*waiter // queued requests by their items' ids
	budget  retryBudget
	refusal jaybarrow.ErrorKind // answers what would be queued; empty while the pool takes requests
	wakeAt  time.Time           // the loop's timer; zero: none
	wake    chan struct{}
	// lacksPermits is set before permits are asked for, so that permits that become available in between are noticed.
	lacksPermits atomic.Bool
	lacks        map[jaybarrow.TeamID]bool // teams that wait for permits, since the last decision
}

// batch is what one decision leads to outside the pool's lock.
type batch struct {
	starts  []taskStart
	expired []expiry
	evicted []*waiter
}

type taskStart struct {
	schedule.Start
	waiter *waiter
}

type expiry struct {
	waiter *waiter
	skip   schedule.SkipReason
}

func (s *Scheduler) pool(id jaybarrow.PoolID) *poolRun {
	return s.pools.GetOrCreate(id, func() *poolRun {
		p := &poolRun{
			id: id, state: s.deps.NewPool(), waiters: make(map[jaybarrow.RequestID]*waiter),
			budget: newRetryBudget(), wake: make(chan struct{}, 1),
		}
		p.state.SetHosts(s.deps.Hosts.PoolHosts(id))
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

// takeWaiter removes and returns the waiter of an item that left the queue.
func (p *poolRun) takeWaiter(id jaybarrow.RequestID) *waiter {
	w := p.waiters[id]
	delete(p.waiters, id)
	return w
}

// wakesSooner reports whether the loop must set an earlier timer.
func (p *poolRun) wakesSooner(now time.Time) bool {
	next, ok := p.state.NextWake(now)
	return ok && (p.wakeAt.IsZero() || next.Before(p.wakeAt))
}

// loop starts work when hosts, permits or time allow it; arrivals and ends of tasks start work themselves.
func (s *Scheduler) loop(p *poolRun) {
	for {
		changed := s.deps.Hosts.Changed()
		s.refresh(p)
		if !s.loopUntilChange(p, changed) {
			return
		}
	}
}

// loopUntilChange returns true when the hosts changed, and false when the scheduler stops.
func (s *Scheduler) loopUntilChange(p *poolRun, changed <-chan struct{}) bool {
	for {
		timer := s.step(p)
		select {
		case <-s.stop:
			return false
		case <-changed:
			return true
		case <-p.wake:
		case <-timer:
		}
	}
}

func (s *Scheduler) refresh(p *poolRun) {
	hosts := s.deps.Hosts.PoolHosts(p.id)
	p.Lock()
	defer p.Unlock()
	p.state.SetHosts(hosts)
}

// step starts what can start and refuses what expired; it returns a timer for the next change by time alone, nil when there
// is none.
func (s *Scheduler) step(p *poolRun) <-chan time.Time {
	p.Lock()
	now := s.deps.Clock.Now()
	b := s.decide(p, now)
	next, ok := p.state.NextWake(now)
	p.wakeAt = next
	p.Unlock()
	s.apply(p, b)
	if !ok {
		return nil
	}
	return s.deps.Clock.After(next.Sub(now))
}

// decide takes all decisions that are due; the caller holds the pool's lock and calls apply after releasing it.
func (s *Scheduler) decide(p *poolRun, now time.Time) batch {
	var b batch
	for _, e := range p.state.Expired(now) {
		b.expired = append(b.expired, expiry{p.takeWaiter(e.Item.ID), e.SkipReason})
	}
	lacks := make(map[jaybarrow.TeamID]bool)
	in := schedule.Inputs{Signals: s.deps.Signals.Signals, Acquire: func(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
		p.lacksPermits.Store(true)
		acquired := s.deps.Permits.TryAcquire(team, slots)
		if !acquired {
			lacks[team] = true
			s.lacks.set(p.id, team, max(slots, p.state.UsableSlots(now, team)))
		}
		return acquired
	}}
	for {
		start, ok := p.state.Next(now, in)
		if !ok {
			break
		}
		s.life.taskStarted()
		b.starts = append(b.starts, taskStart{start, p.takeWaiter(start.Item.ID)})
	}
	for team := range p.lacks {
		if !lacks[team] {
			s.lacks.set(p.id, team, 0)
		}
	}
	p.lacks = lacks
	if len(lacks) == 0 {
		p.lacksPermits.Store(false)
	}
	return b
}

func (s *Scheduler) apply(p *poolRun, b batch) {
	for _, e := range b.expired {
		if e.skip == schedule.SkipNoPermits {
			s.refuse(e.waiter, jaybarrow.Errorf(jaybarrow.KindNoPermit, "team %s had no permits before the deadline", e.waiter.request.Team))
			continue
		}
		s.refuse(e.waiter, jaybarrow.Errorf(jaybarrow.KindDeadlinePassed, "no slot before the deadline"))
	}
	for _, w := range b.evicted {
		reason := fmt.Sprintf("the queue is full and team %s is furthest above its share", w.request.Team)
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%s", reason))
	}
	for _, start := range b.starts {
		s.group.Go(func() { s.runTask(p, start) })
	}
}
