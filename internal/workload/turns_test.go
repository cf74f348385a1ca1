package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// turn is the load of one pool while its queue asks for several times what the pool holds.
type turn struct {
	workers     int
	lastingJobs int // of 24 tasks
	jobsPerS    int // of 12 tasks that run for 640 ms
	length      time.Duration
}

// largeTurn is a fifth of 1,100 workers at five times its mean demand.
var largeTurn = turn{workers: 220, lastingJobs: 25, jobsPerS: 200, length: 4 * time.Second}

// turnResult counts what a replay of a turn did.
type turnResult struct{ plans, reports, idleReports, runs int }

// runTime is the run time of a task that does not last.
const runTime = 640 * time.Millisecond

// replay drives a pool through the turn in steps of 5 ms, as a scheduler does: workers report each RenewInterval and at each end.
func (l turn) replay(h *harness) turnResult {
	var out turnResult
	type active struct {
		start workload.StartRun
		ends  time.Time
	}
	running := make(map[jaybarrow.WorkerID]map[jaybarrow.TaskRef]active)
	due := make(map[jaybarrow.WorkerID]time.Time)
	ids := make([]jaybarrow.WorkerID, l.workers)
	for n := range ids {
		ids[n] = jaybarrow.WorkerID(fmt.Sprintf("w-%03d", n))
		h.addWorker(ids[n])
		running[ids[n]] = make(map[jaybarrow.TaskRef]active)
		due[ids[n]] = h.now.Add(time.Duration(n) * h.settings.RenewInterval / time.Duration(l.workers))
	}
	for n := range l.lastingJobs {
		h.addJob(jaybarrow.JobID(fmt.Sprintf("lasting-%d", n)), lasting(24))
	}
	const tick = 5 * time.Millisecond
	jobs, begin, wake := 0, h.now, true
	for h.now.Sub(begin) < l.length {
		for ; jobs < int(h.now.Sub(begin).Seconds()*float64(l.jobsPerS)); jobs++ {
			h.addJob(jaybarrow.JobID(fmt.Sprintf("quick-%d", jobs)), tasks(12, 1400))
			wake = true
		}
		for _, id := range ids {
			var ends []jaybarrow.EndReport
			var reports []jaybarrow.RunReport
			for ref, a := range running[id] {
				if !a.ends.IsZero() && !h.now.Before(a.ends) {
					ends = append(ends, h.endReport(a.start, jaybarrow.EndDone))
					delete(running[id], ref)
				}
			}
			if len(ends) == 0 && h.now.Before(due[id]) {
				continue
			}
			for _, a := range running[id] {
				reports = append(reports, jaybarrow.RunReport{Task: a.start.Task, Run: a.start.Run, Progress: 100})
			}
			_, _, ok := h.pool.HoldOrder(id, true, h.now)
			assert.Assert(h, ok)
			out.reports++
			if h.pool.HandleReport(id, jaybarrow.HoldReport{Clock: h.clocks[id], Running: reports, Ended: ends}, h.now, h.now) {
				wake = true
			} else if len(ends) == 0 {
				out.idleReports++
			}
			due[id] = h.now.Add(h.settings.RenewInterval)
		}
		if wake || out.plans == 0 {
			round := h.pool.Plan(h.now, true)
			h.pool.MarkWritten(round)
			out.plans++
			for _, s := range round.Starts {
				ready, ok := h.pool.MarkSent(s, h.now)
				if !ok {
					continue
				}
				out.runs++
				h.pool.HandleStartOutcome(ready, jaybarrow.StartDone, h.now)
				a := active{start: ready}
				if ready.Task.Job[0] == 'q' {
					a.ends = h.now.Add(runTime)
				}
				running[s.Worker.ID][s.Task] = a
			}
			wake = false
		}
		h.advance(tick)
	}
	return out
}

// Guards against plans for reports that only renew what is known: with a thousand workers there are thousands of them a second.
func TestReportsThatChangeNothingWakeNoPlan(t *testing.T) {
	h := newHarness(t)
	got := turn{workers: 50, lastingJobs: 5, jobsPerS: 0, length: 2 * time.Second}.replay(h)
	assert.Assert(t, got.reports >= 150, "%+v", got)
	assert.Assert(t, got.idleReports >= got.reports-50, "reports that wake a plan without a change: %+v", got)
}

// Load pattern: a queue asks for several times what its pool holds. Work that finds no room must not keep free workers idle.
func TestATurnFillsThePool(t *testing.T) {
	h := newHarness(t)
	small := turn{workers: 40, lastingJobs: 4, jobsPerS: 100, length: 3 * time.Second}
	got := small.replay(h)
	// 7 tasks of 1.4 cores fit on a worker of 10 cores, and 6 beside up to three lasting ones of 1 core.
	rounds := int(small.length / runTime)
	assert.Assert(t, got.runs >= small.workers*5*rounds, "%+v", got)
}

// BenchmarkTurn reports the processor time of the decisions on one run in a turn of a large pool.
func BenchmarkTurn(b *testing.B) {
	runs := 0
	for range b.N {
		h := newHarness(new(testing.T))
		runs += largeTurn.replay(h).runs
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(runs), "us/run")
}
