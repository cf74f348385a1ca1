package jobhost

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// slowLogInterval is the least time between two lines on whether the store is slow.
const slowLogInterval = 5 * time.Second

// commitTimes holds how long the store lately takes for a write, and logs when repeated writes begin and cease to be delayed for it. It is safe
// for concurrent use.
type commitTimes struct {
	clock  jaybarrow.Clock
	log    zerolog.Logger
	hedged hedge.Settings // of the writes of progress
	times  *latency.Estimator

	lock     sync.Mutex // guards the fields below
	slow     bool       // as last logged
	loggedAt time.Time
}

func newCommitTimes(clock jaybarrow.Clock, log zerolog.Logger, hedged hedge.Settings) *commitTimes {
	return &commitTimes{clock: clock, log: log, hedged: hedged, times: latency.New()}
}

// usual returns the time within which most recent writes were answered; 0 when there were none lately.
func (c *commitTimes) usual() time.Duration { return c.times.Usual(c.clock.Now()) }

// repeatDelay returns the time after which an unanswered write of progress is repeated now.
func (c *commitTimes) repeatDelay() time.Duration { return c.hedged.Following(c.usual()).Delay }

// note is called after each answer to a write.
func (c *commitTimes) note() {
	now := c.clock.Now()
	usual, delay := c.usual(), c.repeatDelay()
	c.lock.Lock()
	slow := delay > c.hedged.Delay
	due := slow != c.slow && (c.loggedAt.IsZero() || now.Sub(c.loggedAt) >= slowLogInterval)
	if due {
		c.slow, c.loggedAt = slow, now
	}
	c.lock.Unlock()
	switch {
	case due && slow:
		c.log.Warn().Int64("commitMs", usual.Milliseconds()).Int64("repeatMs", delay.Milliseconds()).Msg("the store is slow; writes are repeated later")
	case due:
		c.log.Info().Int64("commitMs", usual.Milliseconds()).Msg("the store answers writes at its usual speed again")
	}
}
