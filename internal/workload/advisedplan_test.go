package workload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// BenchmarkAdvisedPlan measures a plan with 1,000 waiting steps and the choice of the next request, with and without advice, for workers with and
// without room. A plan without advice and with room starts the tasks, so that it is measured with workers that have none.
func BenchmarkAdvisedPlan(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, advised := range []bool{false, true} {
			if !full && !advised {
				continue
			}
			b.Run(fmt.Sprintf("full %v, advised %v", full, advised), func(b *testing.B) {
				h := newHarness(new(testing.T))
				for n := range 48 {
					h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%02d", n)))
				}
				if full {
					h.addJob("full", tasks(48, 9900))
					h.planAndStart(jaybarrow.StartDone)
				}
				if advised {
					h.advice = &jaybarrow.AdviceSettings{Decide: 100 * time.Millisecond, Each: 8 * time.Millisecond, Valid: 3 * time.Second}
				}
				for n := range 1000 {
					h.addJob(jaybarrow.JobID(fmt.Sprintf("j%03d", n)), tasks(1, 3500))
				}
				for b.Loop() {
					h.pool.Unreserve("w00") // a change, so that the plan places tasks
					h.pool.Plan(h.now, true)
					if advised {
						h.pool.AdviceOffers(h.now, false)
					}
				}
			})
		}
	}
}
