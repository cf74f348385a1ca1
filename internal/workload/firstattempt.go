package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// CountFromFirstAttempt counts the target of a job from the time at which its caller first tried to hand it in, if that is earlier than what it
// is counted from so far. The job's record and its time of acceptance stay as they are. Unknown, lasting and scheduled jobs are left alone.
func (p *Pool) CountFromFirstAttempt(id jaybarrow.JobID, firstAttempt time.Time) {
	j := p.jobs[id]
	if j == nil || j.spec.Lasting() || j.spec.Recurrence != nil || !firstAttempt.Before(j.since) {
		return
	}
	j.since = firstAttempt
	j.setTarget()
}
