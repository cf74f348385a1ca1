package entry

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
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
}

// Entry is a running entry host.
type Entry struct {
	scheduler *pool.Scheduler
	workers   *task.Client
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
	workers := task.New(deps.Clock, deps.Task)
	scheduler := pool.New(pool.Deps{
		Clock:   deps.Clock,
		Log:     logging.For(deps.Log, "pool"),
		Hosts:   roster.New(d, deps.DataCentre),
		Workers: workers,
		Permits: permit.New(deps.ID, d.Allotments),
		NewPool: func() *schedule.Pool {
			return schedule.New(schedule.Settings{MaxWaiting: deps.MaxWaiting}, fifo.New(), leastloaded.New())
		},
		NewTaskID:   identity.NewTasks().New,
		Entry:       deps.ID,
		Incarnation: func() jaybarrow.Incarnation { return 1 },
		StartWindow: 2 * time.Second,
	})
	server := httpapi.New(logging.For(deps.Log, "http"), deps.Callers, deps.MaxBody, httpapi.Handlers{
		Submit: request.NewSubmit(deps.Clock, d, scheduler, identity.NewRequestID),
		Cancel: request.NewCancel(d, scheduler),
	})
	return &Entry{scheduler: scheduler, workers: workers, http: server}, nil
}

// Close stops accepting callers, finishes what runs and stops all parts.
func (e *Entry) Close(ctx context.Context) error {
	err := e.http.Close(ctx)
	e.scheduler.Close()
	e.workers.Close()
	return err
}
