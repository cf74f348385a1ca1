package workload_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

const ownFence jaybarrow.FenceToken = 7

// harness drives a Pool as a scheduler does, with a simulated clock.
type harness struct {
	*testing.T
	pool        *workload.Pool
	settings    workload.Settings
	limit       jaybarrow.Resources
	limits      map[jaybarrow.TeamID]jaybarrow.Resources // beside limit, which holds for all teams together
	usedBy      map[jaybarrow.TeamID]jaybarrow.Resources
	shares      map[jaybarrow.TeamID]jaybarrow.Share
	used        jaybarrow.Resources
	maxAttempts int
	priorities  map[jaybarrow.QueueID]int // by queue; 0 is the most urgent
	advice      *jaybarrow.AdviceSettings
	advices     map[jaybarrow.QueueID]*jaybarrow.AdviceSettings // of single queues
	// unconfigured means that the configuration has no queue.
	unconfigured bool
	now          time.Time
	clocks       map[jaybarrow.WorkerID]jaybarrow.WorkerClock
	ends         map[jaybarrow.WorkerID]jaybarrow.EndNumber
	finished     map[jaybarrow.JobID]jaybarrow.JobState
	roomReports  int // calls of RoomHeld
	withheld     int // calls of StartWithheld
	evacuated    map[jaybarrow.DataCentreID]bool
	givenUp      []givenUpHold
	missed       []jaybarrow.WorkerID // workers whose reports are missed
	quiet        jaybarrow.WorkerID   // worker whose reports are late
	refusing     jaybarrow.WorkerID   // worker that refuses starts
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		T: t, settings: workload.DefaultSettings(), maxAttempts: 2, now: time.UnixMilli(1_000_000),
		clocks: make(map[jaybarrow.WorkerID]jaybarrow.WorkerClock), ends: make(map[jaybarrow.WorkerID]jaybarrow.EndNumber),
		limits: make(map[jaybarrow.TeamID]jaybarrow.Resources), usedBy: make(map[jaybarrow.TeamID]jaybarrow.Resources),
		finished: make(map[jaybarrow.JobID]jaybarrow.JobState),
	}
	h.pool = h.newPool()
	return h
}

// newPool returns an empty pool with the harness's settings.
func (h *harness) newPool() *workload.Pool {
	return workload.New(workload.Deps{
		Settings: h.settings, ID: "desk", Fence: ownFence, Teams: h, Observer: h,
		Evacuated: func(id jaybarrow.DataCentreID) bool { return h.evacuated[id] },
		Policies: func(id jaybarrow.QueueID) (jaybarrow.QueuePolicy, bool) {
			advice := h.advice
			if one := h.advices[id]; one != nil {
				advice = one
			}
			return jaybarrow.QueuePolicy{Priority: h.priorities[id], MaxAttempts: h.maxAttempts, Stretch: 2, Target: time.Second, Advice: advice}, !h.unconfigured
		},
	})
}

func (h *harness) Share(team jaybarrow.TeamID) jaybarrow.Share { return h.shares[team] }

func (h *harness) MayUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool {
	return h.used.Plus(r).FitsLimit(h.limit) && h.usedBy[team].Plus(r).FitsLimit(h.limits[team])
}

func (h *harness) TryUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool {
	if !h.MayUse(team, r) {
		return false
	}
	h.Use(team, r)
	return true
}

func (h *harness) Use(team jaybarrow.TeamID, r jaybarrow.Resources) {
	h.used, h.usedBy[team] = h.used.Plus(r), h.usedBy[team].Plus(r)
}

func (h *harness) Release(team jaybarrow.TeamID, r jaybarrow.Resources) {
	h.used, h.usedBy[team] = h.used.Minus(r), h.usedBy[team].Minus(r)
}

func (h *harness) RunEnded(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID, jaybarrow.EndKind, time.Duration) {
}
func (h *harness) JobStarted(*jaybarrow.Job, time.Duration) {}
func (h *harness) StartAnswered(jaybarrow.StartOutcome)     {}
func (h *harness) WorkerRestarted(jaybarrow.WorkerID, int, int) {
}
func (h *harness) RoomHeld(jaybarrow.PoolID, int, int) { h.roomReports++ }

func (h *harness) HoldGivenUp(worker jaybarrow.WorkerID, obstacle jaybarrow.DrainObstacle) {
	h.givenUp = append(h.givenUp, givenUpHold{worker, obstacle})
}

// givenUpHold is a call of HoldGivenUp.
type givenUpHold struct {
	worker   jaybarrow.WorkerID
	obstacle jaybarrow.DrainObstacle
}

// allowUnexported compares the fields of the test's own types.
var allowUnexported = cmp.AllowUnexported(givenUpHold{})

// drain begins to empty a worker, or expects the obstacle.
func (h *harness) drain(id jaybarrow.WorkerID, want jaybarrow.DrainObstacle) {
	h.Helper()
	drains, obstacle := h.pool.Drain(id, h.now)
	assert.Equal(h, obstacle, want)
	assert.Equal(h, drains, want == "")
}

func (h *harness) WorkerEjected(jaybarrow.WorkerID, string) {}

func (h *harness) StartWithheld(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID) {
	h.withheld++
}

func (h *harness) AdviceEnded(jaybarrow.QueueID, jaybarrow.AdviceOutcome, time.Duration) {}

func (h *harness) JobEnded(job *jaybarrow.Job, state jaybarrow.JobState, _ time.Duration, _ int) {
	h.finished[job.ID] = state
}

// advance moves the simulated clock and the workers' clocks forward.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	for id := range h.clocks {
		h.clocks[id] += jaybarrow.WorkerClock(d / time.Millisecond)
	}
}

// addWorker registers a worker of 10 cores and delivers its first report.
func (h *harness) addWorker(id jaybarrow.WorkerID, labels ...jaybarrow.Label) {
	h.Helper()
	h.registerWorker(id, labels...)
	h.report(id, nil)
}

func (h *harness) registerWorker(id jaybarrow.WorkerID, labels ...jaybarrow.Label) {
	h.pool.SetWorker(jaybarrow.Worker{
		ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Labels: labels,
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, h.now)
	h.clocks[id] = 1000
}

// report sends a hold order and answers it with the runs and ends.
func (h *harness) report(id jaybarrow.WorkerID, running []jaybarrow.RunReport, ended ...jaybarrow.EndReport) jaybarrow.HoldOrder {
	h.Helper()
	_, order, ok := h.pool.HoldOrder(id, true, h.now)
	assert.Assert(h, ok)
	sent := h.now
	h.advance(time.Millisecond)
	h.pool.HandleReport(id, jaybarrow.HoldReport{Clock: h.clocks[id], Running: running, Ended: ended}, sent, h.now)
	return order
}

// poll requests a report without a wait; the worker reports no runs.
func (h *harness) poll(id jaybarrow.WorkerID) {
	h.Helper()
	_, order, ok := h.pool.PollOrder(id)
	assert.Assert(h, ok)
	assert.Equal(h, order.Expires, jaybarrow.WorkerClock(0))
	h.advance(time.Millisecond)
	sent := h.now
	h.advance(time.Millisecond)
	h.pool.HandleReport(id, jaybarrow.HoldReport{Clock: h.clocks[id]}, sent, h.now)
}

// missReport sends a hold order that gets no answer.
func (h *harness) missReport(id jaybarrow.WorkerID) jaybarrow.HoldOrder {
	h.Helper()
	_, order, ok := h.pool.HoldOrder(id, true, h.now)
	assert.Assert(h, ok)
	h.pool.HandleHoldFailure(id)
	h.missed = append(h.missed, id)
	return order
}

// endReport returns the next end that a worker lists for a run.
func (h *harness) endReport(s workload.StartRun, kind jaybarrow.EndKind) jaybarrow.EndReport {
	h.ends[s.Worker.ID]++
	return jaybarrow.EndReport{Number: h.ends[s.Worker.ID], Task: s.Task, Run: s.Run, Kind: kind}
}

// plan plans once, stores the records and returns the round with the starts that may be sent.
func (h *harness) plan() workload.Round {
	h.Helper()
	h.advance(h.settings.BatchDelay)
	out := h.pool.Plan(h.now, true)
	h.pool.MarkWritten(out)
	var sendable []workload.StartRun
	for _, s := range out.Starts {
		if ready, ok := h.pool.MarkSent(s, h.now); ok {
			sendable = append(sendable, ready)
		}
	}
	out.Starts = sendable
	return out
}

// planStops plans once, without an answer to the starts, and returns the stops.
func (h *harness) planStops() []workload.StopRun {
	h.Helper()
	return h.plan().Stops
}

// planAndStart plans and answers every start with the outcome.
func (h *harness) planAndStart(outcome jaybarrow.StartOutcome) []workload.StartRun {
	h.Helper()
	out := h.plan()
	for _, s := range out.Starts {
		h.pool.HandleStartOutcome(s, outcome, h.now)
	}
	return out.Starts
}

func (h *harness) addJob(id jaybarrow.JobID, steps ...jaybarrow.Step) *jaybarrow.Job {
	j := &jaybarrow.Job{ID: id, Queue: "match", Pool: "desk", Team: "trail", Spec: "s", Steps: steps, AcceptedMs: h.now.UnixMilli()}
	h.pool.AddJob(j, nil, h.now)
	return j
}

// addJobOf adds a job of a team.
func (h *harness) addJobOf(team jaybarrow.TeamID, id jaybarrow.JobID, steps ...jaybarrow.Step) {
	j := &jaybarrow.Job{ID: id, Queue: "match", Pool: "desk", Team: team, Spec: "s", Steps: steps, AcceptedMs: h.now.UnixMilli()}
	h.pool.AddJob(j, nil, h.now)
}

func tasks(n int, cpu jaybarrow.Millicores) jaybarrow.Step {
	return jaybarrow.Step{Tasks: n, Demand: jaybarrow.Resources{CPU: cpu, Memory: 100}, EstimateMs: 500}
}

func lasting(n int) jaybarrow.Step {
	s := tasks(n, 1000)
	s.Lasting, s.MaxUnavailable, s.MaxPerWorker = true, 1, 1
	return s
}

// stored returns the record as a successor reads it.
func (h *harness) stored(r workload.JobRecord) workload.Record {
	h.Helper()
	data, err := r.Encode()
	assert.NilError(h, err)
	out, err := workload.DecodeRecord(data)
	assert.NilError(h, err)
	return out
}

func runReports(starts []workload.StartRun, id jaybarrow.WorkerID, progress jaybarrow.Percent) []jaybarrow.RunReport {
	var out []jaybarrow.RunReport
	for _, s := range starts {
		if s.Worker.ID == id {
			out = append(out, jaybarrow.RunReport{Task: s.Task, Run: s.Run, Progress: progress})
		}
	}
	return out
}
