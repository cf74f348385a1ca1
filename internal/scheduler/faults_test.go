package scheduler

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

const faultJob = jaybarrow.JobID("00000000000000fa")

// platformWithFault is a platform with one accepted job and one worker, of which one call panics.
type platformWithFault struct {
	jaybarrow.JobStore
	faulty string
}

func (f platformWithFault) call(name string) {
	if f.faulty == name {
		panic("fault of " + name)
	}
}

func (f platformWithFault) ListPage(_ context.Context, prefix, _ jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	if prefix != jaybarrow.JobInputPrefix {
		f.call("list of progress")
		return jaybarrow.Page[jaybarrow.Record]{Revision: 1}, nil
	}
	f.call("list of jobs")
	value, err := json.Marshal(jaybarrow.Job{
		ID: faultJob, Queue: "match", Pool: "desk", Spec: "1s", AcceptedMs: time.Now().UnixMilli(),
		Steps: []jaybarrow.Step{{Tasks: 1, Demand: jaybarrow.Resources{CPU: 100}, EstimateMs: 1000}},
	})
	return jaybarrow.Page[jaybarrow.Record]{
		Items: []jaybarrow.Record{{Key: jaybarrow.JobAcceptedKey(faultJob), Value: value, Revision: 1}}, Revision: 1,
	}, err
}

func (f platformWithFault) Changes(ctx context.Context, _ jaybarrow.Key, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	f.call("changes of jobs")
	return nil, after, pause(ctx, wait)
}

func (f platformWithFault) Commit(context.Context, jaybarrow.Commit) (jaybarrow.Revision, error) {
	f.call("commit")
	return 2, nil
}

func (f platformWithFault) Workers(context.Context, jaybarrow.Key) (jaybarrow.Page[jaybarrow.WorkerChange], error) {
	f.call("register")
	w := &jaybarrow.Worker{ID: "w1", Pool: "desk", State: jaybarrow.WorkerReady, Capacity: jaybarrow.Resources{CPU: 1000}}
	return jaybarrow.Page[jaybarrow.WorkerChange]{Items: []jaybarrow.WorkerChange{{ID: w.ID, Worker: w}}, Revision: 1}, nil
}

func (f platformWithFault) WorkerChanges(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.WorkerChange, jaybarrow.Revision, error) {
	return nil, after, pause(ctx, wait)
}

func (f platformWithFault) Start(context.Context, jaybarrow.Worker, jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	f.call("start")
	return jaybarrow.StartAnswer{Outcome: jaybarrow.StartDone}, nil
}

func (f platformWithFault) Stop(context.Context, jaybarrow.Worker, jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.FenceToken) error {
	return nil
}

func (f platformWithFault) Hold(ctx context.Context, _ jaybarrow.Worker, order jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	f.call("hold")
	return jaybarrow.HoldReport{}, pause(ctx, max(order.Wait, time.Millisecond))
}

func (f platformWithFault) Poll(context.Context, jaybarrow.Worker, jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	return jaybarrow.HoldReport{}, nil
}

func (f platformWithFault) Throttle(context.Context, jaybarrow.Worker, jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.Percent, jaybarrow.FenceToken) error {
	return nil
}

func (f platformWithFault) Disconnect(jaybarrow.Worker) {}

func (f platformWithFault) JobStarted(*jaybarrow.Job, time.Duration) {}

// StartAnswered is called while the lock of the pool is held.
func (f platformWithFault) StartAnswered(jaybarrow.StartOutcome) { f.call("observer") }

func (f platformWithFault) RunEnded(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID, jaybarrow.EndKind, time.Duration) {
}

func (f platformWithFault) JobEnded(*jaybarrow.Job, jaybarrow.JobState, time.Duration, int) {}

func (f platformWithFault) WorkerRestarted(jaybarrow.WorkerID, int, int) {}

func (f platformWithFault) RoomHeld(jaybarrow.PoolID, int, int) {}

func (f platformWithFault) WorkerEjected(jaybarrow.WorkerID, string)                {}
func (f platformWithFault) HoldGivenUp(jaybarrow.WorkerID, jaybarrow.DrainObstacle) {}

func (f platformWithFault) StartWithheld(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID) {
}

func (f platformWithFault) AdviceEnded(jaybarrow.QueueID, jaybarrow.AdviceOutcome, time.Duration) {}

// pause waits for d; it returns ctx's error when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Guards against a leader that keeps its term after a part of the scheduler or of a pool has panicked, and against a scheduler that can never be closed
// because the panic has left the lock of a pool locked.
func TestAPanicOfAPartOfTheSchedulerEndsTheTerm(t *testing.T) {
	for _, faulty := range []string{"register", "list of jobs", "list of progress", "changes of jobs", "commit", "start", "hold", "observer"} {
		t.Run(faulty, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := catalog.New(time.Now())
				known.Apply(&jaybarrow.Configuration{
					Version: 1, Pools: []jaybarrow.JobPool{{ID: "desk"}},
					Queues: []jaybarrow.JobQueue{{ID: "match", Pool: "desk", MaxAttempts: 2, Stretch: 2, Target: time.Second}},
				})
				f := platformWithFault{faulty: faulty}
				var resigned atomic.Bool
				s := New(Deps{
					Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: f, Catalog: known, Observer: f,
					Term:     leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) { resigned.Store(true) }},
					Settings: DefaultSettings(),
				})
				time.Sleep(time.Second)
				hasResigned := resigned.Load()
				var caught panics.Catcher
				caught.Try(s.Close)
				assert.Assert(t, hasResigned, "the term goes on without a part of the pool")
				assert.Assert(t, caught.Recovered() != nil, "Close did not propagate the panic")
			})
		})
	}
}

// countingAgents counts the start orders.
type countingAgents struct {
	platformWithFault
	starts *atomic.Int64
}

func (a countingAgents) Start(context.Context, jaybarrow.Worker, jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	a.starts.Add(1)
	return jaybarrow.StartAnswer{Outcome: jaybarrow.StartDone}, nil
}

// Guards against a process that is paused between a decision and its start orders, and then sends them although its lease has ended.
func TestAPauseAfterTheDecisionStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := platformWithFault{}
		agents := countingAgents{f, new(atomic.Int64)}
		var lapsed atomic.Bool
		s := New(Deps{
			Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: agents, Catalog: catalog.New(time.Now()), Observer: f,
			Term:     leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return !lapsed.Load() }, Resign: func(string) {}},
			Settings: DefaultSettings(),
		})
		time.Sleep(time.Second)
		before := agents.starts.Load()
		assert.Assert(t, before > 0, "nothing was started while the lease held")
		lapsed.Store(true)
		p := s.pool("desk")
		p.startSlots <- struct{}{}
		p.startRuns(context.Background(), []workload.StartRun{{Worker: jaybarrow.Worker{ID: "w1"}, Task: jaybarrow.TaskRef{Job: faultJob}, Run: 9}})
		assert.Equal(t, agents.starts.Load(), before)
		s.Close()
	})
}

// silentAgents leave the first start unanswered.
type silentAgents struct {
	platformWithFault
	starts *atomic.Int64
}

func (a silentAgents) Start(context.Context, jaybarrow.Worker, jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	if a.starts.Add(1) == 1 {
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartUnknown}, context.DeadlineExceeded
	}
	return jaybarrow.StartAnswer{Outcome: jaybarrow.StartDone}, nil
}

// Guards against tasks that wait for one time limit after the other because their orders follow each other to a worker that is silent.
func TestStartsBehindAnUnansweredOneAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := platformWithFault{}
		agents := silentAgents{f, new(atomic.Int64)}
		s := New(Deps{
			Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: countingAgents{f, new(atomic.Int64)}, Catalog: catalog.New(time.Now()), Observer: f,
			Term:     leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
			Settings: DefaultSettings(),
		})
		time.Sleep(time.Second)
		p := s.pool("desk")
		p.deps.Agents = agents
		var starts []workload.StartRun
		for n := range 5 {
			p.startSlots <- struct{}{}
			starts = append(starts, workload.StartRun{Worker: jaybarrow.Worker{ID: "w9"}, Task: jaybarrow.TaskRef{Job: "other", Index: jaybarrow.TaskIndex(n)}, Run: 1})
		}
		p.startRuns(context.Background(), starts)
		assert.Equal(t, agents.starts.Load(), int64(1))
		assert.Equal(t, len(p.startSlots), 0)
		s.Close()
	})
}

// Guards against orders to one worker that wait for a connection, and against orders of different workers that wait for each other.
func TestStartsByConnectionHoldTheStartsOfOneWorkerInOrder(t *testing.T) {
	var starts []workload.StartRun
	for n := range 12 {
		worker := jaybarrow.WorkerID([]string{"a", "b", "a"}[n%3])
		starts = append(starts, workload.StartRun{Worker: jaybarrow.Worker{ID: worker}, Run: jaybarrow.RunNumber(n)})
	}
	counts := make(map[jaybarrow.WorkerID]int)
	all := 0
	for _, some := range byConnection(starts) {
		counts[some[0].Worker.ID]++
		for n, s := range some {
			assert.Equal(t, s.Worker.ID, some[0].Worker.ID)
			assert.Assert(t, n == 0 || s.Run > some[n-1].Run)
			all++
		}
	}
	assert.Equal(t, all, len(starts))
	assert.DeepEqual(t, counts, map[jaybarrow.WorkerID]int{"a": orderConnections, "b": orderConnections})
}
