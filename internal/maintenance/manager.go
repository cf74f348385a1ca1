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
)

// Settings are the times of the driver.
type Settings struct {
	Interval            time.Duration // between two rounds while a drain is under way
	CallTimeout         time.Duration // for one step's calls
	CheckpointAfter     time.Duration // a draining host's tasks are asked for a checkpoint after this
	MaxListAge          time.Duration // no drain begins when the platform's list was last read longer ago
	RebootRetryInterval time.Duration // a reboot is asked for again when the worker still runs after this
}

// DefaultSettings suit reboots of minutes.
var DefaultSettings = Settings{
	Interval:        500 * time.Millisecond,
	CallTimeout:     2 * time.Second,
	CheckpointAfter: 10 * time.Minute,
	// The list is read each second; a few failed reads do not stop maintenance.
	MaxListAge:          5 * time.Second,
	RebootRetryInterval: 30 * time.Second,
}

// Deps are what a Manager depends on.
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
	// Driving reports whether this entry host drives the drains of its data centre; two at once waste calls and harm nothing.
	Driving  func() bool
	Settings Settings
}

// Manager begins drains for operators and drives those of its data centre.
type Manager struct {
	deps  Deps
	group conc.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	once  sync.Once
}

// New returns a running Manager.
func New(deps Deps) *Manager {
	m := &Manager{deps: deps}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.group.Go(m.loop)
	return m
}

// Close stops driving; a step under way ends at its calls' timeout.
func (m *Manager) Close() {
	m.once.Do(m.stop)
	m.group.Wait()
}

func (m *Manager) loop() {
	for {
		changed, conditions := m.deps.Directory.Drains.Changed(), m.deps.Conditions.Changed()
		var again <-chan time.Time
		if m.round() {
			again = m.deps.Clock.After(m.deps.Settings.Interval)
		}
		select {
		case <-m.ctx.Done():
			return
		case <-changed:
		case <-conditions:
		case <-again:
		}
	}
}

// round takes one step of every drain and wave of this data centre; it reports whether any is under way.
func (m *Manager) round() bool {
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
				steps.Go(func() { m.step(job{pool: id, host: host, drain: d, seen: v.Revision}) })
			}
		}
		if len(record.Pending) > 0 {
			steps.Go(func() { m.stepWave(id) })
		}
	})
	steps.Wait()
	return active
}

func (m *Manager) note(kind jaybarrow.SubjectKind, id, decision, reason string) {
	m.deps.Journal.Note(jaybarrow.Subject{Kind: kind, ID: id}, decision, reason)
	m.deps.Log.Info().Str(string(kind), id).Str("reason", reason).Msg(decision)
}

// view returns the pool with its hosts as this entry host knows them; the budget is read from the store, so that a lowered
// budget holds from the next drain on. It fails when the platform's list has not been read lately, as on an entry host that
// has just started or was paused: hosts that are down would not count.
func (m *Manager) view(ctx context.Context, pool jaybarrow.PoolID) (drain.View, error) {
	var view drain.View
	if m.deps.Clock.Now().Sub(m.deps.Conditions.ReadAt()) > m.deps.Settings.MaxListAge {
		return view, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the platform's list of hosts has not been read for %s",
			m.deps.Settings.MaxListAge).WithEffect(jaybarrow.EffectNotRun)
	}
	if _, err := read(ctx, m.deps.Store, jaybarrow.PoolKey(pool), &view.Pool); err != nil {
		return view, err
	}
	m.deps.Directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if h.Pool == pool {
			view.Hosts = append(view.Hosts, drain.Host{ID: id, Rack: h.Rack, DataCentre: h.DataCentre, Down: m.down(id)})
		}
	})
	return view, nil
}

func (m *Manager) down(id jaybarrow.HostID) bool {
	return m.deps.Conditions.Condition(string(id)) != jaybarrow.HostLive
}
