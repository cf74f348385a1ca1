package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// instanceNumber counts the instances of a worker as this pool has seen them. A worker that starts again keeps its id and its address, so an order
// cannot name the instance that it is meant for, and a start time alone does not tell instances apart: time of day may have jumped back.
type instanceNumber int

// beginInstance records that the worker has started again. startedMs is the start time of the new instance, or 0 when it is unknown.
//
// A run that a report of an earlier instance has listed ended with that instance, and a planned run was never sent. Any other run may have been
// accepted by either instance; it stays assigned until a report of the new one shows which.
func (p *Pool) beginInstance(w *worker, startedMs int64, now time.Time) {
	lost, uncertain := 0, 0
	for _, r := range w.runs {
		if r.listed || r.phase == runPlanned {
			lost++
			p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
			continue
		}
		uncertain++
		if r.phase == runStopping {
			// The new instance does not know of a stop that the earlier one answered.
			r.stopSentAt, r.stopsSent, r.stopAnsweredAt = time.Time{}, 0, time.Time{}
		}
	}
	w.instance++
	w.instanceSince = now
	if startedMs != 0 {
		w.instanceStartMs = startedMs
	}
	w.restarted = w.restarted || w.reported
	w.processedEnds, w.storedEnds, w.firstListed, w.reported, w.clock, w.faults = 0, 0, 0, false, 0, 0
	w.unstoredEnds = nil
	delete(p.unstoredEnds, w)
	p.sweepDue = true
	if uncertain > 0 {
		p.assumeLongestLease(w, now)
	}
	p.observer.WorkerRestarted(w.entry.ID, lost, uncertain)
}

// assumeLongestLease covers a lease that an order has set in the new instance by the clock of the earlier one, which may be far ahead.
func (p *Pool) assumeLongestLease(w *worker, now time.Time) {
	w.extendLeaseEnd(now, p.settings.MaxLease)
}

// registerInstance applies the start time of the worker's entry. An entry is read later than it was written, so one that only repeats the
// entry before says nothing about an instance that a report has shown since.
func (p *Pool) registerInstance(w *worker, before, startedMs int64, now time.Time) {
	switch {
	case startedMs == 0 || startedMs == w.instanceStartMs:
	case w.instanceStartMs == 0:
		w.instanceStartMs = startedMs
	case startedMs != before:
		p.beginInstance(w, startedMs, now)
	}
}

// reportInstance applies the start time and the clock of a report to an order that was sent at the given time. It returns false when the
// report is of an earlier instance and must not be used.
func (p *Pool) reportInstance(w *worker, report jaybarrow.HoldReport, sent, now time.Time) bool {
	known := report.StartedMs != 0 && w.instanceStartMs != 0
	if known && report.StartedMs != w.instanceStartMs || w.clockRestarted(report.Clock, sent) {
		if sent.Before(w.instanceSince) {
			return false
		}
		p.beginInstance(w, report.StartedMs, now)
	}
	if report.StartedMs != 0 {
		w.instanceStartMs = report.StartedMs
	}
	if w.restarted {
		w.restarted = false
		if began := now.Add(-time.Duration(report.Clock) * time.Millisecond); w.leaseOrderedAt.After(began) {
			p.assumeLongestLease(w, now)
		}
	}
	return true
}

// clockRestarted reports whether a reading of the worker's clock, in an answer to an order sent at the given time, is too low for the instance
// of the last report. It is false while either reading is unknown.
func (w *worker) clockRestarted(reading jaybarrow.WorkerClock, sent time.Time) bool {
	if reading == 0 || w.clock == 0 {
		return false
	}
	elapsed := float64(sent.Sub(w.lastReport))
	least := w.clock + jaybarrow.WorkerClock((elapsed-clockSlowdown*max(elapsed, -elapsed)-float64(leaseEndMargin))/float64(time.Millisecond))
	return reading < least
}

// HandleClock applies the reading of the worker's clock in its answer to a start, which was sent at the given time. It returns true when
// the reading shows that the worker has started again, so that only a report can show what it runs; 0 is no reading.
func (p *Pool) HandleClock(id jaybarrow.WorkerID, reading jaybarrow.WorkerClock, sent, now time.Time) bool {
	w := p.workers[id]
	if w == nil || !w.clockRestarted(reading, sent) {
		return false
	}
	p.beginInstance(w, 0, now)
	return true
}

// NeedsPoll reports whether the worker has started again and not reported since. The order that waits for its report may have gone to the
// earlier instance.
func (p *Pool) NeedsPoll(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w != nil && w.restarted
}

// acknowledgement returns up to which end the next order to the worker acknowledges; 0 acknowledges nothing. A worker that has started
// again numbers its ends from 1 and would forget them unread, so only listed ends are acknowledged, and only soon after the report.
func (w *worker) acknowledgement(now time.Time, grace time.Duration) jaybarrow.EndNumber {
	if w.firstListed == 0 || w.storedEnds < w.firstListed || w.missedReports > 0 || now.Sub(w.lastReport) > grace {
		return 0
	}
	return w.storedEnds
}

// firstEnd returns the lowest number of the ends; 0 when there are none.
func firstEnd(ends []jaybarrow.EndReport) jaybarrow.EndNumber {
	var first jaybarrow.EndNumber
	for _, e := range ends {
		if first == 0 || e.Number < first {
			first = e.Number
		}
	}
	return first
}
