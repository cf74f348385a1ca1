package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/budget"
)

// Load pattern: a turn that fills the leader's processor. What it sent while its timers were late is what it carries; a processor with room,
// one short delay and one that is kept by other work say nothing about that.
func TestTheThroughputIsWhatAFullProcessorSends(t *testing.T) {
	cases := []struct {
		name   string
		late   []time.Duration // in turn
		orders int64           // of each sample
		want   float64
	}{
		{"room for more", []time.Duration{0, time.Millisecond}, 200, 0},
		{"one pause", []time.Duration{0, 0, 0, 0, 200 * time.Millisecond}, 200, 0},
		{"full", []time.Duration{60 * time.Millisecond}, 160, 1000},
		{"full most of the time", []time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 0}, 140, 1000},
		{"a takeover", []time.Duration{60 * time.Millisecond}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p budget.Throughput
			for n := range 30 {
				late := c.late[n%len(c.late)]
				p.Sample(late, c.orders, budget.ThroughputInterval+late)
			}
			got := p.PerSecond()
			assert.Assert(t, got >= 0.9*c.want && got <= 1.1*c.want, "%v", got)
		})
	}
}
