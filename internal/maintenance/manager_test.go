package maintenance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// checkHistory checks the accepted writes: no drain may begin above the budget, and a host may change its pool only while its
// drain in the old pool is in the phase drained.
func checkHistory(records []jaybarrow.Record) error {
	drains := make(map[jaybarrow.PoolID]jaybarrow.PoolDrains)
	hosts := make(map[jaybarrow.HostID]jaybarrow.Host)
	for _, r := range records {
		switch {
		case strings.HasPrefix(string(r.Key), string(jaybarrow.DrainPrefix)):
			var next jaybarrow.PoolDrains
			if err := json.Unmarshal(r.Value, &next); err != nil {
				return err
			}
			if len(next.Drains) > budget && len(next.Drains) > len(drains[next.Pool].Drains) {
				return fmt.Errorf("revision %d: %d hosts of pool %s drain", r.Revision, len(next.Drains), next.Pool)
			}
			drains[next.Pool] = next
		case strings.HasPrefix(string(r.Key), string(jaybarrow.HostPrefix)):
			var next jaybarrow.Host
			if err := json.Unmarshal(r.Value, &next); err != nil {
				return err
			}
			if old, ok := hosts[next.ID]; ok && old.Pool != next.Pool && drains[old.Pool].Drains[next.ID].Phase != jaybarrow.PhaseDrained {
				return fmt.Errorf("revision %d: host %s moved from %s in phase %q", r.Revision, next.ID, old.Pool, drains[old.Pool].Drains[next.ID].Phase)
			}
			hosts[next.ID] = next
		}
	}
	return nil
}

func (f *fleet) assertValidHistory(t *testing.T) {
	t.Helper()
	list, _, err := f.core.List(context.Background(), jaybarrow.HostPrefix)
	assert.NilError(t, err)
	f.history.Lock()
	defer f.history.Unlock()
	assert.NilError(t, checkHistory(f.history.records))
	assert.Assert(t, len(f.history.records) > 0 && len(list) > 0, "the history is empty, so the check would pass in any case")
}

// Guards against a history checker that accepts every history.
func TestHistoryCheckerFindsViolations(t *testing.T) {
	encode := func(key jaybarrow.Key, value any) jaybarrow.Record {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		return jaybarrow.Record{Key: key, Value: data}
	}
	three := map[jaybarrow.HostID]jaybarrow.Drain{"a": {}, "b": {}, "c": {}}
	over := []jaybarrow.Record{encode(jaybarrow.DrainKey("p"), jaybarrow.PoolDrains{Pool: "p", Drains: three})}
	assert.ErrorContains(t, checkHistory(over), "3 hosts")
	moved := []jaybarrow.Record{
		encode(jaybarrow.HostKey("a"), jaybarrow.Host{ID: "a", Pool: "p"}),
		encode(jaybarrow.HostKey("a"), jaybarrow.Host{ID: "a", Pool: "q"}),
	}
	assert.ErrorContains(t, checkHistory(moved), "moved")
}

// Guards against removing the drain of a host whose record has not reached the driver's local copy yet, as if the host were gone.
func TestDrainOfAHostMissingFromTheLocalCopy(t *testing.T) {
	f := newFleet(t, 2, "p")
	f.hidden = jaybarrow.HostKey("h00")
	now := time.Now().UnixMilli()
	f.put(t, jaybarrow.DrainKey("p"), jaybarrow.PoolDrains{Pool: "p", Drains: map[jaybarrow.HostID]jaybarrow.Drain{
		"h00": {ID: "d", Host: "h00", Phase: jaybarrow.PhaseDraining, Purpose: jaybarrow.PurposeHold, StartedMs: now, PhaseMs: now},
	}})
	f.manager(t, f.core)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d, ok := f.drains(t, "p").Drains["h00"]
		switch {
		case !ok:
			return poll.Error(fmt.Errorf("the drain was removed"))
		case d.Phase != jaybarrow.PhaseDrained:
			return poll.Continue("%+v", d)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a drain that exceeds the budget because the platform's list, which has the hosts that are down, has not been
// read.
func TestNoDrainBeginsWithoutTheHostList(t *testing.T) {
	f := newFleet(t, 4, "p", "q")
	f.listUnread = true
	m := f.manager(t, f.core)
	for _, begin := range []func() error{
		func() error {
			_, err := m.BeginDrain(context.Background(), "h00", jaybarrow.PurposeHold, "")
			return err
		},
		func() error { _, err := m.BeginWave(context.Background(), "p"); return err },
	} {
		err := begin()
		assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable), "%v", err)
		assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
	}
	f.Lock()
	f.listUnread = false
	f.Unlock()
	_, err := m.BeginDrain(context.Background(), "h00", jaybarrow.PurposeHold, "")
	assert.NilError(t, err)
}

// Guards against a wave that exceeds the budget, stalls, or leaves a host out or draining when three entry hosts drive it at
// once, operators drain hosts of the same pool and answers of the store are lost.
func TestWaveWithRacingDriversAndLostAnswers(t *testing.T) {
	f := newFleet(t, 8, "p")
	managers := []interface {
		BeginWave(context.Context, jaybarrow.PoolID) (jaybarrow.Revision, error)
		BeginDrain(context.Context, jaybarrow.HostID, jaybarrow.DrainPurpose, jaybarrow.PoolID) (jaybarrow.Revision, error)
		EndDrain(context.Context, jaybarrow.HostID) (jaybarrow.Revision, error)
	}{
		f.manager(t, &faultyStore{Core: f.core, history: f.history, loseAnswerEvery: 3}),
		f.manager(t, &faultyStore{Core: f.core, history: f.history, loseAnswerEvery: 4}),
		f.manager(t, &faultyStore{Core: f.core, history: f.history}),
	}
	ctx := context.Background()
	_, err := managers[2].BeginWave(ctx, "p")
	assert.NilError(t, err)
	var operators sync.WaitGroup
	for _, m := range managers[:2] {
		operators.Go(func() {
			for i := range 8 {
				id := jaybarrow.HostID(fmt.Sprintf("h%02d", i))
				if _, err := m.BeginDrain(ctx, id, jaybarrow.PurposeHold, ""); err == nil {
					_, _ = m.EndDrain(ctx, id)
				}
			}
		})
	}
	operators.Wait()
	for id, d := range f.drains(t, "p").Drains {
		// A hold whose answer was lost still exists. Drains of the wave stay, because ending one would remove its host from the wave.
		if d.Purpose == jaybarrow.PurposeHold && d.Phase != jaybarrow.PhaseReturning {
			_, _ = managers[2].EndDrain(ctx, id)
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		record := f.drains(t, "p")
		if record.WaveEndedMs == 0 || len(record.Drains) > 0 {
			return poll.Continue("pending %v, drains %v", record.Pending, record.Drains)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	f.assertValidHistory(t)
	f.Lock()
	defer f.Unlock()
	assert.Equal(t, len(f.reboots), 8, "%v", f.reboots)
	for id, draining := range f.draining {
		assert.Assert(t, !draining, "the worker of host %s still refuses tasks", id)
	}
}

// Guards against a move that is lost, repeated or left incomplete when its driver is killed before or after any of its writes.
func TestMoveCompletesAfterItsDriverIsKilled(t *testing.T) {
	for lastWrite := int64(1); lastWrite <= 4; lastWrite++ {
		for _, lastWriteApplied := range []bool{true, false} {
			t.Run(fmt.Sprintf("killed at write %d, applied %t", lastWrite, lastWriteApplied), func(t *testing.T) {
				f := newFleet(t, 4, "p", "q")
				operator := f.manager(t, &faultyStore{Core: f.core, history: f.history, lastWrite: lastWrite, lastWriteApplied: lastWriteApplied})
				ctx := context.Background()
				_, err := operator.BeginDrain(ctx, "h01", jaybarrow.PurposeMove, "q")
				second := f.manager(t, &faultyStore{Core: f.core, history: f.history})
				if err != nil && len(f.drains(t, "p").Drains) == 0 {
					_, err = second.BeginDrain(ctx, "h01", jaybarrow.PurposeMove, "q")
					assert.NilError(t, err)
				}
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					record := f.drains(t, "p")
					if len(record.Drains) > 0 || record.Moves != 1 {
						return poll.Continue("%+v", record)
					}
					return poll.Success()
				}, poll.WithTimeout(20*time.Second))
				r, err := f.core.Get(ctx, jaybarrow.HostKey("h01"))
				assert.NilError(t, err)
				var host jaybarrow.Host
				assert.NilError(t, json.Unmarshal(r.Value, &host))
				assert.Equal(t, host.Pool, jaybarrow.PoolID("q"))
				f.assertValidHistory(t)
			})
		}
	}
}

// Guards against a drain that begins although failed hosts have used up the budget, and against a wave that does not resume
// after they return.
func TestFailedRackHoldsTheWave(t *testing.T) {
	f := newFleet(t, 8, "p")
	for _, name := range []string{"h04", "h05"} {
		f.down[name] = true
	}
	m := f.manager(t, &faultyStore{Core: f.core, history: f.history})
	ctx := context.Background()
	_, err := m.BeginDrain(ctx, "h00", jaybarrow.PurposeReboot, "")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
	_, err = m.BeginWave(ctx, "p")
	assert.NilError(t, err)
	assert.Equal(t, len(f.drains(t, "p").Drains), 0)
	f.Lock()
	f.down = make(map[string]bool)
	f.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.drains(t, "p").WaveEndedMs == 0 {
			return poll.Continue("%+v", f.drains(t, "p"))
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	f.assertValidHistory(t)
}

// Guards against an automatic move of a host that has left the pool since the decision, and against one above the budget.
func TestMoveBeginsOnlyFromTheDecidedPool(t *testing.T) {
	f := newFleet(t, 3, "p", "q")
	m := f.manager(t, &faultyStore{Core: f.core, history: f.history})
	ctx := context.Background()
	_, err := m.BeginMove(ctx, "h00", "q", "p", "test")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
	assert.Equal(t, len(f.drains(t, "q").Drains), 0)
	for _, id := range []jaybarrow.HostID{"h00", "h01"} { // use up the budget
		_, err = m.BeginDrain(ctx, id, jaybarrow.PurposeHold, "")
		assert.NilError(t, err)
	}
	_, err = m.BeginMove(ctx, "h02", "p", "q", "test")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent), "%v", err)
}
