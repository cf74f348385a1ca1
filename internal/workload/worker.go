package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// worker is what the scheduler knows of one worker.
type worker struct {
	entry   jaybarrow.Worker
	gone    bool // no longer in the register
	reached bool // a report under the own fence has arrived
	failing int  // reports that failed in a row
	seen    time.Time
	wait    time.Duration         // how long the order under way lets the worker wait with its report
	clock   jaybarrow.WorkerClock // at seen or a little earlier
	bornMs  int64
	lapses  time.Time // when the lease has ended for certain if the worker is not reached again
	used    jaybarrow.Resources
	runs    map[runKey]*run
	noted   jaybarrow.EndNumber // ends up to it are taken into account
	stored  jaybarrow.EndNumber // ends up to it are stored too
	// refusing is until when the worker receives no new tasks, after it refused one without reason.
	refusing time.Time
	faults   int // runs that failed or stood still since the last success
	reserved bool
	due      bool // its host is still to be maintained in a wave
}

type runKey struct {
	task jaybarrow.TaskRef
	run  jaybarrow.RunNumber
}

// phase is where a run stands.
type phase string

const (
	runPlanned   phase = "planned"   // not sent; its assignment is being stored
	runSent      phase = "sent"      // no answer yet
	runUncertain phase = "uncertain" // the start had no answer, or a previous scheduler sent it
	runRunning   phase = "running"
	runStopping  phase = "stopping"
)

// run is one start of a task that may exist on a worker.
type run struct {
	task      *task
	number    jaybarrow.RunNumber
	worker    *worker
	bornMs    int64 // the worker's life when the run was assigned
	phase     phase
	inherited bool      // assigned by a previous scheduler
	doubtful  bool      // its start had no answer
	since     time.Time // when the phase began
	stopSent  time.Time
	stopped   time.Time // when a stop was answered; zero: not yet
	progress  jaybarrow.Percent
	moved     time.Time // when the progress last changed
	gauge     int64
	demand    jaybarrow.Resources // what it takes of the worker
	charged   jaybarrow.Resources // what it takes of its team's limit
	ticket    jaybarrow.Ticket
	pace      jaybarrow.Percent
	paced     time.Time // when the share was last changed
}

func newWorker(entry jaybarrow.Worker) *worker {
	return &worker{entry: entry, runs: make(map[runKey]*run)}
}

// usable reports whether the worker may receive new tasks.
func (w *worker) usable(now time.Time, suspect time.Duration) bool {
	return w.reached && !w.gone && !w.reserved && w.failing == 0 && w.entry.State == jaybarrow.WorkerReady &&
		w.heard(now, suspect) && !now.Before(w.refusing)
}

// heard reports whether the worker's last report is as recent as it can be, but for a while.
func (w *worker) heard(now time.Time, while time.Duration) bool {
	return now.Sub(w.seen) <= w.wait+while
}

// planned reports whether a run is assigned to the worker that has not been sent.
func (w *worker) planned() bool {
	for _, r := range w.runs {
		if r.phase == runPlanned {
			return true
		}
	}
	return false
}

func (w *worker) free() jaybarrow.Resources { return w.entry.Capacity.Minus(w.used) }

// expiry returns the end of a lease that begins now, in the worker's clock.
func (w *worker) expiry(now time.Time, lease time.Duration) jaybarrow.WorkerClock {
	return w.clock + jaybarrow.WorkerClock((now.Sub(w.seen)+lease)/time.Millisecond)
}

// extend notes that the worker may run on until the expiry.
func (w *worker) extend(expiry jaybarrow.WorkerClock) {
	left := time.Duration(expiry-w.clock) * time.Millisecond
	end := w.seen.Add(time.Duration(float64(left)/(1-clockSlowdown)) + lapseMargin)
	if end.After(w.lapses) {
		w.lapses = end
	}
}

// count returns how many runs of the step's occurrence the worker may have.
func (w *worker) count(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
