package leader

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/follow"
)

// Settings are the timeouts and delays of the election.
type Settings struct {
	Lease         time.Duration // time to live of the leader's lease
	RenewInterval time.Duration // between two renewals of the lease
	CallTimeout   time.Duration // of one call to the store
	Jitter        time.Duration // largest random wait before a campaign
	// CapacityDelay is the delay before a campaign of an entry host with one core; it is divided by the number of cores, so that the
	// scheduler tends to run where it has the most processor time.
	CapacityDelay time.Duration
	Capacity      float64 // cores of this entry host
	// LinkDelay is the delay before a campaign of an entry host with a link of 1 Mbit/s; it is divided by the speed of the link, since a
	// new leader reads all stored jobs through it.
	LinkDelay time.Duration
	Link      jaybarrow.MegabitsPerSecond // speed of the link of this entry host; without a delay when it is 0
	// UptimeDelay is the delay before a campaign of a process that has run for LongUptime; a younger one waits proportionally less.
	// A rolling restart restarts each process once, so the process that started last can lead the longest.
	UptimeDelay, LongUptime time.Duration
	// MemoryDelay is added to the delay of an entry host with little more memory than a leader that was short of it lately, within
	// MemoryLookback.
	MemoryDelay, MemoryLookback time.Duration
	MemoryMb                    int64         // of this entry host; 0 when it is unknown
	ResignPause                 time.Duration // before the next campaign after a resignation
	// ChallengeDelay is how long an entry host waits before it challenges a leader, and ChallengeInterval the time between two challenges,
	// which doubles up to MaxChallengeInterval with each term that the entry host resigned itself.
	ChallengeDelay, ChallengeInterval, MaxChallengeInterval time.Duration
	Follow                                                  follow.Settings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		// The shortest lease that the store grants. It survives two lost renewals, and it bounds how long a successor waits.
		Lease:         time.Second,
		RenewInterval: 250 * time.Millisecond,
		// A hundred times the store's usual response time.
		CallTimeout: 600 * time.Millisecond,
		// A few round trips to the store, so that most candidates see the first candidate's write before they try.
		Jitter: 15 * time.Millisecond,
		// The delays of hosts with 0.2 and 0.4 cores then differ by a few round trips to the store.
		CapacityDelay: 20 * time.Millisecond, Capacity: 1,
		// At 10 Mbit/s 0.4 s; hosts that start together do so within 0.3 s.
		LinkDelay: 4 * time.Second,
		// More than the capacity delays of two usual hosts differ by; a rolling restart of a dozen hosts takes half a minute.
		UptimeDelay: 60 * time.Millisecond, LongUptime: 30 * time.Second,
		// More than the delays of usual hosts differ by.
		MemoryDelay: 300 * time.Millisecond, MemoryLookback: time.Minute,
		ResignPause:    3 * time.Second,
		ChallengeDelay: 200 * time.Millisecond, ChallengeInterval: 10 * time.Second, MaxChallengeInterval: 10 * time.Minute,
		Follow: follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, RetryDelay: 100 * time.Millisecond},
	}
}

const (
	// minCapacity and minLink are the cores and the speed below which the delay does not grow any further.
	minCapacity                             = 0.1
	minLink     jaybarrow.MegabitsPerSecond = 5
)

// campaignDelay returns the delay before a campaign of a process that has run for uptime.
func (s Settings) campaignDelay(uptime time.Duration) time.Duration {
	delay := float64(s.CapacityDelay)/max(minCapacity, s.Capacity) + float64(s.UptimeDelay)*min(1, float64(uptime)/float64(s.LongUptime))
	if s.Link > 0 {
		delay += float64(s.LinkDelay) / float64(max(minLink, s.Link))
	}
	return time.Duration(delay)
}
