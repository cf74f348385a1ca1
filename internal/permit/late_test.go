package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the use of permits that were given away by a write whose read-back found the old record: the write takes
// effect after the read-back, and another host uses the same permits.
func TestLateWriteAfterReadBack(t *testing.T) {
	inFleet(t, 2, 8, func(t *testing.T, f *fleet) {
		giver, taker := f.hosts[0], f.hosts[1]
		fill(t, f, giver, 6) // its floor of 2 and the unreserved half
		giver.late = 2 * time.Second
		giver.set(faultLate)
		_, before := f.record()
		f.drop(giver)
		within(t, 2*time.Second, "idle permits are returned", func() bool { return giver.lateWrites() > 0 })
		for range 50 { // over the read-back; the demand is back, so that the next decision keeps the permits
			_, err := f.acquire(giver, 1)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		_, after := f.record()
		assert.Equal(t, after, before, "the write took effect too early for this test")
		assert.Equal(t, len(f.runs), 2, "only the floor is usable while the write may still take effect")
		within(t, 5*time.Second, "the late write takes effect", func() bool { return f.granted(giver) == 2 })
		fill(t, f, taker, 6)
	})
}

// Guards against floors that each host writes for itself, so that a start with many teams takes the whole budget.

// Guards against demand that is met in several small steps although the waiting slots are known.
func TestReportedDemandIsTakenInOneWrite(t *testing.T) {
	inFleet(t, 3, 90, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second) // late watches
		h := f.hosts[0]
		_, before := f.record()
		h.keeper.SetWaiting(team, 55)
		started, err := f.acquire(h, 20) // more than its floor of 15
		assert.NilError(t, err)
		assert.Assert(t, !started)
		within(t, time.Second, "the demand is met", func() bool { return f.granted(h) >= 55 })
		_, after := f.record()
		assert.Equal(t, after, before+1)
	})
}
