package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/latency"
	"github.com/jaybarrow/jaybarrow/internal/leader"
)

// storeConnections is the number of connections that a host keeps to the store, each with one call at a time.
const storeConnections = 24

// pacedStore is a store whose conditions hold and that takes a time for each commit, over a limited number of connections.
type pacedStore struct {
	*advisedFleet
	records     *memoryStore
	connections chan struct{}

	lock       sync.Mutex
	answerTime time.Duration
	calls      int // commits that were sent
	writes     int // commits that took effect
	inProgress int // commits of progress
	most       int // of them at once
}

func newPacedStore(f *advisedFleet) *pacedStore {
	return &pacedStore{advisedFleet: f, records: newMemoryStore(), connections: make(chan struct{}, storeConnections)}
}

func (s *pacedStore) Commit(ctx context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case s.connections <- struct{}{}:
	}
	defer func() { <-s.connections }()
	s.lock.Lock()
	s.calls++
	took := s.answerTime
	if _, progress := jaybarrow.ParseJobStateKey(c.Puts[0].Key); progress {
		s.inProgress++
		s.most = max(s.most, s.inProgress)
		defer func() {
			s.lock.Lock()
			defer s.lock.Unlock()
			s.inProgress--
		}()
	}
	s.lock.Unlock()
	// The changes are made half-way, so that a call which is cancelled later has taken effect.
	var at jaybarrow.Revision
	var err error
	for half := range 2 {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(took / 2):
		}
		if half == 0 {
			if at, err = s.records.Commit(ctx, c); err == nil {
				s.lock.Lock()
				s.writes++
				s.lock.Unlock()
			}
		}
	}
	return at, err
}

func (s *pacedStore) setAnswerTime(d time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answerTime = d
}

func (s *pacedStore) counts() (calls, writes int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calls, s.writes
}

// mostInProgress returns how many commits of progress there were at once.
func (s *pacedStore) mostInProgress() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.most
}

// slowTurn is what a scheduler did during a turn of demand on a slow store.
type slowTurn struct {
	calls, writes, starts int
}

// playSlowTurn lets jobs of four tasks of 0.2 s arrive at three times the rate that their pools carry, while the store answers in 292 ms instead of
// 4 ms, and returns what happened from a second after the store became slow. Unless the scheduler follows the store, writes are repeated after a fixed
// delay, also those that wait for a connection. So many rounds of a pool may be in progress.
func playSlowTurn(t *testing.T, follows bool, rounds int) slowTurn {
	var out slowTurn
	synctest.Test(t, func(*testing.T) {
		const workers, runs, settling, turn = 40, 200 * time.Millisecond, time.Second, 5 * time.Second
		queues := []advisedQueue{{id: "match", pool: "desk"}, {id: "grind", pool: "mill"}, {id: "sell", pool: "shop"}}
		f := newAdvisedFleet(nil, workers, queues...)
		store := newPacedStore(f)
		store.setAnswerTime(4 * time.Millisecond)
		settings := DefaultSettings()
		settings.MaxRounds = rounds
		var commits *latency.Estimator
		if follows {
			commits = latency.New()
		} else {
			settings.MaxConcurrentCommits = 1000
		}
		s := New(Deps{
			Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Register: f, Agents: f, Catalog: f.catalog, Observer: f,
			Store: measured(store, commits), CommitTimes: commits, Settings: settings,
			Term: leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
		})
		time.Sleep(2 * time.Second)
		f.beginNow()
		const tasks = 4
		perS := 3 * workers * advisedCores / 1000 * int(time.Second/runs) / tasks // of each queue
		tick := 10 * time.Millisecond
		submitted := 0
		var before slowTurn
		for at := time.Duration(0); at < turn; at += tick {
			if at == settling {
				store.setAnswerTime(292 * time.Millisecond)
			}
			if at == 2*settling {
				before.calls, before.writes = store.counts()
				before.starts = f.startCount()
			}
			for ; submitted < int(at.Seconds()*float64(perS)); submitted++ {
				for _, q := range queues {
					f.submit(s, q, jaybarrow.JobID(fmt.Sprintf("%s-%05d", q.id, submitted)), tasks, 1000, runs)
				}
			}
			time.Sleep(tick)
		}
		out.calls, out.writes = store.counts()
		out.calls, out.writes, out.starts = out.calls-before.calls, out.writes-before.writes, f.startCount()-before.starts
		s.Close()
	})
	return out
}

// measured returns the store with the times of its commits recorded, if there is an estimator.
func measured(s jaybarrow.JobStore, commits *latency.Estimator) jaybarrow.JobStore {
	if commits == nil {
		return s
	}
	return latency.NewStore(s, jaybarrow.SystemClock{}, commits, nil)
}

// slowTurns is how many turns are compared: in what order the parts of the scheduler run is random, and single turns on a slow store differ by a
// quarter in their starts.
const slowTurns = 5

// Load pattern: the store answers in 292 ms instead of 4 ms while demand is several times what the pools run at once. Nothing is lost, so each write
// must take one call, and the leader must start more than with a fixed delay and one round after the other.
func TestASlowStoreGetsNoRepeatedWritesUnderLoad(t *testing.T) {
	starts, startsWithout := 0, 0
	for range slowTurns {
		off := playSlowTurn(t, false, 1)
		on := playSlowTurn(t, true, DefaultSettings().MaxRounds)
		t.Logf("with a fixed delay and one round after the other %+v, else %+v", off, on)
		assert.Assert(t, off.calls > off.writes+storeConnections, "the load does not show the fault: %+v", off)
		// The calls that were sent and had not taken effect at either end of the time differ by at most the number of connections.
		assert.Assert(t, on.calls <= on.writes+storeConnections, "%d calls for %d writes", on.calls, on.writes)
		starts, startsWithout = starts+on.starts, startsWithout+off.starts
	}
	assert.Assert(t, starts > startsWithout, "%d starts, %d without", starts, startsWithout)
}

// Guards against rounds that overlap while the store answers as usual, which makes more and smaller writes, and against more rounds in progress than
// the bound, or none beside another, while it is slow. Each round has few jobs, so that it is one commit.
func TestRoundsOverlapOnlyWhileTheStoreIsSlow(t *testing.T) {
	for _, answerTime := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 292 * time.Millisecond} {
		t.Run(answerTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queue := advisedQueue{id: "match", pool: "desk"}
				f := newAdvisedFleet(nil, 10, queue)
				store, commits, settings := newPacedStore(f), latency.New(), DefaultSettings()
				store.setAnswerTime(answerTime)
				settings.Commit.Delay = time.Second // no write is repeated, so that each commit in progress is another round
				s := New(Deps{
					Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Register: f, Agents: f, Catalog: f.catalog, Observer: f,
					Store: store, CommitTimes: commits, Settings: settings,
					Term: leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
				})
				time.Sleep(2 * time.Second)
				for n := range 200 {
					f.submit(s, queue, jaybarrow.JobID(fmt.Sprintf("job-%03d", n)), 1, 1000, 100*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				s.Close()
				most := store.mostInProgress()
				if answerTime < 50*time.Millisecond {
					assert.Equal(t, most, 1)
					return
				}
				assert.Assert(t, most > 1 && most <= settings.MaxRounds, "%d rounds in progress", most)
			})
		})
	}
}

// Load pattern: jobs of many short steps are handed in while the store answers in 292 ms. A job that cannot be of use any more because each of its
// steps waits for the store must be refused, and one of a single step must not; with a store that answers in 4 ms, or when the steps are not known,
// as from an older build, both are admitted.
func TestTheStoresTimeForEachStepCountsInAdmission(t *testing.T) {
	chain := jaybarrow.AdmissionRequest{Queue: "match", Pool: "desk", CriticalPath: 200 * time.Millisecond, PathSteps: 20}
	single, unknown := chain, chain
	single.PathSteps, unknown.PathSteps = 1, 0
	cases := []struct {
		answerTime time.Duration
		asked      jaybarrow.AdmissionRequest
		admitted   bool
	}{
		{4 * time.Millisecond, chain, true},
		{292 * time.Millisecond, chain, false},
		{292 * time.Millisecond, single, true},
		{292 * time.Millisecond, unknown, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d steps at %v", c.asked.PathSteps, c.answerTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queue := advisedQueue{id: "match", pool: "desk"}
				f := newAdvisedFleet(nil, 10, queue)
				store, commits := newPacedStore(f), latency.New()
				store.setAnswerTime(c.answerTime)
				s := New(Deps{
					Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Register: f, Agents: f, Catalog: f.catalog, Observer: f,
					Store: measured(store, commits), CommitTimes: commits, Settings: DefaultSettings(),
					Term: leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}},
				})
				defer s.Close()
				time.Sleep(2 * time.Second)
				for n := range 100 {
					f.submit(s, queue, jaybarrow.JobID(fmt.Sprintf("past-%03d", n)), 2, 1000, 100*time.Millisecond)
					time.Sleep(30 * time.Millisecond)
				}
				a, err := s.Admit(c.asked)
				assert.NilError(t, err)
				assert.Equal(t, a.Admitted, c.admitted)
			})
		})
	}
}
