package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// adviceCalls sends the requests of all pools to the adviser, which decides on one call of a host at a time. Requests wait in the pools until the
// adviser can take them up, so that each is made from what is known then.
type adviceCalls struct {
	scheduler *Scheduler
	wake      chan struct{} // has a value when a call may have become possible

	lock    sync.Mutex // guards the fields below; never held across I/O
	calls   advice.Calls
	turns   *advice.Turns
	cancels map[advice.CallNumber]context.CancelFunc
	waiting map[jaybarrow.PoolID][]advice.Backlog // as of the last plan of each pool
}

func newAdviceCalls(s *Scheduler) *adviceCalls {
	return &adviceCalls{
		scheduler: s, wake: make(chan struct{}, 1), turns: advice.NewTurns(), cancels: make(map[advice.CallNumber]context.CancelFunc),
		waiting: make(map[jaybarrow.PoolID][]advice.Backlog),
	}
}

// signal wakes the loop; it does not block.
func (a *adviceCalls) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// planned records what waits for advice after a plan of the pool, and wakes the loop.
func (a *adviceCalls) planned(pool jaybarrow.PoolID, backlog []advice.Backlog) {
	a.lock.Lock()
	a.waiting[pool] = backlog
	a.lock.Unlock()
	a.signal()
}

// backlog returns the adviser's time for the steps that come before those of a new job in a queue of the priority: of those that can meet their
// target, and of all.
func (a *adviceCalls) backlog(priority int) (inTime, all time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, pool := range a.waiting {
		for _, b := range pool {
			all += b.All
			if b.Priority <= priority {
				inTime += b.InTime
			}
		}
	}
	return inTime, all
}

// maxAdvicePause is the longest time between two looks for a request to send; each plan of a pool that has one wakes the loop earlier.
const maxAdvicePause = time.Second

// run sends requests until ctx ends.
func (a *adviceCalls) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := a.sendDue(ctx)
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-a.scheduler.deps.Clock.After(wait):
		}
	}
}

// sendDue gives up the lost calls, sends the requests that may be sent now and returns how long to wait for the next ones.
func (a *adviceCalls) sendDue(ctx context.Context) time.Duration {
	for {
		now := a.scheduler.deps.Clock.Now()
		a.lock.Lock()
		a.calls.Tick(now)
		for _, n := range a.calls.TakeLost(now) {
			a.cancels[n]()
		}
		turn, idle := a.calls.Turn(now), a.calls.UnderWay() == 0
		pause := maxAdvicePause
		if a.calls.UnderWay() > 0 {
			pause = advice.TickInterval
		}
		if loss, ok := a.calls.NextLoss(now); ok {
			pause = min(pause, loss)
		}
		a.lock.Unlock()
		if turn.Wait > 0 {
			pause = min(pause, turn.Wait)
		}
		if !turn.Open || !a.scheduler.deps.Term.Valid() || !a.sendNext(ctx, turn.Trial, idle) {
			return pause
		}
	}
}

// sendNext sends the request that comes first; false when there is none.
func (a *adviceCalls) sendNext(ctx context.Context, trial, idle bool) bool {
	offers := a.offers(false)
	if len(offers) == 0 && trial {
		offers = a.offers(true)
	}
	for len(offers) > 0 {
		a.lock.Lock()
		n, ok := a.turns.Choose(offers, idle || trial)
		a.lock.Unlock()
		if !ok {
			return false
		}
		p, q, ok := a.take(offers[n].Flow.Pool, offers[n].Step)
		if ok {
			a.lock.Lock()
			a.turns.Take(offers, n, q.Time)
			a.lock.Unlock()
			a.send(ctx, p, q, trial)
			return true
		}
		offers = slices.Delete(offers, n, n+1)
	}
	return false
}

// offers returns the steps of all pools that the adviser may be asked about.
func (a *adviceCalls) offers(again bool) []advice.Offer {
	var out []advice.Offer
	now := a.scheduler.deps.Clock.Now()
	a.scheduler.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.locked(func() { out = append(out, p.state.AdviceOffers(now, again)...) })
	})
	return out
}

// take makes the request about a step; false when the step has changed since it was offered.
func (a *adviceCalls) take(pool jaybarrow.PoolID, step jaybarrow.StepRef) (p *poolShard, q workload.AdviceRequest, ok bool) {
	p, known := a.scheduler.pools.Get(pool)
	if !known {
		return nil, q, false
	}
	p.locked(func() { q, ok = p.state.RequestAdvice(step, a.scheduler.deps.Clock.Now()) })
	return p, q, ok
}

// send starts a call. It ends with an answer or an error, or when it is lost.
func (a *adviceCalls) send(ctx context.Context, p *poolShard, q workload.AdviceRequest, trial bool) {
	callCtx, cancel := context.WithCancel(ctx)
	sent := a.scheduler.deps.Clock.Now()
	a.lock.Lock()
	number := a.calls.Send(q.Time, trial, sent)
	a.cancels[number] = cancel
	a.lock.Unlock()
	a.scheduler.group.Go("advice", func() {
		answer, err := a.scheduler.deps.Adviser.Advise(callCtx, q.Step, q.Workers)
		now := a.scheduler.deps.Clock.Now()
		outcome, issued := a.end(number, err == nil, sent, now)
		cancel()
		if ctx.Err() != nil {
			return
		}
		p.log.Info().Str("job", string(q.Step.Job)).Int("step", int(q.Step.Step)).Str("outcome", string(outcome)).Int("asked", len(q.Workers)).
			Int("allowed", len(answer.Tickets)).Int64("expectedMs", q.Time.Milliseconds()).Int64("tookMs", now.Sub(sent).Milliseconds()).Err(err).Msg("advice")
		p.deps.Observer.AdviceEnded(q.Queue, outcome, now.Sub(sent))
		p.locked(func() {
			if outcome == jaybarrow.AdviceAnswered {
				p.state.HandleAdvice(q, answer, issued, now)
			} else {
				p.state.HandleAdviceFailure(q, now)
			}
		})
		p.signal()
		a.signal()
	})
}

// end records the end of a call and returns its outcome and the earliest time at which an answer can have been given.
func (a *adviceCalls) end(number advice.CallNumber, answered bool, sent, now time.Time) (jaybarrow.AdviceOutcome, time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.cancels, number)
	known := a.calls.Knows(number)
	switch {
	case answered && known:
		return jaybarrow.AdviceAnswered, a.calls.Answer(number, now)
	case answered:
		return jaybarrow.AdviceAnswered, sent // it was given up while its answer arrived
	case known:
		a.calls.Fail(number, now)
		return jaybarrow.AdviceFailed, time.Time{}
	}
	return jaybarrow.AdviceLost, time.Time{}
}
