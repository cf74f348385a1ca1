package scheduler

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// refusedTerm is a term with one worker, on which a job of refusedTerm waits.
func refusedTerm() *Scheduler {
	known := catalog.New(time.Now())
	known.Apply(&jaybarrow.Configuration{
		Version: 1, Pools: []jaybarrow.JobPool{{ID: "desk"}, {ID: "lab"}},
		Queues: []jaybarrow.JobQueue{{ID: "match", Pool: "desk", MaxAttempts: 2, Stretch: 2, Target: 5 * time.Second}},
	})
	f := platformWithFault{}
	return New(Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: f, Catalog: known, Observer: f,
		Term:     leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
		Settings: DefaultSettings(),
	})
}

// waitingRecord is the record of an accepted job that no worker has room for.
func waitingRecord(t *testing.T, id jaybarrow.JobID) jaybarrow.Record {
	value, err := json.Marshal(jaybarrow.Job{
		ID: id, Queue: "match", Pool: "desk", Spec: "1s", AcceptedMs: time.Now().UnixMilli(),
		Steps: []jaybarrow.Step{{Tasks: 1, Demand: jaybarrow.Resources{CPU: 7000}, EstimateMs: 1000}},
	})
	assert.NilError(t, err)
	return jaybarrow.Record{Key: jaybarrow.JobAcceptedKey(id), Value: value, Revision: 5}
}

func (s *Scheduler) load() workload.Load { return s.Loads(time.Now())["desk"] }

// Guards against a target that is counted from the acceptance because the report came before the job was accepted, or after it, or because the
// job was refused by another entry host than the one that accepted it.
func TestAFirstAttemptCountsWheneverItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := refusedTerm()
		time.Sleep(time.Second)
		reported := jaybarrow.RefusedJob{ID: "00000000000000a1", Pool: "desk", Age: 10 * time.Second}
		s.Refused([]jaybarrow.RefusedJob{reported})
		s.Announce(waitingRecord(t, reported.ID))
		assert.Equal(t, s.load().Late.CPU, jaybarrow.Millicores(7000), "reported before")
		later := reported
		later.ID = "00000000000000a2"
		s.Announce(waitingRecord(t, later.ID))
		assert.Equal(t, s.load().Late.CPU, jaybarrow.Millicores(7000))
		s.Refused([]jaybarrow.RefusedJob{later, {}, {ID: "00000000000000ff", Pool: "desk"}})
		assert.Equal(t, s.load().Late.CPU, jaybarrow.Millicores(14_000), "reported after")
		elsewhere := later
		elsewhere.ID, elsewhere.Pool = "00000000000000a3", "lab"
		s.Announce(waitingRecord(t, elsewhere.ID))
		s.Refused([]jaybarrow.RefusedJob{elsewhere})
		assert.Equal(t, s.load().Late.CPU, jaybarrow.Millicores(14_000), "a job of another pool")
		assert.Equal(t, s.RefusedJobs(), 4)
		s.Close()
	})
}

// Load pattern: a queue's demand rises while jobs are refused. The refused work must count as demand at once, each job once and no accepted one, and a
// report that names a pool which is not configured must create none.
func TestRefusedWorkIsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := refusedTerm()
		defer s.Close()
		time.Sleep(time.Second)
		assert.Equal(t, s.load().Refused, jaybarrow.Resources{}, "nothing is refused")
		work := jaybarrow.Work{CPU: 3000, Memory: 100}
		jobs := []jaybarrow.RefusedJob{
			{ID: "00000000000000b1", Pool: "desk", Work: work},
			{ID: "00000000000000b2", Pool: "desk", Work: work},
			{ID: "00000000000000b3", Pool: "lab", Work: work},
			{ID: "00000000000000b4", Pool: "unconfigured", Work: work},
		}
		s.Refused(jobs)
		s.Refused(jobs)
		assert.Equal(t, s.load().Refused, jaybarrow.Resources{CPU: 6000, Memory: 200})
		assert.Equal(t, s.Loads(time.Now())["lab"].Refused.CPU, jaybarrow.Millicores(3000), "a pool without workers")
		_, known := s.Loads(time.Now())["unconfigured"]
		assert.Assert(t, !known)
		s.Announce(waitingRecord(t, "00000000000000b1"))
		assert.Equal(t, s.load().Refused.CPU, jaybarrow.Millicores(3000), "an accepted job")
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, s.load().Refused, jaybarrow.Resources{}, "after the last second")
	})
}
