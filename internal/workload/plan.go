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

// ThrottleRun is a decision to let a run work at a share.
type ThrottleRun struct {
	StopRun
	Share jaybarrow.Percent
}

// JobRecord is a job's record that is to be written.
type JobRecord struct {
	Job    jaybarrow.JobID
	Record Record
}

// Round is what a Plan decided. Stops, paces and questions may be sent at once; starts only after the records are written.
type Round struct {
	Records        []JobRecord
	Starts         []StartRun
	Stops          []StopRun
	Throttles      []ThrottleRun
	AdviceRequests []AdviceRequest
	Expired        []jaybarrow.JobID // ended so long ago that their records may be removed
	noted          map[jaybarrow.WorkerID]notedEnds
}

type notedEnds struct {
	bornMs int64
	number jaybarrow.EndNumber
}

// Empty reports whether there is nothing to do.
func (r Round) Empty() bool {
	return len(r.Records)+len(r.Starts)+len(r.Stops)+len(r.Throttles)+len(r.AdviceRequests)+len(r.Expired) == 0 && len(r.noted) == 0
}

// Plan decides what to do now. With starting false no task is started.
func (p *Pool) Plan(now time.Time, starting bool) Round {
	p.lapse(now)
	p.stopEnded(now)
	p.stopStalled(now)
	p.leaveDraining(now)
	p.evacuate(now)
	var out Round
	out.Expired = p.expire(now)
	if starting {
		p.place(now)
		out.AdviceRequests = p.ask(now)
	}
	out.Throttles = p.pace(now)
	out.Stops = p.dueStops(now)
	p.collect(&out, now)
	return out
}

// lapse ends what ran on workers whose lease has ended for certain.
func (p *Pool) lapse(now time.Time) {
	for id, w := range p.workers {
		if !w.lapses.IsZero() && now.After(w.lapses) {
			for _, r := range w.runs {
				if r.phase != runPlanned {
					p.end(r, jaybarrow.EndLeaseExpired, "", now)
				}
			}
		}
		if w.gone && len(w.runs) == 0 && w.failing > 0 {
			delete(p.workers, id)
		}
	}
}

// expireAtOnce is how many ended jobs a plan lets go at most, so that their removal is one commit.
const expireAtOnce = 10

// expire returns jobs that ended long ago and whose records are not being removed yet.
func (p *Pool) expire(now time.Time) []jaybarrow.JobID {
	var out []jaybarrow.JobID
	for id, e := range p.ended {
		if len(out) == expireAtOnce {
			break
		}
		if !e.removing && now.Sub(e.at) > p.settings.Keep {
			e.removing = true
			p.ended[id] = e
			out = append(out, id)
		}
	}
	return out
}

// HandleRemoval takes the outcome of the removal of expired jobs' records into account; one that failed is tried again.
func (p *Pool) HandleRemoval(ids []jaybarrow.JobID, done bool) {
	for _, id := range ids {
		if done {
			delete(p.ended, id)
		} else if e, ok := p.ended[id]; ok {
			e.removing = false
			p.ended[id] = e
		}
	}
}

// stopEnded stops the runs of jobs that have ended.
func (p *Pool) stopEnded(now time.Time) {
	for id, j := range p.jobs {
		if !j.state.Ended() {
			continue
		}
		if j.runs > 0 {
			j.each(func(t *task) {
				if t.current != nil {
					p.stop(t.current, now)
				}
			})
		} else if j.shown == j.state {
			delete(p.jobs, id)
			p.ended[id] = endedJob{state: j.state, team: j.spec.Team, at: now}
		}
	}
}

// stopStalled stops tasks that make no progress, so that they run elsewhere.
func (p *Pool) stopStalled(now time.Time) {
	for _, w := range p.workers {
		if w.failing > 0 || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runRunning && !r.task.step.spec.Gang && r.pace == fullPace && p.stalled(r, now) {
				r.task.avoid = w.entry.ID
				p.stop(r, now)
				p.blame(w, "a task made no progress", now)
			}
		}
	}
}

// stalled reports whether a run has made no progress for long, by reports that arrived since.
func (p *Pool) stalled(r *run, now time.Time) bool {
	if r.progress >= fullPace {
		return false
	}
	patience := max(p.settings.Stall, r.task.step.spec.Estimate()/10)
	return r.worker.seen.Sub(r.moved) > patience && now.Sub(r.moved) > patience
}

// leaveDraining moves lasting tasks from workers that are about to leave.
func (p *Pool) leaveDraining(now time.Time) {
	for _, w := range p.workers {
		if w.entry.State != jaybarrow.WorkerDraining || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Lasting && r.phase == runRunning {
				p.stop(r, now)
			}
		}
	}
}

func (p *Pool) dueStops(now time.Time) []StopRun {
	out := p.orphans
	p.orphans = nil
	for _, w := range p.workers {
		for key, r := range w.runs {
			if r.phase != runStopping || !r.stopped.IsZero() || now.Sub(r.stopSent) < p.settings.StopRetry {
				continue
			}
			r.stopSent = now
			out = append(out, StopRun{Worker: w.entry, Task: key.task, Run: key.run})
		}
	}
	return out
}

// collect adds the records to write, the starts that wait for them and the ends that they contain.
func (p *Pool) collect(out *Round, now time.Time) {
	if len(p.urgent) == 0 && !p.gathered(now) {
		return
	}
	maps.Copy(p.urgent, p.changed)
	for _, j := range slices.SortedFunc(maps.Keys(p.urgent), byID) {
		out.Records = append(out.Records, JobRecord{Job: j.spec.ID, Record: j.record()})
	}
	clear(p.urgent)
	clear(p.changed)
	for _, w := range p.workers {
		if w.noted > w.stored {
			if out.noted == nil {
				out.noted = make(map[jaybarrow.WorkerID]notedEnds)
			}
			out.noted[w.entry.ID] = notedEnds{bornMs: w.bornMs, number: w.noted}
		}
		for key, r := range w.runs {
			if r.phase == runPlanned {
				out.Starts = append(out.Starts, p.startOrder(w, key, r))
			}
		}
	}
}

// gathered reports whether changes have waited long enough for their write, or ends can be acknowledged or starts sent without one: a
// start is held back while the lead is in doubt.
func (p *Pool) gathered(now time.Time) bool {
	if len(p.changed) > 0 {
		return now.Sub(p.since) >= p.settings.Gather
	}
	for _, w := range p.workers {
		if w.noted > w.stored || w.planned() {
			return true
		}
	}
	return false
}

// NextWriteIn returns how long the next Plan may wait for changes to be gathered; false when none are.
func (p *Pool) NextWriteIn(now time.Time) (time.Duration, bool) {
	return p.settings.Gather - now.Sub(p.since), len(p.changed) > 0
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
		Checkpoint: r.task.saved, Ticket: r.ticket,
	}}
}

// MarkWritten notes that the round's records are stored; shown states change and the ends may be acknowledged.
func (p *Pool) MarkWritten(out Round) {
	for _, s := range out.Records {
		if j := p.jobs[s.Job]; j != nil {
			j.shown = s.Record.State
		}
	}
	for id, n := range out.noted {
		if w := p.workers[id]; w != nil && w.bornMs == n.bornMs {
			w.stored = max(w.stored, n.number)
		}
	}
}

// MarkSent marks a planned run as sent and completes its order; false when it must not be sent any more.
func (p *Pool) MarkSent(s StartRun, now time.Time) (StartRun, bool) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return s, false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	if r == nil || r.phase != runPlanned {
		return s, false
	}
	if r.task.step.job.state.Ended() || w.gone || !w.reached || w.bornMs != r.bornMs {
		p.end(r, jaybarrow.EndStopped, "", now)
		return s, false
	}
	s.Order.Expires = w.expiry(now, p.settings.Lease)
	w.extend(s.Order.Expires)
	r.phase, r.since, r.moved = runSent, now, now
	return s, true
}
