package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// poolShard runs one pool: a loop that plans, writes and sends, and for each worker a loop that renews its lease.
type poolShard struct {
	deps    Deps
	id      jaybarrow.PoolID
	ctx     context.Context
	log     zerolog.Logger
	writer  *writer
	forget  func(jaybarrow.JobID) // tells that a job's records are removed
	group   conc.WaitGroup
	wake    chan struct{}
	started chan struct{} // closed when the stored jobs are known
	once    sync.Once
	written *notify.Notifier

	lock  sync.Mutex // guards what follows; never held across I/O
	work  *workload.Pool
	holds map[jaybarrow.WorkerID]bool // workers with a running hold loop
}

func newPoolShard(s *Scheduler, id jaybarrow.PoolID) *poolShard {
	d := s.deps
	p := &poolShard{
		deps: d, id: id, ctx: s.ctx, log: d.Log.With().Str("pool", string(id)).Logger(),
		writer: &writer{
			clock: d.Clock, log: d.Log, store: d.Store, settings: d.Settings, leader: d.Term.Revision,
			revisions: make(map[jaybarrow.JobID]jaybarrow.Revision),
		},
		forget: s.places.Delete,
		wake:   make(chan struct{}, 1), started: make(chan struct{}), written: notify.New(),
		work: workload.New(workload.Deps{
			Settings: d.Settings.Workload, ID: id, Fence: d.Term.Fence, Teams: s.teams, Observer: d.Observer, Policies: s.policy,
		}),
		holds: make(map[jaybarrow.WorkerID]bool),
	}
	select {
	case <-s.loaded:
		p.begin()
	default:
	}
	p.group.Go(func() { p.run(s.ctx) })
	return p
}

// begin lets the shard plan; before that a start could repeat one that is stored.
func (p *poolShard) begin() { p.once.Do(func() { close(p.started) }) }

// signal wakes the planning loop.
func (p *poolShard) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *poolShard) setWorker(entry jaybarrow.Worker, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.work.SetWorker(entry, now)
	if !p.holds[entry.ID] {
		p.holds[entry.ID] = true
		p.group.Go(func() { p.hold(p.ctx, entry.ID) })
	}
	p.signal()
}

func (p *poolShard) dropWorker(id jaybarrow.WorkerID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.work.DropWorker(id)
}

// run plans whenever something has changed.
func (p *poolShard) run(ctx context.Context) {
	defer func() {
		// Only a fault ends the loop before the term. Without it the term must end too; closing it then reports the fault.
		if ctx.Err() == nil {
			p.deps.Term.Resign("the plans of a pool have ended")
		}
	}()
	select {
	case <-ctx.Done():
		return
	case <-p.started:
	}
	for {
		if err := p.round(ctx); err != nil {
			if errors.Is(err, errDeposed) {
				p.deps.Term.Resign("another scheduler's record was found")
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-p.deps.Clock.After(p.pause()):
		}
	}
}

// pause returns how long the next plan may wait.
func (p *poolShard) pause() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if due, ok := p.work.NextWriteIn(p.deps.Clock.Now()); ok {
		return max(time.Millisecond, min(due, p.deps.Settings.MaxPlanInterval))
	}
	return p.deps.Settings.MaxPlanInterval
}

// round plans once, stores what was decided and then sends it.
func (p *poolShard) round(ctx context.Context) error {
	p.lock.Lock()
	out := p.work.Plan(p.deps.Clock.Now(), p.deps.Term.Valid())
	p.lock.Unlock()
	if out.Empty() {
		return nil
	}
	for _, s := range out.Stops {
		p.group.Go(func() { p.stop(ctx, s) })
	}
	for _, s := range out.Throttles {
		p.group.Go(func() { p.pace(ctx, s) })
	}
	for _, q := range out.AdviceRequests {
		p.group.Go(func() { p.ask(ctx, q) })
	}
	if err := p.writer.write(ctx, out.Records); err != nil {
		return err
	}
	p.lock.Lock()
	p.work.MarkWritten(out)
	starts := p.sendable(out.Starts)
	p.lock.Unlock()
	p.written.Signal()
	for _, s := range starts {
		p.group.Go(func() { p.start(ctx, s) })
	}
	if len(out.Expired) > 0 {
		p.group.Go(func() { p.remove(ctx, out.Expired) })
	}
	return nil
}

// remove removes the records of jobs that ended long ago.
func (p *poolShard) remove(ctx context.Context, ids []jaybarrow.JobID) {
	err := p.writer.remove(ctx, ids)
	if err != nil && ctx.Err() == nil {
		p.log.Warn().Err(err).Int("jobs", len(ids)).Msg("records of ended jobs cannot be removed yet")
	}
	if err == nil {
		for _, id := range ids {
			p.forget(id)
		}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.work.HandleRemoval(ids, err == nil)
}

// sendable returns the starts that may still be sent, with their leases.
func (p *poolShard) sendable(starts []workload.StartRun) []workload.StartRun {
	if !p.deps.Term.Valid() {
		return nil
	}
	var out []workload.StartRun
	for _, s := range starts {
		if ready, ok := p.work.MarkSent(s, p.deps.Clock.Now()); ok {
			out = append(out, ready)
		}
	}
	return out
}

func (p *poolShard) start(ctx context.Context, s workload.StartRun) {
	limited, cancel := context.WithTimeout(ctx, p.deps.Settings.Start)
	defer cancel()
	outcome, err := p.deps.Agents.Start(limited, s.Worker, s.Order)
	line := p.log.Info()
	if outcome != jaybarrow.StartDone {
		line = p.log.Warn().Err(err)
	}
	line.Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Str("outcome", string(outcome)).Msg("start")
	if outcome == jaybarrow.StartFenced {
		p.deps.Term.Resign("a worker has seen a higher fence")
		return
	}
	p.lock.Lock()
	doubtful := p.work.HandleStartOutcome(s, outcome, p.deps.Clock.Now())
	p.lock.Unlock()
	if doubtful {
		p.look(ctx, s.Worker.ID)
	}
	p.signal()
}

func (p *poolShard) stop(ctx context.Context, s workload.StopRun) {
	limited, cancel := context.WithTimeout(ctx, p.deps.Settings.Stop)
	defer cancel()
	err := p.deps.Agents.Stop(limited, s.Worker, s.Task, s.Run, p.deps.Term.Fence)
	p.log.Info().Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Err(err).Msg("stop")
	p.lock.Lock()
	doubtful := p.work.HandleStopOutcome(s, err == nil, p.deps.Clock.Now())
	p.lock.Unlock()
	if doubtful {
		p.look(ctx, s.Worker.ID)
		p.signal()
	}
}

func (p *poolShard) pace(ctx context.Context, s workload.ThrottleRun) {
	limited, cancel := context.WithTimeout(ctx, p.deps.Settings.Stop)
	defer cancel()
	err := p.deps.Agents.Throttle(limited, s.Worker, s.Task, s.Run, s.Share, p.deps.Term.Fence)
	p.log.Info().Str("task", s.Task.String()).Int64("run", int64(s.Run)).Str("worker", string(s.Worker.ID)).
		Int("percent", int(s.Share)).Err(err).Msg("pace")
	p.lock.Lock()
	p.work.HandleThrottleOutcome(s, err == nil)
	p.lock.Unlock()
}

// ask puts one question to the adviser.
func (p *poolShard) ask(ctx context.Context, q workload.AdviceRequest) {
	limited, cancel := context.WithTimeout(ctx, p.deps.Settings.Advice)
	defer cancel()
	asked := p.deps.Clock.Now()
	advice, err := p.deps.Adviser.Advise(limited, q.Step, q.Workers)
	p.log.Info().Str("job", string(q.Step.Job)).Int("step", int(q.Step.Step)).Int("asked", len(q.Workers)).Int("allowed", len(advice.Tickets)).
		Err(err).Msg("advice")
	if err != nil {
		return
	}
	p.lock.Lock()
	p.work.HandleAdvice(q, advice, asked)
	p.lock.Unlock()
	p.signal()
}
