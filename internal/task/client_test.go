package task_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

func wantError(t *testing.T, err error, kind jaybarrow.ErrorKind, effect jaybarrow.Effect) {
	t.Helper()
	assert.Assert(t, jaybarrow.IsKind(err, kind), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, effect, "%v", err)
}

// Guards against a wrong answer, a lost answer or a false effect while the worker has a fault, and against reusing a
// connection that still holds bytes of an earlier response.
func TestRunUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   worker.Fault
		work    worker.Work
		kind    jaybarrow.ErrorKind // empty when the task is answered
		effect  jaybarrow.Effect
		outcome task.Outcome // as recorded in the worker's ledger
	}{
		{name: "none", work: worker.Work{RunMs: 20}, outcome: task.OutcomeDone},
		{name: "longer than the lease", work: worker.Work{RunMs: 2500}, outcome: task.OutcomeDone},
		{name: "the work fails", work: worker.Work{Fail: true}, kind: jaybarrow.KindWorkerFailed, effect: jaybarrow.EffectRan, outcome: task.OutcomeFailed},
		{name: "fails every task", fault: worker.Fault{Kind: worker.FaultFail}, kind: jaybarrow.KindWorkerFailed, effect: jaybarrow.EffectRan, outcome: task.OutcomeFailed},
		{name: "fails slowly", fault: worker.Fault{Kind: worker.FaultFail, DelayMs: 300}, kind: jaybarrow.KindWorkerFailed, effect: jaybarrow.EffectRan, outcome: task.OutcomeFailed},
		{name: "hangs", fault: worker.Fault{Kind: worker.FaultHang}, work: worker.Work{RunMs: 100}, outcome: task.OutcomeDone},
		{name: "truncates", fault: worker.Fault{Kind: worker.FaultTruncate}, work: worker.Work{RunMs: 20}, outcome: task.OutcomeDone},
		{name: "duplicates at once", fault: worker.Fault{Kind: worker.FaultDuplicate}, outcome: task.OutcomeDone},
		{name: "duplicates later", fault: worker.Fault{Kind: worker.FaultDuplicate, DelayMs: 30}, outcome: task.OutcomeDone},
		{name: "crosses", fault: worker.Fault{Kind: worker.FaultCross}, work: worker.Work{RunMs: 20}, outcome: task.OutcomeDone},
		{name: "answers late", fault: worker.Fault{Kind: worker.FaultLate, DelayMs: 1500}, work: worker.Work{RunMs: 20}, outcome: task.OutcomeDone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, shortLeases(), worker.DefaultConnections)
			f.server.SetFault(c.fault)
			first := f.task(c.work, 5*time.Second)
			body, err := f.client.Run(context.Background(), f.host, first)
			f.checkAgainstLedger(first, body, err)
			if c.kind == "" {
				assert.NilError(t, err)
			} else {
				wantError(t, err, c.kind, c.effect)
			}
			started, _ := f.ledgerEntries(first.ID)
			assert.Equal(t, started.Outcome, c.outcome)

			f.server.SetFault(worker.Fault{})
			second := f.task(worker.Work{RunMs: 50}, 5*time.Second)
			body, err = f.client.Run(context.Background(), f.host, second)
			assert.NilError(t, err)
			f.checkAgainstLedger(second, body, err)
		})
	}
}

// Guards against losing the answer of a task whose connection stops responding.
func TestRunFetchesAnswerOfFrozenConnection(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	run := f.task(worker.Work{RunMs: 700}, 5*time.Second)
	result := f.runAsync(context.Background(), run)
	f.eventuallyStarted(run.ID)
	f.server.SetFrozen(true, nil)
	r := <-result
	assert.NilError(t, r.err)
	f.checkAgainstLedger(run, r.body, r.err)
}

// Guards against a start that is delayed on its connection and runs after the client reported EffectNotRun.
func TestDelayedStartIsNotRun(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	f.warmUp()
	f.server.SetFrozen(true, nil)
	late := f.task(worker.Work{}, 400*time.Millisecond)
	body, err := f.client.Run(context.Background(), f.host, late)
	wantError(t, err, jaybarrow.KindWorkerLost, jaybarrow.EffectNotRun)
	f.server.SetFrozen(false, nil)
	f.eventuallyRefused(late.ID)
	f.checkAgainstLedger(late, body, err)
}

// warmUp runs a task, which leaves an idle connection open.
func (f *fixture) warmUp() {
	first := f.task(worker.Work{}, 5*time.Second)
	_, err := f.client.Run(context.Background(), f.host, first)
	assert.NilError(f, err)
}

// Guards against an AwaitEnd that returns while a start that the worker has not received may still arrive, and against a
// start after AwaitEnd.
func TestAwaitEndWaitsForStartBefore(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	f.warmUp()
	f.server.SetFrozen(true, nil)
	f.server.SetRefusing(true)
	ctx, cancel := context.WithCancel(context.Background())
	delayed := f.task(worker.Work{RunMs: 60_000}, 1500*time.Millisecond)
	result := f.runAsync(ctx, delayed)
	f.eventually("the start is delayed", func() bool { return f.server.BlockedReads() > 0 })
	cancel()
	r := <-result
	wantError(t, r.err, jaybarrow.KindCancelled, jaybarrow.EffectMayHaveRun)
	f.server.SetRefusing(false)

	f.client.AwaitEnd(f.host, delayed)
	ended := time.Now()
	assert.Assert(t, ended.After(delayed.StartBy.Add(-100*time.Millisecond)), "returned %v before the start-before time", delayed.StartBy.Sub(ended))
	assert.Assert(t, ended.Before(jaybarrow.LeaseEndAfter(delayed.StartBy, testLease)), "waited for the lease to end although the worker had reported the end")
	f.server.SetFrozen(false, nil)
	f.eventuallyRefused(delayed.ID)
	f.checkAgainstLedger(delayed, r.body, r.err)
}

// Guards against a cancellation that leaves the task running, and against waiting for the lease when the worker has
// confirmed the end.
func TestCancelStopsRunningTask(t *testing.T) {
	t.Parallel()
	f := newFixture(t, task.Settings{}, worker.DefaultConnections) // waiting for the default lease to end fails the test
	ctx, cancel := context.WithCancel(context.Background())
	run := f.task(worker.Work{RunMs: 60_000}, 5*time.Second)
	result := f.runAsync(ctx, run)
	f.eventuallyStarted(run.ID)
	cancel()
	r := <-result
	wantError(t, r.err, jaybarrow.KindCancelled, jaybarrow.EffectMayHaveRun)
	before := time.Now()
	f.client.AwaitEnd(f.host, run)
	assert.Assert(t, time.Since(before) < 5*time.Second)
	started, _ := f.ledgerEntries(run.ID)
	assert.Equal(t, started.Outcome, task.OutcomeStopped)
}

// Guards against a cancelled start that runs although the client reported EffectNotRun.
func TestCancelBeforeStart(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	f.warmUp()
	f.server.SetFrozen(true, nil)
	ctx, cancel := context.WithCancel(context.Background())
	run := f.task(worker.Work{}, 20*time.Second)
	result := f.runAsync(ctx, run)
	f.eventually("the start is delayed", func() bool { return f.server.BlockedReads() > 0 })
	cancel()
	r := <-result
	wantError(t, r.err, jaybarrow.KindCancelled, jaybarrow.EffectNotRun)
	f.server.SetFrozen(false, nil)
	f.checkAgainstLedger(run, r.body, r.err)
	_, refusals := f.ledgerEntries(run.ID)
	assert.Assert(t, len(refusals) > 0)
}

// Guards against an AwaitEnd that returns while a worker that stopped responding still runs the task.
func TestUnresponsiveWorkerIsLostAndAwaited(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	run := f.task(worker.Work{RunMs: 60_000}, time.Second)
	result := f.runAsync(context.Background(), run)
	f.eventuallyStarted(run.ID)
	f.server.SetRefusing(true)
	f.server.SetFrozen(true, nil)
	r := <-result
	wantError(t, r.err, jaybarrow.KindWorkerLost, jaybarrow.EffectMayHaveRun)
	f.client.AwaitEnd(f.host, run)
	started, _ := f.ledgerEntries(run.ID)
	assert.Equal(t, started.Outcome, task.OutcomeStopped, "AwaitEnd returned while the task runs")
}

// Guards against an effect other than EffectNotRun for a start that the worker refused or never received.
func TestNotRun(t *testing.T) {
	cases := []struct {
		name        string
		connections int
		settings    task.Settings
		arrange     func(f *fixture)
		kind        jaybarrow.ErrorKind
	}{
		{"worker is down before the first status", 64, shortLeases(), func(f *fixture) { f.server.Close() }, jaybarrow.KindWorkerLost},
		{"worker goes down after a status", 64, shortLeases(), func(f *fixture) {
			_, err := f.client.Status(context.Background(), f.host)
			assert.NilError(f, err)
			f.server.Close()
		}, jaybarrow.KindWorkerLost},
		{"connection limit of the worker", 1, shortLeases(), func(*fixture) {}, jaybarrow.KindWorkerRefused},
		{"no free connection at the client", 64, task.Settings{ConnectionsPerWorker: 1}, func(f *fixture) {
			other := f.task(worker.Work{RunMs: 60_000}, 5*time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			result := f.runAsync(ctx, other)
			f.eventuallyStarted(other.ID)
			f.Cleanup(func() {
				cancel()
				<-result
			})
		}, jaybarrow.KindWorkerRefused},
		{"draining", 64, shortLeases(), func(f *fixture) {
			assert.NilError(f, f.client.SetDraining(context.Background(), f.host, true, 1))
		}, jaybarrow.KindWorkerRefused},
		{"older incarnation of the entry host", 64, shortLeases(), func(f *fixture) {
			newer := f.task(worker.Work{}, 5*time.Second)
			newer.Incarnation = 2
			_, err := f.client.Run(context.Background(), f.host, newer)
			assert.NilError(f, err)
		}, jaybarrow.KindWorkerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.settings, c.connections)
			c.arrange(f)
			run := f.task(worker.Work{}, 5*time.Second)
			body, err := f.client.Run(context.Background(), f.host, run)
			wantError(t, err, c.kind, jaybarrow.EffectNotRun)
			f.checkAgainstLedger(run, body, err)
		})
	}
}

// Guards against a start whose start-before time is in the clock of an earlier boot and that the restarted worker accepts.
func TestRestartedWorker(t *testing.T) {
	t.Parallel()
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	f.warmUp()
	f.server.Close()
	f.start(string(f.host.Address), worker.DefaultConnections)
	f.eventually("a task runs on the restarted worker", func() bool {
		run := f.task(worker.Work{}, 5*time.Second)
		body, err := f.client.Run(context.Background(), f.host, run)
		f.checkAgainstLedger(run, body, err)
		if started, _ := f.ledgerEntries(run.ID); started != nil {
			assert.NilError(t, err)
		}
		return err == nil
	})
}

// Guards against checkpointing a task that cannot be resumed, and against an effect other than EffectMayHaveRun for one
// that was checkpointed.
func TestCheckpoint(t *testing.T) {
	cases := []struct {
		name      string
		resumable bool
		kind      jaybarrow.ErrorKind
	}{
		{"resumable", true, ""},
		{"not resumable", false, jaybarrow.KindWorkerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, shortLeases(), worker.DefaultConnections)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			run := f.task(worker.Work{RunMs: 60_000, Resumable: c.resumable}, 5*time.Second)
			result := f.runAsync(ctx, run)
			f.eventuallyStarted(run.ID)
			err := f.client.Checkpoint(context.Background(), f.host, run.ID)
			if !c.resumable {
				wantError(t, err, c.kind, jaybarrow.EffectNotRun)
				cancel()
				<-result
				return
			}
			assert.NilError(t, err)
			wantError(t, (<-result).err, jaybarrow.KindHandOver, jaybarrow.EffectMayHaveRun)
		})
	}
}
