package route

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Backlog gives access to the queues of the local schedulers.
type Backlog interface {
	// Loads returns the load of each pool.
	Loads() map[jaybarrow.PoolID]schedule.Load
	// HandBack answers up to limit queued requests of the pool with KindHandOver, so that they are routed again, and returns
	// how many it answered.
	HandBack(pool jaybarrow.PoolID, limit int) int
}

// spilloverInterval is the time between two hand-backs, and so the longest delay before queued requests of a full data centre use
// slots that another one has reported as free.
const spilloverInterval = 500 * time.Millisecond

// Spillover hands back queued requests of full pools while another data centre has free slots for them. Without it a request
// is routed only on its arrival, and would not use slots elsewhere that become free, or known, while it is queued.
type Spillover struct {
	router  *Router
	backlog Backlog
	group   *rungroup.Group
	stop    chan struct{}
	once    sync.Once
}

// NewSpillover returns a running Spillover. A failure of its background part is reported to onFault.
func NewSpillover(router *Router, backlog Backlog, onFault rungroup.Handler) *Spillover {
	s := &Spillover{group: rungroup.New(onFault), router: router, backlog: backlog, stop: make(chan struct{})}
	s.group.Go("spillover", func() {
		for {
			select {
			case <-s.stop:
				return
			case <-router.deps.Clock.After(spilloverInterval):
				s.handBackQueued()
			}
		}
	})
	return s
}

// Close stops the Spillover; it blocks until a hand-back in progress has ended.
func (s *Spillover) Close() {
	s.once.Do(func() { close(s.stop) })
	s.group.Wait()
}

// handBackQueued hands back as many queued requests of each full pool as another data centre has free slots for.
func (s *Spillover) handBackQueued() {
	for pool, load := range s.backlog.Loads() {
		if load.Waiting == 0 || load.FreeSlots > 0 {
			continue
		}
		if free := s.freeElsewhere(pool); free > 0 {
			s.backlog.HandBack(pool, min(free, load.Waiting))
		}
	}
}

// freeElsewhere returns the free slots of the other data centre that has the most.
func (s *Spillover) freeElsewhere(pool jaybarrow.PoolID) int {
	freeSlots := 0
	for _, o := range s.router.options(pool, nil) {
		if !o.Local {
			freeSlots = max(freeSlots, o.freeSlots())
		}
	}
	return freeSlots
}
