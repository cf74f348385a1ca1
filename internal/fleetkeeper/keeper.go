package fleetkeeper

import (
	"context"
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
	// Interval is the time between two decisions.
	Interval time.Duration
	// List is how often the platform's list of hosts is read.
	List time.Duration
	// Call bounds one call to the platform.
	Call time.Duration
	// Quiet is how long after the start of a term no order is given, since the previous leader's may still be on its way.
	Quiet time.Duration
	// Maintenance and Move are how long the platform takes for an order.
	Maintenance, Move time.Duration
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		Plan: fleetplan.DefaultSettings(),
		// A twentieth of the time that a move takes, and well below the platform's rate of calls.
		Interval: 100 * time.Millisecond, List: 250 * time.Millisecond,
		Call:  time.Second,
		Quiet: 3 * time.Second, Maintenance: 2 * time.Second, Move: 1500 * time.Millisecond,
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

func (k *Keeper) run(ctx context.Context) {
	quiet := k.deps.Clock.Now().Add(k.deps.Settings.Quiet)
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.deps.Clock.After(k.deps.Settings.Interval):
		}
		now := k.deps.Clock.Now()
		if now.Sub(listed) >= k.deps.Settings.List {
			listed = now
			k.list(ctx)
		}
		k.loadWaves(ctx)
		k.observe(k.deps.Clock.Now())
		if now.Before(quiet) || !k.deps.Term.Valid() || !k.state.listed {
			continue
		}
		k.act(ctx, fleetplan.Decide(k.deps.Settings.Plan, k.view(k.deps.Clock.Now())))
		k.reportWaves(ctx)
	}
}

func (k *Keeper) list(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.Call)
	defer cancel()
	asked := k.deps.Clock.Now()
	hosts, err := k.deps.Fleet.Hosts(limited)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if !k.state.lost {
			k.deps.Log.Warn().Err(err).Msg("the list of hosts cannot be read")
		}
		k.state.lost = true
		return
	}
	if k.state.lost {
		k.deps.Log.Info().Msg("the list of hosts can be read again")
	}
	k.state.lost = false
	k.state.replace(hosts, asked)
}

// act carries out the decisions, each in a goroutine of its own.
func (k *Keeper) act(ctx context.Context, orders fleetplan.Orders) {
	for _, m := range orders.Prepare {
		if k.spare(m.Host.Pool) {
			continue
		}
		if k.deps.Pools.Reserve(m.Host.Pool, m.Host.Worker, false) {
			k.state.reserve(m.Host.ID, m.Host.Worker)
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
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.Call)
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
	refused := outcome != "" && outcome != jaybarrow.FleetOrderDone || err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun
	wave, reserved := k.state.answered(host.ID, outcome, refused, k.deps.Clock.Now())
	if refused && reserved != "" && wave == 0 {
		k.deps.Pools.Unreserve(host.Pool, reserved)
	}
}
