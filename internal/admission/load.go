package admission

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Load is what a pool has to do, and what it can do it with.
type Load struct {
	InTime  jaybarrow.Work // waiting work of jobs that can still meet their target; it is placed first
	Waiting jaybarrow.Work // all waiting work, that of late jobs included
	Tasks   int            // waiting tasks
	// InTimeTasks is the part of Tasks that is started before those of a new job which can meet its target.
	InTimeTasks int
	Capacity    jaybarrow.Resources // of the workers that take tasks, less what lasting tasks use
	Coming      jaybarrow.Resources // of idle hosts that the pool can get
	ComingIn    time.Duration       // until they take tasks
	// InTimeAdvice and Advice are the adviser's time for the steps that it decides on before those of a new job, if the job needs advice: of those
	// that can meet their target, and of all.
	InTimeAdvice, Advice time.Duration
	// StartsPerSecond is how many tasks the scheduler can start; 0 is unlimited.
	StartsPerSecond float64
}

// maxWait stands for a wait without an end.
const maxWait = time.Hour

// InTimeWait returns the expected time until the work that can meet its target has been placed.
func (l Load) InTimeWait() time.Duration {
	return max(l.waitFor(l.InTime), l.startWait(l.InTimeTasks), l.InTimeAdvice)
}

// Wait returns the expected time until all waiting work has been placed.
func (l Load) Wait() time.Duration {
	return max(l.waitFor(l.Waiting), l.startWait(l.Tasks), l.Advice)
}

// waitFor returns the time that the work takes: on the pool's own workers, and beside them on the coming ones from when they are there.
func (l Load) waitFor(w jaybarrow.Work) time.Duration {
	now, later := l.Capacity, l.Capacity.Plus(l.Coming)
	return max(
		wait(w.CPU, float64(now.CPU), float64(later.CPU), l.ComingIn), wait(w.Memory, float64(now.Memory), float64(later.Memory), l.ComingIn),
		wait(w.Accelerators, float64(now.Accelerators), float64(later.Accelerators), l.ComingIn),
	)
}

// soonTakes returns the time that the work takes once the coming hosts are there.
func (l Load) soonTakes(w jaybarrow.Work) time.Duration {
	return Load{Capacity: l.Capacity.Plus(l.Coming)}.waitFor(w)
}

// wait returns the time that work takes at a capacity that rises once.
func wait(work, now, later float64, risesIn time.Duration) time.Duration {
	if work <= 0 {
		return 0
	}
	if untilRise := max(0, now) * risesIn.Seconds(); work > untilRise {
		if later <= 0 {
			return maxWait
		}
		return risesIn + seconds((work-untilRise)/later)
	}
	return seconds(work / now)
}

// seconds returns the duration of a number of seconds, at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxWait.Seconds()) * float64(time.Second))
}
