package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a failed run that counts twice: a report from before its end arrives after the end and brings the run back, the record then says
// both, and a successor counts the end again. The job failed after one failure of two that are allowed.
func TestALateReportDoesNotBringAnEndedRunBack(t *testing.T) {
	for name, late := range map[string]jaybarrow.WorkerClock{"an earlier reading": 500_100, "the same reading": 500_110} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.registerInstance("w1", firstBorn)
			h.reportInstance("w1", firstBorn, 500_000, nil)
			j := h.addJob("j", tasks(1, 1000))
			s := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(s), 1)
			h.advance(100 * time.Millisecond)
			polled := h.now
			end := h.endReport(s[0], jaybarrow.EndFailed)
			h.reportInstance("w1", firstBorn, 500_110, nil, end)
			h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: late, StartedMs: firstBorn, Running: runReports(s, "w1", 10)}, polled, h.now)
			out := h.plan()
			assert.Equal(t, len(out.Records), 1)
			record := h.stored(out.Records[0])

			h.used = jaybarrow.Resources{}
			h.pool = h.newPool()
			h.registerInstance("w1", firstBorn)
			h.pool.AddJob(j, &record, h.now)
			h.reportInstance("w1", firstBorn, 500_200, nil, end)
			h.plan()
			assert.Assert(t, h.pool.Status("j").State != jaybarrow.JobFailed, "one failed run of two that are allowed")
		})
	}
}

// Guards against progress, checkpoints and clock readings that an overtaken report sets back.
func TestAnOvertakenReportChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.registerInstance("w1", firstBorn)
	h.reportInstance("w1", firstBorn, 500_000, nil)
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1)
	polled := h.now
	h.advance(100 * time.Millisecond)
	h.reportInstance("w1", firstBorn, 500_110, runReports(s, "w1", 40))
	_, before, ok := h.pool.HoldOrder("w1", true, h.now)
	assert.Assert(t, ok)
	h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 500_060, StartedMs: firstBorn, Running: runReports(s, "w1", 10)}, polled, h.now)
	_, after, ok := h.pool.HoldOrder("w1", true, h.now)
	assert.Assert(t, ok)
	assert.Equal(t, after.Expires, before.Expires)
	// The run stalls by its last progress, which the late report does not renew.
	h.advance(h.settings.StallTimeout - 50*time.Millisecond)
	h.reportInstance("w1", firstBorn, 500_760, runReports(s, "w1", 40))
	assert.Equal(t, len(h.planStops()), 0)
	h.advance(100 * time.Millisecond)
	h.reportInstance("w1", firstBorn, 500_860, runReports(s, "w1", 40))
	stops := h.planStops()
	assert.Equal(t, len(stops), 1)
	assert.DeepEqual(t, stops[0].Task, s[0].Task)
}
