package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// SetWorker takes a worker's entry in the register into account.
func (p *Pool) SetWorker(entry jaybarrow.Worker, now time.Time) {
	w := p.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		p.workers[entry.ID] = w
	}
	if w.entry.Address != entry.Address {
		// The worker has moved to another address; what is known of its connection does not hold.
		w.reached = false
	}
	w.entry, w.gone = entry, false
	if entry.StartedMs != 0 {
		p.reborn(w, entry.StartedMs, now)
	}
}

// DropWorker notes that a worker has left the register; its tasks may run on until its lease ends.
func (p *Pool) DropWorker(id jaybarrow.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.gone = true
	}
}

// reborn ends what ran in an earlier life of the worker.
func (p *Pool) reborn(w *worker, bornMs int64, now time.Time) {
	if bornMs <= w.bornMs {
		return
	}
	first := w.bornMs == 0
	w.bornMs = bornMs
	for _, r := range w.runs {
		// At first only the runs that were assigned to an earlier life are lost.
		if r.bornMs != bornMs && (!first || r.bornMs != 0) {
			p.end(r, jaybarrow.EndLeaseExpired, "", now)
		}
	}
	if !first {
		w.noted, w.stored, w.reached, w.clock, w.faults = 0, 0, false, 0, 0
	}
}

// HoldOrder returns the next order for the worker; false when the worker needs none any more. The lease is only extended with
// extend, which must be false once another scheduler may lead: that one waits for no longer than a lease from its beginning.
func (p *Pool) HoldOrder(id jaybarrow.WorkerID, extend bool, now time.Time) (jaybarrow.Worker, jaybarrow.HoldOrder, bool) {
	w := p.workers[id]
	if w == nil {
		return jaybarrow.Worker{}, jaybarrow.HoldOrder{}, false
	}
	o := jaybarrow.HoldOrder{Fence: p.fence, Acknowledged: w.stored, Wait: p.settings.Idle}
	if len(w.runs) > 0 {
		o.Wait = p.settings.Renew
	}
	if !w.reached || w.failing > 0 {
		o.Wait = 0
	}
	w.wait = o.Wait
	// An order to a worker that does not answer may still arrive and extend the lease; then its tasks would never count as ended.
	if extend && w.reached && w.failing == 0 {
		o.Expires = w.expiry(now, p.settings.Lease)
		w.extend(o.Expires)
	}
	return w.entry, o, true
}

// EndsStored reports whether every end that the worker has listed is stored. Until then another order would only be
// answered with the same ends.
func (p *Pool) EndsStored(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w == nil || w.noted <= w.stored
}

// HandleReport takes a worker's report into account; sent and received are the times of the order and of the answer.
func (p *Pool) HandleReport(id jaybarrow.WorkerID, report jaybarrow.HoldReport, sent, received time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if report.StartedMs != 0 {
		p.reborn(w, report.StartedMs, received)
	}
	w.reached, w.failing = true, 0
	w.seen, w.clock = received, report.Clock
	p.noteEnds(w, report.Ended, received)
	listed := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		listed[runKey{running.Task, running.Run}] = true
		p.noteRunning(w, running, received)
	}
	if len(report.Ended) < maxReportedEnds {
		p.noteMissing(w, listed, sent, received)
	}
}

func (p *Pool) noteEnds(w *worker, ends []jaybarrow.EndReport, now time.Time) {
	for _, e := range ends {
		if e.Number <= w.noted {
			continue
		}
		w.noted = e.Number
		if r := w.runs[runKey{e.Task, e.Run}]; r != nil {
			p.end(r, e.Kind, e.Checkpoint, now)
		}
	}
}

func (p *Pool) noteRunning(w *worker, report jaybarrow.RunReport, now time.Time) {
	r := w.runs[runKey{report.Task, report.Run}]
	if r == nil {
		p.orphans = append(p.orphans, StopRun{Worker: w.entry, Task: report.Task, Run: report.Run})
		return
	}
	if report.Checkpoint != "" && report.Checkpoint != r.task.saved {
		r.task.saved = report.Checkpoint
		p.change(r.task.step.job, now)
	}
	if r.phase == runSent || r.phase == runUncertain {
		r.phase, r.since, r.moved, r.inherited = runRunning, now, now, false
	}
	if report.Progress != r.progress {
		r.progress, r.moved = report.Progress, now
	}
	r.gauge = report.Gauge
}

// noteMissing resolves the runs that a complete report does not list.
func (p *Pool) noteMissing(w *worker, listed map[runKey]bool, sent, now time.Time) {
	for key, r := range w.runs {
		if listed[key] {
			continue
		}
		switch {
		case r.inherited:
			// The worker has seen the own fence, so that a late start by a previous scheduler does nothing.
			p.end(r, jaybarrow.EndLeaseExpired, "", now)
		case r.phase == runStopping && !r.stopped.IsZero() && sent.After(r.stopped):
			p.end(r, jaybarrow.EndStopped, "", now)
		case (r.phase == runUncertain || r.phase == runRunning) && sent.After(r.since):
			p.stop(r, now)
		}
	}
}

// HandleHoldFailure takes a missing report into account. replaced means that another life of a worker answers at the address, so
// that this one has ended.
func (p *Pool) HandleHoldFailure(id jaybarrow.WorkerID, replaced bool, now time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.failing++
	if !replaced {
		return
	}
	w.gone = true
	for _, r := range w.runs {
		p.end(r, jaybarrow.EndLeaseExpired, "", now)
	}
}

// HandleStartOutcome takes a worker's answer to a start into account. It reports whether only a report can tell what became of the run.
func (p *Pool) HandleStartOutcome(s StartRun, outcome jaybarrow.StartOutcome, now time.Time) bool {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runSent {
		return false
	}
	r.since = now
	p.observer.StartAnswered(outcome)
	switch outcome {
	case jaybarrow.StartDone:
		r.phase, r.moved = runRunning, now
	case jaybarrow.StartUnknown:
		r.phase, r.doubtful = runUncertain, true
		return true
	case jaybarrow.StartStale:
		// A stop or an end of this run is known there; the next report tells which.
		p.stop(r, now)
	default:
		p.refused(r, outcome, now)
	}
	return false
}

// refusalRest is how long a worker that refuses without having done anything receives no new task; its own reports come as often.
const refusalRest = 300 * time.Millisecond

func (p *Pool) refused(r *run, outcome jaybarrow.StartOutcome, now time.Time) {
	w := r.worker
	p.end(r, jaybarrow.EndStopped, "", now)
	switch outcome {
	case jaybarrow.StartNoTicket:
		delete(r.task.step.advice, w.entry.ID)
	case jaybarrow.StartReplaced:
		p.HandleHoldFailure(w.entry.ID, true, now)
	case jaybarrow.StartInvalid:
		r.task.avoid = w.entry.ID
		p.blame(w, "a start was rejected as invalid", now)
	default:
		w.refusing = now.Add(refusalRest)
	}
}

// stop begins to end a run, or to make sure that it never begins.
func (p *Pool) stop(r *run, now time.Time) {
	if r.phase == runStopping || r.phase == runPlanned {
		return
	}
	r.phase, r.since, r.stopSent, r.stopped = runStopping, now, time.Time{}, time.Time{}
}

// HandleStopOutcome takes the answer to a stop into account. It reports whether only a report can tell that the run is not there: one that
// never began has no end that a waiting order would bring.
func (p *Pool) HandleStopOutcome(s StopRun, answered bool, now time.Time) bool {
	w := p.workers[s.Worker.ID]
	if w == nil || !answered {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runStopping {
		return false
	}
	r.stopped = now
	return r.doubtful
}

// PollOrder returns an order whose report comes at once, beside the one that waits; false when the worker is not reached. It leaves
// the lease alone.
func (p *Pool) PollOrder(id jaybarrow.WorkerID) (jaybarrow.Worker, jaybarrow.HoldOrder, bool) {
	w := p.workers[id]
	if w == nil || !w.reached || w.gone {
		return jaybarrow.Worker{}, jaybarrow.HoldOrder{}, false
	}
	return w.entry, jaybarrow.HoldOrder{Fence: p.fence, Acknowledged: w.stored}, true
}
