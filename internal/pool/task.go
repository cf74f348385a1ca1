package pool

import (
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// runTask runs one attempt, then answers the request or returns it to the queue. It blocks until the end of the task is known. The
// request's key is checked after startedAt, so that a task whose process was paused after the check is a late start.
func (s *Scheduler) runTask(p *poolRuntime, start taskStart) {
	w := start.waiter
	startedAt := s.deps.Clock.Now()
	host, ok := s.deps.Hosts.Host(start.Host)
	if !ok {
		s.releaseAttempt(p, start, 0, true)
		s.answerOrRequeue(p, start, nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "host %s is no longer registered", start.Host))
		return
	}
	if w.ctx.Err() != nil {
		s.releaseAttempt(p, start, 0, false)
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start"))
		return
	}
	if err := s.deps.CheckKey(w.request.KeyHash); err != nil {
		s.releaseAttempt(p, start, 0, false)
		s.refuse(w, jaybarrow.AsError(err))
		return
	}
	task := s.newTask(startedAt, start)
	s.recordStart(w, start, startedAt)
	body, err := s.deps.Workers.Run(w.ctx, host, task)
	took := s.deps.Clock.Now().Sub(startedAt)
	s.reportOutcome(p, start, err, took)
	switch effectOf(err) {
	case jaybarrow.EffectMayHaveRun:
		s.answerOrRequeue(p, start, body, err)
		s.deps.Workers.AwaitEnd(host, task)
		s.releaseAttempt(p, start, s.deps.Clock.Now().Sub(startedAt), false)
	case jaybarrow.EffectNotRun:
		s.releaseAttempt(p, start, 0, w.ctx.Err() == nil)
		s.answerOrRequeue(p, start, body, err)
	default:
		s.releaseAttempt(p, start, took, false)
		s.answerOrRequeue(p, start, body, err)
	}
}

func effectOf(err error) jaybarrow.Effect {
	if err == nil {
		return jaybarrow.EffectRan
	}
	return jaybarrow.AsError(err).Effect
}

func (s *Scheduler) newTask(startedAt time.Time, start taskStart) jaybarrow.Task {
	r := start.waiter.request
	return jaybarrow.Task{
		ID: s.deps.NewTaskID(r.ID), Request: r.ID, Team: r.Team, Demand: r.Demand,
		Entry: s.deps.Entry, Incarnation: s.deps.Incarnation(), Idempotent: r.Idempotent,
		StartBy: startedAt.Add(s.deps.StartWindow), Body: r.Body,
	}
}

func (s *Scheduler) recordStart(w *waiter, start taskStart, startedAt time.Time) {
	if !w.started {
		w.started = true
		s.deps.Meter.Started(w.request.Team, w.request.Class, startedAt.Sub(w.request.Arrived))
	}
	s.deps.Journal.Note(w.subject(), "started", fmt.Sprintf("attempt %d on host %s", start.Attempt, start.Host))
}

// reportOutcome reports the run time of a success and the outcome of the attempt. A failure after a cancellation is not reported,
// because it shows no fault of the host.
func (s *Scheduler) reportOutcome(p *poolRuntime, start taskStart, err error, took time.Duration) {
	r := start.waiter.request
	if err == nil {
		s.deps.Estimates.Observe(r.Team, r.Queue, r.Declared, took)
	}
	if start.waiter.ctx.Err() == nil || err == nil {
		s.deps.Observer.Observe(p.id, start.Host, err, took)
	}
}

// releaseAttempt frees the attempt's slots and permits after its end is known, and starts work that can use them. A host that
// refused the task receives new work only after a backoff.
func (s *Scheduler) releaseAttempt(p *poolRuntime, start taskStart, ran time.Duration, refused bool) {
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
	due := s.decide(p, now)
	p.Unlock()
	s.execute(p, due)
	s.lifecycle.taskEnded()
}

// answerOrRequeue answers the request, or returns it to the queue for another attempt.
func (s *Scheduler) answerOrRequeue(p *poolRuntime, start taskStart, body []byte, err error) {
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
	var due actions
	needsWake := false
	if retried {
		w.triedHosts = append(w.triedHosts, start.Host)
		w.mayHaveRun = w.mayHaveRun || failure.Effect != jaybarrow.EffectNotRun
		p.state.Requeue(now, start.Item, w.triedHosts)
		p.queued[start.Item.ID] = w
		due = s.decide(p, now)
		needsWake = p.needsEarlierTimer(now)
	}
	p.Unlock()
	if retried {
		s.deps.Log.Info().Str("request", string(w.request.ID)).Str("host", string(start.Host)).Err(failure).
			Msg("cannot complete the attempt; queueing the request for another one")
		s.deps.Journal.Note(w.subject(), "retried", failure.Error())
		s.execute(p, due)
		if needsWake {
			p.wakeLoop()
		}
		return
	}
	s.answerFailure(w, failure, refusal)
}

// answerFailure answers a request that is not retried. When the last attempt did not run, the answer is the refusal while the
// scheduler stops.
func (s *Scheduler) answerFailure(w *waiter, failure *jaybarrow.Error, refusal jaybarrow.ErrorKind) {
	if failure.Effect == jaybarrow.EffectNotRun && refusal != "" {
		s.refuse(w, jaybarrow.Errorf(refusal, "run the request before the scheduler stops: %w", failure))
		return
	}
	s.deps.Journal.Note(w.subject(), "failed", failure.Error())
	w.finish(nil, failure)
}

// mayRetry reports whether the request may have another attempt, and charges the retry budget unless the last attempt did
// not run; the caller holds the pool's lock.
func (s *Scheduler) mayRetry(p *poolRuntime, start taskStart, failure *jaybarrow.Error, now time.Time) bool {
	w := start.waiter
	if w.ctx.Err() != nil {
		return false
	}
	if failure.Effect == jaybarrow.EffectNotRun {
		return failure.Kind == jaybarrow.KindWorkerRefused || failure.Kind == jaybarrow.KindWorkerLost
	}
	retryMayHelp := failure.Effect == jaybarrow.EffectMayHaveRun || failure.Kind == jaybarrow.KindWorkerFailed
	if !retryMayHelp || !w.request.Idempotent || w.retries >= maxRetriesPerRequest {
		return false
	}
	if d := start.Item.Deadline; !d.IsZero() && now.Add(start.Item.Estimate).After(d) {
		return false
	}
	triedHosts := append(w.triedHosts[:len(w.triedHosts):len(w.triedHosts)], start.Host)
	if !p.state.HasOtherHost(start.Item.Demand, triedHosts) || !p.budget.trySpend() {
		return false
	}
	w.retries++
	return true
}
