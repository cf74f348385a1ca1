package route

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Backlog is the local schedulers' queues.
type Backlog interface {
	// Loads returns the load of each pool.
	Loads() map[jaybarrow.PoolID]schedule.Load
	// HandBack answers up to most queued requests of the pool with KindHandOver, so that they are routed again, and returns
	// how many.
	HandBack(pool jaybarrow.PoolID, most int) int
}

// spillInterval is how long a request may queue in a full data centre after another one has told of free slots.
const spillInterval = 500 * time.Millisecond

// Spillover hands queued requests of full pools back while another data centre has free slots for them. A request is routed once,
// on its arrival; what the other data centres have free may become known, or free, only while it waits.
type Spillover struct {
	router  *Router
	backlog Backlog
	group   conc.WaitGroup
	stop    chan struct{}
	once    sync.Once
}

// NewSpillover returns a running Spill.
func NewSpillover(router *Router, backlog Backlog) *Spillover {
	s := &Spillover{router: router, backlog: backlog, stop: make(chan struct{})}
	s.group.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-router.deps.Clock.After(spillInterval):
				s.round()
			}
		}
	})
	return s
}

// Close stops handing requests back.
func (s *Spillover) Close() {
	s.once.Do(func() { close(s.stop) })
	s.group.Wait()
}

func (s *Spillover) round() {
	for pool, load := range s.backlog.Loads() {
		if load.Waiting == 0 || load.FreeSlots > 0 {
			continue
		}
		if free := s.freeElsewhere(pool); free > 0 {
			s.backlog.HandBack(pool, min(free, load.Waiting))
		}
	}
}

// freeElsewhere returns the free slots of the data centre that a request handed back would be forwarded to.
func (s *Spillover) freeElsewhere(pool jaybarrow.PoolID) int {
	free := 0
	for _, o := range s.router.options(pool, nil) {
		if !o.Own {
			free = max(free, o.free())
		}
	}
	return free
}
