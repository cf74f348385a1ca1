package pool

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// poolRuntime holds the scheduling state and the queued requests of one pool.
type poolRuntime struct {
	sync.Mutex
	id      jaybarrow.PoolID
	state   *schedule.Pool
	queued  map[jaybarrow.RequestID]*waiter // by the ids of their items
	budget  retryBudget
	refusal jaybarrow.ErrorKind // answers requests that would return to the queue; empty while the scheduler accepts requests
	wakeAt  time.Time           // when the loop's timer fires; zero when it has none
	wake    chan struct{}
	// wakeOnPermits makes the loop run when permits become available. It is set before permits are acquired, so that permits that
	// become available in between are not missed.
	wakeOnPermits       atomic.Bool
	teamsLackingPermits map[jaybarrow.TeamID]bool // as of the last decision
}

// actions are the results of one decision that are carried out without the pool's lock.
type actions struct {
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

// pool returns the pool's runtime; the first call for a pool creates it and starts its loop.
func (s *Scheduler) pool(id jaybarrow.PoolID) *poolRuntime {
	return s.pools.GetOrCreate(id, func() *poolRuntime {
		p := &poolRuntime{
			id: id, state: s.deps.NewPool(), queued: make(map[jaybarrow.RequestID]*waiter),
			budget: newRetryBudget(), wake: make(chan struct{}, 1),
		}
		p.state.SetHosts(s.deps.Hosts.PoolHosts(id))
		s.group.Go("scheduling of a pool", func() { s.loop(p) })
		return p
	})
}

// wakeLoop makes the loop run a scheduling pass; it does not block.
func (p *poolRuntime) wakeLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// takeQueued removes and returns the waiter of an item that has left the queue.
func (p *poolRuntime) takeQueued(id jaybarrow.RequestID) *waiter {
	w := p.queued[id]
	delete(p.queued, id)
	return w
}

// needsEarlierTimer reports whether a decision is due before the loop's timer fires.
func (p *poolRuntime) needsEarlierTimer(now time.Time) bool {
	next, ok := p.state.NextWake(now)
	return ok && (p.wakeAt.IsZero() || next.Before(p.wakeAt))
}

// loop runs a scheduling pass when hosts change, permits become available or a timer fires; arriving requests and ending tasks
// make their decisions themselves.
func (s *Scheduler) loop(p *poolRuntime) {
	for {
		changed := s.deps.Hosts.Changed()
		s.refreshHosts(p)
		if !s.loopUntilChange(p, changed) {
			return
		}
	}
}

// loopUntilChange runs scheduling passes; it returns true when the hosts changed, and false when the scheduler stops.
func (s *Scheduler) loopUntilChange(p *poolRuntime, changed <-chan struct{}) bool {
	for {
		timer := s.schedulePass(p)
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

func (s *Scheduler) refreshHosts(p *poolRuntime) {
	hosts := s.deps.Hosts.PoolHosts(p.id)
	p.Lock()
	defer p.Unlock()
	p.state.SetHosts(hosts)
}

// schedulePass starts the work that can start and refuses expired requests. It returns a timer for the next decision that only
// the passing of time brings about, nil when there is none.
func (s *Scheduler) schedulePass(p *poolRuntime) <-chan time.Time {
	p.Lock()
	now := s.deps.Clock.Now()
	due := s.decide(p, now)
	next, ok := p.state.NextWake(now)
	p.wakeAt = next
	p.Unlock()
	s.execute(p, due)
	if !ok {
		return nil
	}
	timer := s.deps.Clock.After(next.Sub(now))
	if reached := s.deps.Clock.Now(); !reached.Before(next) {
		// The timer is late by the time that passed since now, which is long when the process was paused.
		fired := make(chan time.Time, 1)
		fired <- reached
		return fired
	}
	return timer
}

// decide makes all decisions that are due; the caller holds the pool's lock and calls execute after releasing it.
func (s *Scheduler) decide(p *poolRuntime, now time.Time) actions {
	var due actions
	for _, e := range p.state.Expired(now) {
		due.expired = append(due.expired, expiry{p.takeQueued(e.Item.ID), e.SkipReason})
	}
	teamsLackingPermits := make(map[jaybarrow.TeamID]bool)
	in := schedule.Inputs{Signals: s.deps.Signals.Signals, Acquire: func(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
		p.wakeOnPermits.Store(true)
		acquired := s.deps.Permits.TryAcquire(team, slots)
		if !acquired {
			teamsLackingPermits[team] = true
			s.permitDemand.set(p.id, team, max(slots, p.state.UsableSlots(now, team)))
		}
		return acquired
	}}
	for {
		start, ok := p.state.Next(now, in)
		if !ok {
			break
		}
		s.lifecycle.taskStarted()
		due.starts = append(due.starts, taskStart{start, p.takeQueued(start.Item.ID)})
	}
	for team := range p.teamsLackingPermits {
		if !teamsLackingPermits[team] {
			s.permitDemand.set(p.id, team, 0)
		}
	}
	p.teamsLackingPermits = teamsLackingPermits
	if len(teamsLackingPermits) == 0 {
		p.wakeOnPermits.Store(false)
	}
	return due
}

// execute answers refused requests and starts tasks; the caller does not hold the pool's lock.
func (s *Scheduler) execute(p *poolRuntime, due actions) {
	for _, e := range due.expired {
		if e.skip == schedule.SkipNoPermits {
			s.refuse(e.waiter, jaybarrow.Errorf(jaybarrow.KindNoPermit, "team %s had no permits before the deadline", e.waiter.request.Team))
			continue
		}
		s.refuse(e.waiter, jaybarrow.Errorf(jaybarrow.KindDeadlinePassed, "no slot before the deadline"))
	}
	for _, w := range due.evicted {
		reason := fmt.Sprintf("the queue is full and team %s is furthest above its share", w.request.Team)
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%s", reason))
	}
	for _, start := range due.starts {
		s.group.Go("task", func() { s.runTask(p, start) })
	}
}
