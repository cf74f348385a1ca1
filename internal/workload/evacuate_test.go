package workload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// addWorkerIn registers a worker of 10 cores in the data centre, which is slow for coldLeft, and delivers its first report.
func (h *harness) addWorkerIn(dc jaybarrow.DataCentreID, id jaybarrow.WorkerID, coldLeft time.Duration) {
	h.Helper()
	h.registerWorkerIn(dc, id, coldLeft)
	h.clocks[id] = 1000
	h.report(id, nil)
}

func (h *harness) registerWorkerIn(dc jaybarrow.DataCentreID, id jaybarrow.WorkerID, coldLeft time.Duration) {
	h.pool.SetWorker(jaybarrow.Worker{
		ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, DataCentre: dc, ColdLeft: coldLeft,
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, h.now)
}

// evacuate replaces the data centres that are being evacuated.
func (h *harness) evacuate(ids ...jaybarrow.DataCentreID) {
	h.evacuated = make(map[jaybarrow.DataCentreID]bool)
	for _, id := range ids {
		h.evacuated[id] = true
	}
	h.pool.EvacuationsChanged()
}

// startedOn returns the workers of the starts, sorted.
func startedOn(starts []workload.StartRun) []jaybarrow.WorkerID {
	var out []jaybarrow.WorkerID
	for _, s := range starts {
		out = append(out, s.Worker.ID)
	}
	slices.Sort(out)
	return out
}

// dayOfEvacuations drives 12 workers in three data centres for 24 s, with 36 jobs of two short tasks a second in the first 18; inForce says what is being evacuated at a
// time. It returns how many starts were sent to each data centre in each second.
func dayOfEvacuations(t *testing.T, inForce func(at time.Duration) []jaybarrow.DataCentreID) []map[jaybarrow.DataCentreID]int {
	const (
		runTime        = 500 * time.Millisecond
		jobInterval    = 28 * time.Millisecond
		reportInterval = 400 * time.Millisecond
		lastJob        = 18 * time.Second
		day            = 24 * time.Second
	)
	h := newHarness(t)
	began := h.now
	zones := []jaybarrow.DataCentreID{"z1", "z2", "z3"}
	lastReports := make(map[jaybarrow.WorkerID]time.Time)
	for n := range 12 {
		h.addWorkerIn(zones[n%3], workerName(n), 0)
	}
	type ending struct {
		start workload.StartRun
		at    time.Time
	}
	running := make(map[jaybarrow.WorkerID][]ending)
	counts := make([]map[jaybarrow.DataCentreID]int, int(day/time.Second)+2)
	for n := range counts {
		counts[n] = make(map[jaybarrow.DataCentreID]int)
	}
	jobs := 0
	for h.now.Sub(began) < day {
		at := h.now.Sub(began)
		h.evacuate(inForce(at)...)
		for ; at < lastJob && time.Duration(jobs)*jobInterval <= at; jobs++ {
			h.addJob(jaybarrow.JobID(fmt.Sprintf("j%04d", jobs)), tasks(2, 2500))
		}
		for _, s := range h.planAndStart(jaybarrow.StartDone) {
			assert.Assert(t, !h.evacuated[s.Worker.DataCentre], "a start in %s after %v", s.Worker.DataCentre, at)
			counts[at/time.Second][s.Worker.DataCentre]++
			running[s.Worker.ID] = append(running[s.Worker.ID], ending{s, h.now.Add(runTime)})
		}
		for n := range 12 {
			id := workerName(n)
			var left []ending
			var reports []jaybarrow.RunReport
			var ends []jaybarrow.EndReport
			for _, e := range running[id] {
				if e.at.After(h.now) {
					left = append(left, e)
					progress := jaybarrow.Percent(100 * (runTime - e.at.Sub(h.now)) / runTime)
					reports = append(reports, jaybarrow.RunReport{Task: e.start.Task, Run: e.start.Run, Progress: progress})
				} else {
					ends = append(ends, h.endReport(e.start, jaybarrow.EndDone))
				}
			}
			if len(ends) == 0 && h.now.Sub(lastReports[id]) < reportInterval {
				continue
			}
			running[id], lastReports[id] = left, h.now
			assert.Assert(t, h.report(id, reports, ends...).Expires != 0, "the lease of %s is not renewed", id)
		}
	}
	completed := 0
	for _, state := range h.finished {
		assert.Equal(t, state, jaybarrow.JobCompleted)
		completed++
	}
	assert.Equal(t, completed, jobs)
	return counts
}

// Guards against starts in a data centre while it is being evacuated, against work that is lost or not completed elsewhere, leases there that are not
// renewed, and a data centre that stays unused after the end. Evacuations begin, overlap, end and begin again under a steady load.
func TestWorkGoesOnBesideEvacuations(t *testing.T) {
	counts := dayOfEvacuations(t, func(at time.Duration) []jaybarrow.DataCentreID {
		var out []jaybarrow.DataCentreID
		if at >= 4*time.Second && at < 8*time.Second || at >= 10*time.Second && at < 12*time.Second {
			out = append(out, "z2")
		}
		if at >= 6*time.Second && at < 7*time.Second {
			out = append(out, "z3")
		}
		return out
	})
	for _, second := range []int{3, 8, 13} {
		assert.Assert(t, counts[second]["z2"] > 0, "no start in z2 in second %d: %v", second, counts)
	}
}

// Guards against other decisions where nothing is being evacuated: with an empty set, and with data centres that no worker has.
func TestWithoutEvacuationsNothingChanges(t *testing.T) {
	none := dayOfEvacuations(t, func(time.Duration) []jaybarrow.DataCentreID { return nil })
	foreign := dayOfEvacuations(t, func(time.Duration) []jaybarrow.DataCentreID { return []jaybarrow.DataCentreID{"z", "z9", "Z1"} })
	assert.DeepEqual(t, none, foreign)
	for _, second := range none[1:17] {
		assert.Assert(t, second["z1"]+second["z2"]+second["z3"] > 0)
	}
}

// Guards against a start that was decided before an evacuation and is sent during it: while its record is written, while it waits for the leader's
// link, and between the decision to send it and the sending.
func TestADecidedStartGoesElsewhere(t *testing.T) {
	for _, c := range []struct {
		name     string
		withhold func(h *harness, round workload.Round)
	}{
		{"while its record is written", func(h *harness, round workload.Round) {
			h.evacuate("z2")
			h.pool.MarkWritten(round)
			_, ok := h.pool.MarkSent(round.Starts[0], h.now)
			assert.Assert(h, !ok, "it is sent")
		}},
		{"while it waits for the link", func(h *harness, round workload.Round) {
			h.pool.MarkWritten(round)
			h.evacuate("z2")
			next := h.pool.Plan(h.now, true)
			assert.DeepEqual(h, startedOn(next.Starts), []jaybarrow.WorkerID{"w9"})
			h.pool.MarkWritten(next)
		}},
		{"just before it is sent", func(h *harness, round workload.Round) {
			h.pool.MarkWritten(round)
			s, ok := h.pool.MarkSent(round.Starts[0], h.now)
			assert.Assert(h, ok)
			h.evacuate("z2")
			assert.Assert(h, !h.pool.HandleStartOutcome(s, jaybarrow.StartWithheld, h.now))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorkerIn("z2", "w1", 0)
			h.addWorkerIn("z1", "w9", 0)
			h.addJob("j", tasks(1, 1000))
			h.advance(h.settings.BatchDelay)
			round := h.pool.Plan(h.now, true)
			assert.DeepEqual(t, startedOn(round.Starts), []jaybarrow.WorkerID{"w1"})
			c.withhold(h, round)
			assert.Equal(t, h.withheld, 1)
			assert.Equal(t, h.pool.RunsLeft("z2"), 0)
			assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w9"})
			// The worker that got nothing is no worse for it.
			h.evacuate()
			h.addJob("k", tasks(1, 9500))
			assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w1"})
		})
	}
}

// Guards against a gang of which some members start although others are withheld: they would run until the platform ends them as incomplete.
func TestAGangIsWithheldAsAWhole(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z2", "w1", 0)
	h.addWorkerIn("z1", "w2", 0)
	gang := tasks(2, 8000)
	gang.Gang = true
	h.addJob("j", gang)
	h.advance(h.settings.BatchDelay)
	round := h.pool.Plan(h.now, true)
	assert.Equal(t, len(round.Starts), 2)
	h.pool.MarkWritten(round)
	h.evacuate("z2")
	for _, s := range round.Starts {
		_, ok := h.pool.MarkSent(s, h.now)
		assert.Assert(t, !ok, "%s is sent", s.Worker.ID)
	}
	assert.Equal(t, h.withheld, 2)
	h.addWorkerIn("z1", "w3", 0)
	assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w2", "w3"})
}

// Guards against runs of an evacuated data centre that are ended by the evacuation: their leases lapse, their ends are not acknowledged, stops and
// throttles are not sent to them, or lasting tasks are moved away.
func TestRunsOfAnEvacuatedDataCentreGoOn(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z2", "w1", 0)
	background, bounded := tasks(1, 1000), tasks(1, 1000)
	background.Background, bounded.LatencyMs = true, 100
	h.addJob("back", background)
	h.addJob("lasting", lasting(1))
	h.addJob("bounded", bounded)
	h.addJob("short", tasks(1, 1000))
	h.addJob("cancelled", tasks(1, 1000))
	starts := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(starts), 5)
	h.addWorkerIn("z1", "w9", 0)
	h.evacuate("z2")
	byJob := make(map[jaybarrow.JobID]workload.StartRun)
	for _, s := range starts {
		byJob[s.Task.Job] = s
	}
	var reports []jaybarrow.RunReport
	for _, s := range starts {
		if s.Task.Job != "short" {
			r := jaybarrow.RunReport{Task: s.Task, Run: s.Run, Progress: 50}
			if s.Task.Job == "bounded" {
				r.Gauge = 500
			}
			reports = append(reports, r)
		}
	}
	assert.Equal(t, h.pool.RunsLeft("z2"), 5)
	assert.Assert(t, h.report("w1", reports, h.endReport(byJob["short"], jaybarrow.EndDone)).Expires != 0, "the lease is not renewed")
	h.pool.Cancel("cancelled", h.now)
	h.advance(time.Second)
	round := h.plan()
	assert.Equal(t, len(round.Starts), 0)
	assert.Equal(t, len(round.Stops), 1)
	assert.Equal(t, round.Stops[0].Task.Job, jaybarrow.JobID("cancelled"))
	assert.Equal(t, len(round.Throttles), 1)
	assert.Equal(t, h.finished["short"], jaybarrow.JobCompleted)
	h.report("w1", reports, jaybarrow.EndReport{Number: 1, Task: byJob["short"].Task, Run: 1, Kind: jaybarrow.EndDone})
	assert.Equal(t, h.report("w1", reports, jaybarrow.EndReport{Number: 1, Task: byJob["short"].Task, Run: 1, Kind: jaybarrow.EndDone}).Acknowledged, jaybarrow.EndNumber(1))
	assert.Equal(t, h.pool.RunsLeft("z2"), 4)
}

// Guards against a job that is admitted on, or a team that is measured by, capacity that gets no tasks.
func TestEvacuatedWorkersAreNoCapacity(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z1", "w1", 0)
	h.addWorkerIn("z2", "w2", 0)
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(20_000))
	h.evacuate("z2")
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(10_000))
	for _, w := range h.pool.Load(h.now).Workers {
		assert.Equal(t, w.Usable, w.ID == "w1", w.ID)
	}
	h.evacuate()
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(20_000))
}

// Guards against a team that keeps what remains of a pool to itself during an evacuation: shares are of the remaining capacity, and what teams run in
// the evacuated data centre counts for neither of them.
func TestSharesAreOfTheCapacityThatRemains(t *testing.T) {
	h := newHarness(t)
	h.shares = map[jaybarrow.TeamID]jaybarrow.Share{"trail": 1, "club": 1}
	h.addWorkerIn("z2", "w1", 0)
	// club fills the data centre that is evacuated then.
	h.addJobOf("club", "before", tasks(2, 5000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 2)
	h.evacuate("z2")
	h.addWorkerIn("z1", "w9", 0)
	for n := range 3 {
		h.addJob(jaybarrow.JobID(fmt.Sprint("trail-", n)), tasks(1, 3000))
	}
	first := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(first), 3)
	// trail has 9 of the 10 cores that remain; a job of it was accepted before one of club.
	h.addJob("trail-3", tasks(1, 3000))
	h.advance(time.Millisecond)
	h.addJobOf("club", "club-0", tasks(1, 3000))
	h.report("w9", runReports(first[1:], "w9", 10), h.endReport(first[0], jaybarrow.EndDone))
	next := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Task.Job, jaybarrow.JobID("club-0"))
}

// Guards against a worker that is emptied for its maintenance because one that gets no tasks seems to have room.
func TestNoWorkerIsEmptiedIntoAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z1", "w1", 0)
	h.addJob("lasting", pairs(1))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	h.addWorkerIn("z2", "w2", 0)
	h.evacuate("z2")
	h.report("w1", runReports(s, "w1", 100))
	h.drain("w1", jaybarrow.ObstacleNoRoom)
	h.evacuate()
	h.drain("w1", "")
}

// Guards against a wave that waits for an evacuation to end: for a label that only evacuated workers have beside the one to be emptied, and for the
// evacuated workers themselves.
func TestAMaintenanceWaveGoesOnDuringAnEvacuation(t *testing.T) {
	h := newHarness(t)
	add := func(dc jaybarrow.DataCentreID, id jaybarrow.WorkerID) {
		h.pool.SetWorker(jaybarrow.Worker{
			ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, DataCentre: dc, Labels: []jaybarrow.Label{"fast"},
			Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
		}, h.now)
		h.clocks[id] = 1000
		h.report(id, nil)
	}
	add("z1", "w1")
	add("z2", "w2")
	labelled := tasks(1, 20_000)
	labelled.Requires = "fast"
	h.addJob("j", labelled)
	h.evacuate("z2")
	h.drain("w1", "")
	h.drain("w2", "")
}

// Guards against a hold on an evacuated worker that is given up for work which cannot start there.
func TestAnEvacuatedWorkerIsNotNeededByWaitingWork(t *testing.T) {
	for _, c := range []struct {
		name      string
		evacuated jaybarrow.DataCentreID
		givenUp   int
	}{{"evacuated", "z2", 0}, {"not evacuated", "z9", 1}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorkerIn("z1", "w1", 0)
			h.addWorkerIn("z2", "w2", 0)
			h.addJob("a", tasks(2, 8000))
			s := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(s), 2)
			h.evacuate(c.evacuated)
			h.drain("w2", "")
			h.addJob("b", tasks(1, 9000))
			h.report("w1", runReports(s, "w1", 10))
			h.pool.DropWorker("w1")
			for n := range 6 {
				h.report("w2", runReports(s, "w2", jaybarrow.Percent(20+10*n)))
				h.advance(500 * time.Millisecond)
				h.plan()
			}
			assert.Equal(t, len(h.givenUp), c.givenUp, "%v", h.givenUp)
		})
	}
}

// Guards against hosts that are fetched for lasting tasks which stay where they are, and against none for short work that goes on elsewhere.
func TestOnlyShortWorkOfAnEvacuatedDataCentreNeedsHosts(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z2", "w1", 0)
	h.addJob("lasting", lasting(1))
	h.addJob("short", tasks(1, 3000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 2)
	load := h.pool.Load(h.now)
	assert.Equal(t, load.Used.CPU, jaybarrow.Millicores(4000))
	assert.Equal(t, load.Lasting.CPU, jaybarrow.Millicores(1000))
	h.evacuate("z2")
	load = h.pool.Load(h.now)
	assert.Equal(t, load.Used.CPU, jaybarrow.Millicores(3000))
	assert.Equal(t, load.Lasting.CPU, jaybarrow.Millicores(0))
}

// Guards against an adviser that is asked about workers which get no tasks.
func TestTheAdviserIsNotAskedAboutEvacuatedWorkers(t *testing.T) {
	h := newHarness(t)
	h.advice = &jaybarrow.AdviceSettings{Decide: 100 * time.Millisecond, Each: 8 * time.Millisecond, Valid: 3 * time.Second}
	h.addWorkerIn("z1", "w1", 0)
	h.addWorkerIn("z2", "w2", 0)
	h.evacuate("z2")
	h.addJob("j", tasks(1, 1000))
	h.plan()
	q, ok := h.pool.RequestAdvice(jaybarrow.StepRef{Job: "j"}, h.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Workers, []jaybarrow.WorkerID{"w1"})
}

// Guards against a data centre that is cut off, evacuated meanwhile, and gets starts once it answers again.
func TestADataCentreThatWasCutOffGetsNoStarts(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z2", "w1", 0)
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1)
	for range 12 {
		h.missReport("w1")
		h.advance(h.settings.Lease / 10)
		h.plan()
	}
	h.evacuate("z2")
	// Its worker answers again: the task has ended with its lease and waits for another worker.
	h.report("w1", nil)
	h.report("w1", nil)
	h.advance(time.Second)
	h.report("w1", nil)
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 0)
	h.addWorkerIn("z1", "w9", 0)
	assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w9"})
}

// Guards against tasks on workers that are slow after their start although warm ones suit as well, against a preference over what makes a task faster
// than warmth does, and against a worker that counts as cold for longer than its entry says.
func TestWarmWorkersArePreferred(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z1", "w1", 3*time.Second)
	h.addWorkerIn("z1", "w2", 0)
	first := func(id jaybarrow.JobID) jaybarrow.WorkerID {
		h.addJob(id, tasks(1, 1000))
		s := h.planAndStart(jaybarrow.StartDone)
		assert.Equal(t, len(s), 1)
		return s[0].Worker.ID
	}
	assert.Equal(t, first("a"), jaybarrow.WorkerID("w2"))
	h.addJob("wide", tasks(9, 1000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 9, "the warm one is filled")
	assert.Equal(t, first("b"), jaybarrow.WorkerID("w1"), "cold ones are used when there is no other")
	h.addWorkerIn("z1", "w0", 0)
	assert.Equal(t, first("c"), jaybarrow.WorkerID("w0"), "a warm one that is idle comes before a cold one that is in use")
	h.advance(3 * time.Second)
	for _, id := range []jaybarrow.WorkerID{"w0", "w1", "w2"} {
		h.missed = nil
		h.report(id, nil)
	}
	h.registerWorkerIn("z1", "w0", 500*time.Millisecond)
	assert.Equal(t, first("d"), jaybarrow.WorkerID("w1"), "it is warm by now, and w0 has become cold")
}

// Guards against other placements where no worker is cold: the fullest worker is filled first.
func TestWithoutColdWorkersTheFullestIsFilledFirst(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("z1", "w1", 0)
	h.addWorkerIn("z1", "w2", 0)
	h.addJob("a", tasks(1, 6000))
	h.addJob("b", tasks(1, 5000))
	assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w1", "w2"})
	h.addJob("c", tasks(1, 2000))
	assert.DeepEqual(t, startedOn(h.planAndStart(jaybarrow.StartDone)), []jaybarrow.WorkerID{"w1"})
}

// Guards against hosts that are fetched for the labels of lasting tasks which stay where they are, and against none for those of short work.
func TestLabelsOfLastingTasksInAnEvacuatedDataCentreNeedNoHosts(t *testing.T) {
	h := newHarness(t)
	h.pool.SetWorker(jaybarrow.Worker{
		ID: "w1", Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, DataCentre: "z2", Labels: []jaybarrow.Label{"l", "s"},
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, h.now)
	h.clocks["w1"] = 1000
	h.report("w1", nil)
	stays, short := lasting(1), tasks(1, 3000)
	stays.Requires, short.Requires = "l", "s"
	h.addJob("lasting", stays)
	h.addJob("short", short)
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 2)
	before := h.pool.Load(h.now).Labels
	assert.Equal(t, before["l"].CPU, jaybarrow.Millicores(1000))
	h.evacuate("z2")
	during := h.pool.Load(h.now).Labels
	_, found := during["l"]
	assert.Assert(t, !found, "%v", during)
	assert.Equal(t, during["s"], before["s"])
	h.evacuate()
	assert.DeepEqual(t, h.pool.Load(h.now).Labels, before)
}
