package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// The start times of two instances of a worker.
const (
	firstBorn  = 1_000
	secondBorn = 2_000
)

// reportInstance delivers the report of one instance of a worker, whose clock reads the given time, to an order sent now.
func (h *harness) reportInstance(id jaybarrow.WorkerID, bornMs int64, clock jaybarrow.WorkerClock, running []jaybarrow.RunReport, ended ...jaybarrow.EndReport) {
	sent := h.now
	h.advance(time.Millisecond)
	h.pool.HandleReport(id, jaybarrow.HoldReport{Clock: clock, StartedMs: bornMs, Running: running, Ended: ended}, sent, h.now)
}

// registerInstance applies the register's entry of one instance of a worker.
func (h *harness) registerInstance(id jaybarrow.WorkerID, bornMs int64) {
	h.pool.SetWorker(jaybarrow.Worker{
		ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, StartedMs: bornMs,
		Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, h.now)
}

// newRestart returns a harness with a run on w1 whose start was answered with the outcome, and an idle worker w2.
func newRestart(t *testing.T, outcome jaybarrow.StartOutcome) (*harness, []workload.StartRun) {
	h := newHarness(t)
	h.registerInstance("w1", firstBorn)
	h.reportInstance("w1", firstBorn, 500_000, nil)
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(outcome)
	assert.Equal(t, len(s), 1)
	h.addWorker("w2")
	h.advance(time.Millisecond)
	return h, s
}

// A worker has started again before a start reached it, and its new instance runs the task. The three ways in which the pool may learn of the new
// instance first.
var signsOfANewInstance = map[string]func(h *harness){
	"its entry":        func(h *harness) { h.registerInstance("w1", secondBorn) },
	"its answer":       func(h *harness) { h.pool.HandleClock("w1", 40, h.now, h.now) },
	"its own report":   func(*harness) {},
	"an earlier entry": func(h *harness) { h.registerInstance("w1", firstBorn/2) },
}

// Guards against a second run beside one that a worker accepted right after it started again, before its new start time was known.
func TestARunThatANewInstanceAcceptedIsNotRepeated(t *testing.T) {
	for name, learn := range signsOfANewInstance {
		t.Run(name, func(t *testing.T) {
			h, s := newRestart(t, jaybarrow.StartDone)
			learn(h)
			assert.Equal(t, len(h.plan().Starts), 0)
			h.reportInstance("w1", secondBorn, 90, runReports(s, "w1", 10))
			assert.Equal(t, len(h.plan().Starts), 0)
			h.reportInstance("w1", secondBorn, 200, nil, h.endReport(s[0], jaybarrow.EndDone))
			h.plan()
			assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
		})
	}
}

// Guards against a task that waits for a lease to end although the instance that accepted it has ended.
func TestARunOfAnEndedInstanceRestartsWithTheFirstReportOfTheNextOne(t *testing.T) {
	for name, learn := range signsOfANewInstance {
		t.Run(name, func(t *testing.T) {
			h, _ := newRestart(t, jaybarrow.StartDone)
			learn(h)
			h.reportInstance("w1", secondBorn, 90, nil)
			s := h.plan().Starts
			assert.Equal(t, len(s), 1)
			assert.Equal(t, s[0].Run, jaybarrow.RunNumber(2))
		})
	}
}

// Guards against a start that was not answered, is given up when its worker starts again, and is carried out by the new instance.
func TestAnUnansweredStartIsStoppedInTheNewInstance(t *testing.T) {
	h, _ := newRestart(t, jaybarrow.StartUnknown)
	h.registerInstance("w1", secondBorn)
	h.reportInstance("w1", secondBorn, 90, nil)
	out := h.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
	h.pool.HandleStopOutcome(out.Stops[0], true, h.now)
	h.advance(time.Millisecond)
	h.reportInstance("w1", secondBorn, 120, nil)
	assert.Equal(t, len(h.plan().Starts), 1)
}

// Guards against a stop that only an ended instance has answered: the next instance would carry out a late start.
func TestAStopIsRepeatedForTheNextInstance(t *testing.T) {
	h, _ := newRestart(t, jaybarrow.StartUnknown)
	h.reportInstance("w1", firstBorn, 500_100, nil)
	stops := h.plan().Stops
	assert.Equal(t, len(stops), 1)
	h.pool.HandleStopOutcome(stops[0], true, h.now)
	h.registerInstance("w1", secondBorn)
	h.advance(time.Millisecond)
	h.reportInstance("w1", secondBorn, 90, nil)
	out := h.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
}

// Guards against a second run beside one that the new instance accepts late: the answer of the ended instance to a stop arrives after the pool has
// learned of the new one, which does not know of the stop.
func TestALateAnswerToAStopOfAnEndedInstanceIsIgnored(t *testing.T) {
	h, _ := newRestart(t, jaybarrow.StartUnknown)
	h.reportInstance("w1", firstBorn, 500_100, nil)
	stops := h.plan().Stops
	assert.Equal(t, len(stops), 1)
	h.registerInstance("w1", secondBorn)
	h.pool.HandleStopOutcome(stops[0], true, h.now)
	h.advance(time.Millisecond)
	h.reportInstance("w1", secondBorn, 90, nil)
	out := h.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
	h.pool.HandleStopOutcome(out.Stops[0], true, h.now)
	h.advance(time.Millisecond)
	h.reportInstance("w1", secondBorn, 120, nil)
	assert.Equal(t, len(h.plan().Starts), 1)
}

// Guards against ends of a new instance that are taken for ends of the instance before and acknowledged unread, so that done tasks run again: its
// start time may be lower, when time of day has jumped back, or the same.
func TestTheEndsOfEachInstanceAreRead(t *testing.T) {
	for name, born := range map[string]int64{"later": secondBorn, "lower": firstBorn / 2, "equal": firstBorn} {
		t.Run(name, func(t *testing.T) {
			h, s := newRestart(t, jaybarrow.StartDone)
			h.reportInstance("w1", firstBorn, 500_100, nil, h.endReport(s[0], jaybarrow.EndDone))
			h.plan()
			assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
			h.advance(time.Millisecond)
			h.reportInstance("w1", born, 50, nil)
			h.addJob("k", tasks(1, 1000))
			h.missReport("w2") // leaves w1 as the only usable worker
			s = h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(s), 1)
			h.advance(time.Millisecond)
			h.reportInstance("w1", born, 100, nil, jaybarrow.EndReport{Number: 1, Task: s[0].Task, Run: s[0].Run, Kind: jaybarrow.EndDone})
			h.plan()
			assert.Equal(t, h.finished["k"], jaybarrow.JobCompleted)
		})
	}
}

// Guards against an acknowledgement for one instance that makes the next one forget its ends: only listed ends are acknowledged, once, and not
// after an order without an answer or a pause.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	cases := map[string]struct {
		before func(h *harness)
		want   jaybarrow.EndNumber
	}{
		"listed":               {func(*harness) {}, 1},
		"acknowledged already": {func(h *harness) { h.report("w1", nil) }, 0},
		"no answer":            {func(h *harness) { h.missReport("w1") }, 0},
		"pause":                {func(h *harness) { h.advance(time.Second) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addJob("j", tasks(1, 1000))
			s := h.planAndStart(jaybarrow.StartDone)
			h.report("w1", nil, h.endReport(s[0], jaybarrow.EndDone))
			h.plan()
			c.before(h)
			_, order, ok := h.pool.HoldOrder("w1", true, h.now)
			assert.Assert(t, ok)
			assert.Equal(t, order.Acknowledged, c.want)
			_, poll, ok := h.pool.PollOrder("w1")
			assert.Assert(t, ok)
			assert.Equal(t, poll.Acknowledged, jaybarrow.EndNumber(0))
		})
	}
}

// Guards against a late report of an ended instance that is applied to the next one.
func TestALateReportOfAnEndedInstanceIsIgnored(t *testing.T) {
	h, s := newRestart(t, jaybarrow.StartDone)
	sent := h.now
	h.advance(5 * time.Millisecond)
	h.reportInstance("w1", secondBorn, 90, runReports(s, "w1", 10))
	h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 500_010, StartedMs: firstBorn}, sent, h.now)
	h.reportInstance("w1", secondBorn, 100, runReports(s, "w1", 20))
	out := h.plan()
	assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
}

// Guards against a task that is started elsewhere while its worker, cut off right after it started again, still runs it: its lease was set by
// the clock of the instance before, so it is the longest that the worker grants.
func TestTheLeaseOfANewInstanceIsTheLongest(t *testing.T) {
	h, _ := newRestart(t, jaybarrow.StartDone)
	h.registerInstance("w1", secondBorn)
	started := h.now
	for {
		h.missReport("w1")
		h.advance(h.settings.Lease / 20)
		h.report("w2", nil)
		if len(h.plan().Starts) > 0 {
			break
		}
	}
	took := h.now.Sub(started)
	assert.Assert(t, took > h.settings.MaxLease, "after %v", took)
	assert.Assert(t, took < h.settings.MaxLease*5/4, "after %v", took)
}

// Guards against a run that is given up because another worker answers at the address of its worker's earlier instance.
func TestAnAnswerAtAnEarlierAddressEndsNothing(t *testing.T) {
	h, s := newRestart(t, jaybarrow.StartDone)
	h.pool.SetWorker(jaybarrow.Worker{
		ID: "w1", Pool: "desk", Address: "192.0.2.2:80", State: jaybarrow.WorkerReady, StartedMs: secondBorn, Capacity: s[0].Worker.Capacity,
	}, h.now)
	h.pool.HandleReplaced(s[0].Worker, h.now)
	h.reportInstance("w1", secondBorn, 90, runReports(s, "w1", 10))
	assert.Equal(t, len(h.plan().Starts), 0)
}

// Guards against a poll before a worker has reported to this scheduler: while the stored jobs are being loaded every run that it lists would be
// stopped.
func TestAWorkerThatHasNotReportedIsNotPolled(t *testing.T) {
	h := newHarness(t)
	h.registerInstance("w1", firstBorn)
	h.registerInstance("w1", secondBorn)
	assert.Assert(t, !h.pool.NeedsPoll("w1"))
	_, _, ok := h.pool.PollOrder("w1")
	assert.Assert(t, !ok)
	h.reportInstance("w1", secondBorn, 90, nil)
	h.registerInstance("w1", 2*secondBorn)
	assert.Assert(t, h.pool.NeedsPoll("w1"))
	_, _, ok = h.pool.PollOrder("w1")
	assert.Assert(t, ok)
}

// Guards against calls to workers that have ended with their hosts, for as long as their entries stay in the register: they took a quarter of
// all calls for reports while hosts moved between pools.
func TestAWorkerThatLeftWithItsHostIsForgottenAtOnce(t *testing.T) {
	h := newHarness(t)
	entry := func(startedMs int64) jaybarrow.Worker {
		return jaybarrow.Worker{
			ID: "w1", Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000}, StartedMs: startedMs,
		}
	}
	known := func() bool {
		_, _, ok := h.pool.HoldOrder("w1", true, h.now)
		return ok
	}
	assert.Assert(t, h.pool.SetWorker(entry(firstBorn), h.now))
	assert.Assert(t, h.pool.Reserve("w1"))
	h.pool.EndWorker("w1", h.now)
	assert.Assert(t, !known())
	h.advance(time.Second)
	assert.Assert(t, !h.pool.SetWorker(entry(firstBorn), h.now), "the entry that it has left counts as a worker")
	assert.Assert(t, !known())
	assert.Assert(t, h.pool.SetWorker(entry(secondBorn), h.now), "the worker has started again under its id")
	assert.Assert(t, known())
	h.pool.EndWorker("w1", h.now)
	h.pool.DropWorker("w1")
	assert.Assert(t, h.pool.SetWorker(entry(secondBorn), h.now), "an entry that was removed is back")
	h.pool.DropWorker("w1")
	assert.Assert(t, h.pool.SetWorker(entry(0), h.now))
	h.pool.EndWorker("w1", h.now)
	assert.Assert(t, h.pool.SetWorker(entry(0), h.now), "an entry without a start time may be that of another instance")
}
