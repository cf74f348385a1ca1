package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
)

var now = time.Unix(1_000_000, 0)

const limit = 5 * time.Second

func state(id jaybarrow.EntryID, dc jaybarrow.DataCentreID, reportedAgo, confirmedAgo time.Duration, newest jaybarrow.Revision) member.State {
	s := member.State{ID: id, DataCentre: dc, Incarnation: 1, Sequence: 1, Ready: true, ReportedAt: now.Add(-reportedAgo), Newest: newest}
	if confirmedAgo >= 0 {
		s.ConfirmedAt = now.Add(-confirmedAgo)
	}
	return s
}

// Guards against serving a withdrawn key while cut off from the store, and against refusing keyed work while the store is
// down everywhere, so that no key can be withdrawn.
func TestFresh(t *testing.T) {
	const never = -1 * time.Second
	all := func() []jaybarrow.DataCentreID { return []jaybarrow.DataCentreID{"a", "b", "c"} }
	cases := []struct {
		name   string
		local  member.LocalConfiguration
		others []member.State
		want   bool
	}{
		{"own store contact", member.LocalConfiguration{Applied: 7, ConfirmedAt: now.Add(-time.Second)}, nil, true},
		{"own contact too old, no peer", member.LocalConfiguration{Applied: 7, ConfirmedAt: now.Add(-6 * time.Second)}, nil, false},
		{"peer confirms the same revision", member.LocalConfiguration{Applied: 7}, []member.State{state("b1", "b", 0, time.Second, 7)}, true},
		{"peer has a newer record", member.LocalConfiguration{Applied: 7}, []member.State{state("b1", "b", 0, time.Second, 8)}, false},
		{"store down everywhere", member.LocalConfiguration{Applied: 7}, []member.State{
			state("b1", "b", 0, time.Minute, 7), state("c1", "c", 0, never, 7),
		}, true},
		{"store down, one data centre not reached", member.LocalConfiguration{Applied: 7}, []member.State{state("b1", "b", 0, time.Minute, 7)}, false},
		{"confirming peer no longer live", member.LocalConfiguration{Applied: 7}, []member.State{state("b1", "b", time.Minute, time.Second, 7)}, false},
		{"cut off just after the peers had store contact", member.LocalConfiguration{Applied: 7, ConfirmedAt: now.Add(-6 * time.Second)}, []member.State{
			state("b1", "b", 5*time.Second, 6*time.Second, 7), state("c1", "c", 5*time.Second, 6*time.Second, 7),
		}, false},
		{"store lost everywhere recently", member.LocalConfiguration{Applied: 7, ConfirmedAt: now.Add(-6 * time.Second)}, []member.State{
			state("b1", "b", time.Second, 6*time.Second, 7), state("c1", "c", 5*time.Second, 6*time.Second, 7),
		}, true},
		{"store lost everywhere, no report from one data centre since", member.LocalConfiguration{Applied: 7, ConfirmedAt: now.Add(-9 * time.Second)}, []member.State{
			state("b1", "b", time.Second, 9*time.Second, 7), state("c1", "c", 8*time.Second, 9*time.Second, 7),
		}, false},
		{"no recent report from one peer without store contact", member.LocalConfiguration{Applied: 7}, []member.State{
			state("b1", "b", 9*time.Second, time.Minute, 7), state("c1", "c", 0, time.Minute, 7),
		}, false},
		{"no configuration at all", member.LocalConfiguration{}, []member.State{state("b1", "b", 0, never, 0), state("c1", "c", 0, never, 0)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := member.New("a1", "a", member.DefaultTimeouts, nil)
			for _, s := range c.others {
				m.Observe(s)
			}
			assert.Equal(t, m.Fresh(now, c.local, limit, all), c.want)
		})
	}
}

// Guards against a delayed or relayed older state that replaces a newer one, for example a leaving one.
func TestObserveTakesOnlyNewerStates(t *testing.T) {
	m := member.New("a1", "a", member.DefaultTimeouts, nil)
	leaving := state("a2", "a", 0, 0, 1)
	leaving.Sequence, leaving.Leaving = 5, true
	assert.Assert(t, m.Observe(leaving))
	older := state("a2", "a", 0, 0, 1)
	older.Sequence = 4
	assert.Assert(t, !m.Observe(older))
	assert.Equal(t, len(m.LiveStates(now)), 0)
	restarted := state("a2", "a", 0, 0, 1)
	restarted.Incarnation = 2
	assert.Assert(t, m.Observe(restarted))
	assert.Equal(t, len(m.LiveStates(now)), 1)
}

// Guards against memory that grows with each replaced entry host, and against a sorted copy that misses a change.
func TestMembersWithoutHeartbeatExpire(t *testing.T) {
	m := member.New("a1", "a", member.DefaultTimeouts, nil)
	m.Observe(state("a2", "a", 2*time.Hour, 0, 1))
	m.Observe(state("a3", "a", 0, 0, 1))
	assert.Equal(t, len(m.Known()), 2)
	m.Expire(now)
	assert.Equal(t, len(m.Known()), 1)
	m.Observe(state("a4", "a", 0, 0, 1))
	assert.Equal(t, len(m.Known()), 2)
}

// Guards against a pool owner that sends no heartbeat or is not ready.
func TestOwnerIsLiveAndReady(t *testing.T) {
	m := member.New("a1", "a", member.DefaultTimeouts, nil)
	timedOut := state("a2", "a", 4*time.Second, 0, 1)
	unready := state("a3", "a", 0, 0, 1)
	unready.Ready = false
	m.Observe(timedOut)
	m.Observe(unready)
	owner, ok := m.Owner(now, "pool", "a", true, nil)
	assert.Assert(t, ok)
	assert.Equal(t, owner, jaybarrow.EntryID("a1"))
	_, ok = m.Owner(now, "pool", "a", false, nil)
	assert.Assert(t, !ok)
}
