package scheduler

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Settings are the times of a scheduler.
type Settings struct {
	Workload workload.Settings
	// Tick is the longest time between two plans of a pool.
	Tick time.Duration
	// Start, Stop and Hold bound the answer to an order; Hold is added to the wait that the order asks for.
	Start, Stop, Hold time.Duration
	// HoldRetry is the pause after a missing report; it grows to four times.
	HoldRetry time.Duration
	// Stored is how long a worker's next order waits at most for its ends to be stored.
	Stored time.Duration
	// Commit bounds one write; CommitRetry is the pause before it is tried again.
	Commit, CommitRetry time.Duration
	// Input and Register are the times of following accepted jobs and the register of workers.
	Input, Register follow.Settings
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		Workload: workload.DefaultSettings(),
		// Fine enough for the lapse of a lease and for the shortest patience of the decisions.
		Tick: 100 * time.Millisecond,
		// A hundred round trips between data centres.
		Start: 400 * time.Millisecond, Stop: 400 * time.Millisecond, Hold: 500 * time.Millisecond,
		HoldRetry: 150 * time.Millisecond,
		Stored:    200 * time.Millisecond,
		// A hundred times the store's usual answer.
		Commit: 500 * time.Millisecond, CommitRetry: 50 * time.Millisecond,
		Input: follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, Retry: 50 * time.Millisecond},
		// Workers renew their entries all the time; the pause gathers them into a few answers a second.
		Register: follow.Settings{
			Wait: 2 * time.Second, Slack: 600 * time.Millisecond, Pause: 300 * time.Millisecond, Retry: 50 * time.Millisecond,
		},
	}
}
