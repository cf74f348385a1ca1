package budget

import "time"

// batchBytes is the size of the records that a round of a busy pool writes.
const batchBytes Bytes = 8 << 10

// batchLinkShare is the share of the link that the progress of jobs may use.
const batchLinkShare = 0.25

// BatchDelay returns how long changes of the progress of jobs are collected into one write, at least least.
//
// Load pattern: many jobs of many short tasks. A job's record is written again with each of its ends that is not collected with others.
func (h Host) BatchDelay(least time.Duration) time.Duration {
	return max(least, h.intervalFor(batchBytes, 0, batchLinkShare, 1))
}
