package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/evacuation"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// twoZones is a platform with a worker in z1 and one in z2 and without faults.
type twoZones struct {
	platformWithFault
	lock       *sync.Mutex
	starts     map[jaybarrow.DataCentreID]int
	writeDelay *atomic.Int64 // of a commit, in ns
	withheld   *atomic.Int64 // starts
	log        *bytes.Buffer // read when the scheduler is closed only
}

// StartWithheld counts the start.
func (z twoZones) StartWithheld(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID) {
	z.withheld.Add(1)
}

func newTwoZones() twoZones {
	return twoZones{lock: new(sync.Mutex), starts: make(map[jaybarrow.DataCentreID]int), writeDelay: new(atomic.Int64), withheld: new(atomic.Int64), log: new(bytes.Buffer)}
}

func (z twoZones) ListPage(_ context.Context, _, _ jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	return jaybarrow.Page[jaybarrow.Record]{Revision: 1}, nil
}

func (z twoZones) Commit(ctx context.Context, _ jaybarrow.Commit) (jaybarrow.Revision, error) {
	return 2, pause(ctx, time.Duration(z.writeDelay.Load()))
}

func (z twoZones) Workers(context.Context, jaybarrow.Key) (jaybarrow.Page[jaybarrow.WorkerChange], error) {
	var out jaybarrow.Page[jaybarrow.WorkerChange]
	for _, id := range []jaybarrow.DataCentreID{"z1", "z2"} {
		w := &jaybarrow.Worker{
			ID: jaybarrow.WorkerID("w-" + id), Pool: "desk", State: jaybarrow.WorkerReady, DataCentre: id, Capacity: jaybarrow.Resources{CPU: 1000},
		}
		out.Items = append(out.Items, jaybarrow.WorkerChange{ID: w.ID, Worker: w})
	}
	out.Revision = 1
	return out, nil
}

func (z twoZones) Start(_ context.Context, w jaybarrow.Worker, _ jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	z.lock.Lock()
	defer z.lock.Unlock()
	z.starts[w.DataCentre]++
	return jaybarrow.StartAnswer{Outcome: jaybarrow.StartDone}, nil
}

// started returns how many starts were sent to the data centre.
func (z twoZones) started(id jaybarrow.DataCentreID) int {
	z.lock.Lock()
	defer z.lock.Unlock()
	return z.starts[id]
}

// newScheduler returns a running scheduler of the platform.
func (z twoZones) newScheduler(e *evacuation.Set) *Scheduler {
	s := New(Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.New(zerolog.SyncWriter(z.log)), Store: z, Register: z, Agents: z, Catalog: catalog.New(time.Now()), Observer: z, Evacuations: e,
		Term:     leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
		Settings: DefaultSettings(),
	})
	time.Sleep(time.Second)
	return s
}

// announce hands a job of so many tasks that each fill a worker to the scheduler.
func announce(t *testing.T, s *Scheduler, id jaybarrow.JobID, tasks int) {
	t.Helper()
	value, err := json.Marshal(jaybarrow.Job{
		ID: id, Queue: "match", Pool: "desk", Spec: "1s", AcceptedMs: time.Now().UnixMilli(),
		Steps: []jaybarrow.Step{{Tasks: tasks, Demand: jaybarrow.Resources{CPU: 1000}, EstimateMs: 1000}},
	})
	assert.NilError(t, err)
	s.Announce(jaybarrow.Record{Key: jaybarrow.JobAcceptedKey(id), Value: value, Revision: 3})
}

// Guards against a leader that starts tasks although it has not read the operators' keys lately, so that an evacuation may be in force, and against one
// that does not resume.
func TestNothingStartsByAnOldReading(t *testing.T) {
	for _, c := range []struct {
		name  string
		bound time.Duration
		want  int // starts while the reading is old
	}{{"with a bound", 5 * time.Second, 0}, {"without one", 0, 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z, e := newTwoZones(), evacuation.New(evacuation.Settings{Bound: c.bound})
				e.Replace(nil, time.Now())
				s := z.newScheduler(e)
				time.Sleep(2600 * time.Millisecond)
				announce(t, s, "00000000000000fb", 2)
				time.Sleep(time.Second)
				assert.Equal(t, z.started("z1")+z.started("z2"), c.want)
				p := s.pool("desk")
				p.locked(func() {
					assert.Assert(t, !p.state.HasUnsentRuns(), "tasks are assigned to workers that may be evacuated")
				})
				e.Apply(nil, time.Now())
				time.Sleep(300 * time.Millisecond)
				assert.Equal(t, z.started("z1")+z.started("z2"), 2)
				s.Close()
				lines := min(1, int(c.bound))
				assert.Equal(t, strings.Count(z.log.String(), "the keys of operators were not read lately"), lines)
				assert.Equal(t, strings.Count(z.log.String(), "the keys of operators were read again"), lines)
			})
		})
	}
}

// Guards against a start that is sent although an evacuation has begun, or the reading has become too old, while its record was written. The task goes
// to another worker, or waits.
func TestAStartIsWithheldAfterALongWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, e := newTwoZones(), evacuation.New(evacuation.Settings{Bound: 5 * time.Second})
		e.Replace(nil, time.Now())
		s := z.newScheduler(e)
		defer s.Close()
		z.writeDelay.Store(int64(time.Second))
		announce(t, s, "00000000000000fb", 2)
		time.Sleep(500 * time.Millisecond) // half of the write
		e.Apply([]jaybarrow.EvacuationChange{{DataCentre: "z2"}}, time.Now())
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, z.started("z1"), 1)
		assert.Equal(t, z.started("z2"), 0)
		assert.Equal(t, s.RunsLeft("z1"), 1)
		assert.Equal(t, s.RunsLeft("z2"), 0)
		assert.Equal(t, z.withheld.Load(), int64(1))
		for _, w := range s.Loads(time.Now())["desk"].Workers {
			assert.Equal(t, w.Usable, w.ID == "w-z1", "its task would be assigned there again and again")
		}
		e.Apply([]jaybarrow.EvacuationChange{{DataCentre: "z2", Ended: true}}, time.Now())
		z.writeDelay.Store(0)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, z.started("z2") > 0, "the data centre is used again")
	})
	synctest.Test(t, func(t *testing.T) {
		z, e := newTwoZones(), evacuation.New(evacuation.Settings{Bound: 5 * time.Second})
		e.Replace(nil, time.Now())
		s := z.newScheduler(e)
		defer s.Close()
		time.Sleep(2 * time.Second)
		z.writeDelay.Store(int64(time.Second))
		announce(t, s, "00000000000000fb", 2)
		time.Sleep(2 * time.Second)
		assert.Equal(t, z.started("z1")+z.started("z2"), 0)
		e.Apply(nil, time.Now())
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, z.started("z1")+z.started("z2"), 2)
	})
}

// Guards against start orders that wait for the ones before them, to the same worker, and are then sent although an evacuation has begun or the reading
// has become too old meanwhile.
func TestAStartIsWithheldJustBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, e := newTwoZones(), evacuation.New(evacuation.Settings{Bound: 5 * time.Second})
		e.Replace(nil, time.Now())
		s := z.newScheduler(e)
		defer s.Close()
		p := s.pool("desk")
		send := func(id jaybarrow.DataCentreID) {
			p.startSlots <- struct{}{}
			p.startRuns(context.Background(), []workload.StartRun{{
				Worker: jaybarrow.Worker{ID: jaybarrow.WorkerID("w-" + id), DataCentre: id}, Task: jaybarrow.TaskRef{Job: "other"}, Run: 1,
			}})
		}
		send("z2")
		assert.Equal(t, z.started("z2"), 1)
		e.Apply([]jaybarrow.EvacuationChange{{DataCentre: "z2"}}, time.Now())
		send("z2")
		send("z1")
		assert.Equal(t, z.started("z2"), 1)
		assert.Equal(t, z.started("z1"), 1)
		time.Sleep(3501 * time.Millisecond)
		send("z1")
		assert.Equal(t, z.started("z1"), 1)
		assert.Equal(t, len(p.startSlots), 0)
	})
}
