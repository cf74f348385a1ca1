package refusal

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// maxRemembered and maxAge bound what an entry host remembers: a few times the jobs that it refuses in an outage of several seconds, and
	// longer than refused callers are mostly told to wait.
	maxRemembered = 2000
	maxAge        = 15 * time.Second
	// maxReported bounds the jobs that a leader keeps, as many as ten entry hosts remember. 20,000 of them take 5 MB.
	maxReported = 20000
	// demandWindow is how long a report of a job counts as demand.
	demandWindow = time.Second
	// maxAttemptAge replaces a longer time since a first attempt.
	maxAttemptAge = 10 * time.Minute
	// maxWork replaces a larger part of the work of a job, so that the sum over all jobs does not overflow.
	maxWork = 1e12
	// maxNameBytes is the length above which an id of a job or a name of a pool is not one that this system uses.
	maxNameBytes = 256
)

const (
	// ReportInterval is the least time between two reports of an entry host.
	ReportInterval = 250 * time.Millisecond
	// MaxReportJobs is the largest number of jobs of a report.
	MaxReportJobs = 500
	// unknownCallPause is how long a leader whose build does not know the call gets no further one.
	unknownCallPause = 5 * time.Second
)

// Term names a term of a leader. What an earlier term was told is not known to a later one.
type Term string

// Pace decides when an entry host reports to the leader. It is not safe for concurrent use.
//
// Load pattern: an entry host that refuses some hundred jobs a second while the leader changes, or is of a build that takes no reports.
type Pace struct {
	term        Term
	last        time.Time
	pausedUntil time.Time
}

// Due reports whether a report may be made to the term now, and counts it.
func (p *Pace) Due(now time.Time, term Term) bool {
	if term != p.term {
		p.term, p.pausedUntil = term, time.Time{}
	}
	if now.Before(p.pausedUntil) || !p.last.IsZero() && now.Sub(p.last) < ReportInterval {
		return false
	}
	p.last = now
	return true
}

// Unknown records that the build of the leader does not know the call.
func (p *Pace) Unknown(now time.Time) { p.pausedUntil = now.Add(unknownCallPause) }

// firstAttempt returns when the caller of a reported job tried first, by the clock of the leader.
func firstAttempt(now time.Time, age time.Duration) time.Time {
	return now.Add(-min(maxAttemptAge, max(0, age)))
}

// usable reports whether a reported job has names that this system uses.
func usable(job jaybarrow.RefusedJob) bool {
	return job.ID != "" && job.Pool != "" && len(job.ID) <= maxNameBytes && len(job.Pool) <= maxNameBytes
}

// boundedWork returns the work with each part within 0 and maxWork.
func boundedWork(w jaybarrow.Work) jaybarrow.Work {
	return jaybarrow.Work{CPU: bounded(w.CPU), Memory: bounded(w.Memory), Accelerators: bounded(w.Accelerators)}
}

func bounded(w float64) float64 {
	if math.IsNaN(w) {
		return 0
	}
	return min(maxWork, max(0, w))
}

// demandOf returns the average demand of work that is offered within demandWindow.
func demandOf(w jaybarrow.Work) jaybarrow.Resources {
	perSecond := w.Times(1 / demandWindow.Seconds())
	return jaybarrow.Resources{
		CPU: jaybarrow.Millicores(perSecond.CPU), Memory: jaybarrow.Megabytes(perSecond.Memory), Accelerators: jaybarrow.Accelerators(perSecond.Accelerators),
	}
}
