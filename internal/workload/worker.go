package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// worker is the scheduler's view of one worker.
type worker struct {
	entry           jaybarrow.Worker
	gone            bool  // no longer in the register, or replaced at its address
	reported        bool  // a report under this scheduler's fence has arrived
	missedReports   int   // consecutive hold orders without a report
	reports         int64 // processed so far
	lastReport      time.Time
	reportWait      time.Duration         // how long the outstanding order lets the worker hold back its report
	clock           jaybarrow.WorkerClock // reading at lastReport or slightly earlier
	instanceStartMs int64                 // wall clock of the process's start, which identifies the instance; 0 when unknown
	instance        instanceNumber        // the current one; runs and tickets of earlier ones are void
	instanceSince   time.Time             // when this pool learned of the current instance
	restarted       bool                  // an earlier instance has reported under this scheduler's fence, the current one has not
	leaseEnd        time.Time             // when the lease has certainly ended unless it is extended again
	leaseOrderedAt  time.Time             // when an order that extends the lease was last sent
	used            jaybarrow.Resources
	lasting         int                 // runs of lasting tasks
	background      int                 // runs of background work
	bounded         int                 // runs of tasks with a latency bound
	lastingUsed     jaybarrow.Resources // the part of used that they use
	runs            map[runKey]*run
	firstListed     jaybarrow.EndNumber // the lowest end that the last report listed; 0 when it listed none
	processedEnds   jaybarrow.EndNumber // ends up to this number are processed
	storedEnds      jaybarrow.EndNumber // ends up to this number are also stored
	unstoredEnds    []unstoredEnd       // the processed ones after them
	// backoffUntil is when the worker may receive new tasks again after it refused a start or was ejected.
	backoffUntil    time.Time
	faults          int // runs that failed or stalled, and invalid starts, since the last success
	reserved        bool
	emptyingSince   time.Time               // when it was reserved to become empty; zero unless it is
	obstructedSince time.Time               // since when it cannot be emptied; zero when nothing prevents it
	emptied         bool                    // its lasting tasks are stopped without room elsewhere
	obstacle        jaybarrow.DrainObstacle // why it could not be emptied; holds until drainRetryAt
	drainRetryAt    time.Time
	drainWantedAt   time.Time // when it was first to be emptied for the wave that its host awaits
	maintenanceDue  bool      // its host awaits maintenance in a wave
	coldUntil       time.Time // when it ceases to be slow after its start
	isEvacuated     func(jaybarrow.DataCentreID) bool
}

type runKey struct {
	task jaybarrow.TaskRef
	run  jaybarrow.RunNumber
}

// phase is a stage in the life cycle of a run.
type phase string

const (
	runPlanned     phase = "planned"   // not sent; its assignment must be stored first
	runSent        phase = "sent"      // sent, and not answered yet
	runUnconfirmed phase = "uncertain" // the start was not answered, or a previous scheduler sent it
	runRunning     phase = "running"
	runStopping    phase = "stopping"
)

// run is one start of a task that may exist on a worker.
type run struct {
	task            *task
	number          jaybarrow.RunNumber
	assignment      int64 // numbers the assignments of the pool in their order
	worker          *worker
	instanceStartMs int64          // start time of the worker when the run was assigned, as its record says
	instance        instanceNumber // the instance of the worker that the run was assigned to, or that has listed it since
	listed          bool           // whether a report has listed the run as running
	listedIn        int64          // number of the last report that did, counted by the worker's reports
	phase           phase
	inherited       bool      // assigned by a previous scheduler
	startUnanswered bool      // its start was not answered
	phaseSince      time.Time // when the phase began
	stopSentAt      time.Time
	stopsSent       int
	stopAnsweredAt  time.Time // when a stop was answered; zero until then
	progress        jaybarrow.Percent
	progressedAt    time.Time           // when the progress last changed
	gauge           int64               // as in the last jaybarrow.RunReport
	demand          jaybarrow.Resources // resources in use on the worker
	charged         jaybarrow.Resources // resources charged to its team
	ticket          jaybarrow.Ticket
	checkpoint      jaybarrow.Checkpoint // that it starts from
	givenUp         bool                 // the pool knew it as ended when its worker reported it
	throttle        jaybarrow.Percent    // share of its full speed that the run may use
	throttledAt     time.Time            // when the throttle was last changed
}

// newWorker returns a worker of the pool without runs.
func (p *Pool) newWorker(entry jaybarrow.Worker) *worker {
	return &worker{entry: entry, runs: make(map[runKey]*run), isEvacuated: p.evacuated}
}

// usable reports whether the worker may receive new tasks.
func (w *worker) usable(now time.Time, grace time.Duration) bool {
	return w.reported && !w.gone && !w.reserved && w.missedReports == 0 && w.entry.State == jaybarrow.WorkerReady &&
		w.reportsOnTime(now, grace) && !now.Before(w.backoffUntil) && !w.evacuated()
}

// acceptsOrders reports whether a start may still be sent to the worker. The write before it can take seconds, in which the worker may have
// begun to drain or fallen silent.
func (w *worker) acceptsOrders() bool {
	return w.reported && !w.gone && w.missedReports == 0 && w.entry.State == jaybarrow.WorkerReady
}

// willTakeTasks reports whether the worker is one that receives new tasks, or will in a moment: a first report that is still on its way, one that
// is late or one that was missed says little about the seconds for which a new job may wait.
func (w *worker) willTakeTasks() bool {
	return !w.gone && !w.reserved && w.missedReports <= 1 && w.entry.State == jaybarrow.WorkerReady && !w.evacuated()
}

// reportsOnTime reports whether the worker's next report is not overdue by more than the grace.
func (w *worker) reportsOnTime(now time.Time, grace time.Duration) bool {
	return now.Sub(w.lastReport) <= w.reportWait+grace
}

func (w *worker) free() jaybarrow.Resources { return w.entry.Capacity.Minus(w.used) }

// leaseExpiry returns the end of a lease that begins now, on the worker's clock.
func (w *worker) leaseExpiry(now time.Time, lease time.Duration) jaybarrow.WorkerClock {
	return w.clock + jaybarrow.WorkerClock((now.Sub(w.lastReport)+lease)/time.Millisecond)
}

// extendLease records that an order sent now lets the worker run its tasks until the expiry.
func (w *worker) extendLease(expiry jaybarrow.WorkerClock, now time.Time) {
	w.leaseOrderedAt = now
	w.extendLeaseEnd(w.lastReport, time.Duration(expiry-w.clock)*time.Millisecond)
}

// extendLeaseEnd records that the worker may run its tasks for a time of its own clock, which may be slow.
func (w *worker) extendLeaseEnd(from time.Time, lease time.Duration) {
	if end := leaseEndAfter(from, lease); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// leaseEndAfter returns when a lease of a worker's clock has certainly ended.
func leaseEndAfter(from time.Time, lease time.Duration) time.Time {
	return from.Add(time.Duration(float64(lease)/(1-clockSlowdown)) + leaseEndMargin)
}

// countRuns returns how many runs of the step may exist on the worker.
func (w *worker) countRuns(s *step) int {
	n := 0
	for _, r := range w.runs {
		if t := r.task.ref; t.Job == s.job.spec.ID && t.Occurrence == s.occurrence.number && t.Step == s.index {
			n++
		}
	}
	return n
}
