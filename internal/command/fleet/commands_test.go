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

// lossyStore is a store that loses the responses of the next writes, and can answer the reads after them from older revisions.
type lossyStore struct {
	*store.Core
	responsesToLose int    // number of next writes whose responses are lost
	applyLost       bool   // whether a write with a lost response takes effect
	afterLost       func() // if set, runs after a write with a lost response, before its outcome is read back
	staleReads      int    // number of reads after a lost response that return the record of staleBy revisions ago
	staleBy         jaybarrow.Revision
	responseLost    bool // whether a response was lost
	writes          atomic.Int64
}

func (l *lossyStore) runWrite(write func() (jaybarrow.Revision, error)) (jaybarrow.Revision, error) {
	l.writes.Add(1)
	if l.responsesToLose == 0 {
		return write()
	}
	l.responsesToLose--
	if l.applyLost {
		_, _ = write()
	}
	if l.afterLost != nil {
		l.afterLost()
	}
	l.responseLost = true
	return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the response was lost")
}

// Get reads the record; stale reads return that of staleBy revisions ago.
func (l *lossyStore) Get(c context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if !l.responseLost || l.staleReads == 0 {
		return l.Core.Get(c, key)
	}
	l.staleReads--
	past, _ := l.Core.Past(l.staleBy, func(k jaybarrow.Key) bool { return k == key })
	return past[0], nil
}

func (l *lossyStore) CompareAndSwap(c context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	return l.runWrite(func() (jaybarrow.Revision, error) { return l.Core.CompareAndSwap(c, key, previous, value, lease) })
}

func (l *lossyStore) Delete(c context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	return l.runWrite(func() (jaybarrow.Revision, error) { return l.Core.Delete(c, key, previous) })
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{ jaybarrow.SystemClock }

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func newStore() (*lossyStore, *fleet.Records) {
	l := &lossyStore{Core: store.NewCore(jaybarrow.SystemClock{})}
	return l, fleet.NewRecords(instantClock{}, l)
}

func writeRecord(t *testing.T, l *lossyStore, key jaybarrow.Key, value any) jaybarrow.Revision {
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

func readRecord[V any](t *testing.T, l *lossyStore, key jaybarrow.Key) V {
	t.Helper()
	var value V
	record, err := l.Get(ctx, key)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(record.Value, &value))
	return value
}

func assertError(t *testing.T, err error, kind jaybarrow.ErrorKind, effect jaybarrow.Effect, messagePart string) {
	t.Helper()
	assert.Assert(t, jaybarrow.IsKind(err, kind), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, effect)
	assert.Assert(t, strings.Contains(err.Error(), messagePart), "%v", err)
}

// Guards against a conflict that is reported for a change that took effect: the response was lost, and a lagging replica answered
// the read-back with an older revision than the change was made from.
func TestStaleReadBack(t *testing.T) {
	l, records := newStore()
	writeRecord(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 1})
	first := writeRecord(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 2})
	// Two revisions before the lost write, the record was at the revision before first.
	l.responsesToLose, l.applyLost, l.staleReads, l.staleBy = 1, true, 2, 2
	changed, err := fleet.NewSetShare(records).Handle(ctx, fleet.SetShare{Team: "trail", Share: 3, Revision: first})
	assert.NilError(t, err)
	assert.Assert(t, changed.Revision > first)
}

// Guards against two changes from the same revision that both take effect, and against a conflict without the current revision.
func TestConflictNamesTheCurrentRevision(t *testing.T) {
	_, records := newStore()
	put := fleet.NewPutPool(records)
	first, err := put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 1}})
	assert.NilError(t, err)
	_, err = put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 2}})
	assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, fmt.Sprintf("at revision %d", first.Revision))
	second, err := put.Handle(ctx, fleet.PutPool{Pool: jaybarrow.Pool{ID: "desk", MaxUnavailable: 3}, Revision: first.Revision})
	assert.NilError(t, err)
	_, err = fleet.NewDeletePool(records).Handle(ctx, fleet.DeletePool{ID: "desk", Revision: first.Revision})
	assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, fmt.Sprintf("at revision %d", second.Revision))
	assert.Equal(t, second.Revision, first.Revision+1)
}

// Guards against a write whose response is lost and that is reported as not run or as a failure although it took effect, or is
// sent a second time.
func TestUnknownOutcomes(t *testing.T) {
	pool := jaybarrow.Pool{ID: "desk", MaxUnavailable: 1}
	cases := []struct {
		name      string
		applyLost bool
		other     *jaybarrow.Pool // written by another operator before the read-back
		kind      jaybarrow.ErrorKind
		effect    jaybarrow.Effect
	}{
		{"took effect", true, nil, "", ""},
		{"took effect and was overwritten", true, &jaybarrow.Pool{ID: "desk", MaxUnavailable: 9}, jaybarrow.KindConflict, jaybarrow.EffectMayHaveRun},
		{"still unknown", false, nil, jaybarrow.KindStoreUnavailable, jaybarrow.EffectMayHaveRun},
		{"another change took effect", false, &jaybarrow.Pool{ID: "desk", MaxUnavailable: 9}, jaybarrow.KindConflict, jaybarrow.EffectMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, records := newStore()
			l.responsesToLose, l.applyLost = 1, c.applyLost
			l.afterLost = func() {
				if c.other != nil {
					writeRecord(t, l, jaybarrow.PoolKey("desk"), *c.other)
				}
			}
			out, err := fleet.NewPutPool(records).Handle(ctx, fleet.PutPool{Pool: pool})
			assert.Equal(t, l.writes.Load(), int64(1))
			if c.kind != "" {
				assertError(t, err, c.kind, c.effect, "desk")
				return
			}
			assert.NilError(t, err)
			written, err := l.Get(ctx, jaybarrow.PoolKey("desk"))
			assert.NilError(t, err)
			assert.Equal(t, out.Revision, written.Revision)
		})
	}
}

// Guards against a deletion whose response is lost and that is then reported as a conflict, because the record is already gone.
func TestDeletionWithLostResponse(t *testing.T) {
	l, records := newStore()
	revision := writeRecord(t, l, jaybarrow.QueueKey("match"), jaybarrow.Queue{ID: "match"})
	l.responsesToLose, l.applyLost = 1, true
	out, err := fleet.NewDeleteQueue(records).Handle(ctx, fleet.DeleteQueue{ID: "match", Revision: revision})
	assert.NilError(t, err)
	assert.Assert(t, out.Revision > revision)
}

// Guards against a new team without its limit, also when an old allotment of its name is left, and against a limit that a second
// creation or a change of the share overwrites.
func TestTeamIsCreatedWithItsLimit(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutTeam(records, identity.NewChangeID)
	out, err := put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 2, Limit: 16})
	assert.NilError(t, err)
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 3, Limit: 40})
	assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "revision")
	assert.Equal(t, readRecord[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("trail")).Limit, jaybarrow.Slots(16))
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "trail", Share: 3, Limit: 40, Revision: out.Revision})
	assertError(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "limit")
	writeRecord(t, l, jaybarrow.AllotmentKey("left"), jaybarrow.Allotment{Team: "left", Limit: 99})
	_, err = put.Handle(ctx, fleet.PutTeam{ID: "left", Share: 1, Limit: 5})
	assert.NilError(t, err)
	assert.Equal(t, readRecord[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("left")).Limit, jaybarrow.Slots(5))
}

// Guards against concurrent creations of a team of which several succeed, or of which a failed one changes the limit.
func TestOneOfSeveralCreationsSucceeds(t *testing.T) {
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
	var succeeded []int
	for i, err := range errs {
		if err == nil {
			succeeded = append(succeeded, i)
		} else {
			assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "trail")
		}
	}
	assert.Equal(t, len(succeeded), 1)
	assert.Equal(t, readRecord[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("trail")).Limit, jaybarrow.Slots(succeeded[0]+1))
}

// Guards against the deletion of a team that a key, a limit, a grant or an open queue still uses.
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
			revision := writeRecord(t, l, jaybarrow.TeamKey("public"), jaybarrow.Team{ID: "public", Share: 1})
			writeRecord(t, l, c.key, c.value)
			_, err := fleet.NewDeleteTeam(records).Handle(ctx, fleet.DeleteTeam{ID: "public", Revision: revision})
			assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, c.part)
			last, err := l.Get(ctx, c.key)
			assert.NilError(t, err)
			_, err = l.Core.Delete(ctx, c.key, last.Revision)
			assert.NilError(t, err)
			_, err = fleet.NewDeleteTeam(records).Handle(ctx, fleet.DeleteTeam{ID: "public", Revision: revision})
			assert.NilError(t, err)
		})
	}
}

// Guards against a key for an unknown team, a secret that is stored, and a withdrawal that deletes the record.
func TestKeys(t *testing.T) {
	l, records := newStore()
	add := fleet.NewAddKey(records, func() string { return "very-secret" })
	_, err := add.Handle(ctx, fleet.AddKey{Team: "trail"})
	assertError(t, err, jaybarrow.KindNotFound, jaybarrow.EffectNotRun, "trail")
	writeRecord(t, l, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail"})
	out, err := add.Handle(ctx, fleet.AddKey{Team: "trail"})
	assert.NilError(t, err)
	assert.Equal(t, out.Secret, "very-secret")
	record, err := l.Get(ctx, jaybarrow.AccessKeyKey(out.Hash))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(record.Value), "very-secret"))
	_, err = fleet.NewWithdrawKey(records).Handle(ctx, fleet.WithdrawKey{Hash: out.Hash, Revision: out.Revision})
	assert.NilError(t, err)
	assert.Assert(t, readRecord[jaybarrow.AccessKey](t, l, jaybarrow.AccessKeyKey(out.Hash)).Withdrawn)
}

// Guards against an open queue without team public, and against references to a pool that does not exist.
func TestPutQueue(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutQueue(records, fleet.NewPutTeam(records, identity.NewChangeID))
	in := fleet.PutQueue{Queue: jaybarrow.Queue{ID: "walk-in", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 4000, Open: true}}
	_, err := put.Handle(ctx, in)
	assertError(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "pool")
	writeRecord(t, l, jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk"})
	_, err = put.Handle(ctx, in)
	assert.NilError(t, err)
	assert.Equal(t, readRecord[jaybarrow.Allotment](t, l, jaybarrow.AllotmentKey("public")).Limit, fleet.PublicTeamLimit)
}

// Guards against the deletion of a host that may still run work, and against the drain of a deleted host, which would count
// against the availability budget.
func TestDeleteHost(t *testing.T) {
	l, records := newStore()
	remove := fleet.NewDeleteHost(records, identity.NewChangeID)
	revision := writeRecord(t, l, jaybarrow.HostKey("h1"), jaybarrow.Host{ID: "h1", Pool: "desk"})
	drain := jaybarrow.Drain{Host: "h1", Phase: jaybarrow.PhaseDraining, Purpose: jaybarrow.PurposeHold}
	for range 2 {
		_, err := remove.Handle(ctx, fleet.DeleteHost{ID: "h1", Revision: revision})
		assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, "not drained")
		writeRecord(t, l, jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": drain}})
	}
	drain.Phase = jaybarrow.PhaseDrained
	writeRecord(t, l, jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": drain, "h2": drain}})
	_, err := remove.Handle(ctx, fleet.DeleteHost{ID: "h1", Revision: revision})
	assert.NilError(t, err)
	left := readRecord[jaybarrow.PoolDrains](t, l, jaybarrow.DrainKey("desk"))
	assert.Equal(t, len(left.Drains), 1)
}

// Guards against a put that changes the pool, rack, data centre or address of an existing host, and against two hosts with one
// address.
func TestPutHostKeepsPlacement(t *testing.T) {
	l, records := newStore()
	put := fleet.NewPutHost(records)
	writeRecord(t, l, jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk"})
	writeRecord(t, l, jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch"})
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
			assertError(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, c.part)
		})
	}
	other := host
	other.ID = "h2"
	_, err = put.Handle(ctx, fleet.PutHost{Host: other})
	assertError(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, "no other host")
}

// maintenanceDriver is a Maintenance that records the drains that it begins.
type maintenanceDriver struct{ calls []string }

func (d *maintenanceDriver) BeginDrain(_ context.Context, host jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (jaybarrow.Revision, error) {
	d.calls = append(d.calls, strings.Join([]string{string(host), string(purpose), string(moveTo)}, " "))
	return 7, nil
}

func (d *maintenanceDriver) EndDrain(context.Context, jaybarrow.HostID) (jaybarrow.Revision, error) {
	return 8, nil
}

func (d *maintenanceDriver) BeginWave(context.Context, jaybarrow.PoolID) (jaybarrow.Revision, error) {
	return 0, jaybarrow.Errorf(jaybarrow.KindBudgetSpent, "no budget")
}

// Guards against a drain that begins without a host or purpose, or with a target pool that is missing, unknown or not allowed.
func TestBeginDrain(t *testing.T) {
	l, records := newStore()
	writeRecord(t, l, jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch"})
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
			d := &maintenanceDriver{}
			out, err := fleet.NewBeginDrain(records, d).Handle(ctx, c.in)
			if c.part != "" {
				assertError(t, err, jaybarrow.KindBadRequest, jaybarrow.EffectNotRun, c.part)
				assert.Equal(t, len(d.calls), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, out.Revision, jaybarrow.Revision(7))
			assert.Equal(t, len(d.calls), 1)
		})
	}
	_, err := fleet.NewBeginWave(&maintenanceDriver{}).Handle(ctx, fleet.BeginWave{Pool: "batch"})
	assertError(t, err, jaybarrow.KindBudgetSpent, jaybarrow.EffectNotRun, "budget")
}
