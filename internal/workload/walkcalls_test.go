package workload_test

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// call is a call that the pool of one term makes. It ends once: with an answer, or at its time limit.
type call struct {
	walk  *walk
	term  jaybarrow.FenceToken
	ended bool
}

// newCall begins a call; fail runs when it has no answer within the limit.
func (w *walk) newCall(limit time.Duration, fail func()) *call {
	c := &call{walk: w, term: w.term}
	w.arrivals = append(w.arrivals, arrival{w.now.Add(limit), func() { c.end(fail) }})
	return c
}

// end ends the call unless it has ended, or its term has.
func (c *call) end(f func()) {
	if !c.ended && c.walk.term == c.term {
		c.ended = true
		f()
	}
}

// arrive lets the call arrive at the worker after a random delay, unless it is lost or the worker has seen a later term.
func (c *call) arrive(worker *walkWorker, f func()) {
	if c.walk.oneIn(30) {
		return
	}
	c.walk.later(func() {
		if worker.up && worker.accepts(c.term) {
			f()
		}
	})
}

// answer ends the call after a random delay, unless its answer is lost.
func (c *call) answer(f func()) {
	if !c.walk.oneIn(30) {
		c.walk.later(func() { c.end(f) })
	}
}

// requestReport sends an order for a report, or a poll.
func (w *walk) requestReport(worker *walkWorker, poll bool) {
	if !poll && worker.held {
		return
	}
	var order jaybarrow.HoldOrder
	var known bool
	if poll {
		_, order, known = w.pool.PollOrder(worker.id)
	} else {
		_, order, known = w.pool.HoldOrder(worker.id, true, w.now)
	}
	if !known {
		return
	}
	worker.held = worker.held || !poll
	sent, limit := w.now, callTimeout
	if !poll {
		limit = order.Wait + holdSlack
	}
	c := w.newCall(limit, func() {
		if !poll {
			worker.held = false
			w.pool.HandleHoldFailure(worker.id)
		}
	})
	c.arrive(worker, func() {
		report := w.carryOut(worker, order)
		c.answer(func() {
			worker.held = worker.held && poll
			w.note("report of %s, instance %d, at %d: %d running, ended %v", worker.id, report.StartedMs, report.Clock, len(report.Running), report.Ended)
			w.pool.HandleReport(worker.id, report, sent, w.now)
			w.checkFinished()
		})
	})
}

// planAndWrite plans, and sends the starts once the records are stored.
func (w *walk) planAndWrite() {
	out := w.pool.Plan(w.now, true)
	for _, s := range out.Stops {
		w.sendStop(s)
	}
	write := &call{walk: w, term: w.term}
	w.later(func() {
		if w.term != write.term {
			return // the store refuses the write
		}
		for _, r := range out.Records {
			w.records[r.Job] = w.stored(r)
			if r.Accepted != nil {
				w.jobs[r.Job] = r.Accepted
			}
			w.checkFailures(r.Job)
		}
		w.later(func() {
			write.end(func() {
				w.pool.MarkWritten(out)
				for _, s := range out.Starts {
					if ready, ok := w.pool.MarkSent(s, w.now); ok {
						w.sendStart(ready)
					}
				}
			})
		})
	})
}

func (w *walk) sendStart(s workload.StartRun) {
	sent, worker := w.now, w.worker(s.Worker.ID)
	answered := func(outcome jaybarrow.StartOutcome) {
		w.pool.HandleStartOutcome(s, outcome, w.now)
		w.checkFinished()
	}
	c := w.newCall(callTimeout, func() { answered(jaybarrow.StartUnknown) })
	c.arrive(worker, func() {
		outcome, id := jaybarrow.StartStale, runID{s.Task, s.Run}
		if !worker.known[id] {
			outcome = jaybarrow.StartDone
			w.checkAlone(worker, id)
			worker.extendLease(s.Order.Expires, w.now, w.settings.MaxLease)
			worker.known[id], worker.running[id] = true, true
			w.note("%s starts %v run %d", worker.id, id.task, id.run)
		}
		reading := worker.clock(w.now)
		c.answer(func() {
			w.pool.HandleClock(worker.id, reading, sent, w.now)
			answered(outcome)
		})
	})
}

func (w *walk) sendStop(s workload.StopRun) {
	worker, id := w.worker(s.Worker.ID), runID{s.Task, s.Run}
	c := w.newCall(callTimeout, func() { w.pool.HandleStopOutcome(s, false, w.now) })
	c.arrive(worker, func() {
		worker.known[id] = true
		if worker.running[id] {
			w.endRun(worker, id, jaybarrow.EndStopped)
		}
		c.answer(func() { w.pool.HandleStopOutcome(s, true, w.now) })
	})
}
