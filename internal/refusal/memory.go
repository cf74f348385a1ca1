package refusal

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Memory holds the jobs that an entry host has refused lately. It is safe for concurrent use.
type Memory struct {
	clock   jaybarrow.Clock
	changed *notify.Notifier
	jobs    *table[jobKey, refused]
}

var _ jaybarrow.RefusalRecorder = (*Memory)(nil)

// refused is a job that was refused.
type refused struct {
	job          jaybarrow.RefusedJob // without the age
	firstAttempt time.Time
	lastRefusal  time.Time
	reportedTo   Term // that knows of the last refusal; empty when none does
}

// NewMemory returns an empty Memory.
func NewMemory(clock jaybarrow.Clock) *Memory {
	return &Memory{clock: clock, changed: notify.New(), jobs: newTable[jobKey, refused](maxRemembered, maxAge)}
}

// Record remembers that the job was refused now. A job that was refused before keeps the time of its first attempt.
func (m *Memory) Record(job jaybarrow.RefusedJob) {
	now := m.clock.Now()
	m.jobs.set(now, keyOf(job.Pool, job.ID), func(old refused, known bool) refused {
		first := now
		if known {
			first = old.firstAttempt
		}
		return refused{job: job, firstAttempt: first, lastRefusal: now}
	})
	m.changed.Signal()
}

// Changed returns a channel that is closed when a job is refused.
func (m *Memory) Changed() <-chan struct{} { return m.changed.Changed() }

// Size returns how many jobs are remembered, and how many were dropped because there were too many.
func (m *Memory) Size() (jobs int, dropped int64) { return m.jobs.size(m.clock.Now()) }

// Report is what an entry host tells a leader.
type Report struct {
	Jobs  []jaybarrow.RefusedJob
	until []time.Time // of the last refusal of each job
}

// Unreported returns the jobs whose last refusal the term was not told of, at most MaxReportJobs.
func (m *Memory) Unreported(term Term) Report {
	var out Report
	now := m.clock.Now()
	m.jobs.newest(now, func(_ jobKey, r refused, _ time.Time) bool {
		if len(out.Jobs) >= MaxReportJobs {
			return false
		}
		if r.reportedTo != term {
			job := r.job
			job.Age = now.Sub(r.firstAttempt)
			out.Jobs, out.until = append(out.Jobs, job), append(out.until, r.lastRefusal)
		}
		return true
	})
	return out
}

// Reported records that the term has taken the report. A job that was refused again since stays unreported.
func (m *Memory) Reported(r Report, term Term) {
	for n, job := range r.Jobs {
		m.jobs.modify(keyOf(job.Pool, job.ID), func(one *refused) {
			if one.lastRefusal.Equal(r.until[n]) {
				one.reportedTo = term
			}
		})
	}
}
