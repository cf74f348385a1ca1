package scheduler

import (
	"context"
	"encoding/json"
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

// memoryStore is a store in memory; fault decides the outcome of each commit.
type memoryStore struct {
	jaybarrow.JobStore
	lock     sync.Mutex
	records  map[jaybarrow.Key]jaybarrow.Record
	revision jaybarrow.Revision
	delayed  []jaybarrow.Commit // applied by applyDelayed if their conditions still hold
	fault    func() storeFault
}

type storeFault string

const (
	faultNone    storeFault = ""
	faultLost    storeFault = "lost"   // applied, but the answer is lost
	faultDelayed storeFault = "late"   // no answer, and applied later
	faultRefuse  storeFault = "refuse" // rejected without effect
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

// depose replaces the leader's record, as a takeover does, and returns its revision.
func (s *memoryStore) depose() jaybarrow.Revision {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.put(jaybarrow.JobLeaderKey, []byte("another"))
	return s.revision
}

// apply makes the changes if their conditions hold; the lock is held.
func (s *memoryStore) apply(c jaybarrow.Commit) (jaybarrow.Revision, error) {
	var current []jaybarrow.Record
	conditionsHold := true
	for _, e := range c.Expect {
		r, found := s.records[e.Key]
		if found {
			current = append(current, r)
		}
		conditionsHold = conditionsHold && r.Revision == e.Revision
	}
	if !conditionsHold {
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
	case faultDelayed:
		s.delayed = append(s.delayed, c)
		return 0, unanswered
	case faultLost:
		if _, err := s.apply(c); err != nil {
			return 0, err
		}
		return 0, unanswered
	}
	return s.apply(c)
}

// applyDelayed applies the delayed commits.
func (s *memoryStore) applyDelayed() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.delayed {
		_, _ = s.apply(c) //nolint:errcheck // a delayed commit whose conditions no longer hold has no effect
	}
	s.delayed = nil
}

func newTestWriter(s *memoryStore) *writer {
	settings := DefaultSettings()
	settings.CommitRetryDelay, settings.Commit.Delay = time.Millisecond, time.Millisecond
	s.lock.Lock()
	defer s.lock.Unlock()
	return &writer{
		clock: jaybarrow.SystemClock{}, log: zerolog.Nop(), store: s, settings: settings, slots: make(chan struct{}, settings.MaxConcurrentCommits),
		leaderRevision: s.records[jaybarrow.JobLeaderKey].Revision, revisions: make(map[jaybarrow.JobID]jaybarrow.Revision),
	}
}

// jobs returns the records of n jobs in a round; the round is their run number.
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

// Guards against a lost or delayed commit that reverts newer progress, and against a write that returns without having taken effect.
// The store loses answers, delays commits and rejects them at random.
func TestWritesSurviveLostAndLateAnswers(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newMemoryStore()
		s.fault = func() storeFault {
			return []storeFault{faultNone, faultNone, faultLost, faultDelayed, faultRefuse}[random.IntN(5)]
		}
		w := newTestWriter(s)
		for round := 1; round <= 20; round++ {
			written := jobs(1+random.IntN(40), round)
			assert.NilError(t, w.write(context.Background(), written))
			if random.IntN(2) == 0 {
				s.applyDelayed()
			}
			for _, r := range written {
				want, err := r.Record.Encode()
				assert.NilError(t, err)
				assert.Equal(t, string(s.get(r.Job).Value), string(want), "seed %d, round %d, job %s", seed, round, r.Job)
			}
		}
	}
}

// Guards against a scheduler that still writes after another one took over and replaced the leader's record.
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

// Guards against a successor that cannot replace the records of its predecessor because their revisions are those of another writer.
func TestASuccessorReplacesKnownRecords(t *testing.T) {
	s := newMemoryStore()
	assert.NilError(t, newTestWriter(s).write(context.Background(), jobs(2, 1)))
	s.depose()
	w := newTestWriter(s)
	first := jobs(1, 1)[0].Job
	w.setRevision(first, s.get(first).Revision)
	// The second record's revision is unknown, as when the stored progress cannot be decoded.
	assert.NilError(t, w.write(context.Background(), jobs(2, 2)))
	want, err := jobs(1, 2)[0].Record.Encode()
	assert.NilError(t, err)
	for _, r := range jobs(2, 2) {
		assert.Equal(t, string(s.get(r.Job).Value), string(want))
	}
}

// slowStore answers no commit until as many are in flight as the test adds to pending.
type slowStore struct {
	*memoryStore
	pending sync.WaitGroup
}

func (s *slowStore) Commit(ctx context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.pending.Done()
	s.pending.Wait()
	return s.memoryStore.Commit(ctx, c)
}

// Guards against a large round whose commits are sent one after the other, each delayed by a slow store.
func TestALargeRoundIsWrittenByConcurrentCommits(t *testing.T) {
	const commits = 4
	s := &slowStore{memoryStore: newMemoryStore()}
	s.pending.Add(commits)
	w := newTestWriter(s.memoryStore)
	w.store, w.settings.Commit.MaxCalls, w.settings.Commit.Timeout = s, 1, time.Minute
	assert.NilError(t, w.write(context.Background(), jobs(commits*recordsPerCommit, 1)))
}

// countingStore fails the test for a commit with more entries than the store accepts.
type countingStore struct {
	*memoryStore
	t *testing.T
}

func (s countingStore) Commit(ctx context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	assert.Check(s.t, len(c.Expect)+len(c.Puts)+len(c.Removes) <= jaybarrow.MaxCommitEntries)
	return s.memoryStore.Commit(ctx, c)
}

// Guards against takeovers that read the specifications of jobs that have ended, and against a commit of ended jobs that the store rejects.
func TestOnlyAStubIsKeptOfEndedJobs(t *testing.T) {
	s := newMemoryStore()
	w := newTestWriter(s)
	w.store = countingStore{s, t}
	records := jobs(2*recordsPerCommit, 1)
	for i := range records {
		records[i].Record = workload.Record{State: jaybarrow.JobCompleted}
		records[i].Accepted = &jaybarrow.Job{ID: records[i].Job, Team: "trail"}
	}
	assert.NilError(t, w.write(context.Background(), records))
	for _, r := range records {
		var kept jaybarrow.Job
		s.lock.Lock()
		value := s.records[jaybarrow.JobAcceptedKey(r.Job)].Value
		s.lock.Unlock()
		assert.NilError(t, json.Unmarshal(value, &kept))
		assert.Equal(t, kept.Team, jaybarrow.TeamID("trail"))
	}
}
