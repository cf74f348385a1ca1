package fleetkeeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// waveStore keeps the progress of waves and answers late. It implements fleetkeeper.Waves too, so that it sees the order of writes and reports.
type waveStore struct {
	jaybarrow.JobStore
	*testing.T
	waves
	answerTime func() time.Duration // of the next call
	fails      func() bool          // whether the next write has no effect and no answer in time

	lock     sync.Mutex
	underWay map[jaybarrow.WaveID]int
	begun    map[jaybarrow.WaveID]int // hosts in the stored progress
	states   map[jaybarrow.WaveID]jaybarrow.WaveState
	// revisions are those of the stored progress.
	revisions map[jaybarrow.WaveID]jaybarrow.Revision
}

func newWaveStore(t *testing.T, known waves) *waveStore {
	return &waveStore{
		T: t, waves: known, fails: func() bool { return false }, underWay: make(map[jaybarrow.WaveID]int),
		begun: make(map[jaybarrow.WaveID]int), states: make(map[jaybarrow.WaveID]jaybarrow.WaveState),
		revisions: make(map[jaybarrow.WaveID]jaybarrow.Revision),
	}
}

// call takes the answer time; calls for one wave must not overlap.
func (s *waveStore) call(ctx context.Context, id jaybarrow.WaveID) error {
	s.lock.Lock()
	s.underWay[id]++
	assert.Check(s, s.underWay[id] == 1, "%d calls for wave %d overlap", s.underWay[id], id)
	took, failed := s.answerTime(), s.fails()
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.underWay[id]--
	}()
	if failed {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(took):
		return nil
	}
}

func waveOf(key jaybarrow.Key) (id jaybarrow.WaveID) {
	_, _ = fmt.Sscanf(string(key[len(jaybarrow.JobWavePrefix):]), "%d", &id)
	return id
}

func (s *waveStore) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if err := s.call(ctx, waveOf(key)); err != nil {
		return jaybarrow.Record{}, err
	}
	return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record")
}

// lateWriteDelay is after how long a write that got no answer is carried out, if its conditions still hold then.
const lateWriteDelay = 3 * time.Second

func (s *waveStore) Commit(ctx context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	if err := s.call(ctx, waveOf(c.Puts[0].Key)); err != nil {
		time.AfterFunc(lateWriteDelay, func() { _, _ = s.apply(c) })
		return 0, err
	}
	return s.apply(c)
}

// apply carries out a write of the progress of a wave.
func (s *waveStore) apply(c jaybarrow.Commit) (jaybarrow.Revision, error) {
	var record struct{ Begun []jaybarrow.HostID }
	assert.Check(s, json.Unmarshal(c.Puts[0].Value, &record))
	key := c.Puts[0].Key
	id := waveOf(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range c.Expect {
		if e.Key == key && e.Revision != s.revisions[id] {
			conflict := &jaybarrow.ConflictError{Current: []jaybarrow.Record{{Key: key, Revision: s.revisions[id]}}}
			return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "write: %w", conflict)
		}
	}
	assert.Check(s, len(record.Begun) >= s.begun[id], "the progress of wave %d goes back", id)
	s.begun[id] = len(record.Begun)
	s.revisions[id]++
	return s.revisions[id], nil
}

func (s *waveStore) ReportWave(ctx context.Context, id jaybarrow.WaveID, status jaybarrow.WaveStatus, _ jaybarrow.Revision) error {
	s.lock.Lock()
	for _, w := range s.waves {
		if w.ID == id && status.State == jaybarrow.WaveCompleted {
			assert.Check(s, s.begun[id] == len(w.Hosts), "wave %d is reported as completed with %d of %d hosts stored", id, s.begun[id], len(w.Hosts))
		}
	}
	s.lock.Unlock()
	if err := s.call(ctx, id); err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.states[id] = status.State
	return nil
}

// maintainedPools returns n hosts with a wave over each half of them, one host at a time.
func maintainedPools(n int) (hosts []jaybarrow.FleetHost, load workload.Load, known waves) {
	known = waves{{}, {}}
	for i := range known {
		known[i] = fleetkeeper.KnownWave{Wave: jaybarrow.Wave{ID: jaybarrow.WaveID(i + 1), AtOnce: 1, Within: time.Minute}, ReceivedAt: time.Now()}
	}
	for i := range n {
		h := hostIn("desk", jaybarrow.HostID(fmt.Sprintf("h%d", i)))
		hosts = append(hosts, h)
		known[i%2].Hosts = append(known[i%2].Hosts, h.ID)
		load.Workers = append(load.Workers, workload.WorkerLoad{ID: h.Worker, Usable: true, StartedMs: time.Now().Add(-time.Hour).UnixMilli()})
	}
	load.Used = jaybarrow.Resources{CPU: jaybarrow.Millicores(n * 900)}
	return hosts, load, known
}

// Load pattern: the store answers in 292 ms while waves are in progress and a pool's demand rises. Guards against decisions on hosts that wait
// for the writes and reports of waves, so that hosts move once in more than a second.
func TestDecisionsOnHostsDoNotWaitForTheStore(t *testing.T) {
	for _, answerTime := range []time.Duration{292 * time.Millisecond, 900 * time.Millisecond, time.Hour} {
		t.Run(answerTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts, load, known := maintainedPools(40)
				s := newWaveStore(t, known)
				s.answerTime = func() time.Duration { return answerTime }
				settings := fleetkeeper.DefaultSettings()
				k := newKeeperOn(s, settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": load}), s)
				advance(settings.TakeoverDelay)
				const observed = 4 * time.Second
				before := k.fleet.lists.Load()
				advance(observed)
				decisions := k.fleet.lists.Load() - before
				k.Close()
				assert.Assert(t, decisions >= int64(observed/settings.Interval)-1, "%d decisions in %v, with an interval of %v", decisions, observed, settings.Interval)
			})
		})
	}
}

// Guards against a wave that is reported as completed before its progress is stored, and against writes of one wave that overtake each other,
// with a store that answers after random times and carries one write in five out late and without an answer.
func TestTheProgressOfAWaveIsStoredInOrderBeforeItIsReported(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			hosts, load, known := maintainedPools(20)
			s := newWaveStore(t, known)
			s.answerTime = func() time.Duration { return time.Duration(random.IntN(1200)) * time.Millisecond }
			s.fails = func() bool { return random.IntN(5) == 0 }
			settings := fleetkeeper.DefaultSettings()
			k := newKeeperOn(s, settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": load}), s)
			advance(settings.TakeoverDelay + time.Minute)
			k.Close()
			advance(lateWriteDelay)
			for _, w := range known {
				assert.Equal(t, s.states[w.ID], jaybarrow.WaveCompleted, "seed %d, wave %d", seed, w.ID)
			}
		})
	}
}
