package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/latency"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// checkedPlatform is a platform with a store that answers each write after a random time, and loses some answers, and with workers some of whose
// tasks fail and some of whose answers are lost. It checks each write, start and acknowledgement against what the store holds.
type checkedPlatform struct {
	*advisedFleet
	t       *testing.T
	records *memoryStore

	lock       sync.Mutex // guards the fields below
	random     *rand.Rand
	jobs       map[jaybarrow.JobID]*jaybarrow.Job
	writing    map[jaybarrow.Key][]write
	ends       map[jaybarrow.WorkerID][]jaybarrow.EndReport // all that were reported; the first one has number 1
	checked    map[jaybarrow.WorkerID]int                   // how many of them were acknowledged
	calm       bool                                         // the store answers at once, and nothing is lost
	endedAt    time.Time                                    // of the term; zero before
	overlapped int                                          // writes that were sent while one of other records was in progress
	acked      int                                          // ends that were acknowledged
}

// write is a call to write a record.
type write struct {
	ctx   context.Context //nolint:containedctx // of a call in progress, to see whether it was given up
	value string
}

func newCheckedPlatform(t *testing.T, seed uint64, queues ...advisedQueue) *checkedPlatform {
	return &checkedPlatform{
		advisedFleet: newAdvisedFleet(nil, 4, queues...), t: t, records: newMemoryStore(), random: rand.New(rand.NewPCG(seed, 3)),
		jobs: make(map[jaybarrow.JobID]*jaybarrow.Job), writing: make(map[jaybarrow.Key][]write), ends: make(map[jaybarrow.WorkerID][]jaybarrow.EndReport),
		checked: make(map[jaybarrow.WorkerID]int),
	}
}

// chance returns true with the probability, and never while the platform is calm. The lock is held.
func (c *checkedPlatform) chance(probability float64) bool {
	return !c.calm && c.random.Float64() < probability
}

// beginWrite checks that no other write of the records is in progress. Calls that repeat one are no other write, nor are those that were given up.
func (c *checkedPlatform) beginWrite(ctx context.Context, changes jaybarrow.Commit) {
	for _, calls := range c.writing {
		for _, w := range calls {
			if w.ctx.Err() == nil {
				c.overlapped++
			}
		}
	}
	for _, p := range changes.Puts {
		for _, w := range c.writing[p.Key] {
			assert.Check(c.t, w.ctx.Err() != nil || w.value == string(p.Value), "two writes of %s are in progress", p.Key)
		}
		c.writing[p.Key] = append(c.writing[p.Key], write{ctx, string(p.Value)})
	}
}

func (c *checkedPlatform) endWrite(ctx context.Context, changes jaybarrow.Commit) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range changes.Puts {
		left := c.writing[p.Key][:0]
		for _, w := range c.writing[p.Key] {
			if w.ctx != ctx {
				left = append(left, w)
			}
		}
		if c.writing[p.Key] = left; len(left) == 0 {
			delete(c.writing, p.Key)
		}
	}
}

func (c *checkedPlatform) Commit(parent context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	ctx, cancel := context.WithCancel(parent) // which tells the calls that repeat one write apart
	defer cancel()
	c.lock.Lock()
	if err := ctx.Err(); err != nil {
		// A repeated call may begin in the moment in which the write is answered. No client sends a call that was given up already.
		c.lock.Unlock()
		return 0, err
	}
	c.beginWrite(ctx, changes)
	before, after, lost := time.Duration(0), time.Duration(0), c.chance(0.1)
	if !c.calm {
		before, after = time.Duration(c.random.IntN(400))*time.Millisecond, time.Duration(c.random.IntN(400))*time.Millisecond
	}
	c.lock.Unlock()
	defer c.endWrite(ctx, changes)
	if err := pause(ctx, before); err != nil {
		return 0, err
	}
	at, err := c.records.Commit(ctx, changes)
	if lost {
		<-ctx.Done()
	}
	if err := pause(ctx, after); err != nil {
		return 0, err
	}
	return at, err
}

// stored returns what the store holds of a task.
func (c *checkedPlatform) stored(ref jaybarrow.TaskRef) (jaybarrow.JobState, workload.TaskRecord) {
	found := c.records.get(ref.Job)
	if found.Revision == 0 {
		return "", workload.TaskRecord{}
	}
	r, err := workload.DecodeRecord(found.Value)
	assert.Check(c.t, err)
	index := int(ref.Index)
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, s := range c.jobs[ref.Job].Steps[:ref.Step] {
		index += s.Tasks
	}
	if index >= len(r.Tasks) {
		return r.State, workload.TaskRecord{}
	}
	return r.State, r.Tasks[index]
}

func (c *checkedPlatform) Start(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	_, task := c.stored(order.Task)
	assert.Check(c.t, task.Run == order.Run && task.Worker == worker.ID, "run %d of %v on %s is sent before it is stored; the store holds %+v", order.Run, order.Task, worker.ID, task)
	c.lock.Lock()
	ended := c.endedAt
	lostOrder, lostAnswer, refused := c.chance(0.03), c.chance(0.03), c.chance(0.03)
	c.lock.Unlock()
	assert.Check(c.t, ended.IsZero() || !time.Now().After(ended), "a start is sent %v after the leader was deposed", time.Since(ended))
	switch {
	case refused:
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartNoCapacity, Clock: c.clock()}, nil
	case lostOrder:
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartUnknown}, context.DeadlineExceeded
	}
	answer, err := c.advisedFleet.Start(ctx, worker, order)
	if lostAnswer {
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartUnknown}, context.DeadlineExceeded
	}
	return answer, err
}

// Hold checks that every end which the order acknowledges is stored.
func (c *checkedPlatform) Hold(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	c.lock.Lock()
	var acknowledged []jaybarrow.EndReport
	if from, to := c.checked[worker.ID], int(order.Acknowledged); to > from {
		acknowledged = c.ends[worker.ID][from:to]
		c.checked[worker.ID] = to
		c.acked += to - from
	}
	c.lock.Unlock()
	for _, e := range acknowledged {
		state, task := c.stored(e.Task)
		ended := state.Ended()
		assert.Check(c.t, ended || task.Done || e.Kind != jaybarrow.EndDone, "the end of run %d of %v is acknowledged; the store holds %+v", e.Run, e.Task, task)
		assert.Check(c.t, ended || task.Done || task.Run > e.Run || task.Worker == "", "the end of run %d of %v is acknowledged; the store holds %+v", e.Run, e.Task, task)
	}
	report, err := c.advisedFleet.Hold(ctx, worker, order)
	return c.note(worker.ID, report), err
}

func (c *checkedPlatform) Poll(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	report, err := c.advisedFleet.Poll(ctx, worker, order)
	return c.note(worker.ID, report), err
}

// note remembers the ends of a report, of which some are failures.
func (c *checkedPlatform) note(worker jaybarrow.WorkerID, report jaybarrow.HoldReport) jaybarrow.HoldReport {
	c.lock.Lock()
	defer c.lock.Unlock()
	for n, e := range report.Ended {
		if int(e.Number) > len(c.ends[worker]) {
			if c.chance(0.05) {
				e.Kind = jaybarrow.EndFailed
			}
			c.ends[worker] = append(c.ends[worker], e)
		}
		// An end keeps its kind in each report that lists it.
		report.Ended[n] = c.ends[worker][e.Number-1]
	}
	return report
}

// submit hands in a random job.
func (c *checkedPlatform) submit(s *Scheduler, queue advisedQueue, id jaybarrow.JobID) {
	c.lock.Lock()
	job := &jaybarrow.Job{ID: id, Queue: queue.id, Pool: queue.pool, Team: "trail", AcceptedMs: time.Now().UnixMilli()}
	runs := time.Duration(10+c.random.IntN(200)) * time.Millisecond
	job.Spec = runs.String()
	for n := range 1 + c.random.IntN(3) {
		step := jaybarrow.Step{
			Tasks: 1 + c.random.IntN(4), Demand: jaybarrow.Resources{CPU: jaybarrow.Millicores(500 + c.random.IntN(2000)), Memory: 100}, EstimateMs: runs.Milliseconds(),
		}
		if n > 0 && c.random.IntN(2) == 0 {
			step.After = []jaybarrow.StepIndex{jaybarrow.StepIndex(n - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	c.jobs[id] = job
	cancels := c.random.IntN(10) == 0
	c.lock.Unlock()
	c.submitJob(s, job)
	if cancels {
		time.AfterFunc(runs, func() {
			s.Announce(jaybarrow.Record{Key: jaybarrow.JobCancelledKey(id), Value: json.RawMessage("{}"), Revision: 1})
		})
	}
}

// play lets jobs arrive for a few seconds at a scheduler whose lead ends in between if deposed is true, and returns the scheduler's jobs that have
// not ended half a minute after the platform has become calm.
func (c *checkedPlatform) play(deposed bool, queues ...advisedQueue) (left []jaybarrow.JobID) {
	commits := latency.New()
	end := func(string) {
		c.lock.Lock()
		defer c.lock.Unlock()
		if c.endedAt.IsZero() {
			c.endedAt = time.Now()
		}
	}
	valid := func() bool {
		c.lock.Lock()
		defer c.lock.Unlock()
		// A term ends a little after it was resigned.
		return c.endedAt.IsZero() || time.Since(c.endedAt) < 300*time.Millisecond
	}
	s := New(Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Register: c, Agents: c, Catalog: c.catalog, Observer: c,
		Store: measured(c, commits), CommitTimes: commits, Settings: DefaultSettings(),
		Term: leader.Term{Fence: 1, Revision: 1, Valid: valid, Resign: end},
	})
	time.Sleep(2 * time.Second)
	for n := range 200 {
		for _, q := range queues {
			c.submit(s, q, jaybarrow.JobID(fmt.Sprintf("%s-%03d", q.id, n)))
		}
		time.Sleep(20 * time.Millisecond)
		if deposed && n == 150 {
			c.records.depose()
		}
	}
	c.lock.Lock()
	c.calm = true
	c.lock.Unlock()
	time.Sleep(30 * time.Second)
	s.Close()
	for id := range c.jobs {
		if state, _ := c.stored(jaybarrow.TaskRef{Job: id}); !state.Ended() {
			left = append(left, id)
		}
	}
	return left
}

var checkedQueues = []advisedQueue{{id: "match", pool: "desk"}, {id: "grind", pool: "mill"}}

// Guards against rounds in progress that break what a round alone keeps: no record has two writes in progress, no start is sent before its assignment
// is stored, no end is acknowledged before it is stored, and every job ends.
func TestOverlappingRoundsStoreBeforeTheySendAndAcknowledge(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCheckedPlatform(t, seed, checkedQueues...)
				left := c.play(false, checkedQueues...)
				assert.Equal(t, len(left), 0, "%v have not ended", left)
				assert.Assert(t, c.overlapped > 100 && c.acked > 100, "%d writes overlapped others, %d ends were acknowledged", c.overlapped, c.acked)
			})
		})
	}
}

// Guards against starts of the rounds that are in progress when the leader learns that another one leads.
func TestOverlappingRoundsOfADeposedLeaderSendNothing(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCheckedPlatform(t, seed, checkedQueues...)
				c.play(true, checkedQueues...)
				assert.Assert(t, !c.endedAt.IsZero(), "the term was not resigned")
			})
		})
	}
}
