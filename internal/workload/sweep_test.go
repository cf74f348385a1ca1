package workload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// BenchmarkSweep measures a plan that checks every worker of a busy pool and finds nothing to do, as most of them do.
func BenchmarkSweep(b *testing.B) {
	const workers, runsEach = 220, 7
	t := new(testing.T)
	h := newHarness(t)
	for n := range workers {
		h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%03d", n)))
	}
	step := tasks(workers*runsEach, 1400)
	step.EstimateMs = 3_600_000
	h.addJob("busy", step)
	for range 20 {
		h.planAndStart(jaybarrow.StartDone)
	}
	for b.Loop() {
		h.now = h.now.Add(60 * time.Millisecond)
		h.pool.Plan(h.now, true)
	}
}
