package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// rounds are the rounds of a pool whose records are being written. The planning loop alone uses it.
//
// Load pattern: tasks that end and start all the time while the store is slow. When one round follows the other, a task that ends waits for the round
// in progress and then for its own. While the store answers as usual the rounds follow each other, since each collects the changes that come
// meanwhile.
type rounds struct {
	shard      *poolShard
	ended      chan roundEnd
	inProgress int
	newest     int64 // number of the round that was started last
	newestAt   time.Time
	newestDone bool
}

// roundEnd is the end of a round; err is nil when its records are stored.
type roundEnd struct {
	number int64
	err    error
}

func newRounds(p *poolShard) *rounds {
	return &rounds{shard: p, ended: make(chan roundEnd, p.deps.Settings.MaxRounds), newestDone: true}
}

// start sends the orders of the round that need not wait and begins to write its records.
func (r *rounds) start(ctx context.Context, round workload.Round) {
	p := r.shard
	p.sendUnwritten(ctx, round)
	r.inProgress++
	p.roundsInProgress.Add(1)
	r.newest++
	r.newestAt, r.newestDone = p.deps.Clock.Now(), false
	number := r.newest
	p.group.Go("round", func() { r.ended <- roundEnd{number, p.finishRound(ctx, round)} })
}

// end applies the end of a round. After that of a deposed leader it waits for the end of the term, which is no fault of the planning loop.
func (r *rounds) end(ctx context.Context, e roundEnd) error {
	r.inProgress--
	r.shard.roundsInProgress.Add(-1)
	r.newestDone = r.newestDone || e.number == r.newest
	if errors.Is(e.err, errDeposed) {
		<-ctx.Done()
	}
	return e.err
}

// awaitTurn waits until the next round may be planned: when the newest one has ended or has been in progress for OverlapAfter, and fewer than
// MaxRounds are. It returns the error of a round that has failed.
func (r *rounds) awaitTurn(ctx context.Context) error {
	var overlap <-chan time.Time
	if !r.newestDone {
		clock := r.shard.deps.Clock
		overlap = clock.After(max(0, r.shard.deps.Settings.OverlapAfter-clock.Now().Sub(r.newestAt)))
	}
	for waits := true; r.inProgress >= r.shard.deps.Settings.MaxRounds || waits && !r.newestDone; {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.ended:
			if err := r.end(ctx, e); err != nil {
				return err
			}
		case <-overlap:
			waits = false
		}
	}
	return nil
}

// awaitChange waits until the shard is to plan again after the plan at the given time. It returns the error of a round that has failed.
func (r *rounds) awaitChange(ctx context.Context, plannedAt time.Time) error {
	p := r.shard
	next := p.deps.Clock.After(p.untilNextPlan())
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.ended:
			if err := r.end(ctx, e); err != nil {
				return err
			}
			// Starts of the round may wait for the budget of orders.
			next = p.deps.Clock.After(p.untilNextPlan())
		case <-p.wake:
			p.sleep(ctx, p.planInterval()-p.deps.Clock.Now().Sub(plannedAt))
			return nil
		case <-next:
			return nil
		}
	}
}
