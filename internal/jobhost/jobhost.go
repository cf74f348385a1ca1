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
	"github.com/jaybarrow/jaybarrow/internal/evacuation"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/latency"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/outage"
	query "github.com/jaybarrow/jaybarrow/internal/query/job"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
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
	// MaxForwardedWrites bounds the writes in progress that this host makes for other entry hosts, at least 1: half of its connections to the
	// store.
	MaxForwardedWrites int
	// EvacuationDelay is the time from the acknowledgement of an evacuation within which the last task must have started in its data centre; 0 when the
	// platform sets none.
	EvacuationDelay time.Duration
	Operators       follow.Settings
	Leader          leader.Settings
	Scheduler       scheduler.Settings
	Fleet           fleetkeeper.Settings
	Command         command.Settings
	Query           query.Settings
}

// DefaultSettings returns the settings for normal operation.
func DefaultSettings() Settings {
	return Settings{
		MaxConfigurationAge: 4 * time.Second,
		// Longer than one unanswered call for changes, shorter than two.
		MaxReadyAge: 2500 * time.Millisecond,
		// Half of the 24 connections of the platform's store client.
		MaxForwardedWrites: 12,
		Operators:          follow.Settings{Wait: time.Second, Slack: 500 * time.Millisecond, RetryDelay: 100 * time.Millisecond},
		Leader:             leader.DefaultSettings(),
		Scheduler:          scheduler.DefaultSettings(),
		Fleet:              fleetkeeper.DefaultSettings(),
		Command:            command.DefaultSettings(),
		Query:              query.DefaultSettings(),
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
	commits         *commitTimes
	leader          *leader.Leader
	waves           waves
	evacuations     *evacuation.Set
	announcer       *announcer
	gate            *outage.Gate // of callers' writes to the store
	forwarded       *forwardedWrites
	admissions      *breaker // of questions to the leader whether a job is admitted
	refusals        *refusals
	refused         *refusal.Memory
	terms           atomic.Int64 // that this entry host has led
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
	h.commits = newCommitTimes(d.Clock, logging.For(d.Log, "store"), d.Settings.Scheduler.Commit)
	h.deps.Settings.Operators.Wait = evacuation.MaxWait(d.Settings.EvacuationDelay, d.Settings.Operators.Wait)
	h.evacuations = evacuation.New(evacuation.Settings{Bound: d.Settings.EvacuationDelay, MaxLeadAge: d.Settings.MaxConfigurationAge})
	h.deps.Platform.Store = countedStore{latency.NewStore(d.Platform.Store, d.Clock, h.commits.times, h.commits.note), d.Metrics}
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
	d.Metrics.Gauge("store.commitMs", func() int64 { return h.commits.usual().Milliseconds() })
	d.Metrics.Gauge("store.commitRepeatMs", func() int64 { return h.commits.repeatDelay().Milliseconds() })
	if d.LiveMemory != nil {
		d.Metrics.Gauge("memory.liveBytes", func() int64 { return int64(d.LiveMemory()) })
	}
	h.registerEvacuationGauges()
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
	d.Metrics.Gauge("rounds.inProgress", func() int64 {
		if s := h.activeScheduler.Load(); s != nil {
			return int64(s.RoundsInProgress())
		}
		return 0
	})
	d.Metrics.Gauge("dispatch.delayMs", func() int64 {
		if s := h.activeScheduler.Load(); s != nil {
			return s.DispatchDelay().Milliseconds()
		}
		return 0
	})
	h.waves.operators = d.Platform.Operators
	h.announcer = &announcer{host: h, log: logging.For(d.Log, "peer"), group: rungroup.New(d.OnFault)}
	h.admissions, h.refusals, h.gate = new(breaker), newRefusals(), outage.New()
	d.Metrics.Gauge("outage.lastedMs", func() int64 { return h.gate.Status(d.Clock.Now()).Lasted.Milliseconds() })
	h.Authorizer = command.NewAuthorizer(d.Clock, h.catalog, d.Settings.MaxConfigurationAge)
	health := newStoreHealth()
	d.Metrics.Gauge("store.unresponsiveAfterMs", func() int64 { return unresponsiveAfter(health.answers.Usual(d.Clock.Now())).Milliseconds() })
	h.refused = refusal.NewMemory(d.Clock)
	d.Metrics.Gauge("refusal.remembered", func() int64 { n, _ := h.refused.Size(); return int64(n) })
	d.Metrics.Gauge("refusal.dropped", func() int64 { _, dropped := h.refused.Size(); return dropped })
	d.Metrics.Gauge("refusal.known", func() int64 {
		if s := h.activeScheduler.Load(); s != nil {
			return int64(s.RefusedJobs())
		}
		return 0
	})
	h.forwarded = newForwardedWrites(d.Clock, d.Settings.MaxForwardedWrites)
	d.Metrics.Gauge("store.forwarding", func() int64 { return int64(len(h.forwarded.slots)) })
	commands := command.Deps{
		Clock: d.Clock, Store: fallbackStore{JobStore: d.Platform.Store, host: h, health: health, gate: h.gate}, Authorizer: h.Authorizer,
		Directory: jobDirectory{h}, Refusals: h.refused, CommitTimes: h.commits.times, Settings: d.Settings.Command,
	}
	h.Accept, h.Cancel = command.NewAccept(commands), command.NewCancel(commands)
	queries := query.Deps{Directory: jobDirectory{h}, Store: d.Platform.Store, Settings: d.Settings.Query}
	h.State, h.Waiting = query.NewState(queries), query.NewWaiting(queries)
	h.leader = leader.New(leader.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "leader"), Store: d.Platform.Store, NewChange: identity.NewChangeID,
		Self:     leader.Holder{Entry: d.Entry, Address: jaybarrow.Address(d.Peers.Addr().String())},
		Settings: d.Settings.Leader, Eligible: h.mayLead, Lead: h.lead,
	})
	h.server = jobpeer.NewServer(logging.For(d.Log, "peer"), d.Peers, peerService{h}, d.OnFault)
	reporter := &refusalReporter{clock: d.Clock, log: logging.For(d.Log, "peer"), metrics: d.Metrics, jobs: h.refused, target: h.reportTarget}
	h.group.Keep(ctx, "operators", func() error { h.followOperators(ctx); return nil })
	h.group.Keep(ctx, "probe of the store", func() error { h.probeStore(ctx, logging.For(d.Log, "store")); return nil })
	h.group.Keep(ctx, "reports of refused jobs", func() error { reporter.run(ctx); return nil })
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
	return known && age <= h.deps.Settings.MaxReadyAge && !h.leaving.Load() && h.gate.ServesCallers()
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

// mayLead reports whether this entry host knows what operators have written, and recently enough, to lead by it. Unlike the configuration,
// evacuations are not learnt from another leader.
func (h *Host) mayLead() bool {
	return h.knowsConfiguration() && h.evacuations.MayLead(h.deps.Clock.Now())
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
	reporter := newObserver(log, h.deps.Metrics)
	s := scheduler.New(scheduler.Deps{
		Clock: h.deps.Clock, Log: log, Store: h.deps.Platform.Store, Register: h.deps.Platform.Register,
		Agents: h.deps.Platform.Agents, Adviser: h.deps.Platform.Adviser, Catalog: h.catalog, Observer: reporter, Term: term,
		Evacuations: h.evacuations, LiveMemory: h.deps.LiveMemory, CommitTimes: h.commits.times,
		Admissions: reporter, Settings: h.deps.Settings.Scheduler,
	})
	h.terms.Add(1)
	h.activeScheduler.Store(s)
	select {
	case <-ctx.Done():
		h.activeScheduler.Store(nil)
	case <-s.Loaded():
		h.logEvacuationsInForce(log, s)
		h.deps.Metrics.Record("leader.takeover", h.deps.Clock.Now().Sub(startedAt))
		keeper := fleetkeeper.New(fleetkeeper.Deps{
			Clock: h.deps.Clock, Log: logging.For(h.deps.Log, "fleet"), Fleet: h.deps.Platform.Fleet, Store: h.deps.Platform.Store,
			Pools: s, Waves: &h.waves, Catalog: h.catalog, Evacuated: h.evacuations.InForce, Term: term, Settings: h.deps.Settings.Fleet, OnFault: h.deps.OnFault,
		})
		<-ctx.Done()
		h.activeScheduler.Store(nil)
		keeper.Close()
	}
	s.Close()
}

// followOperators keeps the configuration, the waves and the evacuations of operators up to date; it blocks until ctx ends.
func (h *Host) followOperators(ctx context.Context) {
	log := logging.For(h.deps.Log, "operators")
	follow.Run(ctx, follow.Deps{Clock: h.deps.Clock, Log: log, Settings: h.deps.Settings.Operators}, h.operatorSource(log))
}

// operatorSource returns the source of what operators write; one goroutine follows it.
func (h *Host) operatorSource(log zerolog.Logger) follow.Source[jaybarrow.OperatorInput] {
	var asked time.Time // when the last call for changes was sent: its answer holds what the store had acknowledged by then
	return follow.Source[jaybarrow.OperatorInput]{
		Name: "operators", List: h.deps.Platform.Operators.List,
		Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.OperatorInput, jaybarrow.Revision, error) {
			asked = h.deps.Clock.Now()
			update, at, err := h.deps.Platform.Operators.Changes(ctx, after, wait)
			return []jaybarrow.OperatorInput{update}, at, err
		},
		Apply: func(updates []jaybarrow.OperatorInput, complete bool, received time.Time) {
			readAt := asked
			if complete {
				readAt = received // of a list, when its first page was requested
			}
			h.applyEvacuations(log, updates, complete, readAt)
			for _, u := range updates {
				h.applyConfiguration(log, u.Configuration)
				h.waves.add(u.Waves, received)
			}
			h.catalog.Confirm(received)
		},
	}
}

// applyConfiguration puts the configuration in force if it is newer; nil means no change.
func (h *Host) applyConfiguration(log zerolog.Logger, c *jaybarrow.Configuration) {
	if c != nil && h.catalog.Apply(c) {
		log.Info().Int64("version", int64(c.Version)).Int("queues", len(c.Queues)).Int("teams", len(c.Teams)).Msg("configuration in force")
	}
}
