package task

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a start-before time that is later in the worker's clock than the local time it was converted from, which
// a long transit of a reading or a difference in clock rates could cause.
func TestConvertedTimeIsNeverLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch := time.Now()
		rate := 1 + rapid.Float64Range(-jaybarrow.ClockRateError, jaybarrow.ClockRateError).Draw(t, "rate")
		uptime := float64(rapid.IntRange(0, 1_000_000).Draw(t, "uptimeMs"))
		workerClock := func(local time.Time) float64 {
			return uptime + rate*float64(local.Sub(epoch))/float64(time.Millisecond)
		}
		var reading clockReading
		now := epoch
		for range rapid.IntRange(1, 8).Draw(t, "readings") {
			read := now.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "gapMs")) * time.Millisecond)
			now = read.Add(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "transitMs")) * time.Millisecond)
			reading.observe("boot", jaybarrow.WorkerClock(workerClock(read)), now)
		}
		local := now.Add(time.Duration(rapid.IntRange(-1_000, 20_000).Draw(t, "startInMs")) * time.Millisecond)
		converted, _, ok := reading.workerTime(now, local)
		assert.Assert(t, ok)
		assert.Assert(t, float64(converted) <= workerClock(local)+1e-6, "%d is later than %f", converted, workerClock(local))
	})
}

// Guards against a lease end that leaves out a renewal whose response was lost.
func TestLeaseEndCountsRenewalsSent(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name    string
		renewed time.Time
		want    time.Time
	}{
		{"no renewal", time.Time{}, jaybarrow.LeaseEnd(start)},
		{"renewal before the start-before time", start.Add(-time.Second), jaybarrow.LeaseEnd(start)},
		{"renewal after the start-before time", start.Add(time.Minute), jaybarrow.LeaseEnd(start.Add(time.Minute))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &attempt{task: jaybarrow.Task{StartBy: start}}
			if !c.renewed.IsZero() {
				assert.Assert(t, a.recordRenewal(c.renewed))
			}
			assert.Equal(t, a.leaseEnd(jaybarrow.TaskLease), c.want)
		})
	}
}
