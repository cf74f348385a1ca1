package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/claim"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/estimate"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/health"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
	"github.com/jaybarrow/jaybarrow/internal/journal"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/maintenance"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/metrics"
	"github.com/jaybarrow/jaybarrow/internal/mover"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/peer"
	"github.com/jaybarrow/jaybarrow/internal/permit"
	"github.com/jaybarrow/jaybarrow/internal/placement/twochoices"
	"github.com/jaybarrow/jaybarrow/internal/pool"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/rendezvous"
	"github.com/jaybarrow/jaybarrow/internal/roster"
	"github.com/jaybarrow/jaybarrow/internal/route"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// The bounds of what an entry host keeps in memory. The expected fleet has 250 teams.
const (
	journalEntries      = 16384
	maxTeams            = 512
	maxRunTimeHistories = 4096
)

// Entry is a running entry host.
type Entry struct {
	deps      Deps
	times     Times
	startedAt time.Time
	leaving   atomic.Bool
	// handedOver is set when a stopping entry host hands its pools over to a successor.
	handedOver atomic.Bool
	fetches    *rungroup.Group
	catchingUp atomic.Bool

	directory   *directory.Directory
	records     *directory.WriteThrough
	follower    *directory.Follower
	conditions  *etcd.Conditions
	presence    *presence.Presence
	permits     *permit.Keeper
	claims      *claim.Claims
	workers     *task.Client
	health      *health.Guard
	roster      *roster.Roster
	keys        *request.Authenticator
	scheduler   *pool.Scheduler
	inFlight    *inflight.Requests
	members     *member.Members
	peers       *peer.Client
	gossip      *peer.Gossip
	peerServer  *peer.Server
	router      *route.Router
	spillover   *route.Spillover
	maintenance *maintenance.Manager
	mover       *mover.Mover
	journal     *journal.Journal
	meter       *metrics.Metrics
	http        *httpapi.Server
}

// New starts an entry host without waiting for the platform's first answer.
func New(deps Deps) *Entry {
	e := &Entry{deps: deps, times: deps.Times.withSettings(deps.Settings), startedAt: deps.Clock.Now(), directory: directory.New(), fetches: rungroup.New(deps.OnFault)}
	e.records = directory.NewWriteThrough(deps.Platform, e.directory)
	e.journal = journal.New(deps.Clock, journalEntries)
	e.meter = metrics.New(deps.Clock, maxTeams)
	if deps.ClientLimits != nil {
		e.meter.Publish("clientLimits", deps.ClientLimits)
	}
	e.startPlatform()
	e.startScheduler()
	e.startPeers()
	e.startMaintenance()
	e.startCallers()
	return e
}

// startPlatform starts the parts that watch the platform or keep state in it.
func (e *Entry) startPlatform() {
	d, own := e.deps, e.deps.Settings.Entry
	// Members and the peers' client are created before the follower, which asks peers while the store is unavailable.
	e.members = member.New(own.ID, own.DataCentre, e.times.Members, e.peerAddresses())
	e.peers = peer.NewClient(d.Clock)
	e.follower = directory.NewFollower(directory.FollowerDeps{
		Clock: d.Clock, Log: logging.For(d.Log, "directory"), Store: d.Platform, Directory: e.directory,
		Peers: e.changesFromPeers, Settings: e.times.Follower, OnFault: d.OnFault,
	})
	e.conditions = etcd.NewConditions(etcd.ConditionsDeps{
		Clock: d.Clock, Log: logging.For(d.Log, "platform"), Hosts: d.Platform, Interval: e.times.HostListInterval, OnFault: d.OnFault,
	})
	e.presence = presence.New(presence.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "presence"), Store: d.Platform, NewChange: identity.NewChangeID,
		Host: jaybarrow.EntryHost{
			ID: own.ID, DataCentre: own.DataCentre,
			HTTPAddress: jaybarrow.Address(d.Callers.Addr().String()),
			PeerAddress: jaybarrow.Address(d.Peers.Addr().String()),
		},
		Settings: e.times.Presence,
		OnFault:  d.OnFault,
	})
	e.permits = permit.New(permit.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "permit"), Store: d.Platform, Directory: e.directory,
		Conditions: e.conditions, Registration: e.presence, Entry: own.ID, NewChange: identity.NewChangeID,
		Settings: e.times.Permit, OnFault: d.OnFault,
	})
	e.claims = claim.New(claim.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "claim"), Store: d.Platform, Entry: own.ID,
		NewChange: identity.NewChangeID, Settings: e.times.Claim, OnFault: d.OnFault,
	})
}

func (e *Entry) startScheduler() {
	d, queues := e.deps, e.deps.Settings.Queues
	e.workers = task.New(d.Clock, e.times.Task, d.OnFault)
	e.health = health.NewGuard(d.Clock, e.workers,
		health.New(health.Deps{Settings: health.DefaultSettings(), Journal: e.journal, Random: rand.Float64}), quickFailureLimit, d.OnFault)
	e.roster = roster.New(e.directory, e.conditions, e.health, d.Settings.Entry.DataCentre, d.OnFault)
	e.keys = request.NewAuthenticator(e.directory.AccessKeys.Get, e.fresh)
	e.scheduler = pool.New(pool.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "pool"), Hosts: e.roster, Workers: e.health, Permits: e.permits,
		Signals: healthSignals{e}, NewPool: func() *schedule.Pool {
			limits := schedule.Settings{
				MaxWaiting: queues.MaxWaiting, MaxTeamWaiting: queues.MaxWaitingPerTeam, Admission: true, QuickReserve: quickReserveFraction,
				GatherAfter: gatherAfterRunTimes,
			}
			return schedule.New(limits, fairshare.New(), twochoices.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
		},
		NewTaskID: identity.NewTaskIDs().New, Entry: d.Settings.Entry.ID, Incarnation: e.presence.Incarnation,
		StartWindow: e.times.Permit.StartWindow, CheckKey: e.keys.Check, Estimates: estimate.New(maxRunTimeHistories), Meter: e.meter, Journal: e.journal,
		OnFault: d.OnFault,
	})
}

// quickFailureLimit is the run time below which a failed task counts as one that failed without doing its work.
const quickFailureLimit = 100 * time.Millisecond

// healthSignals returns the health of a host, whose pool it looks up in the directory.
type healthSignals struct{ entry *Entry }

func (s healthSignals) Signals(id jaybarrow.HostID) (failures int, latency time.Duration) {
	host, _ := s.entry.directory.Hosts.Get(id)
	return s.entry.health.Signals(host.Pool, id)
}

// quickReserveFraction is the largest fraction of a pool's slots that slow work leaves free for quick work that arrived
// recently. A larger fraction answers more quick work in time beside long tasks, but leaves more slots idle and keeps teams
// less close to their shares (docs/measurements.md).
const quickReserveFraction = 0.1

// gatherAfterRunTimes is how many mean run times a job of several slots waits before a host gathers slots for it. A lower
// number makes quick work miss more targets; a higher one makes these jobs wait longer (docs/measurements.md, jobs of
// several slots).
const gatherAfterRunTimes = 4

func (e *Entry) startPeers() {
	d, own := e.deps, e.deps.Settings.Entry
	e.gossip = peer.NewGossip(peer.GossipDeps{
		Clock: d.Clock, Log: logging.For(d.Log, "peer"), Client: e.peers, Members: e.members, Interval: e.times.HeartbeatInterval,
		Self: e.self, Seeds: e.seeds, OnNewerRecord: e.catchUp, OnFault: d.OnFault,
	})
	e.inFlight = inflight.New()
	local := route.NewLocal(e.scheduler, e.inFlight)
	e.peerServer = peer.NewServer(d.Clock, logging.For(d.Log, "peer"), d.Peers, local, e.directory, e.gossip, d.OnFault)
	e.router = route.New(route.Deps{
		Clock: d.Clock, Self: own.ID, DataCentre: own.DataCentre, Local: local, Peers: e.peers, Members: e.members,
		Ready: e.acceptsRequests, DataCentres: e.roster.DataCentres, LocalLoad: e.scheduler.Load, Journal: e.journal,
	})
	e.spillover = route.NewSpillover(e.router, e.scheduler, d.OnFault)
}

func (e *Entry) startMaintenance() {
	d, own := e.deps, e.deps.Settings.Entry
	e.maintenance = maintenance.New(maintenance.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "maintenance"), Store: e.records, Directory: e.directory, Workers: e.workers,
		Platform: d.Platform, Conditions: e.conditions, Journal: e.journal, NewChange: identity.NewChangeID,
		DataCentre: own.DataCentre, Driving: e.drivesMaintenance, Settings: e.times.Maintenance,
		OnFault: d.OnFault,
	})
	e.mover = mover.New(mover.Deps{
		Clock: d.Clock, Log: logging.For(d.Log, "mover"), Directory: e.directory, Conditions: e.conditions,
		Drains: e.maintenance, Lenders: e.roster, Journal: e.journal, DataCentre: own.DataCentre, Driving: e.drivesMaintenance,
		Loads: e.poolLoads, Settings: e.times.Mover, OnFault: d.OnFault,
	})
}

// drivesMaintenance reports whether this entry host drives the drains and moves of its data centre.
func (e *Entry) drivesMaintenance() bool {
	if !e.ready() {
		return false
	}
	candidates := []jaybarrow.EntryID{e.deps.Settings.Entry.ID}
	for _, s := range e.members.LiveStates(e.deps.Clock.Now()) {
		if s.DataCentre == e.deps.Settings.Entry.DataCentre && s.Ready {
			candidates = append(candidates, s.ID)
		}
	}
	driver, _ := rendezvous.Owner("maintenance", candidates)
	return driver == e.deps.Settings.Entry.ID
}
