package workload

import "time"

// Settings are the durations that govern scheduling decisions.
type Settings struct {
	// Lease is how long a worker keeps running its tasks after a hold order. It outlasts the takeover by another scheduler.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants, whatever an order asks for.
	MaxLease time.Duration
	// MaxValueBytes is the largest value that the store accepts, which bounds the record of a job.
	MaxValueBytes int
	// ProgressByMarks makes the stored progress of a job leave out what is done. Builds that cannot read this would begin everything again.
	ProgressByMarks bool
	// RenewInterval is how long a worker may hold back its report while tasks run; each hold order renews the lease.
	RenewInterval time.Duration
	// IdleInterval is how long a worker may hold back its report while nothing runs.
	IdleInterval time.Duration
	// ReportGrace is how long after its report was due a worker still receives new tasks.
	ReportGrace time.Duration
	// StopRetry is the interval at which an unanswered stop is sent again.
	StopRetry time.Duration
	// StallTimeout is how long a task may make no progress before it is restarted on another worker.
	StallTimeout time.Duration
	// BatchDelay is how long changes are collected into one write. Starts and answers to callers do not wait for it.
	BatchDelay time.Duration
	// Retention is how long the state and the records of an ended job are kept.
	Retention time.Duration
}

// DefaultSettings returns the settings for workers that accept the full lease.
func DefaultSettings() Settings {
	return Settings{
		// Five times the TTL of the leader's lease, so that a successor reaches every worker before the worker's lease expires.
		Lease: 5 * time.Second,
		// The longest that the platform allows.
		MaxLease: 10 * time.Second,
		// The usual limit of the platform's store.
		MaxValueBytes: 1 << 20,
		// Shorter than the stall timeout, so that a stall is reported in time.
		RenewInterval: 500 * time.Millisecond,
		// The longest wait that workers accept.
		IdleInterval: 2 * time.Second,
		// Longer than a report may take after its wait has ended.
		ReportGrace: 500 * time.Millisecond,
		// Longer than the timeout of a stop.
		StopRetry: 300 * time.Millisecond,
		// Tens of progress steps of a typical task on a host that is six times slower, and longer than a start takes.
		StallTimeout: 700 * time.Millisecond,
		// A tenth of the time that a quick job can wait; during a burst a worker reports ends about as often.
		BatchDelay: 20 * time.Millisecond,
		// A quarter longer than callers may query the state of an ended job.
		Retention: 150 * time.Second,
	}
}

// clockSlowdown is the fraction by which a worker's clock may run slower than the scheduler's.
const clockSlowdown = 0.02

// leaseEndMargin covers rounding and scheduling delay when the end of a worker's lease is computed.
const leaseEndMargin = 50 * time.Millisecond

// maxReportedEnds is the most ends that a worker lists in one report; a shorter list is complete.
const maxReportedEnds = 500
