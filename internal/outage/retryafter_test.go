package outage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/outage"
)

// Load pattern: an outage of 6 s in which callers are refused. The time after which they may return must grow from 1 s to at most 4 s, and the
// callers of one host must be spread over it.
func TestTheTimeToReturnGrowsWithTheOutage(t *testing.T) {
	g := newGate(t)
	assert.Equal(t, g.RetryAfter(g.now), time.Duration(0), "without an outage")
	g.write(outage.Failed)
	began := g.now
	for _, c := range []struct {
		lasted time.Duration
		most   int
	}{{0, 1}, {time.Second, 1}, {1500 * time.Millisecond, 2}, {3 * time.Second, 3}, {3500 * time.Millisecond, 4}, {time.Minute, 4}} {
		counts := make(map[time.Duration]int)
		for range 120 {
			counts[g.RetryAfter(began.Add(c.lasted))]++
		}
		assert.Equal(t, len(counts), c.most, "after %v: %v", c.lasted, counts)
		for second := 1; second <= c.most; second++ {
			assert.Equal(t, counts[time.Duration(second)*time.Second], 120/c.most, "after %v", c.lasted)
		}
	}
	g.write(outage.Stored)
	assert.Equal(t, g.RetryAfter(g.now), time.Duration(0), "after the outage")
}
