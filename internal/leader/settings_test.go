package leader

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a leader that takes seconds to read the stored jobs although an entry host with a faster link was there. Entry hosts
// that start together do so within 0.3 s.
func TestAnEntryHostWithAFastLinkCampaignsFirst(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	delay := func(cores float64, link jaybarrow.MegabitsPerSecond, uptime time.Duration) time.Duration {
		s := DefaultSettings()
		s.Capacity, s.Link = cores, link
		return s.campaignDelay(uptime)
	}
	slowest := delay(0.8, 200, 0) + DefaultSettings().Jitter + startSpread
	assert.Assert(t, slowest < delay(0.192, 10, 0), "all hosts start together")
	assert.Assert(t, delay(0.8, 200, time.Hour)+DefaultSettings().Jitter < delay(0.192, 10, 0), "the host with the slow link started last")
	assert.Equal(t, delay(0.4, 0, 0), delay(0.4, jaybarrow.MegabitsPerSecond(math.Inf(1)), 0), "a link of unknown speed causes no delay")
	assert.Assert(t, delay(0.4, 0.001, time.Hour) < time.Second, "the delay is bounded")
}

// Guards against a lead that changes between hosts of about the same size, each change of which interrupts scheduling.
func TestALeaderYieldsOnlyToAMuchFasterHost(t *testing.T) {
	for name, c := range map[string]struct {
		holderMs, challengerMs int64
		want                   bool
	}{
		"slow link":            {504, 45, true},
		"same size":            {504, 504, false},
		"faster":               {45, 504, false},
		"small difference":     {150, 45, false},
		"small ratio":          {1000, 700, false},
		"older build":          {0, 45, false},
		"both without a delay": {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Holder{CampaignDelayMs: c.holderMs}.yieldsTo(c.challengerMs), c.want)
		})
	}
}
