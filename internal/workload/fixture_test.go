package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

const ownFence jaybarrow.FenceToken = 7

// bench drives a Pool the way a scheduler does, with a clock of its own.
type bench struct {
	*testing.T
	pool     *workload.Pool
	settings workload.Settings
	limit    jaybarrow.Resources
	shares   map[jaybarrow.TeamID]jaybarrow.Share
	used     jaybarrow.Resources
	attempts int
	urgency  map[jaybarrow.QueueID]int // priority of queues; 0 is the most urgent
	advice   *jaybarrow.AdviceSettings
	now      time.Time
	clocks   map[jaybarrow.WorkerID]jaybarrow.WorkerClock
	ends     map[jaybarrow.WorkerID]jaybarrow.EndNumber
	finished map[jaybarrow.JobID]jaybarrow.JobState
}

func newBench(t *testing.T) *bench {
	b := &bench{
		T: t, settings: workload.DefaultSettings(), attempts: 2, now: time.UnixMilli(1_000_000),
		clocks: make(map[jaybarrow.WorkerID]jaybarrow.WorkerClock), ends: make(map[jaybarrow.WorkerID]jaybarrow.EndNumber),
		finished: make(map[jaybarrow.JobID]jaybarrow.JobState),
	}
	b.pool = workload.New(workload.Deps{
		Settings: b.settings, ID: "desk", Fence: ownFence, Teams: b, Observer: b,
		Policies: func(id jaybarrow.QueueID) (workload.Policy, bool) {
			return workload.Policy{Priority: b.urgency[id], MaxAttempts: b.attempts, Stretch: 2, Target: time.Second, Advice: b.advice}, true
		},
	})
	return b
}

func (b *bench) Share(team jaybarrow.TeamID) jaybarrow.Share { return b.shares[team] }

func (b *bench) TryUse(_ jaybarrow.TeamID, r jaybarrow.Resources) bool {
	if !b.used.Plus(r).FitsLimit(b.limit) {
		return false
	}
	b.used = b.used.Plus(r)
	return true
}

func (b *bench) Use(_ jaybarrow.TeamID, r jaybarrow.Resources)     { b.used = b.used.Plus(r) }
func (b *bench) Release(_ jaybarrow.TeamID, r jaybarrow.Resources) { b.used = b.used.Minus(r) }

func (b *bench) RunEnded(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID, jaybarrow.EndKind, time.Duration) {
}
func (b *bench) JobStarted(*jaybarrow.Job, time.Duration) {}
func (b *bench) StartAnswered(jaybarrow.StartOutcome)     {}
func (b *bench) WorkerEjected(jaybarrow.WorkerID, string) {}

func (b *bench) JobEnded(job *jaybarrow.Job, state jaybarrow.JobState, _ time.Duration, _ int) {
	b.finished[job.ID] = state
}

// wait lets time pass.
func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	for id := range b.clocks {
		b.clocks[id] += jaybarrow.WorkerClock(d / time.Millisecond)
	}
}

// worker registers a worker of 10 cores and lets it report once.
func (b *bench) worker(id jaybarrow.WorkerID, labels ...jaybarrow.Label) {
	b.Helper()
	b.register(id, labels...)
	b.report(id, nil)
}

func (b *bench) register(id jaybarrow.WorkerID, labels ...jaybarrow.Label) {
	b.pool.SetWorker(jaybarrow.Worker{
		ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Labels: labels,
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, b.now)
	b.clocks[id] = 1000
}

// report gives a hold order and answers it with the runs and ends.
func (b *bench) report(id jaybarrow.WorkerID, running []jaybarrow.RunReport, ended ...jaybarrow.EndReport) jaybarrow.HoldOrder {
	b.Helper()
	_, order, ok := b.pool.HoldOrder(id, true, b.now)
	assert.Assert(b, ok)
	sent := b.now
	b.wait(time.Millisecond)
	b.pool.HandleReport(id, jaybarrow.HoldReport{Clock: b.clocks[id], Running: running, Ended: ended}, sent, b.now)
	return order
}

// look asks for a report at once; the worker has nothing to tell.
func (b *bench) look(id jaybarrow.WorkerID) {
	b.Helper()
	_, order, ok := b.pool.PollOrder(id)
	assert.Assert(b, ok)
	assert.Equal(b, order.Expires, jaybarrow.WorkerClock(0))
	b.wait(time.Millisecond)
	sent := b.now
	b.wait(time.Millisecond)
	b.pool.HandleReport(id, jaybarrow.HoldReport{Clock: b.clocks[id]}, sent, b.now)
}

// silent gives a hold order that stays without an answer.
func (b *bench) silent(id jaybarrow.WorkerID) jaybarrow.HoldOrder {
	b.Helper()
	_, order, ok := b.pool.HoldOrder(id, true, b.now)
	assert.Assert(b, ok)
	b.pool.HandleHoldFailure(id, false, b.now)
	return order
}

// end is the next end that a worker lists for a run.
func (b *bench) end(s workload.StartRun, kind jaybarrow.EndKind) jaybarrow.EndReport {
	b.ends[s.Worker.ID]++
	return jaybarrow.EndReport{Number: b.ends[s.Worker.ID], Task: s.Task, Run: s.Run, Kind: kind}
}

// plan plans once, stores the records and returns the round with the starts that may be sent.
func (b *bench) plan() workload.Round {
	b.Helper()
	b.wait(b.settings.Gather)
	out := b.pool.Plan(b.now, true)
	b.pool.MarkWritten(out)
	var sendable []workload.StartRun
	for _, s := range out.Starts {
		if ready, ok := b.pool.MarkSent(s, b.now); ok {
			sendable = append(sendable, ready)
		}
	}
	out.Starts = sendable
	return out
}

// start plans and answers every start with the outcome.
func (b *bench) start(outcome jaybarrow.StartOutcome) []workload.StartRun {
	b.Helper()
	out := b.plan()
	for _, s := range out.Starts {
		b.pool.HandleStartOutcome(s, outcome, b.now)
	}
	return out.Starts
}

func (b *bench) add(id jaybarrow.JobID, steps ...jaybarrow.Step) *jaybarrow.Job {
	j := &jaybarrow.Job{ID: id, Queue: "match", Pool: "desk", Team: "trail", Spec: "s", Steps: steps, AcceptedMs: b.now.UnixMilli()}
	b.pool.AddJob(j, nil, b.now)
	return j
}

func tasks(n int, cpu jaybarrow.Millicores) jaybarrow.Step {
	return jaybarrow.Step{Tasks: n, Demand: jaybarrow.Resources{CPU: cpu, Memory: 100}, EstimateMs: 500}
}

func lasting(n int) jaybarrow.Step {
	s := tasks(n, 1000)
	s.Lasting, s.MaxUnavailable, s.MaxPerWorker = true, 1, 1
	return s
}

func running(starts []workload.StartRun, id jaybarrow.WorkerID, progress jaybarrow.Percent) []jaybarrow.RunReport {
	var out []jaybarrow.RunReport
	for _, s := range starts {
		if s.Worker.ID == id {
			out = append(out, jaybarrow.RunReport{Task: s.Task, Run: s.Run, Progress: progress})
		}
	}
	return out
}
