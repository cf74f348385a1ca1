package drain_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

var now = time.UnixMilli(1_000_000)

func poolOf(budget int, hosts ...drain.Host) drain.View {
	return drain.View{Pool: jaybarrow.Pool{ID: "p", MaxUnavailable: budget}, Hosts: hosts}
}

func host(id, rack string, down bool) drain.Host {
	return drain.Host{ID: jaybarrow.HostID(id), Rack: jaybarrow.RackID(rack), DataCentre: "dc", Down: down}
}

func draining(ids ...string) jaybarrow.PoolDrains {
	record := jaybarrow.PoolDrains{Pool: "p", Drains: map[jaybarrow.HostID]jaybarrow.Drain{}}
	for _, id := range ids {
		record.Drains[jaybarrow.HostID(id)] = jaybarrow.Drain{Host: jaybarrow.HostID(id), Phase: jaybarrow.PhaseDraining, Wave: true}
	}
	return record
}

// Guards against a budget that ignores hosts that have failed without a drain, or that counts a failed host twice.
func TestBegin(t *testing.T) {
	cases := []struct {
		name   string
		record jaybarrow.PoolDrains
		view   drain.View
		host   jaybarrow.HostID
		kind   jaybarrow.ErrorKind
	}{
		{"first", draining(), poolOf(1, host("a", "r1", false), host("b", "r1", false)), "a", ""},
		{"budget spent by a drain", draining("b"), poolOf(1, host("a", "r1", false), host("b", "r1", false)), "a", jaybarrow.KindBudgetSpent},
		{"budget spent by a failure", draining(), poolOf(1, host("a", "r1", false), host("b", "r1", true)), "a", jaybarrow.KindBudgetSpent},
		{"the failed host itself drains", draining(), poolOf(1, host("a", "r1", true), host("b", "r1", false)), "a", ""},
		{"a host that drains and has failed counts once", draining("b"), poolOf(2, host("a", "r1", false), host("b", "r1", true)), "a", ""},
		{"already draining", draining("a"), poolOf(2, host("a", "r1", false)), "a", jaybarrow.KindConflict},
		{"host of another pool", draining(), poolOf(2, host("a", "r1", false)), "z", jaybarrow.KindNotFound},
		{"no budget at all", draining(), poolOf(0, host("a", "r1", false)), "a", jaybarrow.KindBudgetSpent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := drain.Begin(c.record, c.view, jaybarrow.Drain{Host: c.host, Purpose: jaybarrow.PurposeReboot}, now)
			if c.kind != "" {
				assert.Assert(t, jaybarrow.IsKind(err, c.kind), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, next.Drains[c.host].Phase, jaybarrow.PhaseDraining)
		})
	}
}

// Guards against a wave that drains two racks at once, stalls because of a failed host, or does not begin with a rack that has
// hosts down.
func TestNextOfWave(t *testing.T) {
	a1, a2, b1 := host("a1", "ra", false), host("a2", "ra", false), host("b1", "rb", false)
	pending := func(record jaybarrow.PoolDrains, ids ...jaybarrow.HostID) jaybarrow.PoolDrains {
		record.Pending = ids
		return record
	}
	cases := []struct {
		name   string
		record jaybarrow.PoolDrains
		view   drain.View
		want   jaybarrow.HostID
	}{
		{"first rack", pending(draining(), "a1", "a2", "b1"), poolOf(2, a1, a2, b1), "a1"},
		{"same rack", pending(draining("a1"), "a2", "b1"), poolOf(2, a1, a2, b1), "a2"},
		{"not a second rack", pending(draining("a1", "a2"), "b1"), poolOf(3, a1, a2, b1), ""},
		{"budget spent", pending(draining("a1"), "a2", "b1"), poolOf(1, a1, a2, b1), ""},
		{"rack with a host down first", pending(draining(), "a1", "a2", "b1"), poolOf(2, a1, a2, b1, host("b2", "rb", true)), "b1"},
		{"failed host does not stall the wave", pending(draining(), "a1"), poolOf(2, a1, host("c1", "rc", true)), "a1"},
		{"only pending hosts", pending(draining(), "b1"), poolOf(2, a1, a2, b1), "b1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := drain.NextOfWave(c.record, c.view, "dc")
			assert.Equal(t, got, c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}

// Guards against a wave that leaves out a host, reboots one twice, exceeds the budget or never ends while hosts fail and return.
func TestWaveReachesEveryHostWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 4).Draw(t, "budget")
		view := poolOf(budget)
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			view.Hosts = append(view.Hosts, host(fmt.Sprintf("h%02d", i), fmt.Sprintf("r%d", i/4), false))
		}
		record, err := drain.BeginWave(jaybarrow.PoolDrains{}, view, now)
		assert.NilError(t, err)
		rebooted := make(map[jaybarrow.HostID]int)
		for step := 0; record.WaveEndedMs == 0; step++ {
			if step > 500 {
				t.Fatalf("the wave does not end: %+v", record)
			}
			failing := rapid.IntRange(0, len(view.Hosts)-1).Draw(t, "failing")
			if step < 50 {
				view.Hosts[failing].Down = !view.Hosts[failing].Down
			} else {
				for i := range view.Hosts {
					view.Hosts[i].Down = false
				}
			}
			if id, ok := drain.NextOfWave(record, view, "dc"); ok {
				before := drain.Unavailable(record, view, id)
				record, err = drain.Begin(record, view, jaybarrow.Drain{Host: id, Purpose: jaybarrow.PurposeReboot, Wave: true}, now)
				if err != nil || before+1 > budget {
					t.Fatalf("began to drain %s with %d unavailable: %v", id, before, err)
				}
				continue
			}
			for id, d := range record.Drains {
				rebooted[id]++
				record, err = drain.Remove(record, d, now)
				assert.NilError(t, err)
				break
			}
		}
		for _, h := range view.Hosts {
			if rebooted[h.ID] != 1 {
				t.Fatalf("host %s was rebooted %d times", h.ID, rebooted[h.ID])
			}
		}
	})
}

// Guards against a driver with a stale copy of the record that removes or advances a later drain of the same host.
func TestStaleCopyDoesNotChangeALaterDrain(t *testing.T) {
	view := poolOf(1, host("a", "r1", false))
	first, err := drain.Begin(draining(), view, jaybarrow.Drain{ID: "first", Host: "a", Purpose: jaybarrow.PurposeHold}, now)
	assert.NilError(t, err)
	seen := first.Drains["a"]
	ended, err := drain.Remove(first, seen, now)
	assert.NilError(t, err)
	second, err := drain.Begin(ended, view, jaybarrow.Drain{ID: "second", Host: "a", Purpose: jaybarrow.PurposeReboot}, now)
	assert.NilError(t, err)
	_, err = drain.Remove(second, seen, now)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
	_, err = drain.Advance(second, seen, jaybarrow.PhaseDrained, now)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
}
