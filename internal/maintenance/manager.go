package maintenance

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/drain"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Settings are the intervals and timeouts of a Manager.
type Settings struct {
	Interval            time.Duration // between two rounds while a drain is under way
	CallTimeout         time.Duration // for all calls of one step
	CheckpointAfter     time.Duration // time after which the tasks of a draining host are asked for a checkpoint
	MaxListAge          time.Duration // no drain begins when the platform's list of hosts is older than this
	RebootRetryInterval time.Duration // a reboot is requested again each time the worker has still not restarted after this
}

// DefaultSettings are the settings for hosts that take minutes to reboot.
var DefaultSettings = Settings{
	Interval:        500 * time.Millisecond,
	CallTimeout:     2 * time.Second,
	CheckpointAfter: 10 * time.Minute,
	// The list is read each second; maintenance goes on through a few failed reads.
	MaxListAge:          5 * time.Second,
	RebootRetryInterval: 30 * time.Second,
}

// Deps are the dependencies of a Manager.
type Deps struct {
	Clock      jaybarrow.Clock
	Log        zerolog.Logger
	Store      jaybarrow.Store
	Directory  *directory.Directory
	Workers    jaybarrow.Workers
	Platform   jaybarrow.Rebooter
	Conditions jaybarrow.HostConditions
	Journal    jaybarrow.Journal
	NewChange  func() jaybarrow.ChangeID
	DataCentre jaybarrow.DataCentreID
	// Driving reports whether this entry host drives the drains of its data centre. Two drivers at once are safe, since every
	// step is a compare-and-swap, but make redundant calls.
	Driving  func() bool
	Settings Settings
	OnFault  rungroup.Handler // called when a background part fails; nil crashes the process
}

// Manager begins drains on request and drives those of its data centre through their phases.
type Manager struct {
	deps  Deps
	group *rungroup.Group
	ctx   context.Context
	stop  context.CancelFunc
	once  sync.Once
}

// New returns a running Manager.
func New(deps Deps) *Manager {
	m := &Manager{deps: deps, group: rungroup.New(deps.OnFault)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.group.Keep(m.ctx, "maintenance", func() error { m.loop(); return nil })
	return m
}

// Close stops the driver, cancels the calls of the steps under way and waits for the steps to end.
func (m *Manager) Close() {
	m.once.Do(m.stop)
	m.group.Wait()
}

func (m *Manager) loop() {
	for {
		changed, conditions := m.deps.Directory.Drains.Changed(), m.deps.Conditions.Changed()
		var nextRound <-chan time.Time
		if m.stepAll() {
			nextRound = m.deps.Clock.After(m.deps.Settings.Interval)
		}
		select {
		case <-m.ctx.Done():
			return
		case <-changed:
		case <-conditions:
		case <-nextRound:
		}
	}
}

// stepAll takes one step of every drain and wave of this data centre, and reports whether any drain or wave is under way in any
// data centre.
func (m *Manager) stepAll() bool {
	active := false
	var steps conc.WaitGroup
	m.deps.Directory.Drains.EachVersioned(func(id jaybarrow.PoolID, v directory.Versioned[jaybarrow.PoolDrains]) {
		record := v.Value
		if len(record.Drains) == 0 && len(record.Pending) == 0 {
			return
		}
		active = true
		if !m.deps.Driving() {
			return
		}
		for _, d := range record.Drains {
			if host, ok := m.deps.Directory.Hosts.Get(d.Host); !ok || host.DataCentre == m.deps.DataCentre {
				steps.Go(func() { m.stepDrain(observedDrain{pool: id, host: host, drain: d, fence: v.Revision}) })
			}
		}
		if len(record.Pending) > 0 {
			steps.Go(func() { m.stepWave(id) })
		}
	})
	steps.Wait()
	return active
}

// recordDecision writes a decision and its reason to the journal and the log.
func (m *Manager) recordDecision(kind jaybarrow.SubjectKind, id, decision, reason string) {
	m.deps.Journal.Note(jaybarrow.Subject{Kind: kind, ID: id}, decision, reason)
	m.deps.Log.Info().Str(string(kind), id).Str("reason", reason).Msg(decision)
}

// view returns the pool with its hosts as this entry host knows them. The pool's record is read from the store, so that a
// lowered budget takes effect with the next drain. It fails when the platform's list of hosts is too old, as on an entry host
// that has just started or was paused, because hosts that have gone down would not count against the budget.
func (m *Manager) view(ctx context.Context, pool jaybarrow.PoolID) (drain.View, error) {
	var view drain.View
	if m.deps.Clock.Now().Sub(m.deps.Conditions.ReadAt()) > m.deps.Settings.MaxListAge {
		return view, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the platform's list of hosts has not been read for %s",
			m.deps.Settings.MaxListAge).WithEffect(jaybarrow.EffectNotRun)
	}
	if _, err := readRecord(ctx, m.deps.Store, jaybarrow.PoolKey(pool), &view.Pool); err != nil {
		return view, err
	}
	m.deps.Directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if h.Pool == pool {
			view.Hosts = append(view.Hosts, drain.Host{ID: id, Rack: h.Rack, DataCentre: h.DataCentre, Down: m.down(id)})
		}
	})
	return view, nil
}

// down reports whether the platform's list has the host as anything but live.
func (m *Manager) down(id jaybarrow.HostID) bool {
	return m.deps.Conditions.Condition(string(id)) != jaybarrow.HostLive
}
