package mover

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Load is the load of one pool as its scheduler on one entry host reported it.
type Load struct {
	Pool       jaybarrow.PoolID
	DataCentre jaybarrow.DataCentreID
	schedule.Load
}

// Drains begins the drains with which moves start.
type Drains interface {
	BeginMove(ctx context.Context, host jaybarrow.HostID, from, to jaybarrow.PoolID, reason string) (jaybarrow.Revision, error)
}

// Lenders is the record of which pools may lend their hosts.
type Lenders interface {
	// SetBusyPools replaces the set of pools that have waiting work of their own and therefore lend no hosts.
	SetBusyPools(pools []jaybarrow.PoolID)
}

// Settings are the intervals and timeouts of a Mover and the settings of its decisions.
type Settings struct {
	Interval    time.Duration // between two samples of the loads
	CallTimeout time.Duration // for all calls that begin one move
	RetryAfter  time.Duration // time without new moves after a move that could not begin
	Automatic   bool          // whether hosts are moved; Lenders is kept up to date in either case
	Balance     balance.Settings
}

// DefaultSettings returns the settings for production. Interval equals the interval of the heartbeats, which carry the loads.
func DefaultSettings() Settings {
	return Settings{
		Interval: time.Second, CallTimeout: 5 * time.Second, RetryAfter: 30 * time.Second,
		Automatic: true, Balance: balance.DefaultSettings(),
	}
}

// Deps are the dependencies of a Mover.
type Deps struct {
	Clock      jaybarrow.Clock
	Log        zerolog.Logger
	Directory  *directory.Directory
	Conditions jaybarrow.HostConditions
	Drains     Drains
	Lenders    Lenders
	Journal    jaybarrow.Journal
	DataCentre jaybarrow.DataCentreID
	// Driving reports whether this entry host moves the hosts of its data centre. Two at once could each begin a move from the
	// same pool, but stay within its budget.
	Driving func() bool
	// Loads returns the last known load of each pool on each live entry host.
	Loads    func() []Load
	Settings Settings
	OnFault  rungroup.Handler // called when a background part fails; nil crashes the process
}

// Mover samples the loads, and begins moves while its entry host drives. It samples on every entry host, so that it can decide
// at once after a takeover.
type Mover struct {
	deps       Deps
	balancer   *balance.Balancer
	missed     map[jaybarrow.PoolID]int64 // total of missed requests at the last sample
	movesBegun []begunMove                // not yet in the local copy of the drains
	retryAt    time.Time
	group      *rungroup.Group
	ctx        context.Context
	stop       context.CancelFunc
	once       sync.Once
}

// begunMove is a move that has begun but may be missing from the local copy of the drains.
type begunMove struct {
	balance.Move
	revision jaybarrow.Revision // of the write that began it
}

// New returns a running Mover.
func New(deps Deps) *Mover {
	m := &Mover{deps: deps, group: rungroup.New(deps.OnFault), balancer: balance.New(deps.Settings.Balance), missed: make(map[jaybarrow.PoolID]int64)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.group.Keep(m.ctx, "mover", func() error {
		for {
			m.runRound()
			select {
			case <-m.ctx.Done():
				return nil
			case <-deps.Clock.After(deps.Settings.Interval):
			}
		}
	})
	return m
}

// Close stops the Mover; the maintenance driver finishes the moves that have begun.
func (m *Mover) Close() {
	m.once.Do(m.stop)
	m.group.Wait()
}

// runRound samples the loads, updates the lenders and begins the moves that are due.
func (m *Mover) runRound() {
	now := m.deps.Clock.Now()
	s := m.snapshot()
	m.deps.Lenders.SetBusyPools(s.busyLenders())
	m.balancer.Observe(now, s.samples)
	moves := m.balancer.Decide(now, s.fleet)
	if !m.deps.Settings.Automatic || now.Before(m.retryAt) || len(moves) == 0 || !m.deps.Driving() {
		return
	}
	for _, move := range moves {
		m.beginMove(move)
	}
}

func (m *Mover) beginMove(move balance.Move) {
	ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
	defer cancel()
	log := m.deps.Log.With().Str("host", string(move.Host)).Str("from", string(move.From)).Str("to", string(move.To)).
		Str("reason", move.Reason).Logger()
	revision, err := m.deps.Drains.BeginMove(ctx, move.Host, move.From, move.To, move.Reason)
	if err != nil {
		m.retryAt = m.deps.Clock.Now().Add(m.deps.Settings.RetryAfter)
		m.noteMove(move, "move not begun", move.Reason+"; "+err.Error())
		log.Warn().Err(err).Msg("cannot begin the move of the host; beginning no moves until the retry delay has passed")
		return
	}
	m.movesBegun = append(m.movesBegun, begunMove{move, revision})
	m.noteMove(move, "move begun", move.Reason)
	log.Info().Msg("began the move of the host")
}

// noteMove records the decision in the journal under both pools; the decision on the drain is recorded under the host.
func (m *Mover) noteMove(move balance.Move, decision, reason string) {
	line := "host " + string(move.Host) + " from " + string(move.From) + " to " + string(move.To) + ": " + reason
	for _, pool := range []jaybarrow.PoolID{move.From, move.To} {
		m.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectPool, ID: string(pool)}, decision, line)
	}
}
