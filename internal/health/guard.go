package health

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Guard runs tasks on workers as their health allows: it refuses a task for an ejected host and observes how each ends.
type Guard struct {
	jaybarrow.Workers
	clock  jaybarrow.Clock
	health *Health
	quick  time.Duration
	news   *notify.Notifier
	group  conc.WaitGroup
	stop   chan struct{}
	once   sync.Once
}

// NewGuard returns a Guard of the workers; a failure within quick is a quick one.
func NewGuard(clock jaybarrow.Clock, workers jaybarrow.Workers, health *Health, quick time.Duration) *Guard {
	return &Guard{Workers: workers, clock: clock, health: health, quick: quick, news: notify.New(), stop: make(chan struct{})}
}

// Close ends the waits for trials.
func (g *Guard) Close() {
	g.once.Do(func() { close(g.stop) })
	g.group.Wait()
}

// Changed returns a channel that is closed when a host is ejected or may be tried again.
func (g *Guard) Changed() <-chan struct{} { return g.news.Changed() }

// Accepting reports whether the host may get a task.
func (g *Guard) Accepting(pool jaybarrow.PoolID, host jaybarrow.HostID) bool {
	return g.health.Accepting(g.clock.Now(), pool, host)
}

// SetPool replaces the pool's hosts and the count of those that are unavailable for other reasons.
func (g *Guard) SetPool(pool jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int) {
	g.health.SetPool(pool, hosts, unavailable)
}

// Signals returns the host's consecutive failures and its smoothed latency, for placement.
func (g *Guard) Signals(pool jaybarrow.PoolID, host jaybarrow.HostID) (failures int, latency time.Duration) {
	c := g.health.Condition(g.clock.Now(), pool, host)
	return c.Failures, c.Latency
}

// Run runs the task unless the host is ejected or its trial is taken, which is KindWorkerRefused.
func (g *Guard) Run(ctx context.Context, host jaybarrow.Host, task jaybarrow.Task) ([]byte, error) {
	begun := g.clock.Now()
	if !g.health.Admit(begun, host.Pool, host.ID) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "host %s is ejected", host.ID)
	}
	body, err := g.Workers.Run(ctx, host, task)
	now := g.clock.Now()
	before := g.health.Accepting(now, host.Pool, host.ID)
	g.health.Observe(now, host.Pool, host.ID, Classify(err, now.Sub(begun), g.quick), now.Sub(begun))
	if g.health.Accepting(now, host.Pool, host.ID) != before {
		g.announce(now, host.Pool)
	}
	return body, err
}

// announce signals a change now, and again when the pool's next trial is due.
func (g *Guard) announce(now time.Time, pool jaybarrow.PoolID) {
	g.news.Signal()
	trial, ok := g.health.NextTrial(pool)
	if !ok {
		return
	}
	g.group.Go(func() {
		select {
		case <-g.stop:
		case <-g.clock.After(trial.Sub(now)):
			g.news.Signal()
		}
	})
}
