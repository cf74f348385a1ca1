package workload_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// outageBacklog replays the end of an outage: 60 jobs that their callers have tried to hand in for 1 to 5 s are accepted at once, and two new
// jobs come every 100 ms for 2 s, in a pool that runs one job of 100 ms after the other. first tells the pool of the first attempts of the 60
// jobs. It returns how many of the new jobs and of all jobs were completed within their target of 1.2 s, counted from the first attempt.
func outageBacklog(t *testing.T, first func(h *harness, id jaybarrow.JobID, age time.Duration)) (newInTime, inTime int) {
	h := newHarness(t)
	h.addWorker("w1")
	step := tasks(1, 10_000) // the whole worker
	step.EstimateMs = 100
	firstAttempt := make(map[jaybarrow.JobID]time.Time)
	for n := range 60 {
		id, age := jaybarrow.JobID(fmt.Sprintf("old-%02d", n)), time.Second+time.Duration(n)*66*time.Millisecond
		h.addJob(id, step)
		firstAttempt[id] = h.now.Add(-age)
		first(h, id, age)
	}
	for slot := range 40 {
		if slot < 20 {
			for n := range 2 {
				id := jaybarrow.JobID(fmt.Sprintf("new-%02d-%d", slot, n))
				h.addJob(id, step)
				firstAttempt[id] = h.now
			}
		}
		starts := h.planAndStart(jaybarrow.StartDone)
		h.advance(100 * time.Millisecond)
		for _, s := range starts {
			if id := s.Task.Job; h.now.Sub(firstAttempt[id]) <= 1200*time.Millisecond {
				inTime++
				if strings.HasPrefix(string(id), "new") {
					newInTime++
				}
			}
			h.report("w1", nil, h.endReport(s, jaybarrow.EndDone))
		}
	}
	return newInTime, inTime
}

// Load pattern: callers of an outage of several seconds come back together with those of new jobs, at more than the pool runs. The new ones must
// be placed first, since the others are late already.
func TestNewJobsArePlacedBeforeThoseOfAnOutage(t *testing.T) {
	with, all := outageBacklog(t, func(h *harness, id jaybarrow.JobID, age time.Duration) {
		h.pool.CountFromFirstAttempt(id, h.now.Add(-age))
	})
	without, allWithout := outageBacklog(t, func(*harness, jaybarrow.JobID, time.Duration) {})
	t.Logf("new jobs in time: %d with first attempts, %d without; of all jobs %d and %d", with, without, all, allWithout)
	assert.Assert(t, with >= 25, "%d of 40 new jobs are in time", with)
	assert.Assert(t, with >= without+5 && all >= allWithout+5, "the load shows nothing")
}

// Guards against a first attempt that changes what is stored or what callers see, or that moves a target back when reports come in another order.
func TestAFirstAttemptChangesTheOrderOnly(t *testing.T) {
	h := newHarness(t)
	spec := h.addJob("a", tasks(1, 1000))
	before, err := json.Marshal(spec)
	assert.NilError(t, err)
	late := func() bool { return h.pool.Load(h.now).Late.CPU > 0 }
	h.pool.CountFromFirstAttempt("a", h.now.Add(time.Minute))
	assert.Assert(t, !late(), "a clock that is ahead")
	h.pool.CountFromFirstAttempt("a", h.now.Add(-time.Minute))
	assert.Assert(t, late())
	h.pool.CountFromFirstAttempt("a", h.now)
	assert.Assert(t, late(), "a later report of another entry host")
	h.pool.UpdatePolicies(h.now)
	assert.Assert(t, late(), "after a change of the configuration")
	after, err := json.Marshal(spec)
	assert.NilError(t, err)
	assert.Equal(t, string(after), string(before))
	assert.Equal(t, h.pool.Status("a").State, jaybarrow.JobPending)
	h.pool.CountFromFirstAttempt("unknown", h.now)
}

// Guards against lasting and scheduled jobs, which are never too late, that are placed behind others.
func TestLastingAndScheduledJobsHaveNoFirstAttempt(t *testing.T) {
	h := newHarness(t)
	lasting := tasks(1, 1000)
	lasting.Lasting = true
	h.addJob("a", lasting)
	h.pool.AddJob(&jaybarrow.Job{
		ID: "b", Queue: "match", Pool: "desk", Spec: "s", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: h.now.UnixMilli(),
		Recurrence: &jaybarrow.Recurrence{Runs: 1, StartMs: h.now.UnixMilli()},
	}, nil, h.now)
	before := h.pool.Load(h.now)
	for _, id := range []jaybarrow.JobID{"a", "b"} {
		h.pool.CountFromFirstAttempt(id, h.now.Add(-time.Minute))
	}
	assert.DeepEqual(t, h.pool.Load(h.now), before)
}
