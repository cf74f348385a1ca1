package entry

import (
	"context"
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
	scheduler := pool.New(pool.Deps{
		Clock:   deps.Clock,
		Log:     logging.For(deps.Log, "pool"),
		Hosts:   roster.New(d, allLive{}, allLive{}, deps.DataCentre),
		Workers: task.New(deps.Clock, deps.Task),
		Permits: permit.New(deps.ID, d.Allotments),
		NewPool: func() *schedule.Pool {
			return schedule.New(schedule.Settings{MaxWaiting: deps.MaxWaiting}, fifo.New(), leastloaded.New())
		},
		NewTaskID:   identity.NewTasks().New,
		Entry:       deps.ID,
		Incarnation: func() jaybarrow.Incarnation { return 1 },
		StartWindow: 2 * time.Second,
	})
	settings := httpapi.Settings{MaxBody: deps.MaxBody, OperatorKeyHash: deps.OperatorKeyHash}
	server := httpapi.New(logging.For(deps.Log, "http"), deps.Callers, settings, httpapi.Handlers{
		Submit:   request.NewSubmit(deps.Clock, d, scheduler, identity.NewRequestID),
		Cancel:   request.NewCancel(d, scheduler),
		Commands: commands(deps),
		Queries:  queries(deps, d),
	})
	return &Entry{scheduler: scheduler, http: server}, nil
}

// Close stops accepting callers, finishes what runs and stops all parts.
func (e *Entry) Close(ctx context.Context) error {
	err := e.http.Close(ctx)
	e.scheduler.Close()
	return err
}

// allLive stands for the platform's list and the workers' health until they are joined to the entry host.
type allLive struct{}

func (allLive) Condition(string) jaybarrow.HostCondition { return jaybarrow.HostLive }

func (allLive) GoneFor(string) (time.Duration, bool) { return 0, false }

func (allLive) Changed() <-chan struct{} { return nil }

func (allLive) Accepting(jaybarrow.PoolID, jaybarrow.HostID) bool { return true }
