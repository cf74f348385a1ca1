package budget

import "time"

// planProcessor is the processor time of a plan for each worker of its pool, with the signals and the write that follow it.
const planProcessor = 2 * time.Microsecond

// planProcessorShare is the share of the processor that the plans of one pool may use beside the placement of tasks.
const planProcessorShare = 0.05

// PlanInterval returns the least time between two plans of a pool with as many workers.
//
// Load pattern: a turn of a large pool, with several reports, answers and new jobs in each millisecond. A plan and a write for each of them cost
// more than they bring; in a small pool they cost little, and each millisecond counts for its quick jobs.
func (h Host) PlanInterval(workers int) time.Duration {
	return h.intervalFor(0, time.Duration(max(0, workers))*planProcessor, 1, planProcessorShare)
}
