package workload

import (
	"cmp"
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
	// instance is the one of the worker that the stop is meant for.
	instance instanceNumber
}

// ThrottleRun is a decision to limit a run to a share of its full speed.
type ThrottleRun struct {
	StopRun
	Share jaybarrow.Percent
}

// Round is the result of one Plan. Stops and throttles may be sent immediately, starts only after the records are written.
type Round struct {
	Records   []JobRecord
	Starts    []StartRun // in the order of their assignment
	Stops     []StopRun
	Throttles []ThrottleRun
	Expired   []jaybarrow.JobID // jobs whose retention is over; their records may be removed
	number    roundNumber
	change    changeNumber // the last one of a job that the records hold
}

// Empty reports whether there is nothing to do.
func (r Round) Empty() bool {
	return len(r.Records)+len(r.Starts)+len(r.Stops)+len(r.Throttles)+len(r.Expired) == 0
}

// Plan decides what to do now. No task is started unless starting is true.
func (p *Pool) Plan(now time.Time, starting bool) Round {
	var out Round
	if p.takeSweep(now) {
		p.expireLeases(now)
		p.evacuateDraining(now)
		p.giveUpHolds(now)
		p.evacuateReserved(now)
		out.Throttles = p.throttle(now)
		p.placementsDue = true
	}
	p.withholdStarts(now)
	p.takeDue(now)
	p.stopEndedJobs(now)
	out.Expired = p.expireJobs(now)
	if starting && p.placementsDue && len(p.planned) < p.maxUnsent {
		p.placementsDue = false
		waiting := p.waitingJobs(now)
		p.placeWaiting(waiting, now)
		p.updateAdvising(waiting, now)
	}
	out.Stops = p.dueStops(now)
	p.collectWrites(&out, now)
	return out
}

// expireLeases ends the runs on workers whose lease has certainly ended.
func (p *Pool) expireLeases(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if len(w.runs) > 0 && !w.leaseEnd.IsZero() && now.After(w.leaseEnd) {
			for _, r := range w.runs {
				if r.phase != runPlanned {
					p.endRun(r, jaybarrow.EndLeaseExpired, "", now)
				}
			}
		}
		if w.gone && len(w.runs) == 0 && w.missedReports > 0 {
			p.removeWorker(w)
		}
	}
}

// maxExpiredPerPlan is the most ended jobs that one plan expires, so that their removal is one commit.
const maxExpiredPerPlan = 10

// expireJobs returns ended jobs whose retention is over and whose records are not being removed yet.
func (p *Pool) expireJobs(now time.Time) []jaybarrow.JobID {
	if p.expiryUnsorted {
		p.expiryUnsorted = false
		slices.SortStableFunc(p.expiry, func(a, b jaybarrow.JobID) int { return p.endedJobs[a].endedAt.Compare(p.endedJobs[b].endedAt) })
	}
	n := 0
	for n < min(maxExpiredPerPlan, len(p.expiry)) && now.Sub(p.endedJobs[p.expiry[n]].endedAt) > p.settings.Retention {
		n++
	}
	out := slices.Clone(p.expiry[:n])
	p.expiry = p.expiry[n:]
	return out
}

// HandleRemoval records whether the records of expired jobs were removed; a failed removal is retried.
func (p *Pool) HandleRemoval(ids []jaybarrow.JobID, done bool) {
	if !done {
		p.expiry = slices.Concat(ids, p.expiry)
		return
	}
	for _, id := range ids {
		delete(p.endedJobs, id)
	}
}

// addEndedJob keeps an ended job until its retention is over.
func (p *Pool) addEndedJob(id jaybarrow.JobID, e endedJob) {
	p.expiryUnsorted = p.expiryUnsorted || len(p.expiry) > 0 && e.endedAt.Before(p.endedJobs[p.expiry[len(p.expiry)-1]].endedAt)
	p.endedJobs[id] = e
	p.expiry = append(p.expiry, id)
}

// stopEndedJobs stops the runs of ended jobs. An ended job is dropped once no run is left and the store holds its end only; until then its
// record names its runs, so that a successor counts and stops them too.
func (p *Pool) stopEndedJobs(now time.Time) {
	for j := range p.ended {
		switch {
		case j.runs > 0:
			for t := range j.tasks() {
				if t.current != nil {
					p.stopRun(t.current, now)
				}
			}
		case j.writtenIn != 0 || j.storedChange < j.change:
			// Ends of the job wait for the write of its last change, which is in progress or scheduled.
		case j.storedState == j.state && !j.stubStored:
			p.markChanged(j, now)
		case j.storedState == j.state:
			delete(p.jobs, j.spec.ID)
			delete(p.ended, j)
			delete(p.waiting, j)
			p.addEndedJob(j.spec.ID, endedJob{state: j.state, team: j.spec.Team, endedAt: now})
		}
	}
}

// stopIfStalled stops a run without progress, so that its task restarts on another worker; gangs and throttled runs are exempt. It is
// called with each report of the run, since only a report shows that there was none.
func (p *Pool) stopIfStalled(r *run, now time.Time) {
	if r.phase != runRunning || r.task.step.spec.Gang || r.throttle != fullPercent || !p.stalled(r, now) {
		return
	}
	r.task.avoidWorker = r.worker.entry.ID
	p.stopRun(r, now)
	p.recordFault(r.worker, "a task made no progress", now)
}

// stalled reports whether a run made no progress for longer than its timeout while its worker kept reporting.
func (p *Pool) stalled(r *run, now time.Time) bool {
	if r.progress >= fullPercent {
		return false
	}
	return now.Sub(r.progressedAt) > max(p.settings.StallTimeout, r.task.step.spec.Estimate()/10)
}

// evacuateDraining stops lasting tasks on draining workers, so that they move to others.
func (p *Pool) evacuateDraining(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if w.lasting == 0 || w.entry.State != jaybarrow.WorkerDraining || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Lasting && r.phase == runRunning {
				p.stopRun(r, now)
			}
		}
	}
}

// maxStopRetryShift bounds how often the time before a stop is sent again doubles.
const maxStopRetryShift = 3

// dueStops returns the stops to send now, including those that were not answered within the retry interval, which doubles with each
// try. Stops that are not answered mostly wait for the same link or worker, and more of them delay the answers.
func (p *Pool) dueStops(now time.Time) []StopRun {
	n := min(len(p.unknownRuns), p.maxStops)
	out := slices.Clone(p.unknownRuns[:n])
	p.unknownRuns = p.unknownRuns[n:]
	for r := range p.stopping {
		if len(out) >= p.maxStops {
			break
		}
		if !r.stopAnsweredAt.IsZero() || r.stopsSent > 0 && now.Sub(r.stopSentAt) < p.settings.StopRetry<<min(r.stopsSent-1, maxStopRetryShift) {
			continue
		}
		r.stopSentAt = now
		r.stopsSent++
		out = append(out, StopRun{Worker: r.worker.entry, Task: r.task.ref, Run: r.number, instance: r.worker.instance})
	}
	return out
}

// collectWrites adds the records to write and the starts that may be sent then, if any are due. A job whose record an earlier round is writing is
// in neither: its changes wait until that is done.
func (p *Pool) collectWrites(out *Round, now time.Time) {
	p.rounds++
	out.number, out.change = p.rounds, p.changes
	batchDue := len(p.delayedWrites) == 0 || now.Sub(p.delayedSince) >= p.batchDelay
	if len(p.urgentWrites) == 0 && (!batchDue || len(p.delayedWrites)+len(p.unsent) == 0) {
		return
	}
	if batchDue {
		maps.Copy(p.urgentWrites, p.delayedWrites)
	}
	for _, j := range slices.SortedFunc(maps.Keys(p.urgentWrites), byID) {
		p.beginWrite(j, out)
	}
	clear(p.urgentWrites)
	p.collectStarts(out)
}

// collectStarts adds the starts of the planned runs whose assignment the round writes or the store holds already. The latter were not sent after
// their write.
func (p *Pool) collectStarts(out *Round) {
	for _, r := range slices.SortedFunc(maps.Keys(p.planned), func(a, b *run) int { return cmp.Compare(a.assignment, b.assignment) }) {
		if r.task.step.job.writtenIn == out.number || p.unsent[r] {
			out.Starts = append(out.Starts, p.startOrder(r))
		}
	}
}

// NextWriteIn returns how long the next Plan may wait for batched changes to be due; false when there are none.
func (p *Pool) NextWriteIn(now time.Time) (time.Duration, bool) {
	return p.batchDelay - now.Sub(p.delayedSince), len(p.delayedWrites) > 0
}

func byID(a, b *job) int {
	if a.spec.ID < b.spec.ID {
		return -1
	}
	return 1
}

func (p *Pool) startOrder(r *run) StartRun {
	return StartRun{Worker: r.worker.entry, Task: r.task.ref, Run: r.number, Order: jaybarrow.StartOrder{
		Task: r.task.ref, Run: r.number, Spec: r.task.step.job.spec.Spec, Fence: p.fence,
		Checkpoint: r.checkpoint, Ticket: r.ticket,
	}}
}

// MarkWritten records that the round's records are stored: Status returns the new states, the starts may be sent and the ends may be acknowledged.
// Rounds may be written in any order.
func (p *Pool) MarkWritten(round Round) {
	for _, s := range round.Records {
		if j := p.jobs[s.Job]; j != nil {
			j.storedState, j.stubStored = s.Record.State, s.Accepted != nil
			p.endWrite(j, round)
		}
	}
	for _, s := range round.Starts {
		if w := p.workers[s.Worker.ID]; w != nil {
			if r := w.runs[runKey{s.Task, s.Run}]; r != nil && r.phase == runPlanned {
				p.unsent[r] = true
			}
		}
	}
	for w := range p.unstoredEnds {
		p.settleEnds(w)
	}
}

// MarkSent marks a planned run whose assignment is stored as sent and adds the lease to its order; false when it must not be sent.
func (p *Pool) MarkSent(s StartRun, now time.Time) (StartRun, bool) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return s, false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runPlanned {
		return s, false
	}
	if w.evacuated() {
		p.withholdStart(r, now)
		return s, false
	}
	if r.task.step.job.state.Ended() || !w.acceptsOrders() || w.instance != r.instance {
		p.endRun(r, jaybarrow.EndStopped, "", now)
		return s, false
	}
	if !p.unsent[r] {
		return s, false
	}
	s.Order.Expires = w.leaseExpiry(now, p.settings.Lease)
	w.extendLease(s.Order.Expires, now)
	p.setPhase(r, runSent, now)
	r.progressedAt = now
	return s, true
}
