package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// refusedLogInterval is the least time between two log lines about refused jobs.
const refusedLogInterval = time.Second

// Refused takes the jobs that an entry host has refused. A job that is accepted already has its target counted from the first attempt from now
// on; another one has it from when it is accepted.
func (s *Scheduler) Refused(jobs []jaybarrow.RefusedJob) {
	now := s.deps.Clock.Now()
	unusable := 0
	for _, job := range jobs {
		if !s.refused.Add(now, job) {
			unusable++
			continue
		}
		if pool, known := s.jobPools.Get(job.ID); known && pool == job.Pool {
			p := s.pool(pool)
			p.locked(func() { s.countFromFirstAttempt(p, job.ID, now) })
		}
	}
	if last := s.refusedLogged.Load(); now.UnixNano()-last >= int64(refusedLogInterval) && s.refusedLogged.CompareAndSwap(last, now.UnixNano()) {
		known, dropped := s.refused.Size(now)
		s.deps.Log.Info().Int("jobs", len(jobs)).Int("unusable", unusable).Int("known", known).Int64("dropped", dropped).Msg("refused jobs reported")
	}
}

// countFromFirstAttempt counts the target of a job of the pool from its caller's first attempt, if that is known. The lock of the pool is held.
func (s *Scheduler) countFromFirstAttempt(p *poolShard, id jaybarrow.JobID, now time.Time) {
	if at, known := s.refused.FirstAttempt(now, p.id, id); known {
		p.state.CountFromFirstAttempt(id, at)
	}
}

// RefusedJobs returns how many refused jobs are known.
func (s *Scheduler) RefusedJobs() int {
	n, _ := s.refused.Size(s.deps.Clock.Now())
	return n
}

// addRefused adds the refused work to the loads of the pools. A pool without workers and jobs is added if it is configured: refused work may be all
// that it has.
func (s *Scheduler) addRefused(loads map[jaybarrow.PoolID]workload.Load, now time.Time) {
	accepted := func(id jaybarrow.JobID) bool {
		_, known := s.jobPools.Get(id)
		return known
	}
	for id, demand := range s.refused.Demand(now, accepted) {
		load, used := loads[id]
		if _, configured := s.deps.Catalog.Pool(id); !used && !configured {
			continue
		}
		load.Refused = demand
		loads[id] = load
	}
}
