package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/standin/adviser"
)

// advisedFleet is a platform with workers of 10 cores whose queues have an adviser. Its workers refuse starts without a valid ticket.
type advisedFleet struct {
	platformWithFault
	adviser *adviser.Adviser
	catalog *catalog.Catalog
	entries []jaybarrow.WorkerChange
	made    time.Time // origin of the workers' clocks

	lock    sync.Mutex
	begin   time.Time // of the test's load
	workers map[jaybarrow.WorkerID]*advisedWorker
	starts  map[jaybarrow.JobID][]time.Duration // since begin
	invalid int                                 // starts without a valid ticket
	records map[jaybarrow.Key]jaybarrow.Record
}

// advisedWorker runs each task for its job's spec.
type advisedWorker struct {
	running map[jaybarrow.TaskRef]jaybarrow.RunReport
	ended   []jaybarrow.EndReport
	ends    jaybarrow.EndNumber
	changed chan struct{}
}

const advisedCores = 10_000

// advisedQueue is a queue of advisedFleet.
type advisedQueue struct {
	id       jaybarrow.QueueID
	pool     jaybarrow.PoolID
	priority int
	advice   *jaybarrow.AdviceSettings
}

// newAdvisedFleet returns a fleet with so many workers in each pool of the queues.
func newAdvisedFleet(a *adviser.Adviser, workers int, queues ...advisedQueue) *advisedFleet {
	f := &advisedFleet{
		adviser: a, catalog: catalog.New(time.Now()), made: time.Now(), begin: time.Now(),
		workers: make(map[jaybarrow.WorkerID]*advisedWorker), starts: make(map[jaybarrow.JobID][]time.Duration),
		records: make(map[jaybarrow.Key]jaybarrow.Record),
	}
	configuration := &jaybarrow.Configuration{Version: 1}
	pools := make(map[jaybarrow.PoolID]bool)
	for _, q := range queues {
		configuration.Queues = append(configuration.Queues, jaybarrow.JobQueue{
			ID: q.id, Pool: q.pool, Priority: q.priority, MaxAttempts: 2, Stretch: 2, Target: time.Second, Advice: q.advice,
		})
		if pools[q.pool] {
			continue
		}
		pools[q.pool] = true
		configuration.Pools = append(configuration.Pools, jaybarrow.JobPool{ID: q.pool})
		for n := range workers {
			w := &jaybarrow.Worker{
				ID: jaybarrow.WorkerID(fmt.Sprintf("%s-%02d", q.pool, n)), Pool: q.pool, State: jaybarrow.WorkerReady,
				Capacity: jaybarrow.Resources{CPU: advisedCores, Memory: 10_000},
			}
			f.entries = append(f.entries, jaybarrow.WorkerChange{ID: w.ID, Worker: w})
			f.workers[w.ID] = &advisedWorker{running: make(map[jaybarrow.TaskRef]jaybarrow.RunReport), changed: make(chan struct{}, 1)}
		}
	}
	f.catalog.Apply(configuration)
	return f
}

// newScheduler returns a running scheduler of the fleet.
func (f *advisedFleet) newScheduler(fence jaybarrow.FenceToken) *Scheduler {
	return New(Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: f, Adviser: f.adviser, Catalog: f.catalog, Observer: f,
		Term:     leader.Term{Fence: fence, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
		Settings: DefaultSettings(),
	})
}

// submit announces a job of one step, as an entry host does.
func (f *advisedFleet) submit(s *Scheduler, queue advisedQueue, id jaybarrow.JobID, tasks int, cpu jaybarrow.Millicores, runs time.Duration) {
	f.submitJob(s, &jaybarrow.Job{
		ID: id, Queue: queue.id, Pool: queue.pool, Team: "trail", Spec: runs.String(), AcceptedMs: time.Now().UnixMilli(),
		Steps: []jaybarrow.Step{{Tasks: tasks, Demand: jaybarrow.Resources{CPU: cpu, Memory: 100}, EstimateMs: runs.Milliseconds()}},
	})
}

func (f *advisedFleet) submitJob(s *Scheduler, job *jaybarrow.Job) {
	value, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	f.put(jaybarrow.JobAcceptedKey(job.ID), value)
	s.Announce(jaybarrow.Record{Key: jaybarrow.JobAcceptedKey(job.ID), Value: value, Revision: 1})
}

// beginNow sets the origin of the times of the starts.
func (f *advisedFleet) beginNow() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.begin = time.Now()
}

func (f *advisedFleet) put(key jaybarrow.Key, value []byte) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.records[key] = jaybarrow.Record{Key: key, Value: value, Revision: 1}
}

// begun returns when the first task of each job has started, since the fleet began.
func (f *advisedFleet) begun() map[jaybarrow.JobID]time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := make(map[jaybarrow.JobID]time.Duration)
	for id, starts := range f.starts {
		out[id] = starts[0]
	}
	return out
}

// refusedStarts returns how many starts had no valid ticket.
func (f *advisedFleet) refusedStarts() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.invalid
}

// startCount returns how many starts were carried out.
func (f *advisedFleet) startCount() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	n := 0
	for _, starts := range f.starts {
		n += len(starts)
	}
	return n
}

// last returns when the last of the jobs began; false unless so many have.
func (f *advisedFleet) last(jobs int) (time.Duration, bool) {
	begun := f.begun()
	var out time.Duration
	for _, at := range begun {
		out = max(out, at)
	}
	return out, len(begun) >= jobs
}

func (f *advisedFleet) ListPage(_ context.Context, prefix, _ jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := jaybarrow.Page[jaybarrow.Record]{Revision: 1}
	for key, r := range f.records {
		if strings.HasPrefix(string(key), string(prefix)) {
			out.Items = append(out.Items, r)
		}
	}
	return out, nil
}

func (f *advisedFleet) Commit(_ context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	for _, p := range c.Puts {
		f.put(p.Key, p.Value)
	}
	return 1, nil
}

func (f *advisedFleet) Workers(context.Context, jaybarrow.Key) (jaybarrow.Page[jaybarrow.WorkerChange], error) {
	return jaybarrow.Page[jaybarrow.WorkerChange]{Items: f.entries, Revision: 1}, nil
}

func (f *advisedFleet) Start(_ context.Context, worker jaybarrow.Worker, order jaybarrow.StartOrder) (jaybarrow.StartAnswer, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	w, ref := f.workers[worker.ID], order.Task
	if f.adviser != nil && !f.adviser.Permits(order.Ticket, jaybarrow.StepRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}, worker.ID) {
		f.invalid++
		return jaybarrow.StartAnswer{Outcome: jaybarrow.StartNoTicket, Clock: f.clock()}, nil
	}
	f.starts[ref.Job] = append(f.starts[ref.Job], time.Since(f.begin))
	w.running[ref] = jaybarrow.RunReport{Task: ref, Run: order.Run}
	if runs, err := time.ParseDuration(order.Spec); err == nil {
		time.AfterFunc(runs, func() { f.end(w, ref, order.Run) })
	}
	return jaybarrow.StartAnswer{Outcome: jaybarrow.StartDone, Clock: f.clock()}, nil
}

func (f *advisedFleet) end(w *advisedWorker, ref jaybarrow.TaskRef, run jaybarrow.RunNumber) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(w.running, ref)
	w.ends++
	w.ended = append(w.ended, jaybarrow.EndReport{Number: w.ends, Task: ref, Run: run, Kind: jaybarrow.EndDone})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (f *advisedFleet) clock() jaybarrow.WorkerClock {
	return jaybarrow.WorkerClock(time.Since(f.made).Milliseconds()) + 1
}

func (f *advisedFleet) Hold(ctx context.Context, worker jaybarrow.Worker, order jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	w := f.workers[worker.ID]
	f.lock.Lock()
	for len(w.ended) > 0 && w.ended[0].Number <= order.Acknowledged {
		w.ended = w.ended[1:]
	}
	waits := len(w.ended) == 0
	f.lock.Unlock()
	if waits {
		select {
		case <-ctx.Done():
			return jaybarrow.HoldReport{}, ctx.Err()
		case <-w.changed:
		case <-time.After(max(order.Wait, time.Millisecond)):
		}
	}
	return f.Poll(ctx, worker, order)
}

func (f *advisedFleet) Poll(_ context.Context, worker jaybarrow.Worker, _ jaybarrow.HoldOrder) (jaybarrow.HoldReport, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	w := f.workers[worker.ID]
	out := jaybarrow.HoldReport{Clock: f.clock(), StartedMs: 1, Ended: append([]jaybarrow.EndReport(nil), w.ended...)}
	for _, r := range w.running {
		out.Running = append(out.Running, r)
	}
	return out, nil
}

// burst is the shape of a burst of one-task jobs against an adviser.
type burst struct {
	jobs, workers  int
	cpu            jaybarrow.Millicores
	delay          time.Duration // before the first job
	pause, runs    time.Duration
	announced      jaybarrow.AdviceSettings
	actual         jaybarrow.AdviceSettings // announced unless it is set
	allows         func(jaybarrow.StepRef, jaybarrow.WorkerID) bool
	skipsAbandoned bool
	trouble        func(*adviser.Adviser) // runs beside the burst
}

// burstResult is what came of a burst.
type burstResult struct {
	begun   int
	last    time.Duration // when the last one began
	invalid int
	counts  adviser.Counts
}

// play submits the jobs one after the other and waits until all have begun, at most for the time.
func (b burst) play(t *testing.T, limit time.Duration) burstResult {
	t.Helper()
	if b.actual == (jaybarrow.AdviceSettings{}) {
		b.actual = b.announced
	}
	a := adviser.New(adviser.Settings{Times: b.actual, Allows: b.allows, SkipsAbandoned: b.skipsAbandoned})
	defer a.Close()
	queue := advisedQueue{id: "match", pool: "desk", advice: &b.announced}
	f := newAdvisedFleet(a, b.workers, queue)
	s := f.newScheduler(1)
	time.Sleep(2 * time.Second)
	f.beginNow()
	var beside conc.WaitGroup
	defer beside.Wait()
	if b.trouble != nil {
		beside.Go(func() { b.trouble(a) })
	}
	time.Sleep(b.delay)
	for n := range b.jobs {
		f.submit(s, queue, jaybarrow.JobID(fmt.Sprintf("job-%03d", n)), 1, b.cpu, b.runs)
		time.Sleep(b.pause)
	}
	var out burstResult
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if _, all := f.last(b.jobs); all {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	out.last, _ = f.last(b.jobs)
	out.begun, out.counts = len(f.begun()), a.Counts()
	s.Close()
	out.invalid = f.refusedStarts()
	return out
}
