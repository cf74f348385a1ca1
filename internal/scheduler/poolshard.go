package scheduler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// poolShard schedules one pool. One loop plans; each round of decisions is stored, and its orders are then sent, in a goroutine of its own. For each
// worker, another loop renews the worker's lease and collects its reports.
type poolShard struct {
	deps             Deps
	id               jaybarrow.PoolID
	ctx              context.Context
	log              zerolog.Logger
	writer           *writer
	forgetJob        func(jaybarrow.JobID)   // called when a job's records have been removed
	startSlots       chan struct{}           // of the scheduler
	orders           *budget.Orders          // of the scheduler
	waitingTasks     *atomic.Int64           // of all pools
	throughput       *budget.Throughput      // of the scheduler
	startsSent       *atomic.Int64           // of all pools
	deposed          *atomic.Bool            // of the scheduler; whether a write has shown that another one leads
	roundsInProgress *atomic.Int64           // of all pools
	advice           *adviceCalls            // of the scheduler
	advised          bool                    // whether jobs waited for advice after the last plan; used by the planning loop only
	group            *rungroup.Group         // a part that fails ends the term
	senders          *rungroup.GoroutinePool // of the scheduler, for orders to workers
	wake             chan struct{}           // has a value when the planning loop must plan again
	jobsLoaded       chan struct{}           // closed once the stored jobs are loaded
	loadOnce         sync.Once               // closes jobsLoaded
	written          *notify.Notifier        // signalled after each write of decisions

	lock      sync.Mutex // guards the fields below; never held across I/O
	state     *workload.Pool
	holdLoops map[jaybarrow.WorkerID]bool // workers with a running hold loop
	gates     map[int]*gate               // decide which new jobs the pool takes on, by the priority of their queues
	tasks     int                         // waiting tasks that waitingTasks counts for this pool
	coming    Coming                      // what the fleet can add to the pool
	teams     *teamAdmission              // nil unless admission weighs teams
	failed    bool                        // whether a panic may have left state inconsistent
}

// errFailed means that the state of the pool may be inconsistent, so nothing may be decided from it.
var errFailed = errors.New("a part of the pool has failed")

// newPoolShard returns a running shard; it plans once the stored jobs are loaded.
func newPoolShard(s *Scheduler, id jaybarrow.PoolID) *poolShard {
	d := s.deps
	log := d.Log.With().Str("pool", string(id)).Logger()
	p := &poolShard{
		deps: d, id: id, ctx: s.ctx, log: log, group: rungroup.New(rungroup.EndTerm(log, d.Term.Resign)),
		writer: &writer{
			clock: d.Clock, log: d.Log, store: d.Store, settings: d.Settings, commitTimes: d.CommitTimes, slots: s.commitSlots, leaderRevision: d.Term.Revision,
			revisions: make(map[jaybarrow.JobID]jaybarrow.Revision),
		},
		forgetJob: s.jobPools.Delete, startSlots: s.startSlots, orders: s.orders, senders: s.senders, waitingTasks: &s.waitingTasks,
		wake: make(chan struct{}, 1), jobsLoaded: make(chan struct{}), written: notify.New(),
		state: workload.New(workload.Deps{
			Settings: d.Settings.Workload, ID: id, Fence: d.Term.Fence, Teams: s.teams, Observer: d.Observer, Policies: s.policy,
			Evacuated: d.Evacuations.InForce,
		}),
		holdLoops: make(map[jaybarrow.WorkerID]bool), gates: make(map[int]*gate), throughput: &s.throughput, startsSent: &s.startsSent, deposed: &s.deposed, roundsInProgress: &s.roundsInProgress, advice: s.advice,
	}
	if d.Settings.TeamAdmission {
		p.teams = newTeamAdmission()
	}
	select {
	case <-s.loaded:
		p.startPlanning()
	default:
	}
	p.group.Keep(s.ctx, "planning", func() error { return p.run(s.ctx) })
	return p
}

// startPlanning lets the shard plan. It is called once the stored jobs are loaded, as an earlier plan could start a task again
// that is already stored as started.
func (p *poolShard) startPlanning() { p.loadOnce.Do(func() { close(p.jobsLoaded) }) }

// signal wakes the planning loop; it does not block.
func (p *poolShard) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// setWorker adds or updates a worker and starts its hold loop if none is running.
func (p *poolShard) setWorker(entry jaybarrow.Worker, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.state.SetWorker(entry, now) {
		return
	}
	if p.state.NeedsPoll(entry.ID) && p.holdLoops[entry.ID] {
		p.group.Go("report of a worker that has started again", func() { p.pollWorker(p.ctx, entry.ID) })
	}
	if !p.holdLoops[entry.ID] {
		p.holdLoops[entry.ID] = true
		p.group.Go("reports of a worker", func() { p.holdWorker(p.ctx, entry.ID) })
	}
	p.signal()
}

// dropWorker records that the worker is no longer registered; its hold loop runs on until the pool stops tracking the worker.
func (p *poolShard) dropWorker(id jaybarrow.WorkerID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.state.DropWorker(id)
}

// endWorker records that the worker has ended with its host; its hold loop ends with the next failure.
func (p *poolShard) endWorker(id jaybarrow.WorkerID) {
	p.locked(func() { p.state.EndWorker(id, p.deps.Clock.Now()) })
}

// locked calls f with the lock held and reports true. After a panic of an earlier f it reports false instead: the lock is free, so that
// every part can end with the term, but the state is used no more.
func (p *poolShard) locked(f func()) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.failed {
		return false
	}
	p.failed = true
	f()
	p.failed = false
	return true
}

// run plans after each change, though not sooner than planInterval after the last plan, and at least every MaxPlanInterval until ctx ends. An
// earlier return ends the term.
func (p *poolShard) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-p.jobsLoaded:
	}
	rounds := newRounds(p)
	for {
		plannedAt := p.deps.Clock.Now()
		round, err := p.plan()
		if err != nil {
			return err
		}
		if !round.Empty() {
			rounds.start(ctx, round)
		}
		if err := rounds.awaitTurn(ctx); err != nil {
			return err
		}
		if err := rounds.awaitChange(ctx, plannedAt); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// orderRetryInterval is the time until the next plan while the budget of orders delays starts: a few orders fit into it on a slow link.
const orderRetryInterval = 20 * time.Millisecond

// planInterval returns the least time between two plans, in which changes are collected.
func (p *poolShard) planInterval() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.deps.Settings.Host.PlanInterval(p.state.Workers())
}

// untilNextPlan returns the time until the next plan is due.
func (p *poolShard) untilNextPlan() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	limit := p.deps.Settings.MaxPlanInterval
	if p.state.HasUnsentRuns() || p.state.HasPlacementsDue() {
		limit = min(limit, orderRetryInterval)
	}
	if due, ok := p.state.NextWriteIn(p.deps.Clock.Now()); ok {
		return max(time.Millisecond, min(due, limit))
	}
	return limit
}

// plan decides what to do now.
func (p *poolShard) plan() (workload.Round, error) {
	var round workload.Round
	var advised bool
	var waiting []advice.Backlog
	if !p.locked(func() {
		now := p.deps.Clock.Now()
		room := p.orders.Room(now)
		p.state.LimitOrders(room, room)
		p.state.SetDispatchDelay(p.dispatchDelay(now))
		round = p.state.Plan(now, p.mayStart(now))
		advised, waiting = p.state.HasAdvised(), p.state.AdviceBacklog()
	}) {
		return workload.Round{}, errFailed
	}
	if advised || p.advised {
		p.advice.planned(p.id, waiting)
	}
	p.advised = advised
	return round, nil
}

// sendUnwritten sends those orders of a round that need not wait for its records.
func (p *poolShard) sendUnwritten(ctx context.Context, round workload.Round) {
	for _, s := range round.Stops {
		p.senders.Go("stop order", func() { p.stopRun(ctx, s) })
	}
	for _, s := range round.Throttles {
		p.group.Go("throttle order", func() { p.throttleRun(ctx, s) })
	}
}

// finishRound stores the records of a round and then sends its starts.
func (p *poolShard) finishRound(ctx context.Context, round workload.Round) error {
	if err := p.writer.write(ctx, round.Records); err != nil {
		if errors.Is(err, errDeposed) {
			// Another leader is no fault of this process.
			p.deposed.Store(true)
			p.deps.Term.Resign("the store holds another leader's record")
		}
		return err
	}
	var starts []workload.StartRun
	var due bool
	if !p.locked(func() {
		p.state.MarkWritten(round)
		starts = p.sendableStarts(round.Starts)
		due = p.state.HasWritesDue()
	}) {
		return errFailed
	}
	p.written.Signal()
	for _, some := range byConnection(starts) {
		p.senders.Go("start orders", func() { p.startRuns(ctx, some) })
	}
	if len(round.Expired) > 0 {
		p.group.Go("removal of records", func() { p.removeRecords(ctx, round.Expired) })
	}
	if due {
		// Changes of the round's jobs have waited for it.
		p.signal()
	}
	return nil
}

// removeRecords removes the records of ended jobs whose retention has passed.
func (p *poolShard) removeRecords(ctx context.Context, ids []jaybarrow.JobID) {
	err := p.writer.removeRecords(ctx, ids)
	if err != nil && ctx.Err() == nil {
		p.log.Warn().Err(err).Int("jobs", len(ids)).Msg("records of ended jobs cannot be removed yet")
	}
	if err == nil {
		for _, id := range ids {
			p.forgetJob(id)
		}
	}
	p.locked(func() { p.state.HandleRemoval(ids, err == nil) })
}

// sendableStarts returns the starts that may still be sent, with the lease of each filled in and a start slot taken for it. Starts beyond
// the free slots and the budget of orders stay planned and are part of the next round. The lock is held.
func (p *poolShard) sendableStarts(starts []workload.StartRun) []workload.StartRun {
	if p.deposed.Load() || !p.mayStart(p.deps.Clock.Now()) {
		return nil
	}
	var out []workload.StartRun
	for _, s := range starts {
		select {
		case p.startSlots <- struct{}{}:
		default:
			return out
		}
		now := p.deps.Clock.Now()
		if !p.orders.TryTake(budget.Bytes(len(s.Order.Spec)+len(s.Order.Checkpoint)), now) {
			<-p.startSlots
			return out
		}
		ready, ok := p.state.MarkSent(s, now)
		if !ok {
			<-p.startSlots
			continue
		}
		out = append(out, ready)
	}
	return out
}
