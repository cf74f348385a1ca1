package outage

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Gate admits writes to a store that may be down. It is safe for concurrent use.
type Gate struct {
	changed *notify.Notifier // signalled when reads begin to be needed

	lock    sync.Mutex
	state   state
	refused int // callers that were told when to return
}

// New returns a Gate that lets every write out.
func New() *Gate { return &Gate{changed: notify.New(), state: state{phase: PhaseOpen}} }

// Pass is the permission to try one write.
type Pass struct{ generation int }

// Enter reports whether a write may be tried now. If so, Leave must be called with the pass and the outcome of the write.
func (g *Gate) Enter(now time.Time) (Pass, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	allowed := g.state.enter(now)
	return Pass{g.state.generation}, allowed
}

// Leave records the outcome of a write that was tried.
func (g *Gate) Leave(now time.Time, p Pass, outcome Outcome) {
	g.lock.Lock()
	before := g.state.wantsReads()
	g.state.leave(now, p.generation, outcome)
	wakes := !before && g.state.wantsReads()
	g.lock.Unlock()
	if wakes {
		g.changed.Signal()
	}
}

// Probed records what reads have found that change nothing.
func (g *Gate) Probed(now time.Time, found Probe) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.state.probed(now, found)
}

// ServesCallers reports whether new callers are served here as well as by entry hosts elsewhere.
func (g *Gate) ServesCallers() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.state.servesCallers()
}

// wantsReads reports whether reads have to find out whether the store answers.
func (s *state) wantsReads() bool {
	return s.phase != PhaseOpen || !s.firstFailure.IsZero()
}

// WantsReads reports whether reads have to find out whether the store answers. A change to true closes the channel; a caller that gets false
// waits for it.
func (g *Gate) WantsReads() (wanted bool, changed <-chan struct{}) {
	changed = g.changed.Changed()
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.state.wantsReads(), changed
}

// Status is what a Gate shows to logs and metrics.
type Status struct {
	Phase       Phase
	Lasted      time.Duration // of the outage so far; 0 without
	LastFailure time.Time     // of a write
}

// Status returns the phase and the length of the outage.
func (g *Gate) Status(now time.Time) Status {
	g.lock.Lock()
	defer g.lock.Unlock()
	out := Status{Phase: g.state.phase, LastFailure: g.state.lastFailure}
	if g.state.phase != PhaseOpen {
		out.Lasted = now.Sub(g.state.firstFailure)
	}
	return out
}
