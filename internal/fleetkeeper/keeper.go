package fleetkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Pools are the pools that the hosts work for.
type Pools interface {
	// Loads returns the load of each pool.
	Loads(now time.Time) map[jaybarrow.PoolID]workload.Load
	// Reserve keeps new tasks from a worker; see workload.Pool.
	Reserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID, onlyEmpty bool) bool
	// Unreserve takes that back.
	Unreserve(pool jaybarrow.PoolID, worker jaybarrow.WorkerID)
	// SetDue names the workers whose hosts are still to be maintained.
	SetDue(due map[jaybarrow.WorkerID]bool)
}

// Waves are the waves that operators asked for.
type Waves interface {
	// Waves returns every known wave and when it was first heard of.
	Waves() []KnownWave
	// ReportWave tells operators the state of a wave.
	ReportWave(ctx context.Context, wave jaybarrow.WaveID, state jaybarrow.WaveState) error
}

// KnownWave is a wave and the time from which its hosts must be maintained within Wave.Within.
type KnownWave struct {
	jaybarrow.Wave
	Since time.Time
}

// Settings are the times of a Keeper.
type Settings struct {
	Plan fleetplan.Settings
	// Interval is the time between two decisions. Each reads the platform's list of hosts before it.
	Interval time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// TakeoverDelay is how far apart two leaders' orders for one host must be.
	TakeoverDelay time.Duration
	// MinOrderDuration is how long the platform takes at least for an order; a host that is up had its last order no sooner.
	MinOrderDuration time.Duration
	// ClockSkew is how far two hosts' wall clocks may be apart.
	ClockSkew time.Duration
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		Plan: fleetplan.DefaultSettings(),
		// A twentieth of the time that a move takes, and well below the platform's rate of calls.
		Interval: 100 * time.Millisecond,
		// Hundreds of the platform's usual answers.
		CallTimeout:   time.Second,
		TakeoverDelay: 3 * time.Second, MinOrderDuration: 1500 * time.Millisecond,
		// Three times the largest step of a clock that the platform team names.
		ClockSkew: 6 * time.Second,
	}
}

// Deps are what a Keeper depends on.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Fleet    jaybarrow.Fleet
	Store    jaybarrow.JobStore
	Pools    Pools
	Waves    Waves
	Catalog  *catalog.Catalog
	Term     leader.Term
	Settings Settings
}

// Keeper serves one term.
type Keeper struct {
	deps   Deps
	cancel context.CancelFunc
	group  conc.WaitGroup
	state  state
}

// New returns a running Keeper.
func New(d Deps) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{deps: d, cancel: cancel, state: newState()}
	k.group.Go(func() { k.run(ctx) })
	return k
}

// Close stops giving orders.
func (k *Keeper) Close() {
	k.cancel()
	k.group.Wait()
}

// run decides again and again.
func (k *Keeper) run(ctx context.Context) {
	defer func() {
		// Only a fault ends the loop before the term. Without it the term must end too; closing it then reports the fault.
		if ctx.Err() == nil {
			k.deps.Term.Resign("the decisions on hosts have ended")
		}
	}()
	quiet := k.deps.Clock.Now().Add(k.deps.Settings.TakeoverDelay)
	for k.sleep(ctx, k.deps.Settings.Interval) {
		k.loadWaves(ctx)
		k.observe(k.deps.Clock.Now())
		// An order goes out right after an answer of the platform: one that a cut holds up could arrive after a successor's.
		if !k.list(ctx) || !k.deps.Term.Valid() {
			continue
		}
		now := k.deps.Clock.Now()
		view := k.view(now, now.Before(quiet))
		if now.Before(quiet) {
			// The previous leader may have begun maintenance that the list does not show yet; a wave's limit would be exceeded.
			view.Waves = nil
			k.act(ctx, fleetplan.Decide(k.deps.Settings.Plan, view))
			continue
		}
		k.release(view)
		k.deps.Pools.SetDue(due(view))
		k.act(ctx, fleetplan.Decide(k.deps.Settings.Plan, view))
		k.reportWaves(ctx)
	}
}

// sleep waits; it reports false when ctx has ended.
func (k *Keeper) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.deps.Clock.After(d):
		return true
	}
}

// list reads the list of hosts; it reports whether that was possible.
func (k *Keeper) list(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	asked := k.deps.Clock.Now()
	hosts, err := k.deps.Fleet.Hosts(limited)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		if k.state.lose() {
			k.deps.Log.Warn().Err(err).Msg("the list of hosts cannot be read; no orders until it can")
		}
	case k.state.replace(hosts, asked, k.deps.Clock.Now()):
		k.deps.Log.Info().Int("hosts", len(hosts)).Msg("the list of hosts can be read")
	}
	return err == nil && ctx.Err() == nil
}

// release lets workers receive tasks again that are reserved for no order and no wave any more.
func (k *Keeper) release(view fleetplan.State) {
	for _, h := range view.Hosts {
		if h.Reserved && !h.Ordered && !left(view.Waves, h.ID) {
			k.deps.Pools.Unreserve(h.Pool, h.Worker)
		}
	}
}

// due returns the workers on hosts that a wave has not reached yet.
func due(view fleetplan.State) map[jaybarrow.WorkerID]bool {
	out := make(map[jaybarrow.WorkerID]bool)
	for _, h := range view.Hosts {
		if h.Worker != "" && left(view.Waves, h.ID) {
			out[h.Worker] = true
		}
	}
	return out
}

func left(waves []fleetplan.Wave, host jaybarrow.HostID) bool {
	return slices.ContainsFunc(waves, func(w fleetplan.Wave) bool { return slices.Contains(w.Pending, host) })
}

// act carries out the decisions, each in a goroutine of its own.
func (k *Keeper) act(ctx context.Context, orders fleetplan.Orders) {
	for _, m := range orders.Prepare {
		if k.spare(m.Host.Pool) {
			continue
		}
		if k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker, false) {
			k.deps.Log.Info().Str("host", string(m.Host.ID)).Int64("wave", int64(m.Wave)).Int("runs", m.Host.Runs).
				Int("lasting", m.Host.Lasting).Msg("host is emptied for its maintenance")
		}
	}
	for _, m := range orders.Maintain {
		if !k.spare(m.Host.Pool) && !k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker, true) {
			continue
		}
		k.state.order(m.Host, "", m.Wave, k.deps.Clock.Now())
		k.group.Go(func() {
			k.order(ctx, m.Host, "maintain", func(ctx context.Context) (jaybarrow.FleetOrderOutcome, error) {
				return k.deps.Fleet.Maintain(ctx, m.Host.ID, m.Wave, k.deps.Term.Fence)
			})
		})
	}
	for _, m := range orders.Moves {
		if !k.spare(m.Host.Pool) && !k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker, true) {
			continue
		}
		k.state.order(m.Host, m.To, 0, k.deps.Clock.Now())
		k.deps.Log.Info().Str("host", string(m.Host.ID)).Str("from", string(m.Host.Pool)).Str("to", string(m.To)).
			Str("reason", m.Reason).Msg("host moves")
		k.group.Go(func() {
			k.order(ctx, m.Host, "move", func(ctx context.Context) (jaybarrow.FleetOrderOutcome, error) {
				return k.deps.Fleet.Move(ctx, m.Host.ID, m.To, k.deps.Term.Fence)
			})
		})
	}
}

func (k *Keeper) spare(id jaybarrow.PoolID) bool {
	p, ok := k.deps.Catalog.Pool(id)
	return ok && p.Spare
}

// order gives one order and notes its outcome.
func (k *Keeper) order(ctx context.Context, host fleetplan.Host, what string, give func(context.Context) (jaybarrow.FleetOrderOutcome, error)) {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	outcome, err := give(limited)
	line := k.deps.Log.Info()
	if err != nil {
		line = k.deps.Log.Warn().Err(err)
	}
	line.Str("host", string(host.ID)).Str("order", what).Str("outcome", string(outcome)).Msg("order for a host")
	if outcome == jaybarrow.FleetOrderFenced {
		k.deps.Term.Resign("the platform has seen a higher fence")
	}
	k.state.answered(host.ID, outcome, err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun, k.deps.Clock.Now())
}
