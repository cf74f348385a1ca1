package pool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a cancellation that is lost while its request leaves the queue to be routed again: of a cancellation that was
// accepted and the answer handOver, the router sees only the latter and resubmits the request.
func TestCancellationDuringHandBack(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 1, run)
	defer f.scheduler.Close()
	defer close(unblock)
	var known bool
	f.recorder.onNote = func(line string) {
		if line == "refused 1" { // the request has left the queue and is not yet answered
			known, _ = f.scheduler.Cancel(context.Background(), "a", "1")
		}
	}
	f.submit(f.request("a", "busy", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	answers := f.submit(f.request("a", "1", 0))
	f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })
	assert.Equal(t, f.scheduler.HandBack("p", 1), 1)
	answer := f.await(answers)
	assert.Assert(t, known)
	assertError(t, answer.err, jaybarrow.KindCancelled, jaybarrow.EffectNotRun)

	for i := range 200 {
		id := fmt.Sprint("race-", i)
		answers := f.submit(f.request("a", id, 0))
		f.eventually("one request waits", func() bool { return f.load().Waiting == 1 })
		var racing sync.WaitGroup
		racing.Go(func() { f.scheduler.HandBack("p", 1) })
		racing.Go(func() { known, _ = f.scheduler.Cancel(context.Background(), "a", jaybarrow.RequestID(id)) })
		racing.Wait()
		err := f.await(answers).err
		assert.Equal(t, known, jaybarrow.IsKind(err, jaybarrow.KindCancelled), "%v", err)
	}
}
