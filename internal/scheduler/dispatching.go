package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// dispatchLogInterval is the least time between two lines on the dispatch of one pool's tasks.
const dispatchLogInterval = 5 * time.Second

// dispatchLog is what was last logged of the dispatch of a pool's tasks.
type dispatchLog struct {
	slow bool
	at   time.Time
}

// due reports whether a change is to be logged now, and records that it is.
func (l *dispatchLog) due(slow bool, now time.Time) bool {
	if slow == l.slow || !l.at.IsZero() && now.Sub(l.at) < dispatchLogInterval {
		return false
	}
	l.slow, l.at = slow, now
	return true
}

// DispatchDelay returns how long tasks lately wait for their start orders after their assignment, in the pool where it takes longest; 0 while that
// is not noticeable anywhere.
func (s *Scheduler) DispatchDelay() time.Duration {
	now := s.deps.Clock.Now()
	var longest time.Duration
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		p.locked(func() { longest = max(longest, p.state.DispatchDelay(now)) })
	})
	return longest
}

// logDispatch logs for which pools the delay of starts begins and ceases to count in the order of jobs and in admission.
func (s *Scheduler) logDispatch(now time.Time) {
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolShard) {
		var delay time.Duration
		var due bool
		p.locked(func() {
			delay = p.state.DispatchDelay(now)
			due = p.dispatch.due(delay > 0, now)
		})
		switch {
		case due && delay > 0:
			p.log.Warn().Int64("delayMs", delay.Milliseconds()).Msg("starts wait long after their assignment; the wait counts for each step of a job")
		case due:
			p.log.Info().Msg("starts follow their assignment at once again")
		}
	})
}
