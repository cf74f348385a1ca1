package workload_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// walkWorker is an instance of a worker.
type walkWorker struct {
	id           jaybarrow.WorkerID
	startedMs    int64
	startedAt    time.Time
	up           bool  // whether it has started
	registeredMs int64 // startedMs of the instance in the register, which may be an earlier one
	fence        jaybarrow.FenceToken
	lease        jaybarrow.WorkerClock
	running      map[runID]bool
	known        map[runID]bool // runs that were started or stopped
	ended        []jaybarrow.EndReport
	lastEnd      jaybarrow.EndNumber
	held         bool // an order of the present term waits for its report
}

func (w *walk) register(worker *walkWorker) {
	w.pool.SetWorker(jaybarrow.Worker{
		ID: worker.id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, StartedMs: worker.registeredMs,
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, w.now)
}

// restart ends the instance of a worker and starts the next one after the time for which a report allows an acknowledgement, which assumes that no
// worker is back sooner.
func (w *walk) restart(worker *walkWorker) {
	w.started++
	*worker = walkWorker{
		id: worker.id, startedMs: w.started, startedAt: w.now.Add(w.settings.ReportGrace), registeredMs: worker.registeredMs, held: worker.held,
		running: make(map[runID]bool), known: make(map[runID]bool),
	}
}

// live plays what happens on a worker by itself.
func (w *walk) live(worker *walkWorker) {
	for _, id := range worker.sortedRuns() {
		switch {
		case worker.clock(w.now) > worker.lease:
			w.endRun(worker, id, jaybarrow.EndLeaseExpired)
		case w.oneIn(40):
			w.endRun(worker, id, jaybarrow.EndFailed)
		case w.oneIn(80):
			w.endRun(worker, id, jaybarrow.EndDone)
		}
	}
	switch {
	case worker.startedAt.After(w.now):
	case !worker.up:
		worker.up = true
		w.note("instance %d of %s starts", worker.startedMs, worker.id)
		startedMs := worker.startedMs
		w.later(func() {
			worker.registeredMs = startedMs
			w.register(worker)
		})
	case w.oneIn(300):
		w.note("instance %d of %s ends", worker.startedMs, worker.id)
		w.restart(worker)
	}
}

// endRun ends a run on its worker.
func (w *walk) endRun(worker *walkWorker, id runID, kind jaybarrow.EndKind) {
	delete(worker.running, id)
	worker.lastEnd++
	worker.ended = append(worker.ended, jaybarrow.EndReport{Number: worker.lastEnd, Task: id.task, Run: id.run, Kind: kind})
	if kind == jaybarrow.EndFailed {
		w.failures[id.task]++
	}
	w.note("%s ends %v run %d, %s, as end %d", worker.id, id.task, id.run, kind, worker.lastEnd)
}

// carryOut carries out an order on the worker and returns its report.
func (w *walk) carryOut(worker *walkWorker, order jaybarrow.HoldOrder) jaybarrow.HoldReport {
	worker.extendLease(order.Expires, w.now, w.settings.MaxLease)
	if order.Acknowledged > 0 {
		w.note("%s gets an acknowledgement up to %d", worker.id, order.Acknowledged)
	}
	worker.ended = slices.DeleteFunc(worker.ended, func(e jaybarrow.EndReport) bool {
		acknowledged := e.Number <= order.Acknowledged
		if acknowledged {
			w.checkStored(e, worker.id)
		}
		return acknowledged
	})
	report := jaybarrow.HoldReport{Clock: worker.clock(w.now), StartedMs: worker.startedMs, Ended: slices.Clone(worker.ended)}
	for _, id := range worker.sortedRuns() {
		report.Running = append(report.Running, jaybarrow.RunReport{Task: id.task, Run: id.run, Progress: jaybarrow.Percent(w.random.IntN(90))})
	}
	return report
}

func (w *walk) worker(id jaybarrow.WorkerID) *walkWorker {
	n := slices.IndexFunc(w.workers, func(worker *walkWorker) bool { return worker.id == id })
	assert.Assert(w, n >= 0)
	return w.workers[n]
}

func (w *walkWorker) clock(now time.Time) jaybarrow.WorkerClock {
	return jaybarrow.WorkerClock(now.Sub(w.startedAt)/time.Millisecond) + 1
}

// accepts reports whether an order of the term is not refused by its fence.
func (w *walkWorker) accepts(term jaybarrow.FenceToken) bool {
	if term < w.fence {
		return false
	}
	w.fence = term
	return true
}

// extendLease lets the runs go on until the reading, for no longer than the longest lease.
func (w *walkWorker) extendLease(expires jaybarrow.WorkerClock, now time.Time, longest time.Duration) {
	if expires != 0 {
		w.lease = min(expires, w.clock(now)+jaybarrow.WorkerClock(longest/time.Millisecond))
	}
}

func (w *walkWorker) sortedRuns() []runID {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b runID) int {
		return strings.Compare(fmt.Sprint(a.task, a.run), fmt.Sprint(b.task, b.run))
	})
}
