package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Settings are the times of a scheduler.
type Settings struct {
	Workload workload.Settings
	// MaxPlanInterval is the longest time between two plans of a pool.
	MaxPlanInterval time.Duration
	// Start, Stop and Hold bound the answer to an order; Hold is added to the wait that the order asks for.
	Start, Stop, Hold time.Duration
	// Advice bounds the adviser's answer, which takes time for each worker and for the questions before.
	Advice time.Duration
	// HoldRetry is the pause after a missing report; it grows to four times.
	HoldRetry time.Duration
	// MaxStoreWait is how long a worker's next order waits at most for its ends to be stored.
	MaxStoreWait time.Duration
	// Commit bounds one attempt at a write; CommitRetry is the pause before the next.
	Commit      hedge.Settings
	CommitRetry time.Duration
	// Input and Register are the times of following accepted jobs and the register of workers.
	Input, Register follow.Settings
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		Workload: workload.DefaultSettings(),
		// Fine enough for the lapse of a lease and for the shortest patience of the decisions.
		MaxPlanInterval: 100 * time.Millisecond,
		// Tens of round trips between data centres, and longer than a machine stands still that has used up its processor share.
		Start: 250 * time.Millisecond, Stop: 250 * time.Millisecond, Hold: 400 * time.Millisecond,
		Advice:       2 * time.Second,
		HoldRetry:    150 * time.Millisecond,
		MaxStoreWait: 200 * time.Millisecond,
		// Ten of the store's usual answers; a slow store answers within the limit.
		Commit:      hedge.Settings{Delay: 80 * time.Millisecond, MaxCalls: 3, Timeout: 1500 * time.Millisecond},
		CommitRetry: 30 * time.Millisecond,
		Input:       follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, RetryDelay: 50 * time.Millisecond},
		// Workers renew their entries all the time; the pause gathers them into a few answers a second.
		Register: follow.Settings{
			// Some worker renews its entry within this time; a watch that has heard of none is silent.
			Wait: 500 * time.Millisecond, Slack: 400 * time.Millisecond, Pause: 300 * time.Millisecond, RetryDelay: 50 * time.Millisecond,
		},
	}
}
