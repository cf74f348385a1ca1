package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/order/fifo"
	"github.com/jaybarrow/jaybarrow/internal/permit"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/pool"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/roster"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Deps are what an entry host depends on.
type Deps struct {
	Clock      jaybarrow.Clock
	Log        zerolog.Logger
	Store      jaybarrow.Store
	ID         jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Callers    net.Listener
	MaxBody    int
	MaxWaiting int
	Task       task.Settings
	// OperatorKeyHash opens the operators' routes to the key with this hash; empty keeps them closed.
	OperatorKeyHash jaybarrow.KeyHash
	// Maintenance carries out drains and waves; nil leaves their routes out.
	Maintenance fleet.Maintenance
}

// Entry is a running entry host.
type Entry struct {
	scheduler *pool.Scheduler
	permits   *permit.Keeper
	presence  *presence.Presence
	http      *httpapi.Server
}

// New returns a running entry host after it has read the configuration once.
func New(ctx context.Context, deps Deps) (*Entry, error) {
	d := directory.New()
	records, revision, err := deps.Store.List(ctx, jaybarrow.Prefix)
	if err != nil {
		return nil, err
	}
	if err := d.Apply(records, revision); err != nil {
		return nil, err
	}
	registration := presence.New(presence.Deps{
		Clock: deps.Clock, Log: logging.For(deps.Log, "presence"), Store: deps.Store, NewChange: identity.NewChangeID,
		Host: jaybarrow.EntryHost{
			ID: deps.ID, DataCentre: deps.DataCentre, HTTPAddress: jaybarrow.Address(deps.Callers.Addr().String()),
		},
		Settings: presence.DefaultSettings(),
	})
	permits := permit.New(permit.Deps{
		Clock: deps.Clock, Log: logging.For(deps.Log, "permit"), Store: deps.Store, Directory: d, Registration: registration,
		Entry: deps.ID, NewChange: identity.NewChangeID, Settings: permit.DefaultSettings(),
	})
	scheduler := pool.New(pool.Deps{
		Clock:   deps.Clock,
		Log:     logging.For(deps.Log, "pool"),
		Hosts:   roster.New(d, allLive{}, allLive{}, deps.DataCentre),
		Workers: task.New(deps.Clock, deps.Task),
		Permits: permits,
		NewPool: func() *schedule.Pool {
			return schedule.New(schedule.Settings{MaxWaiting: deps.MaxWaiting}, fifo.New(), leastloaded.New())
		},
		NewTaskID:   identity.NewTasks().New,
		Entry:       deps.ID,
		Incarnation: registration.Incarnation,
		StartWindow: permit.DefaultSettings().StartWindow,
	})
	settings := httpapi.Settings{MaxBody: deps.MaxBody, OperatorKeyHash: deps.OperatorKeyHash}
	server := httpapi.New(logging.For(deps.Log, "http"), deps.Callers, settings, httpapi.Handlers{
		Submit:   request.NewSubmit(deps.Clock, d, scheduler, identity.NewRequestID),
		Cancel:   request.NewCancel(d, scheduler),
		Commands: commands(deps),
		Queries:  queries(deps, d),
	})
	return &Entry{scheduler: scheduler, permits: permits, presence: registration, http: server}, nil
}

// Close stops accepting callers, finishes what runs and stops all parts.
func (e *Entry) Close(ctx context.Context) error {
	err := e.http.Close(ctx)
	e.scheduler.Close()
	return errors.Join(err, e.permits.Close(ctx), e.presence.Leave(ctx))
}

// allLive stands for the platform's list and the workers' health until they are joined to the entry host.
type allLive struct{}

func (allLive) Condition(string) jaybarrow.HostCondition { return jaybarrow.HostLive }

func (allLive) GoneFor(string) (time.Duration, bool) { return 0, false }

func (allLive) Changed() <-chan struct{} { return nil }

func (allLive) Accepting(jaybarrow.PoolID, jaybarrow.HostID) bool { return true }
