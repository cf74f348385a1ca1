package workload

import "time"

// Settings are the times and bounds of the decisions.
type Settings struct {
	// Lease is how long a worker runs on without an order. It outlasts the takeover by another scheduler.
	Lease time.Duration
	// Renew is how long a report may be waited for while tasks run; each order renews the lease.
	Renew time.Duration
	// Idle is how long a report may be waited for while nothing runs.
	Idle time.Duration
	// Suspect is how long after a report was due its worker receives no new task.
	Suspect time.Duration
	// StopRetry is when an unanswered stop is sent again.
	StopRetry time.Duration
	// Stall is how long a task may show no progress before it is restarted elsewhere.
	Stall time.Duration
	// Gather is how long ends are gathered into one write. No start or answer waits for it.
	Gather time.Duration
	// Keep is how long an ended job is remembered and its records are kept.
	Keep time.Duration
}

// DefaultSettings returns the settings for a lease that a worker accepts whole.
func DefaultSettings() Settings {
	return Settings{
		// Five times the time to live of the scheduler's own lease, so that a successor reaches every worker before it lapses.
		Lease: 5 * time.Second,
		// Below the patience with a task that stands still, so that a report tells of it in time.
		Renew: 500 * time.Millisecond,
		// The longest wait that workers grant.
		Idle: 2 * time.Second,
		// Above the time that a report may take beyond its wait.
		Suspect: 500 * time.Millisecond,
		// Above the time that a stop's answer is waited for.
		StopRetry: 300 * time.Millisecond,
		// Tens of progress steps of a usual task on a host six times slower, and above the time that a start takes.
		Stall: 700 * time.Millisecond,
		// A tenth of the time that a quick job can wait; at a burst a worker lists an end about as often.
		Gather: 20 * time.Millisecond,
		// A quarter more than callers may ask for the state of an ended job.
		Keep: 150 * time.Second,
	}
}

// clockSlowdown is how much slower than the scheduler's a worker's clock may run.
const clockSlowdown = 0.02

// lapseMargin covers rounding and scheduling delay when the end of a worker's lease is computed.
const lapseMargin = 50 * time.Millisecond

// maxReportedEnds is how many ends a worker lists in one report at most; a shorter list is complete.
const maxReportedEnds = 500
