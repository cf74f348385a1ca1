package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/dispatch"
)

// dispatchLogInterval is the least time between two lines on the dispatch of steps.
const dispatchLogInterval = 5 * time.Second

// dispatchLog is what was last logged of the dispatch of steps.
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

// DispatchDelay returns how long the dispatch of each step takes; 0 while that is not noticeable.
func (s *Scheduler) DispatchDelay() time.Duration {
	return dispatchDelay(s.deps, s.deps.Clock.Now())
}

// dispatchDelay returns how long the dispatch of each step takes; 0 while that is not noticeable.
func (p *poolShard) dispatchDelay(now time.Time) time.Duration { return dispatchDelay(p.deps, now) }

func dispatchDelay(d Deps, now time.Time) time.Duration {
	return dispatch.Delay(d.CommitTimes.Usual(now))
}

// logDispatch logs when the dispatch of steps begins and ceases to count in the order of jobs and in admission.
func (s *Scheduler) logDispatch(now time.Time) {
	delay := s.DispatchDelay()
	switch due := s.dispatch.due(delay > 0, now); {
	case due && delay > 0:
		s.deps.Log.Warn().Int64("delayMs", delay.Milliseconds()).Msg("starts wait long for the store; the wait counts for each step of a job")
	case due:
		s.deps.Log.Info().Msg("starts follow their assignment at once again")
	}
}
