package task_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// taskResult is a task with what its Run returned.
type taskResult struct {
	task jaybarrow.Task
	runResult
}

// Guards against false effects, wrong answers and slots that are freed too early when faults change while tasks run and are
// cancelled. After AwaitEnd no task may run, and once everything delayed has been delivered the ledger must agree with
// every result.
func TestReportedEffectsUnderChangingFaults(t *testing.T) {
	t.Parallel()
	const seed, callers, switches = 7, 6, 24
	f := newFixture(t, shortLeases(), worker.DefaultConnections)
	stop := make(chan struct{})
	results := make([][]taskResult, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			pace := time.NewTicker(10 * time.Millisecond) // limits the size of the ledger, which each check reads
			defer pace.Stop()
			for {
				select {
				case <-stop:
					return
				case <-pace.C:
					results[i] = append(results[i], f.runOne(random))
				}
			}
		})
	}
	f.switchFaults(rand.New(rand.NewPCG(seed, callers)), switches)
	close(stop)
	group.Wait()

	answered, total := 0, 0
	for _, c := range slices.Concat(results...) {
		f.checkAgainstLedger(c.task, c.body, c.err)
		total++
		if c.err == nil {
			answered++
		}
	}
	t.Logf("%d of %d tasks were answered", answered, total)
	assert.Assert(t, answered > 0)
}

// runOne runs a task, which it cancels in one case of four, and waits for the end of a task that may have run.
func (f *fixture) runOne(random *rand.Rand) taskResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(4) == 0 {
		timer := time.AfterFunc(time.Duration(random.IntN(100))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	t := f.task(worker.Work{RunMs: random.Int64N(80)}, 500*time.Millisecond)
	body, err := f.client.Run(ctx, f.host, t)
	if err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectMayHaveRun {
		f.client.AwaitEnd(f.host, t)
		started, _ := f.ledgerEntries(t.ID)
		assert.Check(f, started == nil || started.EndedNs != 0, "task %s runs after AwaitEnd", t.ID)
	}
	return taskResult{t, runResult{body, err}}
}

// switchFaults changes the worker's faults the given number of times and leaves the worker without faults.
func (f *fixture) switchFaults(random *rand.Rand, switches int) {
	kinds := []worker.FaultKind{
		worker.FaultNone, worker.FaultFail, worker.FaultHang, worker.FaultTruncate, worker.FaultDuplicate, worker.FaultCross, worker.FaultLate,
	}
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for range switches {
		f.server.SetFault(worker.Fault{Kind: kinds[random.IntN(len(kinds))], DelayMs: random.Int64N(50)})
		f.server.SetFrozen(random.IntN(3) == 0, nil)
		f.server.SetRefusing(random.IntN(6) == 0)
		<-ticker.C
	}
	f.server.SetFault(worker.Fault{})
	f.server.SetRefusing(false)
	f.server.SetFrozen(false, nil)
	f.eventually("everything delayed is delivered", func() bool { return f.server.BlockedReads() == 0 })
}
