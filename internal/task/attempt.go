package task

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// attempt is what the client knows of one task that it may have started.
type attempt struct {
	host        jaybarrow.Host
	task        jaybarrow.Task
	boot        Boot // of the worker that the start was addressed to
	startBefore jaybarrow.WorkerClock

	sync.Mutex
	lastRenewal time.Time // when the last renewal was sent, answered or not
	closed      bool      // no renewal is sent any more
	ended       bool      // the task is known not to run, now or later
}

// beginRenewal notes that a renewal is about to be sent; it reports false when none may be.
func (a *attempt) beginRenewal(now time.Time) bool {
	a.Lock()
	defer a.Unlock()
	if a.closed {
		return false
	}
	a.lastRenewal = now
	return true
}

func (a *attempt) close() {
	a.Lock()
	defer a.Unlock()
	a.closed = true
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

// leaseEnd returns the time after which the task cannot run any more. A renewal whose answer was lost may have extended
// the lease; it names the lease's end in the worker's clock, so it extends it no further even when it arrives late.
func (a *attempt) leaseEnd(lease time.Duration) time.Time {
	a.Lock()
	defer a.Unlock()
	latest := a.task.StartBy
	if a.lastRenewal.After(latest) {
		latest = a.lastRenewal
	}
	return jaybarrow.LeaseEndAfter(latest, lease)
}

// restarted reports whether the report comes from another boot of the worker than the start was addressed to. The task
// ended with the earlier boot, and the new one refuses its start.
func (a *attempt) restarted(r report) bool {
	return a.boot != "" && r.boot != "" && a.boot != r.boot
}

// neverRan reports whether the worker's refusal proves that the task did not and will not run. Only the boot that the
// start was addressed to can know.
func (a *attempt) neverRan(r report) bool {
	return r.outcome == OutcomeRefused && a.boot != "" && a.boot == r.boot
}

// over reports whether the task is known not to run, now or later. An unknown task may still arrive until its
// start-before time.
func (a *attempt) over(r report) bool {
	switch {
	case a.restarted(r), r.outcome.ended(), a.neverRan(r):
		return true
	case r.outcome == OutcomeUnknown:
		return a.boot != "" && a.boot == r.boot && r.clock >= a.startBefore
	default:
		return false
	}
}
