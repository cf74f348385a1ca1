package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// maxUnbegunSteps is how many steps of occurrences that are due and have not begun a job keeps before it opens no further occurrence. Where one
// cannot be placed, the next one mostly cannot either.
const maxUnbegunSteps = 16

// dueTime returns when the occurrence is due; the zero time for a job without a schedule.
func (j *job) dueTime(k jaybarrow.Occurrence) time.Time {
	r := j.spec.Recurrence
	if r == nil {
		return time.Time{}
	}
	return time.UnixMilli(r.StartMs + int64(k)*r.IntervalMs)
}

// The adviser is asked so early that it can decide on adviceLeadRequests requests for adviceLeadWorkers workers each before an occurrence is due.
const (
	adviceLeadRequests = 2
	adviceLeadWorkers  = 30
)

// openTime returns when the occurrence is opened: when it is due, or so much earlier that its adviser can be asked before.
func (j *job) openTime(k jaybarrow.Occurrence) time.Time { return j.dueTime(k).Add(-j.adviceLead()) }

// adviceLead returns how long before an occurrence is due its adviser is asked; the tickets must be valid for longer.
func (j *job) adviceLead() time.Duration {
	if j.policy.Advice == nil || j.spec.Recurrence == nil {
		return 0
	}
	lead := adviceLeadRequests * j.policy.Advice.Time(adviceLeadWorkers)
	return max(0, min(lead, j.policy.Advice.Valid/2-adviceMargin))
}

// dueUnopened returns how many occurrences may be opened and never were.
func (j *job) dueUnopened(now time.Time) int {
	left := j.spec.Occurrences() - int(j.next)
	if left <= 0 || now.Before(j.openTime(j.next)) {
		return 0
	}
	if r := j.spec.Recurrence; r != nil && r.IntervalMs > 0 {
		left = int(min(int64(left), 1+now.Sub(j.openTime(j.next)).Milliseconds()/r.IntervalMs))
	}
	return left
}

// openDue opens occurrences whose time has come, as long as those that are open have begun or have few steps in all.
func (p *Pool) openDue(j *job, now time.Time) {
	due := j.dueUnopened(now)
	if due == 0 {
		return
	}
	unbegun := 0
	for _, o := range j.open {
		if !o.begun() {
			unbegun += len(o.steps)
		}
	}
	for ; due > 0 && (unbegun == 0 || unbegun+len(j.spec.Steps) <= maxUnbegunSteps); due-- {
		p.removeDue(j) // which is ordered by the next occurrence
		j.open = append(j.open, j.newOccurrence(j.next))
		j.next++
		unbegun += len(j.spec.Steps)
	}
}

// await lets the job wait for room, or for its next occurrence to be due.
func (p *Pool) await(j *job, now time.Time) {
	p.openDue(j, now)
	if j.hasUnassigned(now) {
		p.markWaiting(j)
		return
	}
	p.addDue(j)
}

// addDue lets the job wait for its next occurrence, if there is one.
func (p *Pool) addDue(j *job) {
	if j.dueIndex == heap.Absent && !j.state.Ended() && int(j.next) < j.spec.Occurrences() {
		p.due.Push(j)
	}
}

// removeDue undoes addDue.
func (p *Pool) removeDue(j *job) {
	if j.dueIndex != heap.Absent {
		p.due.Remove(j.dueIndex)
	}
}

// takeDue lets the jobs whose next occurrence has become due wait for room.
func (p *Pool) takeDue(now time.Time) {
	for {
		j, ok := p.due.First()
		if !ok || now.Before(j.openTime(j.next)) {
			return
		}
		p.removeDue(j)
		p.openDue(j, now)
		p.markWaiting(j)
	}
}

// newDue returns the jobs that wait for their next occurrence, the earliest first.
func newDue() *heap.Heap[*job] {
	return heap.New(
		func(a, b *job) bool { return a.openTime(a.next).Before(b.openTime(b.next)) },
		func(j *job, index int) { j.dueIndex = index },
	)
}
