package pool

import (
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// runTask runs one attempt, and answers the request or returns it to the queue.
func (s *Scheduler) runTask(p *poolRun, start taskStart) {
	w := start.waiter
	begun := s.deps.Clock.Now()
	host, ok := s.deps.Hosts.Host(start.Host)
	if !ok {
		s.release(p, start, 0, true)
		s.settle(p, start, nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "host %s left", start.Host))
		return
	}
	if w.ctx.Err() != nil {
		s.release(p, start, 0, false)
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start"))
		return
	}
	task := s.newTask(begun, start)
	s.noteStart(w, start, begun)
	body, err := s.deps.Workers.Run(w.ctx, host, task)
	took := s.deps.Clock.Now().Sub(begun)
	s.observe(p, start, err, took)
	switch effectOf(err) {
	case jaybarrow.EffectMayHaveRun:
		s.settle(p, start, body, err)
		s.deps.Workers.AwaitEnd(host, task)
		s.release(p, start, s.deps.Clock.Now().Sub(begun), false)
	case jaybarrow.EffectNotRun:
		s.release(p, start, 0, w.ctx.Err() == nil)
		s.settle(p, start, body, err)
	default:
		s.release(p, start, took, false)
		s.settle(p, start, body, err)
	}
}

func effectOf(err error) jaybarrow.Effect {
	if err == nil {
		return jaybarrow.EffectRan
	}
	return jaybarrow.AsError(err).Effect
}

func (s *Scheduler) newTask(begun time.Time, start taskStart) jaybarrow.Task {
	r := start.waiter.request
	return jaybarrow.Task{
		ID: s.deps.NewTaskID(r.ID), Request: r.ID, Team: r.Team, Demand: r.Demand,
		Entry: s.deps.Entry, Incarnation: s.deps.Incarnation(), Idempotent: r.Idempotent,
		StartBy: begun.Add(s.deps.StartWindow), Body: r.Body,
	}
}

func (s *Scheduler) noteStart(w *waiter, start taskStart, begun time.Time) {
	if !w.started {
		w.started = true
		s.deps.Meter.Started(w.request.Team, w.request.Class, begun.Sub(w.request.Arrived))
	}
	s.deps.Journal.Note(w.subject(), "started", fmt.Sprintf("attempt %d on host %s", start.Attempt, start.Host))
}

// observe passes the outcome on; a cancelled task says nothing about its host.
func (s *Scheduler) observe(p *poolRun, start taskStart, err error, took time.Duration) {
	r := start.waiter.request
	if err == nil {
		s.deps.Estimates.Observe(r.Team, r.Queue, r.Declared, took)
	}
	if start.waiter.ctx.Err() == nil || err == nil {
		s.deps.Observer.Observe(p.id, start.Host, err, took)
	}
}

// release frees the attempt's slots and permits after its end is known, and starts what can use them. A host that refused
// the task is delayed before its slots are used again.
func (s *Scheduler) release(p *poolRun, start taskStart, ran time.Duration, refused bool) {
	if ran > 0 {
		s.deps.Meter.Served(start.Item.Team, start.Item.Slots, ran)
	}
	s.deps.Permits.Release(start.Item.Team, start.Item.Slots)
	p.Lock()
	now := s.deps.Clock.Now()
	if refused {
		p.state.HostRefused(now, start.Host)
	} else if ran > 0 {
		p.state.HostAccepted(start.Host)
	}
	p.state.Finished(now, start.Attempt, ran)
	b := s.decide(p, now)
	p.Unlock()
	s.apply(p, b)
	s.life.taskEnded()
}

// settle answers the request, or returns it to the queue for another attempt.
func (s *Scheduler) settle(p *poolRun, start taskStart, body []byte, err error) {
	w := start.waiter
	if err == nil {
		w.finish(body, nil)
		return
	}
	failure := jaybarrow.AsError(err)
	p.Lock()
	now := s.deps.Clock.Now()
	refusal := p.refusal
	retried := refusal == "" && s.mayRetry(p, start, failure, now)
	var b batch
	sooner := false
	if retried {
		w.tried = append(w.tried, start.Host)
		w.ran = w.ran || failure.Effect != jaybarrow.EffectNotRun
		p.state.Requeue(now, start.Item, w.tried)
		p.waiters[start.Item.ID] = w
		b = s.decide(p, now)
		sooner = p.wakesSooner(now)
	}
	p.Unlock()
	if retried {
		s.deps.Log.Info().Str("request", string(w.request.ID)).Str("host", string(start.Host)).Err(failure).
			Msg("the attempt failed; the request waits for another")
		s.deps.Journal.Note(w.subject(), "retried", failure.Error())
		s.apply(p, b)
		if sooner {
			p.signal()
		}
		return
	}
	s.answerFailure(w, failure, refusal)
}

// answerFailure answers a request that is not tried again; one that did not run because the scheduler stops is handed
// back.
func (s *Scheduler) answerFailure(w *waiter, failure *jaybarrow.Error, refusal jaybarrow.ErrorKind) {
	switch {
	case failure.Effect == jaybarrow.EffectNotRun && w.ctx.Err() != nil:
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before a worker took the task"))
	case failure.Effect == jaybarrow.EffectNotRun && refusal != "":
		s.refuse(w, jaybarrow.Errorf(refusal, "not run before the stop: %w", failure))
	default:
		s.deps.Journal.Note(w.subject(), "failed", failure.Error())
		w.finish(nil, failure)
	}
}

// mayRetry decides whether the request is tried again; the caller holds the pool's lock.
func (s *Scheduler) mayRetry(p *poolRun, start taskStart, failure *jaybarrow.Error, now time.Time) bool {
	w := start.waiter
	if w.ctx.Err() != nil {
		return false
	}
	if failure.Effect == jaybarrow.EffectNotRun {
		return failure.Kind == jaybarrow.KindWorkerRefused || failure.Kind == jaybarrow.KindWorkerLost
	}
	mayHelp := failure.Effect == jaybarrow.EffectMayHaveRun || failure.Kind == jaybarrow.KindWorkerFailed
	if !mayHelp || !w.request.Idempotent || w.retries >= maxRetries {
		return false
	}
	if d := start.Item.Deadline; !d.IsZero() && now.Add(start.Item.Estimate).After(d) {
		return false
	}
	tried := append(w.tried[:len(w.tried):len(w.tried)], start.Host)
	if !p.state.HasOtherHost(start.Item.Demand, tried) || !p.budget.spend() {
		return false
	}
	w.retries++
	return true
}
