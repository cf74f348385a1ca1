package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against the answer "not run" to a request whose first attempt ran or may have run: the request ends while it is queued
// for the second attempt, which did not run.
func TestEffectOfEarlierAttempts(t *testing.T) {
	lost := jaybarrow.Errorf(jaybarrow.KindWorkerLost, "silent")
	failed := jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "exit 1")
	cases := []struct {
		name  string
		first error
		end   func(*fixture)
		kind  jaybarrow.ErrorKind
	}{
		{"lost, cancelled", lost, func(f *fixture) { _, _ = f.scheduler.Cancel(context.Background(), "b", "1") }, jaybarrow.KindCancelled},
		{"failed, cancelled", failed, func(f *fixture) { _, _ = f.scheduler.Cancel(context.Background(), "b", "1") }, jaybarrow.KindCancelled},
		{"lost, deadline", lost, func(f *fixture) { f.clock.advance(time.Minute) }, jaybarrow.KindDeadlinePassed},
		{"lost, handed over", lost, func(f *fixture) {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = f.scheduler.Drain(ended)
		}, jaybarrow.KindHandOver},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run, unblock := blockingWorker()
			fail := make(chan struct{})
			f := newFixture(t, 2, func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error) {
				if task.Team == "b" {
					<-fail
					return nil, c.first
				}
				return run(ctx, host, task)
			})
			f.submit(f.request("a", "busy", 0))
			f.eventually("one task runs", func() bool { return f.load().Running == 1 })
			answers := f.submit(f.request("b", "1", time.Minute))
			f.eventually("both tasks run", func() bool { return f.load().Running == 2 })
			close(fail)
			f.eventually("the request waits for the other host", func() bool { return f.load().Waiting == 1 })
			c.end(f)
			assertError(t, f.await(answers).err, c.kind, jaybarrow.EffectMayHaveRun)
			close(unblock)
			close(f.workers.end)
			f.scheduler.Close()
		})
	}
}
