package mover

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Load is the load of one pool as its scheduler on one entry host told it.
type Load struct {
	Pool       jaybarrow.PoolID
	DataCentre jaybarrow.DataCentreID
	schedule.Load
}

// Drains begins the drain of a host for a move.
type Drains interface {
	BeginMove(ctx context.Context, host jaybarrow.HostID, from, to jaybarrow.PoolID, reason string) (jaybarrow.Revision, error)
}

// Lenders learns which pools have waiting work of their own.
type Lenders interface {
	SetBusyPools(pools []jaybarrow.PoolID)
}

// Settings are the times of the mover and how it decides.
type Settings struct {
	Interval    time.Duration // between two samples of the loads
	CallTimeout time.Duration // for the calls that begin one move
	RetryAfter  time.Duration // no move begins for this time after one that could not
	Automatic   bool          // false: hosts are not moved; lenders are told all the same
	Balance     balance.Settings
}

// DefaultSettings returns the settings for production. The interval is that of the heartbeats, which carry the loads.
func DefaultSettings() Settings {
	return Settings{
		Interval: time.Second, CallTimeout: 5 * time.Second, RetryAfter: 30 * time.Second,
		Automatic: true, Balance: balance.DefaultSettings(),
	}
}

// Deps are what a Mover depends on.
type Deps struct {
	Clock      jaybarrow.Clock
	Log        zerolog.Logger
	Directory  *directory.Directory
	Conditions jaybarrow.HostConditions
	Drains     Drains
	Lenders    Lenders
	Journal    jaybarrow.Journal
	DataCentre jaybarrow.DataCentreID
	// Driving reports whether this entry host moves the hosts of its data centre. Two at once could begin two moves of a pool,
	// within its budget.
	Driving func() bool
	// Loads returns the last known load of each pool on each live entry host.
	Loads    func() []Load
	Settings Settings
}

// Mover samples the loads, and begins moves while it drives. One that does not drive samples as well, so that it can decide
// at once when it takes over.
type Mover struct {
	deps     Deps
	balancer *balance.Balancer
	missed   map[jaybarrow.PoolID]int64 // at the last sample
	begun    []begunMove
	retryAt  time.Time
	group    conc.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	once     sync.Once
}

// begunMove is a move that the local copy of the drains may not show yet.
type begunMove struct {
	balance.Move
	revision jaybarrow.Revision
}

// New returns a running Mover.
func New(deps Deps) *Mover {
	m := &Mover{deps: deps, balancer: balance.New(deps.Settings.Balance), missed: make(map[jaybarrow.PoolID]int64)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.group.Go(func() {
		for {
			m.round()
			select {
			case <-m.ctx.Done():
				return
			case <-deps.Clock.After(deps.Settings.Interval):
			}
		}
	})
	return m
}

// Close stops the Mover; moves that have begun are finished by the maintenance driver.
func (m *Mover) Close() {
	m.once.Do(m.stop)
	m.group.Wait()
}

func (m *Mover) round() {
	now := m.deps.Clock.Now()
	s := m.snapshot()
	m.deps.Lenders.SetBusyPools(s.busyLenders())
	m.balancer.Observe(now, s.samples)
	moves := m.balancer.Decide(now, s.fleet)
	if !m.deps.Settings.Automatic || now.Before(m.retryAt) || len(moves) == 0 || !m.deps.Driving() {
		return
	}
	for _, move := range moves {
		m.begin(move)
	}
}

func (m *Mover) begin(move balance.Move) {
	ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
	defer cancel()
	log := m.deps.Log.With().Str("host", string(move.Host)).Str("from", string(move.From)).Str("to", string(move.To)).
		Str("reason", move.Reason).Logger()
	revision, err := m.deps.Drains.BeginMove(ctx, move.Host, move.From, move.To, move.Reason)
	if err != nil {
		m.retryAt = m.deps.Clock.Now().Add(m.deps.Settings.RetryAfter)
		m.note(move, "move not begun", move.Reason+"; "+err.Error())
		log.Warn().Err(err).Msg("the move of the host could not begin")
		return
	}
	m.begun = append(m.begun, begunMove{move, revision})
	m.note(move, "move begun", move.Reason)
	log.Info().Msg("the move of the host has begun")
}

// note records the decision with both pools; the drain's own note is with the host.
func (m *Mover) note(move balance.Move, decision, reason string) {
	line := "host " + string(move.Host) + " from " + string(move.From) + " to " + string(move.To) + ": " + reason
	for _, pool := range []jaybarrow.PoolID{move.From, move.To} {
		m.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectPool, ID: string(pool)}, decision, line)
	}
}
