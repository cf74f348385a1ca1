package task

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// attempt is the client's state of one task that it may have started.
type attempt struct {
	host        jaybarrow.Host
	task        jaybarrow.Task
	boot        Boot // the boot of the worker that the start was addressed to
	startBefore jaybarrow.WorkerClock

	sync.Mutex
	lastRenewal     time.Time // when the last renewal was sent, answered or not
	renewalsStopped bool      // no further renewal may be sent
	ended           bool      // the task is known not to run, now or later
}

// recordRenewal records the time of a renewal that is about to be sent. It reports false when renewals have stopped.
func (a *attempt) recordRenewal(now time.Time) bool {
	a.Lock()
	defer a.Unlock()
	if a.renewalsStopped {
		return false
	}
	a.lastRenewal = now
	return true
}

func (a *attempt) stopRenewals() {
	a.Lock()
	defer a.Unlock()
	a.renewalsStopped = true
}

func (a *attempt) setEnded() {
	a.Lock()
	defer a.Unlock()
	a.ended = true
}

func (a *attempt) hasEnded() bool {
	a.Lock()
	defer a.Unlock()
	return a.ended
}

// leaseEnd returns the time after which the task can no longer run. A renewal whose response was lost may have extended
// the lease. It gives the end of the lease in the worker's clock, so it extends the lease no further when it arrives late.
func (a *attempt) leaseEnd(lease time.Duration) time.Time {
	a.Lock()
	defer a.Unlock()
	latest := a.task.StartBy
	if a.lastRenewal.After(latest) {
		latest = a.lastRenewal
	}
	return jaybarrow.LeaseEndAfter(latest, lease)
}

// workerRestarted reports whether r comes from a boot of the worker other than the one the start was addressed to. The task
// ended with the earlier boot, and the new one refuses its start.
func (a *attempt) workerRestarted(r report) bool {
	return a.boot != "" && r.boot != "" && a.boot != r.boot
}

// neverRan reports whether the worker's refusal proves that the task did not and will not run. Only the boot that the
// start was addressed to can prove this.
func (a *attempt) neverRan(r report) bool {
	return r.outcome == OutcomeRefused && a.boot != "" && a.boot == r.boot
}

// cannotRun reports whether the task is known not to run, now or later. The start of a task that the worker has no record
// of may still arrive until its start-before time.
func (a *attempt) cannotRun(r report) bool {
	switch {
	case a.workerRestarted(r), r.outcome.ended(), a.neverRan(r):
		return true
	case r.outcome == OutcomeUnknown:
		return a.boot != "" && a.boot == r.boot && r.clock >= a.startBefore
	default:
		return false
	}
}
