package leader

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/follow"
)

// Settings are the times of an election.
type Settings struct {
	Lease         time.Duration // time to live of the leader's record
	RenewInterval time.Duration
	CallTimeout   time.Duration // for one call to the store
	Jitter        time.Duration // largest random wait before a campaign
	// CapacityDelay is the wait of an entry host with one core before a campaign; one with less waits longer in proportion, so that
	// the scheduler runs where there is processor time for it.
	CapacityDelay time.Duration
	Capacity      float64 // cores of this entry host
	// UptimeDelay is the wait before a campaign of a process that has run for LongUptime; a younger one waits less in proportion. A
	// rolling restart takes each process once, so the one that started last leads the longest.
	UptimeDelay, LongUptime time.Duration
	ResignPause             time.Duration // after giving the lead away
	Follow                  follow.Settings
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		// The shortest lease that the store grants: it bears two lost renewals, and a successor waits for no longer.
		Lease:         time.Second,
		RenewInterval: 250 * time.Millisecond,
		// A hundred times the store's usual answer.
		CallTimeout: 600 * time.Millisecond,
		// A few round trips to the store, so that most candidates see the first one's write before they try.
		Jitter: 15 * time.Millisecond,
		// Hosts of 0.2 and 0.4 cores are then a few round trips to the store apart.
		CapacityDelay: 20 * time.Millisecond, Capacity: 1,
		// More than the handicaps of two usual hosts are apart; a rolling restart of a dozen hosts takes half a minute.
		UptimeDelay: 60 * time.Millisecond, LongUptime: 30 * time.Second,
		ResignPause: 3 * time.Second,
		Follow:      follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, RetryDelay: 100 * time.Millisecond},
	}
}
