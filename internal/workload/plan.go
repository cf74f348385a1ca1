package workload

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// StartRun is a decision to start a task.
type StartRun struct {
	Worker jaybarrow.Worker
	Task   jaybarrow.TaskRef
	Run    jaybarrow.RunNumber
	Order  jaybarrow.StartOrder
}

// StopRun is a decision to stop a run.
type StopRun struct {
	Worker jaybarrow.Worker
	Task   jaybarrow.TaskRef
	Run    jaybarrow.RunNumber
}

// ThrottleRun is a decision to limit a run to a share of its full speed.
type ThrottleRun struct {
	StopRun
	Share jaybarrow.Percent
}

// JobRecord is a job's record that is to be written.
type JobRecord struct {
	Job    jaybarrow.JobID
	Record Record
}

// Round is the result of one Plan. Stops, throttles and advice requests may be sent immediately, starts only after the records
// are written.
type Round struct {
	Records        []JobRecord
	Starts         []StartRun
	Stops          []StopRun
	Throttles      []ThrottleRun
	AdviceRequests []AdviceRequest
	Expired        []jaybarrow.JobID // jobs whose retention is over; their records may be removed
	processedEnds  map[jaybarrow.WorkerID]endPosition
}

// endPosition is the last processed end of a worker instance; it may be acknowledged once the round is written.
type endPosition struct {
	instanceStartMs int64
	number          jaybarrow.EndNumber
}

// Empty reports whether there is nothing to do.
func (r Round) Empty() bool {
	return len(r.Records)+len(r.Starts)+len(r.Stops)+len(r.Throttles)+len(r.AdviceRequests)+len(r.Expired) == 0 &&
		len(r.processedEnds) == 0
}

// Plan decides what to do now. No task is started unless starting is true.
func (p *Pool) Plan(now time.Time, starting bool) Round {
	p.expireLeases(now)
	p.stopEndedJobs(now)
	p.stopStalledRuns(now)
	p.evacuateDraining(now)
	p.evacuateReserved(now)
	var out Round
	out.Expired = p.expireJobs(now)
	if starting {
		p.placeWaiting(now)
		out.AdviceRequests = p.requestAdvice(now)
	}
	out.Throttles = p.throttle(now)
	out.Stops = p.dueStops(now)
	p.collectWrites(&out, now)
	return out
}

// expireLeases ends the runs on workers whose lease has certainly ended.
func (p *Pool) expireLeases(now time.Time) {
	for id, w := range p.workers {
		if !w.leaseEnd.IsZero() && now.After(w.leaseEnd) {
			for _, r := range w.runs {
				if r.phase != runPlanned {
					p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
				}
			}
		}
		if w.gone && len(w.runs) == 0 && w.missedReports > 0 {
			delete(p.workers, id)
		}
	}
}

// maxExpiredPerPlan is the most ended jobs that one plan expires, so that their removal is one commit.
const maxExpiredPerPlan = 10

// expireJobs returns ended jobs whose retention is over and whose records are not being removed yet.
func (p *Pool) expireJobs(now time.Time) []jaybarrow.JobID {
	var out []jaybarrow.JobID
	for id, e := range p.endedJobs {
		if len(out) == maxExpiredPerPlan {
			break
		}
		if !e.removing && now.Sub(e.endedAt) > p.settings.Retention {
			e.removing = true
			p.endedJobs[id] = e
			out = append(out, id)
		}
	}
	return out
}

// HandleRemoval records whether the records of expired jobs were removed; a failed removal is retried.
func (p *Pool) HandleRemoval(ids []jaybarrow.JobID, done bool) {
	for _, id := range ids {
		if done {
			delete(p.endedJobs, id)
		} else if e, ok := p.endedJobs[id]; ok {
			e.removing = false
			p.endedJobs[id] = e
		}
	}
}

// stopEndedJobs stops the runs of ended jobs, and drops an ended job once its state is stored and no run is left.
func (p *Pool) stopEndedJobs(now time.Time) {
	for id, j := range p.jobs {
		if !j.state.Ended() {
			continue
		}
		if j.runs > 0 {
			j.eachTask(func(t *task) {
				if t.current != nil {
					p.stopRun(t.current, now)
				}
			})
		} else if j.storedState == j.state {
			delete(p.jobs, id)
			p.endedJobs[id] = endedJob{state: j.state, team: j.spec.Team, endedAt: now}
		}
	}
}

// stopStalledRuns stops tasks without progress, so that they restart on another worker; gangs and throttled runs are exempt.
func (p *Pool) stopStalledRuns(now time.Time) {
	for _, w := range p.workers {
		if w.missedReports > 0 || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runRunning && !r.task.step.spec.Gang && r.throttle == fullPercent && p.stalled(r, now) {
				r.task.avoidWorker = w.entry.ID
				p.stopRun(r, now)
				p.recordFault(w, "a task made no progress", now)
			}
		}
	}
}

// stalled reports whether a run made no progress for longer than its timeout while its worker kept reporting.
func (p *Pool) stalled(r *run, now time.Time) bool {
	if r.progress >= fullPercent {
		return false
	}
	timeout := max(p.settings.StallTimeout, r.task.step.spec.Estimate()/10)
	return r.worker.lastReport.Sub(r.progressedAt) > timeout && now.Sub(r.progressedAt) > timeout
}

// evacuateDraining stops lasting tasks on draining workers, so that they move to others.
func (p *Pool) evacuateDraining(now time.Time) {
	for _, w := range p.workers {
		if w.entry.State != jaybarrow.WorkerDraining || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Lasting && r.phase == runRunning {
				p.stopRun(r, now)
			}
		}
	}
}

// dueStops returns the stops to send now, including those that were not answered within the retry interval.
func (p *Pool) dueStops(now time.Time) []StopRun {
	out := p.unknownRuns
	p.unknownRuns = nil
	for _, w := range p.workers {
		for key, r := range w.runs {
			if r.phase != runStopping || !r.stopAnsweredAt.IsZero() || now.Sub(r.stopSentAt) < p.settings.StopRetry {
				continue
			}
			r.stopSentAt = now
			out = append(out, StopRun{Worker: w.entry, Task: key.task, Run: key.run})
		}
	}
	return out
}

// collectWrites adds the records to write, the starts that depend on them and the ends that they cover, if a write is due.
func (p *Pool) collectWrites(out *Round, now time.Time) {
	if len(p.urgentWrites) == 0 && !p.writeDue(now) {
		return
	}
	maps.Copy(p.urgentWrites, p.delayedWrites)
	for _, j := range slices.SortedFunc(maps.Keys(p.urgentWrites), byID) {
		out.Records = append(out.Records, JobRecord{Job: j.spec.ID, Record: j.record()})
	}
	clear(p.urgentWrites)
	clear(p.delayedWrites)
	for _, w := range p.workers {
		if w.processedEnds > w.storedEnds {
			if out.processedEnds == nil {
				out.processedEnds = make(map[jaybarrow.WorkerID]endPosition)
			}
			out.processedEnds[w.entry.ID] = endPosition{instanceStartMs: w.instanceStartMs, number: w.processedEnds}
		}
		for key, r := range w.runs {
			if r.phase == runPlanned {
				out.Starts = append(out.Starts, p.startOrder(w, key, r))
			}
		}
	}
}

// writeDue reports whether batched changes have waited long enough, or whether there are ends to acknowledge or starts to send
// without any change to write: a start remains unsent when leadership was not certain after its write.
func (p *Pool) writeDue(now time.Time) bool {
	if len(p.delayedWrites) > 0 {
		return now.Sub(p.delayedSince) >= p.settings.BatchDelay
	}
	for _, w := range p.workers {
		if w.processedEnds > w.storedEnds || w.hasPlannedRun() {
			return true
		}
	}
	return false
}

// NextWriteIn returns how long the next Plan may wait for batched changes to be due; false when there are none.
func (p *Pool) NextWriteIn(now time.Time) (time.Duration, bool) {
	return p.settings.BatchDelay - now.Sub(p.delayedSince), len(p.delayedWrites) > 0
}

func byID(a, b *job) int {
	if a.spec.ID < b.spec.ID {
		return -1
	}
	return 1
}

func (p *Pool) startOrder(w *worker, key runKey, r *run) StartRun {
	return StartRun{Worker: w.entry, Task: key.task, Run: key.run, Order: jaybarrow.StartOrder{
		Task: key.task, Run: key.run, Spec: r.task.step.job.spec.Spec, Fence: p.fence,
		Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	}}
}

// MarkWritten records that the round's records are stored: Status returns the new states and the ends may be acknowledged.
func (p *Pool) MarkWritten(round Round) {
	for _, s := range round.Records {
		if j := p.jobs[s.Job]; j != nil {
			j.storedState = s.Record.State
		}
	}
	for id, n := range round.processedEnds {
		if w := p.workers[id]; w != nil && w.instanceStartMs == n.instanceStartMs {
			w.storedEnds = max(w.storedEnds, n.number)
		}
	}
}

// MarkSent marks a planned run as sent and adds the lease to its order; false when it must not be sent any more.
func (p *Pool) MarkSent(s StartRun, now time.Time) (StartRun, bool) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return s, false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runPlanned {
		return s, false
	}
	if r.task.step.job.state.Ended() || w.gone || !w.reported || w.instanceStartMs != r.instanceStartMs {
		p.endRun(r, jaybarrow.EndStopped, "", now)
		return s, false
	}
	s.Order.Expires = w.leaseExpiry(now, p.settings.Lease)
	w.extendLease(s.Order.Expires)
	r.phase, r.phaseSince, r.progressedAt = runSent, now, now
	return s, true
}
