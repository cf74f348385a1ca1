package scheduler

import (
	"context"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// hold renews a worker's lease and collects its reports until the worker is forgotten.
func (p *poolShard) hold(ctx context.Context, id jaybarrow.WorkerID) {
	select {
	case <-ctx.Done():
		return
	case <-p.started:
		// Without the stored jobs the reported runs would count as unknown.
	}
	failures := 0
	var last jaybarrow.Worker
	for ctx.Err() == nil {
		p.lock.Lock()
		sent := p.deps.Clock.Now()
		worker, order, ok := p.work.HoldOrder(id, p.deps.Term.Valid(), sent)
		if !ok {
			delete(p.holds, id)
		}
		p.lock.Unlock()
		if ok {
			last = worker
		} else {
			p.deps.Agents.Disconnect(last)
			p.log.Info().Str("worker", string(id)).Msg("worker forgotten")
			return
		}
		err := p.holdOnce(ctx, worker, order, sent)
		if err == nil {
			if failures > 0 {
				p.log.Info().Str("worker", string(id)).Int("failures", failures).Msg("worker regained")
			}
			failures = 0
			p.awaitStored(ctx, id)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			p.logLost(id, err)
		}
		failures++
		p.sleep(ctx, p.deps.Settings.HoldRetry<<min(failures-1, 2))
	}
}

// logLost tells a worker that has gone silent from one that was expected to end.
func (p *poolShard) logLost(id jaybarrow.WorkerID, err error) {
	p.lock.Lock()
	leaving := p.work.Reserved(id)
	p.lock.Unlock()
	if leaving {
		p.log.Info().Str("worker", string(id)).Msg("worker left with its host")
		return
	}
	p.log.Warn().Err(err).Str("worker", string(id)).Msg("worker lost")
}

// holdOnce gives one order and takes the report into account, or its absence.
func (p *poolShard) holdOnce(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.HoldOrder, sent time.Time) error {
	limited, cancel := context.WithTimeout(ctx, order.Wait+p.deps.Settings.Hold)
	defer cancel()
	report, err := p.deps.Agents.Hold(limited, worker, order)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		p.deps.Term.Resign("a worker has seen a higher fence")
		return err
	}
	now := p.deps.Clock.Now()
	p.lock.Lock()
	if err != nil {
		p.work.HandleHoldFailure(worker.ID, jaybarrow.IsKind(err, jaybarrow.KindNotFound), now)
	} else {
		p.work.HandleReport(worker.ID, report, sent, now)
	}
	p.lock.Unlock()
	p.signal()
	return err
}

// look asks a worker for a report at once. A missing one says nothing: the waiting order tells whether the worker is lost.
func (p *poolShard) look(ctx context.Context, id jaybarrow.WorkerID) {
	p.lock.Lock()
	sent := p.deps.Clock.Now()
	worker, order, ok := p.work.PollOrder(id)
	p.lock.Unlock()
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, p.deps.Settings.Start)
	defer cancel()
	report, err := p.deps.Agents.Poll(limited, worker, order)
	p.log.Debug().Str("worker", string(id)).Err(err).Msg("look")
	if err != nil {
		return
	}
	p.lock.Lock()
	p.work.HandleReport(id, report, sent, p.deps.Clock.Now())
	p.lock.Unlock()
}

// awaitStored waits until the ends that the worker listed are stored, since it would only list them again.
func (p *poolShard) awaitStored(ctx context.Context, id jaybarrow.WorkerID) {
	limit := p.deps.Clock.After(p.deps.Settings.MaxStoreWait)
	for {
		written := p.written.Changed()
		p.lock.Lock()
		done := p.work.EndsStored(id)
		p.lock.Unlock()
		if done {
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
	select {
	case <-ctx.Done():
	case <-p.deps.Clock.After(d):
	}
}
