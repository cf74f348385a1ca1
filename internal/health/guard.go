package health

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Guard wraps Workers with outlier ejection: it refuses a task for an ejected host and records the outcome of each task.
type Guard struct {
	jaybarrow.Workers
	clock        jaybarrow.Clock
	health       *Health
	quickFailure time.Duration
	changes      *notify.Notifier
	group        *rungroup.Group
	stop         chan struct{}
	once         sync.Once
}

// NewGuard returns a Guard for the workers; a failure in less than quickFailure counts as quick. A failure of a background part is reported to
// onFault.
func NewGuard(clock jaybarrow.Clock, workers jaybarrow.Workers, health *Health, quickFailure time.Duration, onFault rungroup.Handler) *Guard {
	return &Guard{Workers: workers, clock: clock, health: health, quickFailure: quickFailure, changes: notify.New(), stop: make(chan struct{}), group: rungroup.New(onFault)}
}

// Close stops the announcements of due trials.
func (g *Guard) Close() {
	g.once.Do(func() { close(g.stop) })
	g.group.Wait()
}

// Changed returns a channel that is closed when a host is ejected or readmitted, or the first trial after an ejection is due. A
// trial that follows a failed one is not announced.
func (g *Guard) Changed() <-chan struct{} { return g.changes.Changed() }

// Accepting reports whether the host may get a task.
func (g *Guard) Accepting(pool jaybarrow.PoolID, host jaybarrow.HostID) bool {
	return g.health.Accepting(g.clock.Now(), pool, host)
}

// SetPool replaces the pool's hosts and the count of those that are unavailable for reasons other than an ejection.
func (g *Guard) SetPool(pool jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int) {
	g.health.SetPool(pool, hosts, unavailable)
}

// Signals returns the host's recent consecutive failures and its smoothed latency, for placement.
func (g *Guard) Signals(pool jaybarrow.PoolID, host jaybarrow.HostID) (failures int, latency time.Duration) {
	c := g.health.Condition(g.clock.Now(), pool, host)
	return c.Failures, c.Latency
}

// Run runs the task, or returns KindWorkerRefused when the host is ejected or its trial is already running.
func (g *Guard) Run(ctx context.Context, host jaybarrow.Host, task jaybarrow.Task) ([]byte, error) {
	startedAt := g.clock.Now()
	if !g.health.Admit(startedAt, host.Pool, host.ID) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "host %s is ejected", host.ID)
	}
	body, err := g.Workers.Run(ctx, host, task)
	now := g.clock.Now()
	wasAccepting := g.health.Accepting(now, host.Pool, host.ID)
	g.health.Observe(now, host.Pool, host.ID, Classify(err, now.Sub(startedAt), g.quickFailure), now.Sub(startedAt))
	if g.health.Accepting(now, host.Pool, host.ID) != wasAccepting {
		g.signalChange(now, host.Pool)
	}
	return body, err
}

// signalChange signals a change now, and again when the trial that is the pool's next one at this moment is due.
func (g *Guard) signalChange(now time.Time, pool jaybarrow.PoolID) {
	g.changes.Signal()
	trial, ok := g.health.NextTrial(pool)
	if !ok {
		return
	}
	g.group.Go("announcement of a trial", func() {
		select {
		case <-g.stop:
		case <-g.clock.After(trial.Sub(now)):
			g.changes.Signal()
		}
	})
}
