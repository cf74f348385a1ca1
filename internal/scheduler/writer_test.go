package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// memoryStore keeps records; fault decides what becomes of a commit.
type memoryStore struct {
	jaybarrow.JobStore
	lock     sync.Mutex
	records  map[jaybarrow.Key]jaybarrow.Record
	revision jaybarrow.Revision
	late     []jaybarrow.Commit // to be carried out later, while their conditions hold
	fault    func() storeFault
}

type storeFault string

const (
	faultNone   storeFault = ""
	faultLost   storeFault = "lost"   // carried out, but not answered
	faultLate   storeFault = "late"   // not answered, and carried out later
	faultRefuse storeFault = "refuse" // certainly not carried out
)

func newMemoryStore() *memoryStore {
	s := &memoryStore{records: make(map[jaybarrow.Key]jaybarrow.Record), fault: func() storeFault { return faultNone }}
	s.put(jaybarrow.JobLeaderKey, nil)
	return s
}

func (s *memoryStore) put(key jaybarrow.Key, value []byte) {
	s.revision++
	s.records[key] = jaybarrow.Record{Key: key, Value: value, Revision: s.revision}
}

// get returns a job's record.
func (s *memoryStore) get(id jaybarrow.JobID) jaybarrow.Record {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.records[jaybarrow.JobStateKey(id)]
}

// depose replaces the leader's record and returns the revision.
func (s *memoryStore) depose() jaybarrow.Revision {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.put(jaybarrow.JobLeaderKey, []byte("another"))
	return s.revision
}

// apply is called with the lock held.
func (s *memoryStore) apply(c jaybarrow.Commit) (jaybarrow.Revision, error) {
	var current []jaybarrow.Record
	holds := true
	for _, e := range c.Expect {
		r, found := s.records[e.Key]
		if found {
			current = append(current, r)
		}
		holds = holds && r.Revision == e.Revision
	}
	if !holds {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%w", &jaybarrow.ConflictError{Current: current})
	}
	s.revision++
	for _, p := range c.Puts {
		s.records[p.Key] = jaybarrow.Record{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	return s.revision, nil
}

func (s *memoryStore) Commit(_ context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(c.Expect)+len(c.Puts) > jaybarrow.MaxCommitEntries {
		return 0, jaybarrow.Errorf(jaybarrow.KindBadRequest, "%d entries", len(c.Expect)+len(c.Puts))
	}
	unanswered := jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer")
	switch s.fault() {
	case faultRefuse:
		return 0, unanswered.WithEffect(jaybarrow.EffectNotRun)
	case faultLate:
		s.late = append(s.late, c)
		return 0, unanswered
	case faultLost:
		if _, err := s.apply(c); err != nil {
			return 0, err
		}
		return 0, unanswered
	}
	return s.apply(c)
}

// carryOutLate carries out the writes that were delayed.
func (s *memoryStore) carryOutLate() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.late {
		_, _ = s.apply(c) //nolint:errcheck // a late write whose condition does not hold any more does nothing
	}
	s.late = nil
}

func newTestWriter(s *memoryStore) *writer {
	settings := DefaultSettings()
	settings.CommitRetry, settings.Commit.Delay = time.Millisecond, time.Millisecond
	s.lock.Lock()
	defer s.lock.Unlock()
	return &writer{
		clock: jaybarrow.SystemClock{}, log: zerolog.Nop(), store: s, settings: settings,
		leader: s.records[jaybarrow.JobLeaderKey].Revision, revisions: make(map[jaybarrow.JobID]jaybarrow.Revision),
	}
}

func jobs(n, round int) []workload.JobRecord {
	var out []workload.JobRecord
	for i := range n {
		out = append(out, workload.JobRecord{
			Job:    jaybarrow.JobID(fmt.Sprintf("%016x", i)),
			Record: workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{{Run: jaybarrow.RunNumber(round)}}},
		})
	}
	return out
}

// Guards against progress that a lost or late write turns back, and against a write that is given up or takes no effect.
func TestWritesSurviveLostAndLateAnswers(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newMemoryStore()
		s.fault = func() storeFault {
			return []storeFault{faultNone, faultNone, faultLost, faultLate, faultRefuse}[random.IntN(5)]
		}
		w := newTestWriter(s)
		for round := 1; round <= 20; round++ {
			written := jobs(1+random.IntN(40), round)
			assert.NilError(t, w.write(context.Background(), written))
			if random.IntN(2) == 0 {
				s.carryOutLate()
			}
			for _, r := range written {
				want, err := r.Record.Encode()
				assert.NilError(t, err)
				assert.Equal(t, string(s.get(r.Job).Value), string(want), "seed %d, round %d, job %s", seed, round, r.Job)
			}
		}
	}
}

// Guards against a deposed scheduler that goes on writing.
func TestADeposedWriterWritesNothing(t *testing.T) {
	s := newMemoryStore()
	w := newTestWriter(s)
	assert.NilError(t, w.write(context.Background(), jobs(3, 1)))
	before := s.depose()
	assert.ErrorIs(t, w.write(context.Background(), jobs(40, 2)), errDeposed)
	for _, r := range jobs(40, 2) {
		assert.Assert(t, s.get(r.Job).Revision < before)
	}
}

// Guards against a successor that cannot replace what its predecessor wrote.
func TestASuccessorReplacesKnownRecords(t *testing.T) {
	s := newMemoryStore()
	assert.NilError(t, newTestWriter(s).write(context.Background(), jobs(2, 1)))
	s.depose()
	w := newTestWriter(s)
	first := jobs(1, 1)[0].Job
	w.know(first, s.get(first).Revision)
	// The second record's revision is not known, as when it could not be read.
	assert.NilError(t, w.write(context.Background(), jobs(2, 2)))
	want, err := jobs(1, 2)[0].Record.Encode()
	assert.NilError(t, err)
	for _, r := range jobs(2, 2) {
		assert.Equal(t, string(s.get(r.Job).Value), string(want))
	}
}

// slowStore answers once as many commits are waiting as the test wants.
type slowStore struct {
	*memoryStore
	wait sync.WaitGroup
}

func (s *slowStore) Commit(ctx context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.wait.Done()
	s.wait.Wait()
	return s.memoryStore.Commit(ctx, c)
}

// Guards against a large round that a slow store takes one commit after the other.
func TestALargeRoundIsWrittenAtOnce(t *testing.T) {
	const commits = 4
	s := &slowStore{memoryStore: newMemoryStore()}
	s.wait.Add(commits)
	w := newTestWriter(s.memoryStore)
	w.store, w.settings.Commit.MaxCalls, w.settings.Commit.Timeout = s, 1, time.Minute
	assert.NilError(t, w.write(context.Background(), jobs(commits*recordsInCommit, 1)))
}
