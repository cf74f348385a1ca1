package workload

import (
	"maps"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// SetWorker applies a worker's entry in the register; it reports false, and changes nothing, when the entry is one that a worker has left
// which is known to have ended.
func (p *Pool) SetWorker(entry jaybarrow.Worker, now time.Time) bool {
	if ended, ok := p.endedWorkers[entry.ID]; ok {
		if entry.StartedMs == ended.startedMs && now.Sub(ended.at) < endedEntryLimit {
			return false
		}
		delete(p.endedWorkers, entry.ID)
	}
	w := p.workers[entry.ID]
	if w == nil {
		w = p.newWorker(entry)
		p.addWorker(w)
	}
	p.sweepDue = true
	if w.entry.Address != entry.Address {
		// The address has changed, so earlier reports do not show that the worker can be reached there.
		w.reported = false
	}
	before := w.entry.StartedMs
	w.entry, w.gone, w.coldUntil = entry, false, now.Add(entry.ColdLeft)
	p.registerInstance(w, before, entry.StartedMs, now)
	return true
}

// endedWorker is the instance of a worker that is known to have ended.
type endedWorker struct {
	startedMs int64
	at        time.Time
}

// endedEntryLimit is how long the entry of an ended worker may stay in the register: some heartbeats of the worker.
const endedEntryLimit = 30 * time.Second

// EndWorker records that a worker has certainly ended, because its host has left with it. Nobody waits for its reports any more.
func (p *Pool) EndWorker(id jaybarrow.WorkerID, now time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	maps.DeleteFunc(p.endedWorkers, func(_ jaybarrow.WorkerID, e endedWorker) bool { return now.Sub(e.at) >= endedEntryLimit })
	if w.entry.StartedMs != 0 {
		// Without a start time the entry of the next instance would look the same.
		p.endedWorkers[id] = endedWorker{startedMs: w.entry.StartedMs, at: now}
	}
	for _, r := range w.runs {
		p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
	}
	w.gone = true
	w.missedReports++
	p.removeWorker(w)
}

// DropWorker records that a worker is no longer registered; its tasks may keep running until its lease ends.
func (p *Pool) DropWorker(id jaybarrow.WorkerID) {
	delete(p.endedWorkers, id)
	if w := p.workers[id]; w != nil {
		w.gone, p.sweepDue = true, true
	}
}

// HoldOrder returns the next order for the worker; false when the worker is no longer known. The lease is only extended with
// extendLease, which must be false once another scheduler may lead: a successor waits for no longer than one lease from the start
// of its term.
func (p *Pool) HoldOrder(id jaybarrow.WorkerID, extendLease bool, now time.Time) (jaybarrow.Worker, jaybarrow.HoldOrder, bool) {
	w := p.workers[id]
	if w == nil {
		return jaybarrow.Worker{}, jaybarrow.HoldOrder{}, false
	}
	o := jaybarrow.HoldOrder{Fence: p.fence, Wait: p.settings.IdleInterval}
	o.Acknowledged = w.acknowledgement(now, p.settings.ReportGrace)
	if len(w.runs) > 0 {
		o.Wait = p.renewInterval
	}
	if !w.reported || w.missedReports > 0 || w.firstListed > 0 && o.Acknowledged == 0 {
		o.Wait = 0
	}
	w.reportWait = o.Wait
	// An order to a worker that does not answer may still arrive and extend the lease. If every retry extended it, the worker's
	// tasks would never count as ended.
	if extendLease && w.reported && w.missedReports == 0 {
		o.Expires = w.leaseExpiry(now, p.settings.Lease)
		w.extendLease(o.Expires, now)
	}
	return w.entry, o, true
}

// EndsStored reports whether every end that the worker has listed is stored. Until then another order would only return the same
// ends.
func (p *Pool) EndsStored(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w == nil || w.processedEnds <= w.storedEnds
}

// HandleReport applies a worker's report; sent and received are the times of the order and of the report. It reports whether a plan
// may have something to do because of it; most reports only renew what is known.
func (p *Pool) HandleReport(id jaybarrow.WorkerID, report jaybarrow.HoldReport, sent, received time.Time) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	wasUsable := w.usable(received, p.settings.ReportGrace)
	if !p.reportInstance(w, report, sent, received) || w.hasAnsweredSince(report) {
		return false
	}
	w.firstListed = firstEnd(report.Ended)
	w.reported, w.missedReports = true, 0
	w.lastReport, w.clock = received, report.Clock
	p.processEnds(w, report.Ended, received)
	w.reports++
	for _, running := range report.Running {
		p.processRunning(w, running, received)
	}
	if len(report.Ended) < maxReportedEnds {
		p.resolveMissing(w, sent, received)
	}
	if !wasUsable && w.usable(received, p.settings.ReportGrace) {
		p.placementsDue = true
	}
	return p.placementsDue || len(p.unknownRuns)+len(p.stopping) > 0 || p.HasWritesDue()
}

// hasAnsweredSince reports whether the last report that was applied was answered after this one and has overtaken it, as one to a poll may. Two
// answers within a millisecond cannot be told apart.
func (w *worker) hasAnsweredSince(report jaybarrow.HoldReport) bool {
	return report.Clock != 0 && report.Clock < w.clock
}

// processEnds applies listed ends, except those of earlier reports: a worker lists an end until it is acknowledged.
func (p *Pool) processEnds(w *worker, ends []jaybarrow.EndReport, now time.Time) {
	for _, e := range ends {
		if e.Number <= w.processedEnds {
			continue
		}
		w.processedEnds = e.Number
		r := w.runs[runKey{e.Task, e.Run}]
		if r != nil {
			r.task.listedEnd = e.Run
			p.endRun(r, e.Kind, e.Checkpoint, now)
		}
		if e.Kind == jaybarrow.EndDone && (r == nil || r.task.stray) {
			p.adoptDone(e, now)
		}
		p.addUnstoredEnd(w, e)
	}
	p.settleEnds(w)
}

// adoptDone marks a task as done whose run was given up before its end was known: its worker was silent until its lease had ended, and
// had completed the task before. A later run of the task is stopped or not sent.
func (p *Pool) adoptDone(e jaybarrow.EndReport, now time.Time) {
	j := p.jobs[e.Task.Job]
	if j == nil || j.state.Ended() {
		return
	}
	t := j.task(e.Task)
	if t == nil || t.done || t.step.spec.Lasting || t.step.spec.Gang {
		return
	}
	t.doneBefore = true
	switch r := t.current; {
	case r == nil:
		t.markDone()
		p.markChanged(j, now)
		p.updateState(j, now)
	case r.phase == runPlanned:
		p.endRun(r, jaybarrow.EndStopped, "", now)
	default:
		p.stopRun(r, now)
	}
}

// processRunning applies the report of a running task; a run that was given up is to be stopped.
func (p *Pool) processRunning(w *worker, report jaybarrow.RunReport, now time.Time) {
	r := w.runs[runKey{report.Task, report.Run}]
	if r == nil {
		p.addStray(w, report, now)
		return
	}
	r.instance, r.listed, r.listedIn = w.instance, true, w.reports
	if r.keepCheckpoint(report.Checkpoint) && !r.task.stray && !r.task.step.job.state.Ended() {
		p.markChanged(r.task.step.job, now)
	}
	if r.phase == runSent || r.phase == runUnconfirmed {
		p.setPhase(r, runRunning, now)
		r.progressedAt, r.inherited = now, false
	}
	r.gauge = report.Gauge
	if report.Progress != r.progress {
		r.progress, r.progressedAt = report.Progress, now
		return
	}
	p.stopIfStalled(r, now)
}

// addStray adds a run that a worker reports although the pool knows it as ended or not at all. It is stopped, and until it has ended it counts for
// its team and its worker, as far as the job is known.
func (p *Pool) addStray(w *worker, report jaybarrow.RunReport, now time.Time) {
	j := p.jobs[report.Task.Job]
	if j == nil || !j.has(report.Task) {
		p.unknownRuns = append(p.unknownRuns, StopRun{Worker: w.entry, Task: report.Task, Run: report.Run})
		return
	}
	t := j.task(report.Task)
	// A run whose end is known is not the task's current one, even if a report from before the end lists it: a record with the end and the run would
	// let a successor count the end again.
	if t == nil || t.done || t.current != nil || t.run != report.Run || t.listedEnd == report.Run {
		t = j.strayTask(report.Task)
	}
	r := p.assign(t, w, report.Run, now)
	r.listed, r.listedIn, r.givenUp = true, w.reports, true
	p.setPhase(r, runRunning, now)
	p.teams.Use(j.spec.Team, r.charged)
	p.stopRun(r, now)
}

// resolveMissing resolves the runs that the last report, a complete one, does not list.
func (p *Pool) resolveMissing(w *worker, sent, now time.Time) {
	for _, r := range w.runs {
		if r.listedIn == w.reports {
			continue
		}
		switch {
		case r.inherited:
			// The worker has seen this scheduler's fence and rejects a late start by a previous scheduler.
			p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
		case r.phase == runRunning && r.instance != w.instance && !sent.Before(r.phaseSince):
			// The start was answered before the order of this report was sent, so an earlier instance has accepted it.
			p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
		case r.phase == runStopping && !r.stopAnsweredAt.IsZero() && sent.After(r.stopAnsweredAt):
			p.endRun(r, jaybarrow.EndStopped, "", now)
		case (r.phase == runUnconfirmed || r.phase == runRunning) && sent.After(r.phaseSince):
			p.stopRun(r, now)
		}
	}
}

// HandleHoldFailure records a hold order without a report.
func (p *Pool) HandleHoldFailure(id jaybarrow.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.missedReports++
		p.sweepDue = true
	}
}

// HandleReplaced records that another worker answers at the address to which an order was sent, so that this one has ended; a worker that has
// started again at another address since has not.
func (p *Pool) HandleReplaced(worker jaybarrow.Worker, now time.Time) {
	w := p.workers[worker.ID]
	if w == nil {
		return
	}
	p.HandleHoldFailure(worker.ID)
	if w.entry.Address != worker.Address {
		return
	}
	w.gone = true
	for _, r := range w.runs {
		p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
	}
}

// HandleStartOutcome applies a worker's answer to a start. It returns true when only a report can show what became of the run.
func (p *Pool) HandleStartOutcome(s StartRun, outcome jaybarrow.StartOutcome, now time.Time) bool {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runSent {
		return false
	}
	r.phaseSince = now
	p.observer.StartAnswered(outcome)
	switch outcome {
	case jaybarrow.StartDone:
		p.setPhase(r, runRunning, now)
		r.progressedAt = now
	case jaybarrow.StartUnknown:
		p.setPhase(r, runUnconfirmed, now)
		r.startUnanswered = true
		return true
	case jaybarrow.StartStale:
		// The worker knows a stop or an end of this run; its next report shows which.
		p.stopRun(r, now)
	default:
		p.handleRefusal(s, r, outcome, now)
	}
	return false
}

// refusalBackoff is how long a worker that refused a start without running anything receives no new task; the worker's own
// reports come as often.
const refusalBackoff = 300 * time.Millisecond

// handleRefusal ends the run of a refused start and reacts to the reason of the refusal.
func (p *Pool) handleRefusal(s StartRun, r *run, outcome jaybarrow.StartOutcome, now time.Time) {
	w := r.worker
	p.endRun(r, jaybarrow.EndStopped, "", now)
	switch outcome {
	case jaybarrow.StartWithheld:
		p.observer.StartWithheld(s.Task, s.Run, w.entry.ID)
	case jaybarrow.StartNoTicket:
		if a := r.task.step.advice; a != nil {
			delete(a.tickets, w.entry.ID)
		}
	case jaybarrow.StartReplaced:
		p.HandleReplaced(s.Worker, now)
	case jaybarrow.StartInvalid:
		r.task.avoidWorker = w.entry.ID
		p.recordFault(w, "a start was rejected as invalid", now)
	default:
		w.backoffUntil = now.Add(refusalBackoff)
	}
}

// stopRun starts to stop a run, or to make sure that it never starts. It leaves planned runs alone, since they have not been
// sent.
func (p *Pool) stopRun(r *run, now time.Time) {
	if r.phase == runStopping || r.phase == runPlanned {
		return
	}
	p.setPhase(r, runStopping, now)
	r.stopSentAt, r.stopsSent, r.stopAnsweredAt = time.Time{}, 0, time.Time{}
}

// HandleStopOutcome records whether the worker answered a stop; an answer to one that was meant for an earlier instance says nothing about the
// present one. It returns true when only a report can show that the run does not
// exist: a run that never started has no end that the waiting order would return.
func (p *Pool) HandleStopOutcome(s StopRun, answered bool, now time.Time) bool {
	w := p.workers[s.Worker.ID]
	if w == nil || !answered {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runStopping || s.instance != w.instance {
		return false
	}
	r.stopAnsweredAt = now
	return r.startUnanswered
}

// PollOrder returns a hold order without a wait, to be sent while the waiting one is still open; false when the worker is not
// registered, was replaced or has never reported. It leaves the lease unchanged and acknowledges nothing.
func (p *Pool) PollOrder(id jaybarrow.WorkerID) (jaybarrow.Worker, jaybarrow.HoldOrder, bool) {
	w := p.workers[id]
	if w == nil || !w.reported && !w.restarted || w.gone {
		return jaybarrow.Worker{}, jaybarrow.HoldOrder{}, false
	}
	return w.entry, jaybarrow.HoldOrder{Fence: p.fence}, true
}
