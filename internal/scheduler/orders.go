package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// errLeadEnded means that a start was not sent: the process may have been paused since the decision, and a successor may lead by now.
var errLeadEnded = errors.New("not sent, since the lead may have ended")

// errWorkerSilent means that a start was not sent, since its worker did not accept the one before it.
var errWorkerSilent = errors.New("not sent, since the worker did not accept the start before")

// orderConnections is how many orders wait for an answer of one worker, as many as there are connections for them.
const orderConnections = 2

// byConnection groups the starts by worker, into at most orderConnections lists each, and keeps their order.
func byConnection(starts []workload.StartRun) [][]workload.StartRun {
	type connection struct {
		worker jaybarrow.WorkerID
		number int
	}
	var out [][]workload.StartRun
	counts := make(map[jaybarrow.WorkerID]int)
	index := make(map[connection]int)
	for _, s := range starts {
		c := connection{s.Worker.ID, counts[s.Worker.ID] % orderConnections}
		counts[s.Worker.ID]++
		n, known := index[c]
		if !known {
			n = len(out)
			index[c] = n
			out = append(out, nil)
		}
		out[n] = append(out[n], s)
	}
	return out
}

// startRuns sends start orders to one worker, for each of which a start slot is taken, one after the other. Once one was not answered or the
// worker is unhealthy, the rest is not sent, so that their tasks start elsewhere.
func (p *poolShard) startRuns(ctx context.Context, starts []workload.StartRun) {
	answers := true
	for _, s := range starts {
		answer, err := jaybarrow.StartAnswer{Outcome: jaybarrow.StartUnhealthy}, errWorkerSilent
		sent := p.deps.Clock.Now()
		if answers {
			answer, err = p.sendStart(ctx, s)
		}
		<-p.startSlots
		answers = answers && answer.Outcome != jaybarrow.StartUnknown && answer.Outcome != jaybarrow.StartUnhealthy
		p.handleStart(ctx, s, answer, err, sent)
	}
}

// sendStart sends a start order if this term may still be the present one and the worker may still get tasks.
func (p *poolShard) sendStart(ctx context.Context, s workload.StartRun) (jaybarrow.StartAnswer, error) {
	if p.deposed.Load() || !p.deps.Term.Valid() {
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartUnhealthy}, errLeadEnded
	}
	if err := p.withheld(s); err != nil {
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartWithheld}, err
	}
	p.startsSent.Add(1)
	answer, err := p.deps.Agents.Start(withDeadline(ctx, p.deps.Settings.StartTimeout), s.Worker, s.Order)
	p.noteAnswer(answer.Outcome != jaybarrow.StartUnknown)
	return answer, err
}

// handleStart records the outcome of a start order. It polls the worker when the order was not answered.
func (p *poolShard) handleStart(ctx context.Context, s workload.StartRun, answer jaybarrow.StartAnswer, err error, sent time.Time) {
	outcome := answer.Outcome
	line := p.log.Info()
	if outcome != jaybarrow.StartDone {
		line = p.log.Warn().Err(err)
	}
	line.Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Str("outcome", string(outcome)).Msg("start")
	if outcome == jaybarrow.StartFenced {
		p.deps.Term.Resign("a worker has seen a higher fencing token")
		return
	}
	var needsPoll, unsent bool
	p.locked(func() {
		now := p.deps.Clock.Now()
		restarted := p.state.HandleClock(s.Worker.ID, answer.Clock, sent, now)
		needsPoll = p.state.HandleStartOutcome(s, outcome, now) || restarted
		unsent = p.state.HasUnsentRuns()
	})
	if needsPoll {
		p.pollWorker(ctx, s.Worker.ID)
	}
	if unsent || outcome != jaybarrow.StartDone {
		p.signal()
	}
}

// noteAnswer counts whether an order was answered in time, and logs a change of the rate of orders.
func (p *poolShard) noteAnswer(answered bool) {
	if p.orders.Note(answered, p.deps.Clock.Now()) {
		p.log.Info().Int("percent", p.orders.RatePercent()).Msg("rate of orders changed")
	}
}

// stopRun sends a stop order and records its outcome. It polls the worker after an answered stop of a run whose start was not
// answered, because only a report shows that such a run does not exist.
func (p *poolShard) stopRun(ctx context.Context, s workload.StopRun) {
	limited := withDeadline(ctx, p.deps.Settings.StopTimeout)
	p.orders.TryTake(0, p.deps.Clock.Now())
	err := p.deps.Agents.Stop(limited, s.Worker, s.Task, s.Run, p.deps.Term.Fence)
	p.noteAnswer(err == nil)
	p.log.Info().Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Err(err).Msg("stop")
	var needsPoll bool
	p.locked(func() { needsPoll = p.state.HandleStopOutcome(s, err == nil, p.deps.Clock.Now()) })
	if needsPoll {
		p.pollWorker(ctx, s.Worker.ID)
		p.signal()
	}
}

// throttleRun orders a run to work at a share of its full speed; an unanswered order is decided again.
func (p *poolShard) throttleRun(ctx context.Context, s workload.ThrottleRun) {
	limited := withDeadline(ctx, p.deps.Settings.StopTimeout)
	err := p.deps.Agents.Throttle(limited, s.Worker, s.Task, s.Run, s.Share, p.deps.Term.Fence)
	p.log.Info().Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Int("percent", int(s.Share)).Err(err).Msg("pace")
	p.locked(func() { p.state.HandleThrottleOutcome(s, err == nil) })
}
