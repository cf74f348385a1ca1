package fleetkeeper

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Pools gives access to the scheduler's pools.
type Pools interface {
	// Loads returns the load of each pool.
	Loads(now time.Time) map[jaybarrow.PoolID]workload.Load
	// SetComing replaces the capacity that the fleet can add to each pool.
	SetComing(byPool map[jaybarrow.PoolID]scheduler.Coming)
	// Reserve stops the assignment of new tasks to a worker. It reports false, and changes nothing, when the worker is unknown or still has
	// tasks.
	Reserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) bool
	// Drain begins to empty a worker; otherwise it changes nothing and returns the obstacle, which is empty for an unknown worker.
	Drain(pool jaybarrow.PoolID, worker jaybarrow.WorkerID) (drains bool, obstacle jaybarrow.DrainObstacle)
	// Unreserve ends the reservation of a worker.
	Unreserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID)
	// EndWorker records that a worker has certainly ended with an order for its host.
	EndWorker(pool jaybarrow.PoolID, worker jaybarrow.WorkerID)
	// SetMaintenanceDue replaces the set of workers whose hosts await maintenance.
	SetMaintenanceDue(due map[jaybarrow.WorkerID]bool)
}

// Waves gives access to the maintenance waves that operators requested.
type Waves interface {
	// Waves returns every known wave with the time at which it was first received.
	Waves() []KnownWave
	// ReportWave reports the status of a wave to operators, unless the leader's record has another revision.
	ReportWave(ctx context.Context, wave jaybarrow.WaveID, status jaybarrow.WaveStatus, leader jaybarrow.Revision) error
}

// KnownWave is a wave and the time at which it was received; its hosts must be maintained within Wave.Within after ReceivedAt.
type KnownWave struct {
	jaybarrow.Wave
	ReceivedAt time.Time // local time at which the wave was first received
}

// Settings are the intervals and timeouts of a Keeper.
type Settings struct {
	Plan fleetplan.Settings
	// Interval is the least time between two decisions. Each decision is preceded by a call for the platform's list of hosts.
	Interval time.Duration
	// Host is what the leader's host can carry; a long list of hosts is read less often.
	Host budget.Host
	// CallTimeout is the timeout of one call to the platform or the store; a call for hosts reads one page.
	CallTimeout time.Duration
	// MaxConcurrentOrders is how many orders wait for an answer of the platform at the same time, as many as there are connections for them.
	MaxConcurrentOrders int
	// TakeoverDelay is the least time between orders of two leaders for one host.
	TakeoverDelay time.Duration
	// MinOrderDuration is the least time that the platform takes to carry out an order. A host that is up was last ordered at least
	// this long before it came up.
	MinOrderDuration time.Duration
	// ClockSkew is the largest difference between the wall clocks of two hosts.
	ClockSkew time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Plan: fleetplan.DefaultSettings(),
		// A twentieth of the time that a move takes, and well within the platform's rate limit.
		Interval: 100 * time.Millisecond,
		// Hundreds of times the platform's usual response time.
		CallTimeout:         time.Second,
		MaxConcurrentOrders: 4,
		TakeoverDelay:       3 * time.Second, MinOrderDuration: 1500 * time.Millisecond,
		// Three times the largest clock step that the platform team states.
		ClockSkew: 6 * time.Second,
	}
}

// Deps are what a Keeper depends on.
type Deps struct {
	Clock   jaybarrow.Clock
	Log     zerolog.Logger
	Fleet   jaybarrow.Fleet
	Store   jaybarrow.JobStore
	Pools   Pools
	Waves   Waves
	Catalog *catalog.Catalog
	// Evacuated reports whether a data centre is being evacuated; nil when none ever is. It must not block.
	Evacuated func(jaybarrow.DataCentreID) bool
	Term      leader.Term
	Settings  Settings
	OnFault   rungroup.Handler // called when a part fails, after the term has been resigned; nil crashes the process
}

// Keeper moves and maintains hosts during one term of the leader.
type Keeper struct {
	deps   Deps
	cancel context.CancelFunc
	group  *rungroup.Group
	slots  chan struct{} // has a value for each order that waits for an answer
	state  state
}

// New returns a running Keeper.
func New(d Deps) *Keeper {
	if d.Evacuated == nil {
		d.Evacuated = func(jaybarrow.DataCentreID) bool { return false }
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		deps: d, cancel: cancel, group: rungroup.New(d.handleFault), slots: make(chan struct{}, d.Settings.MaxConcurrentOrders), state: newState(),
	}
	k.group.Keep(ctx, "decisions on hosts", func() error { k.decideLoop(ctx); return nil })
	return k
}

// handleFault resigns the term, so that a successor need not wait for the end of the lease, and passes the fault on.
func (d Deps) handleFault(f rungroup.Fault) {
	d.Term.Resign("a part of the fleet keeper has failed: " + string(f.Part))
	d.OnFault.Handle(f)
}

// Close stops sending orders and waits for calls in progress.
func (k *Keeper) Close() {
	k.cancel()
	k.group.Wait()
}

// decideLoop reads the list of hosts, decides and sends orders every Interval until ctx ends.
func (k *Keeper) decideLoop(ctx context.Context) {
	takeoverEnd := k.deps.Clock.Now().Add(k.deps.Settings.TakeoverDelay)
	for k.sleep(ctx, k.deps.Settings.Host.HostListInterval(len(k.state.hosts), k.deps.Settings.Interval)) {
		k.loadWaves(ctx)
		k.sampleNeeds(k.deps.Clock.Now())
		// Orders are sent only right after a response of the platform. An order that a network partition delays could arrive after an
		// order of a successor.
		if !k.refreshHosts(ctx) || !k.deps.Term.Valid() {
			continue
		}
		now := k.deps.Clock.Now()
		view := k.view(now, now.Before(takeoverEnd))
		k.deps.Pools.SetComing(k.coming(view))
		if now.Before(takeoverEnd) {
			// The previous leader may have begun maintenance that the list does not show yet, so beginning more could exceed a wave's limit.
			view.Waves = nil
			k.carryOut(ctx, fleetplan.Decide(k.deps.Settings.Plan, view))
			continue
		}
		k.releaseReservations(view)
		k.deps.Pools.SetMaintenanceDue(workersDueForMaintenance(view))
		k.carryOut(ctx, fleetplan.Decide(k.deps.Settings.Plan, view))
		k.reportWaves(ctx)
	}
}

// sleep waits for the duration; it reports false when ctx ended first.
func (k *Keeper) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.deps.Clock.After(d):
		return true
	}
}

// refreshHosts reads the platform's list of hosts; it reports whether that succeeded.
func (k *Keeper) refreshHosts(ctx context.Context) bool {
	requestedAt := k.deps.Clock.Now()
	hosts, err := k.listHosts(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		if k.state.markUnreadable() {
			k.deps.Log.Warn().Err(err).Msg("the list of hosts cannot be read; no orders until it can")
		}
	case k.state.replaceHosts(hosts, requestedAt, k.deps.Clock.Now()):
		k.deps.Log.Info().Int("hosts", len(hosts)).Msg("the list of hosts can be read")
	}
	return err == nil && ctx.Err() == nil
}

// listHosts reads every page of the platform's list of hosts. Each page has a time limit of its own, so that a slow platform does not
// keep a large fleet from being read.
func (k *Keeper) listHosts(ctx context.Context) ([]jaybarrow.FleetHost, error) {
	var all []jaybarrow.FleetHost
	var page jaybarrow.PageToken
	for {
		limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
		hosts, next, err := k.deps.Fleet.Hosts(limited, page)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("read the page after %d hosts: %w", len(all), err)
		}
		all = append(all, hosts...)
		if next == "" {
			return all, nil
		}
		page = next
	}
}

// releaseReservations ends the reservations of workers that no order and no pending maintenance needs any more.
func (k *Keeper) releaseReservations(view fleetplan.State) {
	for _, h := range view.Hosts {
		if h.Reserved && !h.Ordered && !maintenancePending(view.Waves, h.ID) {
			k.deps.Pools.Unreserve(h.Pool, h.Worker)
		}
	}
}

// workersDueForMaintenance returns the workers whose hosts await maintenance in a wave.
func workersDueForMaintenance(view fleetplan.State) map[jaybarrow.WorkerID]bool {
	out := make(map[jaybarrow.WorkerID]bool)
	for _, h := range view.Hosts {
		if h.Worker != "" && maintenancePending(view.Waves, h.ID) {
			out[h.Worker] = true
		}
	}
	return out
}

// maintenancePending reports whether the host awaits maintenance in one of the waves.
func maintenancePending(waves []fleetplan.Wave, host jaybarrow.HostID) bool {
	return slices.ContainsFunc(waves, func(w fleetplan.Wave) bool { return slices.Contains(w.Pending, host) })
}

// carryOut reserves the workers that the decisions affect and sends each order in its own goroutine. An order for a host whose worker
// cannot be reserved while empty is skipped.
func (k *Keeper) carryOut(ctx context.Context, orders fleetplan.Orders) {
	for _, m := range orders.Drain {
		if k.isSpare(m.Host.Pool) {
			continue
		}
		drains, obstacle := k.deps.Pools.Drain(m.Host.Pool, m.Host.Worker)
		if drains {
			k.deps.Log.Info().Str("host", string(m.Host.ID)).Int64("wave", int64(m.Wave)).Int("runs", m.Host.Runs).
				Int("lasting", m.Host.Lasting).Msg("host is emptied for its maintenance")
		}
		k.noteObstacle(m, obstacle)
	}
	for _, m := range orders.Maintain {
		if !k.isSpare(m.Host.Pool) && !k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker) {
			continue
		}
		o := k.state.recordOrder(m.Host, "", m.Wave, k.deps.Clock.Now())
		k.group.Go("order for a host", func() {
			k.sendOrder(ctx, m.Host, o, "maintain", func(ctx context.Context) (jaybarrow.FleetOrderOutcome, error) {
				return k.deps.Fleet.Maintain(ctx, m.Host.ID, m.Wave, k.lead())
			})
		})
	}
	for _, m := range orders.Moves {
		if !k.isSpare(m.Host.Pool) && !k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker) {
			continue
		}
		o := k.state.recordOrder(m.Host, m.To, 0, k.deps.Clock.Now())
		k.deps.Log.Info().Str("host", string(m.Host.ID)).Str("from", string(m.Host.Pool)).Str("to", string(m.To)).
			Str("reason", m.Reason).Msg("host moves")
		k.group.Go("order for a host", func() {
			k.sendOrder(ctx, m.Host, o, "move", func(ctx context.Context) (jaybarrow.FleetOrderOutcome, error) {
				outcome, err := k.deps.Fleet.Move(ctx, m.Host.ID, m.To, k.lead())
				// Maintenance of an earlier leader may be the reason that an order to maintain counts as done, so only a move shows this.
				if outcome == jaybarrow.FleetOrderDone && m.Host.Worker != "" {
					k.deps.Pools.EndWorker(m.Host.Pool, m.Host.Worker)
				}
				return outcome, err
			})
		})
	}
}

// isSpare reports whether the pool is configured as a spare pool.
func (k *Keeper) isSpare(id jaybarrow.PoolID) bool {
	p, ok := k.deps.Catalog.Pool(id)
	return ok && p.Spare
}

// lead returns the leadership under which orders are sent.
func (k *Keeper) lead() jaybarrow.Lead {
	return jaybarrow.Lead{Fence: k.deps.Term.Fence, Valid: k.deps.Term.Valid}
}

// errOrdersUnanswered means that an order was not sent, because the platform has not answered those before it in time.
var errOrdersUnanswered = jaybarrow.Errorf(jaybarrow.KindQueueFull, "the platform has not answered the orders before").WithEffect(jaybarrow.EffectNotRun)

// sendOrder sends one order to the platform and records its outcome.
func (k *Keeper) sendOrder(ctx context.Context, host fleetplan.Host, o *order, action string, send func(context.Context) (jaybarrow.FleetOrderOutcome, error)) {
	outcome, err := k.sendAsLeader(ctx, send)
	notRun := err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun
	line, message := k.deps.Log.Info(), "order for a host"
	if err != nil {
		line = k.deps.Log.Warn().Err(err)
	}
	if notRun && !k.deps.Term.Valid() {
		message = "order for a host is not sent, since the lead may have ended"
	}
	line.Str("host", string(host.ID)).Str("order", action).Str("outcome", string(outcome)).Msg(message)
	if outcome == jaybarrow.FleetOrderFenced {
		k.deps.Term.Resign("the platform has seen a higher fencing token")
	}
	k.state.recordOutcome(host.ID, o, outcome, notRun, k.deps.Clock.Now())
}

// sendAsLeader sends an order once there is a slot for it, unless the lead may have ended by then: the order may have waited for others, and the
// process may have been paused since the decision.
func (k *Keeper) sendAsLeader(
	ctx context.Context, send func(context.Context) (jaybarrow.FleetOrderOutcome, error),
) (outcome jaybarrow.FleetOrderOutcome, err error) {
	select {
	case <-ctx.Done():
		return "", leader.ErrLeadEnded
	case <-k.deps.Clock.After(k.deps.Settings.CallTimeout):
		return "", errOrdersUnanswered
	case k.slots <- struct{}{}:
	}
	defer func() { <-k.slots }()
	ended := k.deps.Term.Unfenced(ctx, k.deps.Settings.CallTimeout, func(ctx context.Context) { outcome, err = send(ctx) })
	if ended != nil {
		return "", ended
	}
	return outcome, err
}
