package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against the use of permits after a write that gives them away was sent, because it may already have taken effect.
func TestPendingWriteLowersUsablePermits(t *testing.T) {
	h := &holding{
		entry: "entry-1", incarnation: 1, ceiling: 4, quota: 4, wake: make(chan struct{}, 1), settings: DefaultSettings(),
		record: jaybarrow.Allotment{Limit: 4, Grants: map[jaybarrow.EntryID]jaybarrow.Grant{"entry-1": {Incarnation: 1, Slots: 4}}},
	}
	now := time.Unix(1_800_000_000, 0)
	h.pending = h.pending.with(1, "first")
	assert.Assert(t, h.tryAcquire(now, 1))
	assert.Assert(t, !h.tryAcquire(now, 1), "a permit was used that a pending write gives away")
	h.pending = h.pending.with(3, "second")
	assert.Assert(t, !h.tryAcquire(now, 1), "a later pending write raised the bound of an earlier one")
}
