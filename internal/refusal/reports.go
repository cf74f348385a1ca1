package refusal

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Reports holds the refused jobs that entry hosts have reported to a leader. It is safe for concurrent use.
//
// Load pattern: after an outage callers bring in both new jobs and those that they have tried to hand in for seconds. The latter can mostly not
// be in time any more; with a target that is counted from their acceptance they would come first and make the new ones late too. And refused
// work needs hosts before it is accepted.
type Reports struct {
	jobs *table[jobKey, report]
}

// jobKey names a job of a pool. Callers choose the ids, so that a refusal in one pool must not change a job of another one.
type jobKey string

func keyOf(pool jaybarrow.PoolID, id jaybarrow.JobID) jobKey {
	return jobKey(string(pool) + "/" + string(id))
}

type report struct {
	job          jaybarrow.RefusedJob
	firstAttempt time.Time
}

// NewReports returns Reports without jobs.
func NewReports() *Reports { return &Reports{jobs: newTable[jobKey, report](maxReported, maxAge)} }

// Add adds a reported job. Of several reports of a job, also by several entry hosts, the earliest first attempt counts. It returns false for a
// job that cannot be one of this system.
func (r *Reports) Add(now time.Time, job jaybarrow.RefusedJob) bool {
	if !usable(job) {
		return false
	}
	job.Work = boundedWork(job.Work)
	first := firstAttempt(now, job.Age)
	r.jobs.set(now, keyOf(job.Pool, job.ID), func(old report, known bool) report {
		if known && old.firstAttempt.Before(first) {
			first = old.firstAttempt
		}
		return report{job: job, firstAttempt: first}
	})
	return true
}

// FirstAttempt returns when the caller of a job first tried to hand it in, if that is known.
func (r *Reports) FirstAttempt(now time.Time, pool jaybarrow.PoolID, id jaybarrow.JobID) (time.Time, bool) {
	one, known := r.jobs.get(now, keyOf(pool, id))
	return one.firstAttempt, known
}

// Demand returns, by pool, the average demand of the jobs that were reported within the last second and that are not accepted. Each counts once.
// accepted must not block.
func (r *Reports) Demand(now time.Time, accepted func(jaybarrow.JobID) bool) map[jaybarrow.PoolID]jaybarrow.Resources {
	work := make(map[jaybarrow.PoolID]jaybarrow.Work)
	r.jobs.newest(now, func(_ jobKey, one report, reportedAt time.Time) bool {
		if now.Sub(reportedAt) > demandWindow {
			return false
		}
		if !accepted(one.job.ID) {
			work[one.job.Pool] = work[one.job.Pool].Plus(one.job.Work)
		}
		return true
	})
	out := make(map[jaybarrow.PoolID]jaybarrow.Resources, len(work))
	for pool, w := range work {
		out[pool] = demandOf(w)
	}
	return out
}

// Size returns how many jobs are known, and how many were dropped because there were too many.
func (r *Reports) Size(now time.Time) (jobs int, dropped int64) { return r.jobs.size(now) }
