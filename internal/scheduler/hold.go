package scheduler

import (
	"context"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// holdWorker renews a worker's lease and collects its reports until the pool no longer tracks the worker.
func (p *poolShard) holdWorker(ctx context.Context, id jaybarrow.WorkerID) {
	select {
	case <-ctx.Done():
		return
	case <-p.jobsLoaded:
		// Before the stored jobs are loaded, every reported run would count as unknown.
	}
	failures := 0
	var lastEntry jaybarrow.Worker
	for ctx.Err() == nil {
		sent := p.deps.Clock.Now()
		var worker jaybarrow.Worker
		var order jaybarrow.HoldOrder
		var ok bool
		if !p.locked(func() {
			if worker, order, ok = p.state.HoldOrder(id, p.deps.Term.Valid(), sent); !ok {
				delete(p.holdLoops, id)
			}
		}) {
			return
		}
		if ok {
			lastEntry = worker
		} else {
			p.deps.Agents.Disconnect(lastEntry)
			p.log.Info().Str("worker", string(id)).Msg("worker forgotten")
			return
		}
		err := p.holdOnce(ctx, worker, order, sent)
		if err == nil {
			if failures > 0 {
				p.log.Info().Str("worker", string(id)).Int("failures", failures).Msg("worker regained")
			}
			failures = 0
			p.awaitEndsStored(ctx, id)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			p.logLost(id, err)
		}
		failures++
		p.sleep(ctx, p.deps.Settings.HoldRetryDelay<<min(failures-1, 2))
	}
}

// logLost logs a lost worker; a worker that was expected to leave is logged at a lower level.
func (p *poolShard) logLost(id jaybarrow.WorkerID, err error) {
	var leaves bool
	p.locked(func() { leaves = p.state.Leaves(id) })
	if leaves {
		p.log.Info().Str("worker", string(id)).Msg("worker left with its host")
		return
	}
	p.log.Warn().Err(err).Str("worker", string(id)).Msg("worker lost")
}

// holdOnce sends one hold order and applies the worker's report or the failure.
func (p *poolShard) holdOnce(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.HoldOrder, sent time.Time) error {
	limited := withDeadline(ctx, order.Wait+p.deps.Settings.HoldSlack)
	report, err := p.deps.Agents.Hold(limited, worker, order)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		p.deps.Term.Resign("a worker has seen a higher fencing token")
		return err
	}
	now := p.deps.Clock.Now()
	if order.Expires != 0 {
		p.noteAnswer(err == nil || jaybarrow.IsKind(err, jaybarrow.KindNotFound))
	}
	changed := true
	p.locked(func() {
		switch {
		case err == nil:
			changed = p.state.HandleReport(worker.ID, report, sent, now)
		case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
			p.state.HandleReplaced(worker, now)
		default:
			p.state.HandleHoldFailure(worker.ID)
		}
	})
	if changed {
		p.signal()
	}
	return err
}

// pollWorker requests a report without waiting. A failure is ignored, because the hold loop detects a lost worker.
func (p *poolShard) pollWorker(ctx context.Context, id jaybarrow.WorkerID) {
	sent := p.deps.Clock.Now()
	var worker jaybarrow.Worker
	var order jaybarrow.HoldOrder
	var ok bool
	p.locked(func() { worker, order, ok = p.state.PollOrder(id) })
	if !ok {
		return
	}
	limited := withDeadline(ctx, p.deps.Settings.StartTimeout)
	report, err := p.deps.Agents.Poll(limited, worker, order)
	p.log.Debug().Str("worker", string(id)).Err(err).Msg("look")
	if err != nil {
		return
	}
	var changed bool
	p.locked(func() { changed = p.state.HandleReport(id, report, sent, p.deps.Clock.Now()) })
	if changed {
		p.signal()
	}
}

// awaitEndsStored waits until the ended runs that the worker reported are stored, up to MaxStoreWait. An earlier hold order could
// not acknowledge them, so the worker would only report them again.
func (p *poolShard) awaitEndsStored(ctx context.Context, id jaybarrow.WorkerID) {
	limit := p.deps.Clock.After(p.deps.Settings.MaxStoreWait)
	for {
		written := p.written.Changed()
		var done bool
		if !p.locked(func() { done = p.state.EndsStored(id) }) || done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-written:
		}
	}
}

func (p *poolShard) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-p.deps.Clock.After(d):
	}
}
