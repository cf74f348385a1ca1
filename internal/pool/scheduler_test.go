package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo runs a task that returns the id of its host.
func echo(_ context.Context, host jaybarrow.HostID, _ jaybarrow.Task) ([]byte, error) {
	return []byte(host), nil
}

// untilCancelled runs a task until its request is cancelled.
func untilCancelled(ctx context.Context, _ jaybarrow.HostID, _ jaybarrow.Task) ([]byte, error) {
	<-ctx.Done()
	return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "stopped").WithEffect(jaybarrow.EffectRan)
}

// blockingWorker returns a run function whose tasks end when the test closes the channel.
func blockingWorker() (func(context.Context, jaybarrow.HostID, jaybarrow.Task) ([]byte, error), chan struct{}) {
	unblock := make(chan struct{})
	return func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error) {
		<-unblock
		return echo(ctx, host, task)
	}, unblock
}

// Guards against wrong decisions after a failed attempt: a non-idempotent request that is sent again after it may have run, a
// retry on the same host, unlimited retries, and a request that is lost after a refusal.
func TestRetries(t *testing.T) {
	refused := jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "full")
	unreachable := jaybarrow.Errorf(jaybarrow.KindWorkerLost, "dial").WithEffect(jaybarrow.EffectNotRun)
	lost := jaybarrow.Errorf(jaybarrow.KindWorkerLost, "silent")
	failed := jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "exit 1")
	cases := []struct {
		name       string
		hosts      int
		idempotent bool
		deadline   time.Duration
		failures   []error // of the first attempts; later attempts succeed
		attempts   int
		kind       jaybarrow.ErrorKind // empty when the request succeeds
	}{
		{"refused goes to another host", 2, false, 0, []error{refused}, 2, ""},
		{"unreachable goes to another host", 2, false, 0, []error{unreachable}, 2, ""},
		{"lost and idempotent goes to another host", 2, true, 0, []error{lost}, 2, ""},
		{"failed and idempotent goes to another host", 2, true, 0, []error{failed}, 2, ""},
		{"lost and not idempotent is not sent again", 2, false, 0, []error{lost}, 1, jaybarrow.KindWorkerLost},
		{"failed and not idempotent is not sent again", 2, false, 0, []error{failed}, 1, jaybarrow.KindWorkerFailed},
		{"the retry budget is used up", 3, true, 0, []error{lost, lost}, 2, jaybarrow.KindWorkerLost},
		{"no other host", 1, true, 0, []error{lost}, 1, jaybarrow.KindWorkerLost},
		{"no time left", 2, true, 500 * time.Millisecond, []error{lost}, 1, jaybarrow.KindWorkerLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempts := make(chan struct{}, 10)
			f := newFixture(t, c.hosts, func(_ context.Context, host jaybarrow.HostID, _ jaybarrow.Task) ([]byte, error) {
				attempts <- struct{}{}
				if n := len(attempts); n <= len(c.failures) {
					return nil, c.failures[n-1]
				}
				return []byte(host), nil
			})
			defer f.scheduler.Close()
			close(f.workers.end)
			r := f.request("a", "1", c.deadline)
			r.Idempotent = c.idempotent
			got := f.await(f.submit(r))
			if c.kind == "" {
				assert.NilError(t, got.err)
			} else {
				assertError(t, got.err, c.kind, c.kind.Info().Effect)
			}
			sent := f.workers.sent()
			assert.Equal(t, len(sent), c.attempts)
			assert.Assert(t, len(sent) < 2 || sent[0] != sent[1], "sent to the same host twice")
		})
	}
}

// Guards against attempts in a tight loop on the only host, which refuses the task: it must be retried only after its backoff.
func TestRefusingHostIsTriedAfterABackoff(t *testing.T) {
	refusals := make(chan struct{}, 100)
	f := newFixture(t, 1, func(context.Context, jaybarrow.HostID, jaybarrow.Task) ([]byte, error) {
		refusals <- struct{}{}
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "full")
	})
	defer f.scheduler.Close()
	f.submit(f.request("a", "1", 0))
	for n := 1; n <= 3; n++ {
		f.eventually("the request is queued again", func() bool { return len(refusals) == n && f.load().Waiting == 1 })
		f.clock.advance(10 * time.Second)
	}
}

// Guards against a queued or running request that cannot be cancelled, and against a cancellation by another team.
func TestCancel(t *testing.T) {
	f := newFixture(t, 1, untilCancelled)
	defer f.scheduler.Close()
	running := f.submit(f.request("a", "1", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	waiting := f.submit(f.request("a", "2", 0))
	f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })

	found, err := f.scheduler.Cancel(context.Background(), "b", "2")
	assert.NilError(t, err)
	assert.Assert(t, !found, "another team cancelled the request")
	for i, a := range []<-chan answer{waiting, running} {
		found, err = f.scheduler.Cancel(context.Background(), "a", []jaybarrow.RequestID{"2", "1"}[i])
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Assert(t, jaybarrow.IsKind(f.await(a).err, jaybarrow.KindCancelled))
	}
	f.eventually("all slots and permits are free", func() bool { return f.load().FreeSlots == 1 && f.permits.inUse() == 0 })
}

// Guards against slots and permits that are released while a lost task may still run, and against a second request with the same
// id whose end releases those of the first.
func TestReleaseAfterTheEndIsKnown(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 2, func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error) {
		if task.ID == "1-1" {
			return nil, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "silent")
		}
		return run(ctx, host, task)
	})
	r := f.request("a", "1", 0)
	r.Idempotent = false
	assertError(t, f.await(f.submit(r)).err, jaybarrow.KindWorkerLost, jaybarrow.EffectMayHaveRun)
	assert.Equal(t, f.permits.inUse(), jaybarrow.Slots(1))

	second := f.submit(r)
	f.eventually("the second request runs", func() bool { return f.load().Running == 2 })
	close(unblock)
	assert.NilError(t, f.await(second).err)
	f.eventually("the slot of the second request is released", func() bool { return f.load().Running == 1 })
	assert.Equal(t, f.load().FreeSlots, jaybarrow.Slots(1))
	assert.Equal(t, f.permits.inUse(), jaybarrow.Slots(1))

	close(f.workers.end)
	f.scheduler.Close()
	assert.Equal(t, f.load().FreeSlots, jaybarrow.Slots(2))
	assert.Equal(t, f.permits.inUse(), jaybarrow.Slots(0))
}

// Guards against an expired or refused request that is answered with the wrong error kind, and against a duplicate that runs.
func TestRefusals(t *testing.T) {
	f := newFixture(t, 1, untilCancelled)
	defer f.scheduler.Close()
	f.permits.setLimit("limited", 0)
	withoutPermits := f.submit(f.request("limited", "1", 10*time.Second))
	f.eventually("the request asks for permits", func() bool { return f.permits.acquireCalls() > 0 })
	f.submit(f.request("a", "1", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })

	_, err := f.scheduler.Run(context.Background(), f.request("a", "1", 0))
	assertError(t, err, jaybarrow.KindDuplicateRequest, jaybarrow.EffectMayHaveRun)
	_, err = f.scheduler.Run(context.Background(), f.request("b", "late", 1500*time.Millisecond))
	assertError(t, err, jaybarrow.KindDeadlineUnattainable, jaybarrow.EffectNotRun)

	r := f.request("b", "2", 10*time.Second)
	r.Declared = 0
	blocked := f.submit(r)
	f.eventually("both requests wait", func() bool { return f.load().Waiting == 2 })
	f.clock.advance(10 * time.Second)
	assertError(t, f.await(withoutPermits).err, jaybarrow.KindNoPermit, jaybarrow.EffectNotRun)
	assertError(t, f.await(blocked).err, jaybarrow.KindDeadlinePassed, jaybarrow.EffectNotRun)
	_, err = f.scheduler.Cancel(context.Background(), "a", "1")
	assert.NilError(t, err)
}

// Guards against work that stays queued after permits became available.
func TestPermitsWakeTheirWaiters(t *testing.T) {
	f := newFixture(t, 1, echo)
	defer f.scheduler.Close()
	f.permits.setLimit("limited", 0)
	answers := f.submit(f.request("limited", "1", 0))
	f.eventually("the request asks for permits", func() bool { return f.permits.acquireCalls() > 0 })
	f.permits.setLimit("limited", 1)
	assert.NilError(t, f.await(answers).err)
}

// Guards against a team that floods the queue and so keeps others out: its newest request must be evicted.
func TestFullQueueEvictsFromTheTeamAboveItsShare(t *testing.T) {
	f := newFixture(t, 1, untilCancelled)
	defer f.scheduler.Close()
	var flood []<-chan answer
	for i := range 5 {
		flood = append(flood, f.submit(f.request("flood", fmt.Sprint(i), 0)))
		f.eventually("the request is queued or running", func() bool { l := f.load(); return l.Running+l.Waiting == i+1 })
	}
	_, err := f.scheduler.Run(context.Background(), f.request("flood", "5", 0))
	assertError(t, err, jaybarrow.KindQueueFull, jaybarrow.EffectNotRun)
	f.submit(f.request("other", "1", 0))
	assertError(t, f.await(flood[4]).err, jaybarrow.KindQueueFull, jaybarrow.EffectNotRun)
	assert.Equal(t, f.load().Waiting, 4)
	_, err = f.scheduler.Cancel(context.Background(), "flood", "0")
	assert.NilError(t, err)
	f.eventually("the next request runs", func() bool { return len(f.workers.sent()) == 2 })
	assert.NilError(t, cancelAll(f, "flood", 5))
	assert.NilError(t, cancelAll(f, "other", 2))
}

func cancelAll(f *fixture, team jaybarrow.TeamID, count int) error {
	for i := range count {
		if _, err := f.scheduler.Cancel(context.Background(), team, jaybarrow.RequestID(fmt.Sprint(i))); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a drain that cuts off running work, keeps queued work, accepts new work, or returns before all tasks ended.
func TestDrain(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 1, run)
	defer f.scheduler.Close()
	running := f.submit(f.request("a", "1", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	waiting := f.submit(f.request("a", "2", 0))
	f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, f.scheduler.Drain(ended) != nil, "returned while a task runs")
	assertError(t, f.await(waiting).err, jaybarrow.KindHandOver, jaybarrow.EffectNotRun)
	_, err := f.scheduler.Run(context.Background(), f.request("a", "3", 0))
	assertError(t, err, jaybarrow.KindHandOver, jaybarrow.EffectNotRun)
	close(unblock)
	assert.NilError(t, f.scheduler.Drain(context.Background()))
	assert.NilError(t, f.await(running).err)
	assert.Equal(t, f.permits.inUse(), jaybarrow.Slots(0))
}

// Guards against callers that wait forever because Close does not answer their queued requests.
func TestCloseAnswersQueuedRequests(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 1, run)
	f.submit(f.request("a", "1", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	waiting := f.submit(f.request("a", "2", 0))
	f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })
	closed := make(chan struct{})
	go func() { f.scheduler.Close(); close(closed) }()
	assertError(t, f.await(waiting).err, jaybarrow.KindShuttingDown, jaybarrow.EffectNotRun)
	close(unblock)
	<-closed
}

// Guards against decisions and outcomes that are not reported to worker health, the meter or the journal.
func TestReports(t *testing.T) {
	var f *fixture
	f = newFixture(t, 2, func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error) {
		if host == "a" {
			return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "full")
		}
		f.clock.advance(3 * time.Second)
		return echo(ctx, host, task)
	})
	assert.NilError(t, f.await(f.submit(f.request("t", "1", 0))).err)
	f.permits.setLimit("t", 0)
	callsBefore := f.permits.acquireCalls()
	late := f.submit(f.request("t", "2", time.Second))
	f.eventually("the request asks for permits", func() bool { return f.permits.acquireCalls() > callsBefore })
	f.clock.advance(time.Second)
	assertError(t, f.await(late).err, jaybarrow.KindNoPermit, jaybarrow.EffectNotRun)
	f.scheduler.Close()
	assert.DeepEqual(t, f.recorder.all(), []string{
		"first start of t", "started 1", "observed workerRefused on a of p", "retried 1",
		"started 1", "observed success on b of p", "served 1 slots for 3s to t", `answered "" to t`,
		"refused 2", `answered "noPermit" to t`,
	})
}

// Guards against a hand-back that takes the requests that have waited longest, or running ones.
func TestHandBackTakesTheLatest(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 1, run)
	defer f.scheduler.Close()
	defer close(unblock)
	f.submit(f.request("a", "1", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	f.submit(f.request("a", "2", 0))
	f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })
	later := f.request("a", "3", 0)
	later.Arrived = later.Arrived.Add(time.Second)
	latest := f.submit(later)
	f.eventually("two requests wait", func() bool { return f.load().Waiting == 2 })
	assert.Equal(t, f.scheduler.HandBack("p", 1), 1)
	assertError(t, f.await(latest).err, jaybarrow.KindHandOver, jaybarrow.EffectNotRun)
	assert.Equal(t, f.load().Waiting, 1)
	assert.Equal(t, f.scheduler.HandBack("none", 1), 0)
}
