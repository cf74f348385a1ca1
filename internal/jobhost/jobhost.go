package jobhost

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	command "github.com/jaybarrow/jaybarrow/internal/command/job"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	query "github.com/jaybarrow/jaybarrow/internal/query/job"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
)

// Platform holds the services of the platform that an entry host uses.
type Platform struct {
	Store     jaybarrow.JobStore
	Register  jaybarrow.Register
	Operators jaybarrow.Operators
	Agents    jaybarrow.Agents
	Fleet     jaybarrow.Fleet
	Adviser   jaybarrow.Adviser
}

// Settings are the timeouts and settings of the parts of an entry host.
type Settings struct {
	// MaxConfigurationAge is the largest age of the configuration at which it is used to authorize callers.
	MaxConfigurationAge time.Duration
	// MaxReadyAge is the largest age of the configuration at which the host reports that it is ready.
	MaxReadyAge time.Duration
	Operators   follow.Settings
	Leader      leader.Settings
	Scheduler   scheduler.Settings
	Fleet       fleetkeeper.Settings
	Command     command.Settings
	Query       query.Settings
}

// DefaultSettings returns the settings for normal operation.
func DefaultSettings() Settings {
	return Settings{
		MaxConfigurationAge: 4 * time.Second,
		// Longer than one unanswered call for changes, shorter than two.
		MaxReadyAge: 2500 * time.Millisecond,
		Operators:   follow.Settings{Wait: time.Second, Slack: 500 * time.Millisecond, RetryDelay: 100 * time.Millisecond},
		Leader:      leader.DefaultSettings(),
		Scheduler:   scheduler.DefaultSettings(),
		Fleet:       fleetkeeper.DefaultSettings(),
		Command:     command.DefaultSettings(),
		Query:       query.DefaultSettings(),
	}
}

// Deps are what a Host depends on.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Entry    jaybarrow.EntryID
	Peers    net.Listener
	Platform Platform
	Metrics  *jobmetrics.Metrics
	// LiveMemory returns the size of the live data of this process; nil when it is not known.
	LiveMemory func() budget.Bytes
	Settings   Settings
	OnFault    rungroup.Handler // called when a background part fails; nil crashes the process
	OnLead     func(leads bool) // called when this entry host begins and ceases to lead; nil calls nothing
}

// Host is a running entry host.
type Host struct {
	deps    Deps
	cancel  context.CancelFunc
	group   *rungroup.Group
	leaving atomic.Bool

	catalog         *catalog.Catalog
	leader          *leader.Leader
	waves           waves
	announcer       *announcer
	admissions      *breaker // of questions to the leader whether a job is admitted
	refusals        *refusals
	client          *jobpeer.Client
	server          *jobpeer.Server
	activeScheduler atomic.Pointer[scheduler.Scheduler] // nil while this entry host does not lead

	// The front end calls these handlers.
	Authorizer *command.Authorizer
	Accept     *command.AcceptHandler
	Cancel     *command.CancelHandler
	State      *query.StateHandler
	Waiting    *query.WaitingHandler
}

// New returns a running Host; Close stops it.
func New(d Deps) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{deps: d, cancel: cancel, group: rungroup.New(d.OnFault), catalog: catalog.New(d.Clock.Now()), client: jobpeer.NewClient()}
	h.deps.Platform.Store = countedStore{d.Platform.Store, d.Metrics}
	d = h.deps
	if d.OnLead == nil {
		h.deps.OnLead = func(bool) {}
	}
	d.Metrics.Gauge("configuration.ageMs", func() int64 {
		age, _ := h.catalog.Age(d.Clock.Now())
		return age.Milliseconds()
	})
	d.Metrics.Gauge("leader.leading", func() int64 {
		if h.Leading() {
			return 1
		}
		return 0
	})
	d.Metrics.Gauge("leader.scheduling", func() int64 {
		if s := h.activeScheduler.Load(); s != nil && s.JobsAreLoaded() {
			return 1
		}
		return 0
	})
	if d.LiveMemory != nil {
		d.Metrics.Gauge("memory.liveBytes", func() int64 { return int64(d.LiveMemory()) })
	}
	d.Metrics.Gauge("memory.short", func() int64 {
		if s := h.activeScheduler.Load(); s != nil && s.ShortOfMemory() {
			return 1
		}
		return 0
	})
	d.Metrics.Gauge("orders.ratePercent", func() int64 {
		if s := h.activeScheduler.Load(); s != nil {
			return int64(s.OrderRatePercent())
		}
		return 0
	})
	h.waves.operators = d.Platform.Operators
	h.announcer = &announcer{host: h, log: logging.For(d.Log, "peer"), group: rungroup.New(d.OnFault)}
	h.admissions, h.refusals = new(breaker), newRefusals()
	h.Authorizer = command.NewAuthorizer(d.Clock, h.catalog, d.Settings.MaxConfigurationAge)
	commands := command.Deps{
		Clock: d.Clock, Store: fallbackStore{JobStore: d.Platform.Store, host: h, health: new(storeHealth), breaker: new(breaker)}, Authorizer: h.Authorizer,
		Directory: jobDirectory{h}, Settings: d.Settings.Command,
	}
	h.Accept, h.Cancel = command.NewAccept(commands), command.NewCancel(commands)
	queries := query.Deps{Directory: jobDirectory{h}, Store: d.Platform.Store, Settings: d.Settings.Query}
	h.State, h.Waiting = query.NewState(queries), query.NewWaiting(queries)
	h.leader = leader.New(leader.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "leader"), Store: d.Platform.Store, NewChange: identity.NewChangeID,
		Self:     leader.Holder{Entry: d.Entry, Address: jaybarrow.Address(d.Peers.Addr().String())},
		Settings: d.Settings.Leader, Eligible: h.knowsConfiguration, Lead: h.lead,
	})
	h.server = jobpeer.NewServer(logging.For(d.Log, "peer"), d.Peers, peerService{h}, d.OnFault)
	h.group.Keep(ctx, "operators", func() error { h.followOperators(ctx); return nil })
	h.group.Keep(ctx, "configuration of the leader", func() error { h.refreshFromLeader(ctx); return nil })
	return h
}

// Leave makes the host report that it is not ready, so that the balancer sends new callers elsewhere, and gives up leadership. Open
// connections are still served.
func (h *Host) Leave() {
	h.leaving.Store(true)
	h.leader.Close()
}

// Leaving reports whether Leave was called.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// Close leaves, cancels background work and waits for it.
func (h *Host) Close() {
	h.Leave()
	h.cancel()
	h.announcer.close()
	h.server.Close()
	h.client.Close()
	h.group.Wait()
}

// Ready reports whether the balancer should send new callers here.
func (h *Host) Ready() bool {
	age, known := h.catalog.Age(h.deps.Clock.Now())
	return known && age <= h.deps.Settings.MaxReadyAge && !h.leaving.Load()
}

// MaxBody returns the largest body of a request by the configuration in force, in bytes; 0 when it sets no limit or is not known yet.
func (h *Host) MaxBody() int {
	if c := h.catalog.Configuration(); c != nil {
		return c.MaxBody
	}
	return 0
}

// knowsConfiguration reports whether the configuration is known and recent enough to decide on jobs by it.
func (h *Host) knowsConfiguration() bool {
	age, known := h.catalog.Age(h.deps.Clock.Now())
	return known && age <= h.deps.Settings.MaxConfigurationAge
}

// Leading reports whether this entry host leads, and so schedules jobs.
func (h *Host) Leading() bool { return h.activeScheduler.Load() != nil }

// lead runs the scheduler until ctx ends with the term, and the fleet keeper from when the stored jobs are loaded: before, the keeper has
// nothing to decide on, and its reads of the list of hosts would slow the takeover down.
func (h *Host) lead(ctx context.Context, term leader.Term) {
	log := logging.For(h.deps.Log, "scheduler")
	h.deps.OnLead(true)
	defer h.deps.OnLead(false)
	h.deps.Metrics.Count("leader.terms")
	startedAt := h.deps.Clock.Now()
	s := scheduler.New(scheduler.Deps{
		Clock: h.deps.Clock, Log: log, Store: h.deps.Platform.Store, Register: h.deps.Platform.Register,
		Agents: h.deps.Platform.Agents, Adviser: h.deps.Platform.Adviser, Catalog: h.catalog, Observer: observer{log, h.deps.Metrics}, Term: term, LiveMemory: h.deps.LiveMemory,
		Settings: h.deps.Settings.Scheduler,
	})
	h.activeScheduler.Store(s)
	select {
	case <-ctx.Done():
		h.activeScheduler.Store(nil)
	case <-s.Loaded():
		h.deps.Metrics.Record("leader.takeover", h.deps.Clock.Now().Sub(startedAt))
		keeper := fleetkeeper.New(fleetkeeper.Deps{
			Clock: h.deps.Clock, Log: logging.For(h.deps.Log, "fleet"), Fleet: h.deps.Platform.Fleet, Store: h.deps.Platform.Store,
			Pools: s, Waves: &h.waves, Catalog: h.catalog, Term: term, Settings: h.deps.Settings.Fleet, OnFault: h.deps.OnFault,
		})
		<-ctx.Done()
		h.activeScheduler.Store(nil)
		keeper.Close()
	}
	s.Close()
}

// followOperators keeps the configuration and the waves of operators up to date; it blocks until ctx ends.
func (h *Host) followOperators(ctx context.Context) {
	log := logging.For(h.deps.Log, "operators")
	follow.Run(ctx, follow.Deps{Clock: h.deps.Clock, Log: log, Settings: h.deps.Settings.Operators}, follow.Source[jaybarrow.OperatorInput]{
		Name: "operators", List: h.deps.Platform.Operators.List,
		Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.OperatorInput, jaybarrow.Revision, error) {
			update, at, err := h.deps.Platform.Operators.Changes(ctx, after, wait)
			return []jaybarrow.OperatorInput{update}, at, err
		},
		Apply: func(updates []jaybarrow.OperatorInput, _ bool, received time.Time) {
			for _, u := range updates {
				h.applyConfiguration(log, u.Configuration)
				h.waves.add(u.Waves, received)
			}
			h.catalog.Confirm(received)
		},
	})
}

// applyConfiguration puts the configuration in force if it is newer; nil means no change.
func (h *Host) applyConfiguration(log zerolog.Logger, c *jaybarrow.Configuration) {
	if c != nil && h.catalog.Apply(c) {
		log.Info().Int64("version", int64(c.Version)).Int("queues", len(c.Queues)).Int("teams", len(c.Teams)).Msg("configuration in force")
	}
}
