package scheduler

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/adviser"
)

// usualTimes are those of an adviser that takes 196 ms for a decision on 12 workers.
var usualTimes = jaybarrow.AdviceSettings{Decide: 100 * time.Millisecond, Each: 8 * time.Millisecond, Valid: 3 * time.Second}

// usualBurst hands in nearly three times as many jobs as the adviser decides if it is asked about every worker.
var usualBurst = burst{jobs: 60, workers: 12, cpu: 3500, pause: 66 * time.Millisecond, runs: 800 * time.Millisecond, announced: usualTimes}

// Guards against calls that are given up before their answer and asked again, so that the more jobs wait the fewer of them begin.
func TestABurstOfAdvisedJobsBegins(t *testing.T) {
	for name, c := range map[string]struct {
		jobs, workers int
		pause         time.Duration
		limit         time.Duration // for the last one to begin
	}{
		"12 workers":              {60, 12, 66 * time.Millisecond, 9 * time.Second},
		"48 workers":              {60, 48, 66 * time.Millisecond, 12 * time.Second},
		"ten times what it bears": {300, 48, 11 * time.Millisecond, 45 * time.Second},
	} {
		for _, skips := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, abandoned calls are skipped %v", name, skips), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := usualBurst
					b.jobs, b.workers, b.pause, b.skipsAbandoned = c.jobs, c.workers, c.pause, skips
					r := b.play(t, 2*c.limit)
					assert.Equal(t, r.begun, b.jobs)
					assert.Assert(t, r.last < c.limit, "the last job began after %v", r.last)
					assert.Equal(t, r.counts.Answers, r.counts.Calls, "%+v", r.counts)
					assert.Equal(t, r.counts.Refused, 0)
					assert.Assert(t, r.last-r.counts.Busy < 100*time.Millisecond, "the adviser was idle while jobs waited: %v of %v busy", r.counts.Busy, r.last)
					assert.Equal(t, r.invalid, 0)
				})
			})
		}
	}
}

// Guards against the same with other times and policies of the adviser, more work than room, and faults of the adviser.
func TestAdvisedJobsBegin(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	times := func(decide, each, valid time.Duration) jaybarrow.AdviceSettings {
		return jaybarrow.AdviceSettings{Decide: decide, Each: each, Valid: valid}
	}
	some := func(n int) func(jaybarrow.StepRef, jaybarrow.WorkerID) bool {
		return func(_ jaybarrow.StepRef, id jaybarrow.WorkerID) bool {
			var worker int
			_, err := fmt.Sscanf(string(id), "desk-%d", &worker)
			return err == nil && worker < n
		}
	}
	// during sets a fault for so long, from a second after the beginning.
	during := func(length time.Duration, set func(*adviser.Adviser, bool)) func(*adviser.Adviser) {
		return func(a *adviser.Adviser) {
			time.Sleep(s)
			set(a, true)
			time.Sleep(length)
			set(a, false)
		}
	}
	stalled, deaf, lost := (*adviser.Adviser).SetStalled, (*adviser.Adviser).SetDeaf, (*adviser.Adviser).SetLost
	// The limits follow from the adviser's time for a request about a few workers for each job, the room, and 3 s after a fault has ended.
	for name, c := range map[string]struct {
		adjust func(*burst)
		limit  time.Duration
		gaveUp int // calls that may end without an answer
	}{
		"quick decisions":             {func(b *burst) { b.announced = times(5*ms, 1*ms, 3*s) }, 5 * s, 0},
		"no time at all":              {func(b *burst) { b.announced = times(0, 0, 3*s) }, 5 * s, 0},
		"decisions of a second":       {func(b *burst) { b.announced, b.jobs = times(s, 10*ms, 3*s), 20 }, 24 * s, 0},
		"decisions of three seconds":  {func(b *burst) { b.announced, b.jobs = times(3*s, 10*ms, 3*s), 10 }, 36 * s, 0},
		"short tickets":               {func(b *burst) { b.announced = times(100*ms, 8*ms, 500*ms) }, 9 * s, 0},
		"ten times as slow":           {func(b *burst) { b.actual, b.jobs = times(s, 80*ms, 3*s), 20 }, 35 * s, 0},
		"a hundred times as slow":     {func(b *burst) { b.actual, b.jobs = times(10*s, 800*ms, 3*s), 6 }, 100 * s, 2},
		"the policy allows two":       {func(b *burst) { b.allows = some(2) }, 18 * s, 0},
		"the policy allows one of 48": {func(b *burst) { b.allows, b.workers, b.jobs, b.cpu = some(1), 48, 20, 400 }, 20 * s, 0},
		"room for one on each":        {func(b *burst) { b.cpu, b.workers = 8000, 6 }, 12 * s, 0},
		"room for one, full":          {func(b *burst) { b.cpu, b.workers, b.runs = 8000, 3, 3*s }, 65 * s, 0},
		"stands still for 6 s":        {func(b *burst) { b.trouble = during(6*s, stalled) }, 15 * s, 0},
		"stands still for 40 s":       {func(b *burst) { b.trouble = during(40*s, stalled) }, 50 * s, 20},
		"answers nothing for 6 s":     {func(b *burst) { b.trouble = during(6*s, deaf) }, 16 * s, 8},
		"answers nothing for 40 s":    {func(b *burst) { b.trouble = during(40*s, deaf) }, 50 * s, 30},
		"refuses for 6 s":             {func(b *burst) { b.trouble = during(6*s, lost) }, 15 * s, 20},
		"one job, answers nothing":    {func(b *burst) { b.jobs, b.delay, b.trouble = 1, 2*s, during(4*s, deaf) }, 8 * s, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := usualBurst
				c.adjust(&b)
				r := b.play(t, 2*c.limit)
				t.Logf("%+v", r)
				assert.Equal(t, r.begun, b.jobs)
				assert.Assert(t, r.last < c.limit, "the last job began after %v", r.last)
				assert.Assert(t, r.counts.Calls-r.counts.Answers <= c.gaveUp, "%+v", r.counts)
				assert.Equal(t, r.counts.Refused, 0)
				assert.Equal(t, r.invalid, 0)
			})
		})
	}
}

// Guards against requests of pools, or of a queue with slow decisions, that keep the adviser from the steps of others.
func TestQueuesShareTheAdviser(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	quick := &jaybarrow.AdviceSettings{Decide: 50 * ms, Each: 4 * ms, Valid: 3 * s}
	slow := &jaybarrow.AdviceSettings{Decide: 900 * ms, Each: 4 * ms, Valid: 3 * s}
	for name, c := range map[string]struct {
		queues []advisedQueue
		jobs   []int           // of each queue, handed in at once, those of the first queue first
		within []time.Duration // in which the jobs of each queue begin
	}{
		"slow decisions before quick ones": {
			[]advisedQueue{{"slow", "desk", 1, slow}, {"quick", "desk", 1, quick}}, []int{20, 15}, []time.Duration{24 * s, 6 * s},
		},
		"two pools": {
			[]advisedQueue{{"slow", "desk", 1, slow}, {"quick", "yard", 1, quick}}, []int{20, 15}, []time.Duration{24 * s, 6 * s},
		},
		"urgent ones": {
			[]advisedQueue{{"patient", "desk", 1, quick}, {"urgent", "desk", 0, quick}}, []int{40, 40}, []time.Duration{7 * s, 4 * s},
		},
		"urgent ones with slow decisions": {
			[]advisedQueue{{"patient", "desk", 1, quick}, {"urgent", "desk", 0, slow}}, []int{5, 20}, []time.Duration{18 * s, 24 * s},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := adviser.New(adviser.Settings{Times: jaybarrow.AdviceSettings{Valid: 3 * s}, TimesOf: func(ref jaybarrow.StepRef) jaybarrow.AdviceSettings {
					for _, q := range c.queues {
						if strings.HasPrefix(string(ref.Job), string(q.id)) {
							return *q.advice
						}
					}
					return jaybarrow.AdviceSettings{}
				}})
				defer a.Close()
				f := newAdvisedFleet(a, 12, c.queues...)
				leader := f.newScheduler(1)
				defer leader.Close()
				time.Sleep(2 * s)
				f.beginNow()
				for n, q := range c.queues {
					for k := range c.jobs[n] {
						f.submit(leader, q, jaybarrow.JobID(fmt.Sprintf("%s-%02d", q.id, k)), 1, 500, 800*ms)
					}
				}
				time.Sleep(40 * s)
				begun := f.begun()
				for n, q := range c.queues {
					for k := range c.jobs[n] {
						at, ok := begun[jaybarrow.JobID(fmt.Sprintf("%s-%02d", q.id, k))]
						assert.Assert(t, ok && at < c.within[n], "job %d of %s began after %v: %v", k, q.id, at, ok)
					}
				}
				counts := a.Counts()
				assert.Equal(t, counts.Answers, counts.Calls)
				assert.Equal(t, f.refusedStarts(), 0)
			})
		})
	}
}

// Guards against an adviser that is asked about jobs which were cancelled while they waited.
func TestTheAdviserIsNotAskedAboutCancelledJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := jaybarrow.AdviceSettings{Decide: time.Second, Valid: 3 * time.Second}
		a := adviser.New(adviser.Settings{Times: times})
		defer a.Close()
		queue := advisedQueue{id: "match", pool: "desk", advice: &times}
		f := newAdvisedFleet(a, 12, queue)
		leader := f.newScheduler(1)
		defer leader.Close()
		time.Sleep(2 * time.Second)
		for n := range 20 {
			f.submit(leader, queue, jobOf(n), 1, 500, 800*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		for n := range 20 {
			leader.Announce(jaybarrow.Record{Key: jaybarrow.JobCancelledKey(jobOf(n)), Revision: 2})
		}
		time.Sleep(20 * time.Second)
		assert.Assert(t, a.Counts().Calls <= 2, "%+v", a.Counts())
		assert.Equal(t, len(f.begun()), 0)
	})
}

// jobOf returns the id of the n-th job.
func jobOf(n int) jaybarrow.JobID { return jaybarrow.JobID(fmt.Sprintf("job-%03d", n)) }

// Guards against a lasting task that waits for room without end, since the adviser is asked about all that can start before it.
func TestALastingTaskGetsItsTicketBesideABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := adviser.New(adviser.Settings{Times: usualTimes})
		defer a.Close()
		queue := advisedQueue{id: "match", pool: "desk", advice: &usualTimes}
		f := newAdvisedFleet(a, 2, queue)
		leader := f.newScheduler(1)
		defer leader.Close()
		time.Sleep(2 * time.Second)
		f.beginNow()
		for n := range 200 {
			f.submit(leader, queue, jobOf(n), 1, 4000, 800*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			if n == 40 {
				f.submitJob(leader, &jaybarrow.Job{
					ID: "lasting", Queue: queue.id, Pool: queue.pool, Team: "trail", Spec: "forever", AcceptedMs: time.Now().UnixMilli(),
					Steps: []jaybarrow.Step{{Tasks: 1, Demand: jaybarrow.Resources{CPU: 9000, Memory: 100}, EstimateMs: 1000, Lasting: true}},
				})
			}
		}
		at, ok := f.begun()["lasting"]
		assert.Assert(t, ok && at < 8*time.Second, "began after %v: %v", at, ok)
		assert.Equal(t, f.refusedStarts(), 0)
	})
}

// Guards against jobs that a new leader never asks about, or asks about again although they run.
func TestANewLeaderAsksForWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := adviser.New(adviser.Settings{Times: usualTimes})
		defer a.Close()
		queue := advisedQueue{id: "match", pool: "desk", advice: &usualTimes}
		f := newAdvisedFleet(a, 12, queue)
		first := f.newScheduler(1)
		time.Sleep(2 * time.Second)
		f.beginNow()
		const jobs = 40
		for n := range jobs {
			f.submit(first, queue, jobOf(n), 1, 500, 20*time.Second)
		}
		time.Sleep(2 * time.Second)
		first.Close()
		before, calls := len(f.begun()), a.Counts().Calls
		assert.Assert(t, before > 0 && before < jobs, "%d", before)
		second := f.newScheduler(2)
		defer second.Close()
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.begun()), jobs)
		assert.Equal(t, a.Counts().Calls-calls, jobs-before)
		assert.Equal(t, f.startCount(), jobs)
		assert.Equal(t, f.refusedStarts(), 0)
	})
}

// Guards against jobs that are accepted although the adviser decides on them too late, and against callers who are told to return when it is no
// better: a burst at ten times what the adviser decides, whose refused callers return when they were told to.
func TestMoreThanTheAdviserDecidesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := adviser.New(adviser.Settings{Times: usualTimes})
		defer a.Close()
		queue := advisedQueue{id: "match", pool: "desk", advice: &usualTimes}
		f := newAdvisedFleet(a, 48, queue)
		leader := f.newScheduler(1)
		defer leader.Close()
		time.Sleep(2 * time.Second)
		f.beginNow()
		const callers, runs = 300, 800 * time.Millisecond
		critical := runs + usualTimes.Time(30)
		target := 2*critical + time.Second
		var lock sync.Mutex
		acceptedAt, refusals := make(map[jaybarrow.JobID]time.Duration), 0
		var group conc.WaitGroup
		for n := range callers {
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				for {
					admitted, err := leader.Admit(jaybarrow.AdmissionRequest{
						Queue: queue.id, Pool: queue.pool, Work: jaybarrow.Resources{CPU: 500}.Work(runs), CriticalPath: critical,
					})
					assert.NilError(t, err)
					if admitted.Admitted {
						lock.Lock()
						acceptedAt[jobOf(n)] = time.Since(f.begin)
						lock.Unlock()
						f.submit(leader, queue, jobOf(n), 1, 500, runs)
						return
					}
					lock.Lock()
					refusals++
					lock.Unlock()
					assert.Assert(t, admitted.RetryAfter > 0 && admitted.RetryAfter <= 20*time.Second, "%v", admitted.RetryAfter)
					time.Sleep(admitted.RetryAfter)
				}
			})
		}
		group.Wait()
		time.Sleep(20 * time.Second)
		last, all := f.last(callers)
		assert.Assert(t, all)
		late := 0
		var longest time.Duration
		for id, at := range f.begun() {
			waited := at - acceptedAt[id]
			longest = max(longest, waited)
			if waited+critical > 3*target {
				late++
			}
		}
		// Newer jobs that are in time come before those that were admitted while the wait was long, which are as many as fit into that wait.
		assert.Assert(t, late <= int((3*target-critical)/usualTimes.Time(1)), "%d jobs are late, one began after %v", late, longest)
		assert.Assert(t, refusals < 3*callers, "%d refusals of %d callers", refusals, callers)
		assert.Assert(t, a.Counts().Busy > last*9/10, "the adviser was idle while callers waited: %v of %v busy", a.Counts().Busy, last)
		assert.Equal(t, f.refusedStarts(), 0)
	})
}
