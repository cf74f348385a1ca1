package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two hosts using the same permits: the read-back of a write that gives permits away finds the old record, and the
// write takes effect after it.
func TestLateWriteAfterReadBack(t *testing.T) {
	withFleet(t, 2, 8, func(t *testing.T, f *fleet) {
		giver, taker := f.hosts[0], f.hosts[1]
		fill(t, f, giver, 6) // its floor of 2 and the 4 permits outside the floors
		giver.lateBy = 2 * time.Second
		giver.injectFault(faultLateWrite)
		_, before := f.record()
		f.releaseAll(giver)
		eventually(t, 2*time.Second, "idle permits are returned", func() bool { return giver.lateWrites() > 0 })
		for range 50 { // until after the read-back; the demand is back, so that the next decision keeps the permits
			_, err := f.acquire(giver, 1)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		_, after := f.record()
		assert.Equal(t, after, before, "the late write took effect before the end of the test's load")
		assert.Equal(t, len(f.tasks), 2, "only the floor is usable while the write may still take effect")
		eventually(t, 5*time.Second, "the late write takes effect", func() bool { return f.granted(giver) == 2 })
		fill(t, f, taker, 6)
	})
}

// Guards against meeting demand in several small writes although the number of waiting slots is known.
func TestReportedDemandIsTakenInOneWrite(t *testing.T) {
	withFleet(t, 3, 90, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second) // until the hosts with slow watches know the fleet
		h := f.hosts[0]
		_, before := f.record()
		h.keeper.SetWaiting(team, 55)
		started, err := f.acquire(h, 20) // more than its floor of 15
		assert.NilError(t, err)
		assert.Assert(t, !started)
		eventually(t, time.Second, "the demand is met", func() bool { return f.granted(h) >= 55 })
		_, after := f.record()
		assert.Equal(t, after, before+1)
	})
}
