package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

var ctx = context.Background()

// lossy is a store whose next writes lose their answers, before or after they took effect.
type lossy struct {
	*store.Core
	drop   int    // answers to lose
	apply  bool   // whether a write with a lost answer takes effect
	after  func() // runs after a lost write, before its outcome is read back
	stale  int    // reads after a lost write that are answered from pastBy revisions ago
	pastBy jaybarrow.Revision
	behind bool // whether a write was lost
	writes atomic.Int64
}

func (l *lossy) lose(write func() (jaybarrow.Revision, error)) (jaybarrow.Revision, error) {
	l.writes.Add(1)
	if l.drop == 0 {
		return write()
	}
	l.drop--
	if l.apply {
		_, _ = write()
	}
	if l.after != nil {
		l.after()
	}
	l.behind = true
	return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the answer was lost")
}

// Get reads, from before the last change while stale reads are left.
func (l *lossy) Get(c context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if !l.behind || l.stale == 0 {
		return l.Core.Get(c, key)
	}
	l.stale--
	past, _ := l.Core.Past(l.pastBy, func(k jaybarrow.Key) bool { return k == key })
	return past[0], nil
}

func (l *lossy) CompareAndSwap(c context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	return l.lose(func() (jaybarrow.Revision, error) { return l.Core.CompareAndSwap(c, key, previous, value, lease) })
}

func (l *lossy) Delete(c context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	return l.lose(func() (jaybarrow.Revision, error) { return l.Core.Delete(c, key, previous) })
}

// instant is a clock on which no wait takes time.
type instant struct{ jaybarrow.SystemClock }

func (instant) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func newStore() (*lossy, *fleet.Records) {
	l := &lossy{Core: store.NewCore(jaybarrow.SystemClock{})}
	return l, fleet.NewRecords(instant{}, l)
}

func seed(t *testing.T, l *lossy, key jaybarrow.Key, value any) jaybarrow.Revision {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	old, err := l.Core.Get(ctx, key)
	if err != nil {
		old.Revision = 0
	}
	revision, err := l.Core.CompareAndSwap(ctx, key, old.Revision, data, 0)
	assert.NilError(t, err)
	return revision
}

func load[V any](t *testing.T, l *lossy, key jaybarrow.Key) V {
	t.Helper()
	var value V
	record, err := l.Get(ctx, key)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(record.Value, &value))
	return value
}

func expect(t *testing.T, err error, kind jaybarrow.ErrorKind, effect jaybarrow.Effect, part string) {
	t.Helper()
	assert.Assert(t, jaybarrow.IsKind(err, kind), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, effect)
	assert.Assert(t, strings.Contains(err.Error(), part), "%v", err)
}

// Guards against a change that took effect and is answered as lost to another, because the store answered the read-back from
// an older revision.
func TestStaleReadBack(t *testing.T) {
	l, records := newStore()
	seed(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 1})
	first := seed(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 2})
	// Two revisions before the lost write is the one before the record that the change was made from.
	l.drop, l.apply, l.stale, l.pastBy = 1, true, 2, 2
	changed, err := fleet.NewSetShare(records).Handle(ctx, fleet.SetShare{Team: "trail", Share: 3, Revision: first})
	assert.NilError(t, err)
	assert.Assert(t, changed.Revision > first)
}

// Guards against a merge of two changes, and against a loser that is not told the current revision.
func TestLoserOfARaceGetsTheCurrentRevision(t *testing.T) {
	_, records := newStore()
	put := fleet.NewPutPool(records)
	first, err := put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 1}})
	assert.NilError(t, err)
	_, err = put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 2}})
	expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, fmt.Sprintf("at revision %d", first.Revision))
	second, err := put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 3}, Revision: first.Revision})
	assert.NilError(t, err)
	_, err = fleet.NewDeletePool(records).Handle(ctx, fleet.DeletePool{ID: "desk", Revision: first.Revision})
	expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, fmt.Sprintf("at revision %d", second.Revision))
	assert.Equal(t, second.Revision, first.Revision+1)
}

// Guards against a lost answer that is reported as a failure, repeated, or called not run.
func TestUnknownOutcomes(t *testing.T) {
	pool := jaybarrow.Pool{ID: "desk", MaxUnavailable: 1}
	cases := []struct {
		name   string
		apply  bool
		other  *jaybarrow.Pool // written by someone else before the read-back
		kind   jaybarrow.ErrorKind
		effect jaybarrow.Effect
	}{
		{"took effect", true, nil, "", ""},
		{"took effect and was replaced", true, &jaybarrow.Pool{ID: "desk", MaxUnavailable: 9}, jaybarrow.KindConflict, jaybarrow.EffectMayHaveRun},
		{"still unknown", false, nil, jaybarrow.KindStoreUnavailable, jaybarrow.EffectMayHaveRun},
		{"lost to another change", false, &jaybarrow.Pool{ID: "desk", MaxUnavailable: 9}, jaybarrow.KindConflict, jaybarrow.EffectMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, records := newStore()
			l.drop, l.apply = 1, c.apply
			l.after = func() {
				if c.other != nil {
					seed(t, l, jaybarrow.PoolKey("desk"), *c.other)
				}
			}
			out, err := fleet.NewPutPool(records).Handle(ctx, fleet.PutPool{Pool: pool})
			assert.Equal(t, l.writes.Load(), int64(1))
			if c.kind != "" {
				expect(t, err, c.kind, c.effect, "desk")
				return
			}
			assert.NilError(t, err)
			written, err := l.Get(ctx, jaybarrow.PoolKey("desk"))
			assert.NilError(t, err)
			assert.Equal(t, out.Revision, written.Revision)
		})
	}
}

// Guards against a deletion with a lost answer that is reported as a conflict with itself.
func TestDeletionWithALostAnswer(t *testing.T) {
	l, records := newStore()
	revision := seed(t, l, jaybarrow.QueueKey("match"), jaybarrow.Queue{ID: "match"})
	l.drop, l.apply = 1, true
	out, err := fleet.NewDeleteQueue(records).Handle(ctx, fleet.DeleteQueue{ID: "match", Revision: revision})
	assert.NilError(t, err)
	assert.Assert(t, out.Revision > revision)
}

// Guards against a team without a limit, and against a second creation that changes the first one's limit.
func TestTeamIsCreatedWithItsLimit(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutTeam(records, identity.NewChangeID)
	out, err := put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 2, Limit: 16})
	assert.NilError(t, err)
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 3, Limit: 40})
	expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "revision")
	assert.Equal(t, load[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("trail")).Limit, jaybarrow.Slots(16))
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 3, Limit: 40, Revision: out.Revision})
	expect(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "limit")
	seed(t, l, jaybarrow.AllotmentKey("left"), jaybarrow.Allotment{Team: "left", Limit: 99})
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "left", Share: 1, Limit: 5})
	assert.NilError(t, err)
	assert.Equal(t, load[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("left")).Limit, jaybarrow.Slots(5))
}

// Guards against a creation that loses the race and still changes the winner's limit.
func TestOneOfSeveralCreationsWins(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutTeam(records, identity.NewChangeID)
	errs := make([]error, 8)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() {
			_, errs[i] = put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 1, Limit: jaybarrow.Slots(i + 1)})
		})
	}
	group.Wait()
	var winners []int
	for i, err := range errs {
		if err == nil {
			winners = append(winners, i)
		} else {
			expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "trail")
		}
	}
	assert.Equal(t, len(winners), 1)
	assert.Equal(t, load[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("trail")).Limit, jaybarrow.Slots(winners[0]+1))
}

// Guards against a deletion that leaves keys, grants or open queues without their team.
func TestDeleteTeamIsRefusedWhileInUse(t *testing.T) {
	cases := []struct {
		name  string
		key   jaybarrow.Key
		value any
		part  string
	}{
		{"usable key", jaybarrow.AccessKeyKey("h"), jaybarrow.AccessKey{Hash: "h", Team: "public"}, "withdraw"},
		{"limit", jaybarrow.AllotmentKey("public"), jaybarrow.Allotment{Limit: 1}, "set the limit to 0"},
		{
			"grant above the limit", jaybarrow.AllotmentKey("public"),
			jaybarrow.Allotment{Grants: map[jaybarrow.EntryID]jaybarrow.Grant{"e1": {Slots: 1}}},
			"set the limit to 0",
		},
		{"open queue", jaybarrow.QueueKey("q"), jaybarrow.Queue{ID: "q", Open: true}, "open"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, records := newStore()
			revision := seed(t, l, jaybarrow.TeamKey("public"), jaybarrow.Team{ID: "public", Share: 1})
			seed(t, l, c.key, c.value)
			_, err := fleet.NewDeleteTeam(records).Handle(ctx, fleet.DeleteTeam{ID: "public", Revision: revision})
			expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, c.part)
			last, err := l.Get(ctx, c.key)
			assert.NilError(t, err)
			_, err = l.Core.Delete(ctx, c.key, last.Revision)
			assert.NilError(t, err)
			_, err = fleet.NewDeleteTeam(records).Handle(ctx, fleet.DeleteTeam{ID: "public", Revision: revision})
			assert.NilError(t, err)
		})
	}
}

// Guards against a key whose secret is stored, and against a withdrawal that deletes the record.
func TestKeys(t *testing.T) {
	l, records := newStore()
	add := fleet.NewAddKey(records, func() string { return "very-secret" })
	_, err := add.Handle(ctx, fleet.AddKey{Team: "trail"})
	expect(t, err, jaybarrow.KindNotFound, jaybarrow.EffectNotRun, "trail")
	seed(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail"})
	out, err := add.Handle(ctx, fleet.AddKey{Team: "trail"})
	assert.NilError(t, err)
	assert.Equal(t, out.Secret, "very-secret")
	record, err := l.Get(ctx, jaybarrow.AccessKeyKey(out.Hash))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(record.Value), "very-secret"))
	_, err = fleet.NewWithdrawKey(records).Handle(ctx, fleet.WithdrawKey{Hash: out.Hash, Revision: out.Revision})
	assert.NilError(t, err)
	assert.Assert(t, load[jaybarrow.AccessKey](t, l, jaybarrow.AccessKeyKey(out.Hash)).Withdrawn)
}

// Guards against an open queue whose requests have no team, and against references to a pool that does not exist.
func TestPutQueue(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutQueue(records, fleet.NewPutTeam(records, identity.NewChangeID))
	in := fleet.PutQueue{Queue: jaybarrow.Queue{ID: "walk-in", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 4000, Open: true}}
	_, err := put.Handle(ctx, in)
	expect(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "pool")
	seed(t, l, jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk"})
	_, err = put.Handle(ctx, in)
	assert.NilError(t, err)
	assert.Equal(t, load[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("public")).Limit, fleet.PublicTeamLimit)
}

// Guards against a host that disappears with work on it, and against a deleted host that goes on spending the budget.
func TestDeleteHost(t *testing.T) {
	l, records := newStore()
	remove := fleet.NewDeleteHost(records, identity.NewChangeID)
	revision := seed(t, l, jaybarrow.HostKey("h1"), jaybarrow.Host{ID: "h1", Pool: "desk"})
	drain := jaybarrow.Drain{Host: "h1", Phase: jaybarrow.PhaseDraining, Purpose: jaybarrow.PurposeHold}
	for range 2 {
		_, err := remove.Handle(ctx, fleet.DeleteHost{ID: "h1", Revision: revision})
		expect(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "not drained")
		seed(t, l, jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": drain}})
	}
	drain.Phase = jaybarrow.PhaseDrained
	seed(t, l, jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": drain, "h2": drain}})
	_, err := remove.Handle(ctx, fleet.DeleteHost{ID: "h1", Revision: revision})
	assert.NilError(t, err)
	left := load[jaybarrow.PoolDrains](t, l, jaybarrow.DrainKey("desk"))
	assert.Equal(t, len(left.Drains), 1)
}

// Guards against a put that moves a host between pools without draining it.
func TestPutHostKeepsItsPlace(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutHost(records)
	seed(t, l, jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk"})
	seed(t, l, jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch"})
	host := jaybarrow.Host{ID: "h1", Pool: "desk", DataCentre: "north", Rack: "r1", Address: "127.0.0.1:9000", Capacity: jaybarrow.Demand{Slots: 8}}
	out, err := put.Handle(ctx, fleet.PutHost{Host: host})
	assert.NilError(t, err)
	cases := []struct {
		name   string
		change func(*jaybarrow.Host)
		part   string
	}{
		{"pool", func(h *jaybarrow.Host) { h.Pool = "batch" }, "move"},
		{"unknown pool", func(h *jaybarrow.Host) { h.Pool = "none" }, "existing pool"},
		{"rack", func(h *jaybarrow.Host) { h.Rack = "r2" }, "rack"},
		{"data centre", func(h *jaybarrow.Host) { h.DataCentre = "south" }, "dataCentre"},
		{"address", func(h *jaybarrow.Host) { h.Address = "127.0.0.1:9001" }, "address"},
		{"host name as address", func(h *jaybarrow.Host) { h.Address = "h1:9000" }, "IP address"},
		{"no slots", func(h *jaybarrow.Host) { h.Capacity.Slots = 0 }, "from 1 to 4096"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := host
			c.change(&changed)
			_, err := put.Handle(ctx, fleet.PutHost{Host: changed, Revision: out.Revision})
			expect(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, c.part)
		})
	}
	other := host
	other.ID = "h2"
	_, err = put.Handle(ctx, fleet.PutHost{Host: other})
	expect(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "no other host")
}

// driver records the calls that reach the maintenance driver.
type driver struct{ calls []string }

func (d *driver) BeginDrain(_ context.Context, host jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (jaybarrow.Revision, error) {
	d.calls = append(d.calls, strings.Join([]string{string(host), string(purpose), string(moveTo)}, " "))
	return 7, nil
}

func (d *driver) EndDrain(context.Context, jaybarrow.HostID) (jaybarrow.Revision, error) {
	return 8, nil
}

func (d *driver) BeginWave(context.Context, jaybarrow.PoolID) (jaybarrow.Revision, error) {
	return 0, jaybarrow.Errorf(jaybarrow.KindBudgetSpent, "no budget")
}

// Guards against a drain that is begun with a wrong purpose or towards a pool that does not exist.
func TestBeginDrain(t *testing.T) {
	l, records := newStore()
	seed(t, l, jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch"})
	cases := []struct {
		name string
		in   fleet.BeginDrain
		part string
	}{
		{"reboot", fleet.BeginDrain{Host: "h1", Purpose: jaybarrow.PurposeReboot}, ""},
		{"move", fleet.BeginDrain{Host: "h1", Purpose: jaybarrow.PurposeMove, MoveTo: "batch"}, ""},
		{"no host", fleet.BeginDrain{Purpose: jaybarrow.PurposeReboot}, "host"},
		{"no purpose", fleet.BeginDrain{Host: "h1"}, "purpose"},
		{"move to nowhere", fleet.BeginDrain{Host: "h1", Purpose: jaybarrow.PurposeMove}, "moveTo"},
		{"move to an unknown pool", fleet.BeginDrain{Host: "h1", Purpose: jaybarrow.PurposeMove, MoveTo: "none"}, "moveTo"},
		{"reboot with a pool", fleet.BeginDrain{Host: "h1", Purpose: jaybarrow.PurposeReboot, MoveTo: "batch"}, "moveTo"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &driver{}
			out, err := fleet.NewBeginDrain(records, d).Handle(ctx, c.in)
			if c.part != "" {
				expect(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, c.part)
				assert.Equal(t, len(d.calls), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, out.Revision, jaybarrow.Revision(7))
			assert.Equal(t, len(d.calls), 1)
		})
	}
	_, err := fleet.NewBeginWave(&driver{}).Handle(ctx, fleet.BeginWave{Pool: "batch"})
	expect(t, err, jaybarrow.KindBudgetSpent, jaybarrow.EffectNotRun, "budget")
}
