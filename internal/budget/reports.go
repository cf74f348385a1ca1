package budget

import "time"

// The cost of one report: its bytes with those of its order, headers and acknowledgements, and its processor time.
const (
	reportBytes     Bytes = 1000
	reportProcessor       = 100 * time.Microsecond
)

// The shares of the link and of the processor that regular reports may use.
const (
	reportLinkShare      = 0.2
	reportProcessorShare = 0.15
)

// ReportInterval returns how long workers with running tasks may hold back a report, from least to most. A report that a task has ended
// does not wait for it.
//
// Load pattern: a fleet that is large for its leader. Each worker costs one report in each interval, however little runs, and reports
// must not fill the link or the processor that starts and renewals of the leader's own lease need.
func (h Host) ReportInterval(workers int, least, most time.Duration) time.Duration {
	n := max(0, workers)
	return min(most, max(least, h.intervalFor(Bytes(n)*reportBytes, time.Duration(n)*reportProcessor, reportLinkShare, reportProcessorShare)))
}
