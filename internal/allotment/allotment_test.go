package allotment_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

func entry(i int) jaybarrow.EntryID { return jaybarrow.EntryID(fmt.Sprintf("entry-%d", i)) }

// drawState returns a possible record, deciding host and fleet, including lowered limits, ended hosts, old incarnations and unmet
// demand of hosts that have left.
func drawState(t *rapid.T) (jaybarrow.Allotment, allotment.Self, allotment.Fleet) {
	slots := func(most int, label string) jaybarrow.Slots {
		return jaybarrow.Slots(rapid.IntRange(0, most).Draw(t, label))
	}
	record := jaybarrow.Allotment{
		Team: "trail", Limit: slots(20, "limit"), Grants: map[jaybarrow.EntryID]jaybarrow.Grant{},
		UnmetDemand: map[jaybarrow.EntryID]jaybarrow.Slots{}, LargestTask: map[jaybarrow.EntryID]jaybarrow.Slots{},
	}
	fleet := allotment.Fleet{Live: map[jaybarrow.EntryID]jaybarrow.Incarnation{}, Ended: map[jaybarrow.EntryID]bool{}}
	for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		if n := slots(8, "grant"); n > 0 {
			record.Grants[entry(i)] = jaybarrow.Grant{Incarnation: jaybarrow.Incarnation(rapid.IntRange(4, 5).Draw(t, "incarnation")), Slots: n}
		}
		if n := slots(3, "want"); n > 0 {
			record.UnmetDemand[entry(i)], record.LargestTask[entry(i)] = n, slots(4, "unit")
		}
		if rapid.Bool().Draw(t, "live") || i == 0 {
			fleet.Live[entry(i)] = 5
		} else {
			fleet.Ended[entry(i)] = rapid.Bool().Draw(t, "ended")
		}
	}
	self := allotment.Self{
		Entry: entry(0), Incarnation: 5, Demand: slots(6, "demand"), LargestWaiting: 1, RecentlyGained: rapid.Bool().Draw(t, "turn"),
		OlderTasksEnded: rapid.Bool().Draw(t, "settled"), Leaving: rapid.Bool().Draw(t, "leaving"),
	}
	if grant := record.Grants[entry(0)]; grant.Incarnation == 5 {
		self.Used = slots(int(grant.Slots), "used")
	}
	self.RecentPeak = self.Used + slots(3, "peak")
	return record, self, fleet
}

// Guards against a change that raises the sum of the grants above the limit, lowers the grant of another host that has not ended,
// gives away permits in use, or is followed by endless further changes of the same host.
func TestDecideKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record, self, fleet := drawState(t)
		for range 6 {
			d := allotment.Decide(record, self, fleet)
			if !d.Write {
				return
			}
			before, after := allotment.Sum(record), allotment.Sum(d.Next)
			assert.Assert(t, after <= max(record.Limit, before), "grants sum to %d after %d under limit %d", after, before, record.Limit)
			assert.Assert(t, d.Next.Grants[self.Entry].Slots >= self.Used, "%+v", d.Next)
			for id, old := range record.Grants {
				lowered := d.Next.Grants[id].Slots < old.Slots
				assert.Assert(t, !lowered || id == self.Entry || fleet.Ended[id], "grant of %s lowered: %+v", id, d.Next)
			}
			record = d.Next
		}
		t.Fatalf("the record still changes after 6 writes: %+v", record)
	})
}

// Guards against floors that exceed half of the limit, or that withhold the permits of a small limit.
func TestFloors(t *testing.T) {
	live := map[jaybarrow.EntryID]jaybarrow.Incarnation{}
	for i := range 9 {
		live[entry(i)] = 1
	}
	for limit, want := range map[jaybarrow.Slots]jaybarrow.Slots{1: 0, 8: 0, 9: 4, 20: 10, 90: 45, 101: 50} {
		var sum jaybarrow.Slots
		for id := range live {
			sum += allotment.Floor("trail", limit, live, id)
		}
		assert.Equal(t, sum, want, "limit %d", limit)
	}
	assert.Equal(t, allotment.Floor("trail", 90, live, "entry-unknown"), jaybarrow.Slots(0))
}

// Guards against quotas under a lowered limit that change while holders return permits.
func TestQuotasAreStableWhileHoldersReturnPermits(t *testing.T) {
	grants := func(a, b, c jaybarrow.Slots) jaybarrow.Allotment {
		return jaybarrow.Allotment{Limit: 20, Grants: map[jaybarrow.EntryID]jaybarrow.Grant{"a": {Slots: a}, "b": {Slots: b}, "c": {Slots: c}}}
	}
	assert.DeepEqual(t, allotment.HoldersAboveQuota(grants(30, 30, 2)), []jaybarrow.EntryID{"a", "b"})
	assert.DeepEqual(t, allotment.HoldersAboveQuota(grants(9, 30, 2)), []jaybarrow.EntryID{"b"})
	assert.Equal(t, allotment.Quota(grants(9, 30, 2), "b"), jaybarrow.Slots(9))
	assert.Assert(t, allotment.InForce(grants(9, 9, 2)))
	assert.Equal(t, len(allotment.HoldersAboveQuota(grants(9, 9, 2))), 0)
}

// Guards against floors that each host writes for itself, so that a start with many teams uses up the whole write budget, and
// against a leaving host, or one without a floor of its own, that grants the floors again.
func TestFirstFloorsAreOneWrite(t *testing.T) {
	fleet := allotment.Fleet{Live: map[jaybarrow.EntryID]jaybarrow.Incarnation{}}
	for i := range 9 {
		fleet.Live[entry(i)] = 5
	}
	for _, limit := range []jaybarrow.Slots{9, 90, 101} {
		record := jaybarrow.Allotment{Team: "trail", Limit: limit}
		for id := range fleet.Live {
			self := allotment.Self{Entry: id, Incarnation: 5, OlderTasksEnded: true}
			d := allotment.Decide(record, self, fleet)
			floor := allotment.Floor("trail", limit, fleet.Live, id)
			assert.Equal(t, d.Write, floor > 0)
			if floor > 0 {
				assert.Equal(t, allotment.Sum(d.Next), limit/2)
			}
			for other := range fleet.Live {
				assert.Assert(t, floor == 0 || d.Next.Grants[other].Slots == allotment.Floor("trail", limit, fleet.Live, other))
			}
			self.Leaving = true
			assert.Assert(t, !allotment.Decide(record, self, fleet).Write)
		}
	}
}
