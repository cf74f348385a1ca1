package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Settings are the timeouts and intervals of a Scheduler.
type Settings struct {
	Workload workload.Settings
	// MaxPlanInterval is the longest time between two plans of a pool.
	MaxPlanInterval time.Duration
	// StartTimeout bounds a start order and a poll. StopTimeout bounds a stop order and a throttle order. HoldSlack is how much longer
	// than the wait of a hold order its answer may take.
	StartTimeout, StopTimeout, HoldSlack time.Duration
	// MaxConcurrentStarts bounds the start orders that wait for an answer. More than the link carries within StartTimeout would delay the
	// reports of the workers and the renewals of the leader's lease.
	MaxConcurrentStarts int
	// Host is what the leader's host can carry; it bounds orders and reports.
	Host budget.Host
	// TeamAdmission divides congested pools among teams by their shares, in admission and in the order of waiting jobs.
	TeamAdmission bool
	// MaxReportInterval is the longest time for which a worker with running tasks may hold back its report.
	MaxReportInterval time.Duration
	// HoldRetryDelay is the delay after a failed hold order; it doubles twice with further failures.
	HoldRetryDelay time.Duration
	// MaxStoreWait is the longest delay of a worker's next hold order until the ends that it reported are stored.
	MaxStoreWait time.Duration
	// Commit bounds one attempt at a write, including its hedged calls; its delay is the least one, which grows with the time that the store
	// takes. CommitRetryDelay is the delay before the next attempt, which doubles up to three times.
	Commit           hedge.Settings
	CommitRetryDelay time.Duration
	// MaxConcurrentCommits bounds the writes of progress in progress, of all pools.
	MaxConcurrentCommits int
	// OverlapAfter is how long a round may be in progress before the next one is planned beside it, and MaxRounds how many of a pool may be in
	// progress; 1 is one after the other.
	OverlapAfter time.Duration
	MaxRounds    int
	// TakeoverSlack is how much longer than the overlapping calls for one page a takeover may read nothing before the term ends.
	TakeoverSlack time.Duration
	// Input and Register configure the followers of accepted jobs and of the register of workers.
	Input, Register follow.Settings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Workload: workload.DefaultSettings(),
		// Short relative to a worker's lease and to the shortest timeout of the scheduling decisions.
		MaxPlanInterval: 100 * time.Millisecond,
		// Tens of round trips between data centres, and longer than the pause of a host that has exhausted its CPU quota.
		StartTimeout: 250 * time.Millisecond, StopTimeout: 250 * time.Millisecond, HoldSlack: 400 * time.Millisecond,
		MaxConcurrentStarts: 1000,
		// Two reports arrive within the lease of a worker, and the platform's workers wait no longer.
		MaxReportInterval: 2 * time.Second,
		HoldRetryDelay:    150 * time.Millisecond,
		MaxStoreWait:      200 * time.Millisecond,
		// The hedging delay is ten times the store's usual response time; a slow store still responds within the timeout.
		Commit:           hedge.Settings{Delay: 80 * time.Millisecond, MaxCalls: 3, Timeout: 1500 * time.Millisecond},
		CommitRetryDelay: 30 * time.Millisecond,
		// Of the 24 connections to the store some are left for the renewals of the leader's lease, for callers and for repeated writes.
		MaxConcurrentCommits: 22,
		// Ten times the store's usual response time: rounds overlap only while the store is slow, since each of them collects the changes that
		// come meanwhile. Four of them use the time of an answer of 0.3 s.
		OverlapAfter:  50 * time.Millisecond,
		MaxRounds:     4,
		TakeoverSlack: time.Second,
		// Accepted jobs are also announced, so the pause only batches what the announcements have brought already.
		Input: follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, Pause: 50 * time.Millisecond, RetryDelay: 50 * time.Millisecond},
		// Workers renew their entries continually; the pause batches the changes into a few calls a second.
		Register: follow.Settings{
			// Some worker renews its entry within this time, so a watch that delivers no change for longer has failed.
			Wait: 500 * time.Millisecond, Slack: 400 * time.Millisecond, Pause: 300 * time.Millisecond, RetryDelay: 50 * time.Millisecond,
		},
	}
}
