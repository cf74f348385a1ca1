package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// roundNumber numbers the rounds of a pool; 0 is none.
type roundNumber int64

// changeNumber numbers the changes of a pool's jobs in their order.
type changeNumber int64

// blockedWrite is a change of a job whose record is being written.
type blockedWrite struct {
	urgent bool
	since  time.Time
}

// unstoredEnd is an end that is processed and not acknowledged yet. It may be acknowledged when its job is stored as of the change that it has
// caused, or of the last one before if it has caused none.
type unstoredEnd struct {
	number jaybarrow.EndNumber
	job    *job // nil for a job that the pool does not know
	change changeNumber
	// adopted is the task that the end completes once its later run has ended; nil for other ends. Until then only this process knows.
	adopted *task
}

// stored reports whether nothing is lost if the worker forgets the end.
func (e *unstoredEnd) stored() bool {
	if t := e.adopted; t != nil && !e.job.state.Ended() {
		if !t.done {
			return false
		}
		e.adopted, e.change = nil, e.job.change
	}
	return e.job == nil || e.job.storedChange >= e.change
}

// markChanged schedules a batched write of the job's record.
func (p *Pool) markChanged(j *job, now time.Time) { p.scheduleWrite(j, false, now) }

// markUrgent schedules a write of the job's record with the next plan.
func (p *Pool) markUrgent(j *job, now time.Time) { p.scheduleWrite(j, true, now) }

// scheduleWrite numbers a change of the job and schedules a write of its record. While the record is being written the change waits, so that a
// record never has two writes in progress.
func (p *Pool) scheduleWrite(j *job, urgent bool, now time.Time) {
	p.changes++
	j.change = p.changes
	switch {
	case j.writtenIn != 0:
		b, known := p.blockedWrites[j]
		if !known {
			b.since = now
		}
		b.urgent = b.urgent || urgent
		p.blockedWrites[j] = b
	case urgent:
		p.urgentWrites[j] = true
	default:
		p.delayWrite(j, now)
	}
}

// delayWrite adds the job to the batched writes.
func (p *Pool) delayWrite(j *job, since time.Time) {
	if len(p.delayedWrites) == 0 || since.Before(p.delayedSince) {
		p.delayedSince = since
	}
	p.delayedWrites[j] = true
}

// beginWrite adds the job's record to the round.
func (p *Pool) beginWrite(j *job, out *Round) {
	out.Records = append(out.Records, j.jobRecord(p.settings.ProgressByMarks))
	j.writtenIn = out.number
	delete(p.delayedWrites, j)
}

// endWrite records that the job's record is stored as of the round, and schedules the changes that have waited for it.
func (p *Pool) endWrite(j *job, round Round) {
	j.writtenIn, j.storedChange = 0, round.change
	b, known := p.blockedWrites[j]
	if !known {
		return
	}
	delete(p.blockedWrites, j)
	if b.urgent {
		p.urgentWrites[j] = true
	} else {
		p.delayWrite(j, b.since)
	}
}

// HasWritesDue reports whether the next plan has changes to write, or will have once they are batched.
func (p *Pool) HasWritesDue() bool { return len(p.urgentWrites)+len(p.delayedWrites) > 0 }

// addUnstoredEnd records that an end of the worker was processed.
func (p *Pool) addUnstoredEnd(w *worker, e jaybarrow.EndReport) {
	end := unstoredEnd{number: e.Number}
	if j := p.jobs[e.Task.Job]; j != nil {
		end.job, end.change = j, j.change
		if t := j.task(e.Task); t != nil && t.doneBefore && !t.done {
			end.adopted = t
		}
	}
	w.unstoredEnds = append(w.unstoredEnds, end)
	p.unstoredEnds[w] = true
}

// settleEnds lets those ends of the worker be acknowledged that are stored, up to the first one that is not: an acknowledgement covers all ends up
// to its number.
func (p *Pool) settleEnds(w *worker) {
	n := 0
	for n < len(w.unstoredEnds) && w.unstoredEnds[n].stored() {
		w.storedEnds = w.unstoredEnds[n].number
		n++
	}
	if n == len(w.unstoredEnds) {
		w.unstoredEnds = nil
		delete(p.unstoredEnds, w)
		return
	}
	w.unstoredEnds = w.unstoredEnds[n:]
}
