package maintenance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/maintenance"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

const budget = 2

// fleet is the part of the platform that the managers of a test share.
type fleet struct {
	sync.Mutex
	core       *store.Core
	startedAt  time.Time
	rebootedAt map[jaybarrow.HostID]time.Time
	draining   map[jaybarrow.HostID]bool
	fences     map[jaybarrow.HostID]jaybarrow.Revision
	down       map[string]bool
	hidden     jaybarrow.Key // key of a record that has not reached the directories
	listUnread bool          // the platform's list of hosts has not been read
	reboots    map[jaybarrow.HostID]int
	history    *writeHistory
}

func newFleet(t *testing.T, hosts int, pools ...jaybarrow.PoolID) *fleet {
	t.Helper()
	f := &fleet{
		core: store.NewCore(jaybarrow.SystemClock{}), startedAt: time.Now().Add(-time.Hour),
		rebootedAt: make(map[jaybarrow.HostID]time.Time), draining: make(map[jaybarrow.HostID]bool),
		fences: make(map[jaybarrow.HostID]jaybarrow.Revision),
		down:   make(map[string]bool), reboots: make(map[jaybarrow.HostID]int), history: &writeHistory{},
	}
	for _, p := range pools {
		f.put(t, jaybarrow.PoolKey(p), jaybarrow.Pool{ID: p, MaxUnavailable: budget})
	}
	for i := range hosts {
		id := jaybarrow.HostID(fmt.Sprintf("h%02d", i))
		f.put(t, jaybarrow.HostKey(id), jaybarrow.Host{
			ID: id, Pool: pools[0], DataCentre: "dc", Rack: jaybarrow.RackID(fmt.Sprintf("r%d", i/4)),
		})
	}
	return f
}

func (f *fleet) put(t *testing.T, key jaybarrow.Key, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = f.core.CompareAndSwap(context.Background(), key, 0, data, 0)
	assert.NilError(t, err)
}

// The fleet implements the workers of all hosts; no task runs on them.

func (f *fleet) Run(context.Context, jaybarrow.Host, jaybarrow.Task) ([]byte, error) { return nil, nil }

func (f *fleet) AwaitEnd(jaybarrow.Host, jaybarrow.Task) {}

func (f *fleet) Checkpoint(context.Context, jaybarrow.Host, jaybarrow.TaskID) error { return nil }

func (f *fleet) Status(_ context.Context, h jaybarrow.Host) (jaybarrow.WorkerStatus, error) {
	f.Lock()
	defer f.Unlock()
	bootedAt, ok := f.rebootedAt[h.ID]
	if !ok {
		bootedAt = f.startedAt
	}
	return jaybarrow.WorkerStatus{
		Clock: jaybarrow.WorkerClock(time.Since(bootedAt).Milliseconds()), Draining: f.draining[h.ID],
	}, nil
}

func (f *fleet) SetDraining(_ context.Context, h jaybarrow.Host, draining bool, fence jaybarrow.Revision) error {
	f.Lock()
	defer f.Unlock()
	if fence < f.fences[h.ID] {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "a later command was taken")
	}
	f.fences[h.ID] = fence
	f.draining[h.ID] = draining
	return nil
}

// Reboot restarts the worker at once.
func (f *fleet) Reboot(_ context.Context, id jaybarrow.HostID) error {
	f.Lock()
	defer f.Unlock()
	f.reboots[id]++
	f.rebootedAt[id] = time.Now()
	return nil
}

func (f *fleet) Condition(name string) jaybarrow.HostCondition {
	f.Lock()
	defer f.Unlock()
	if f.down[name] {
		return jaybarrow.HostDown
	}
	return jaybarrow.HostLive
}

func (f *fleet) GoneFor(string) (time.Duration, bool) { return 0, false }

func (f *fleet) ReadAt() time.Time {
	f.Lock()
	defer f.Unlock()
	if f.listUnread {
		return time.Time{}
	}
	return time.Now()
}

func (f *fleet) Changed() <-chan struct{} { return nil }

func (f *fleet) Note(jaybarrow.Subject, string, string) {}

// faultyStore is a store that loses the answers of some writes. From its last write on, it answers neither reads nor writes, so
// that its manager makes no further progress, as if its process had been killed.
type faultyStore struct {
	*store.Core
	history          *writeHistory
	loseAnswerEvery  int64 // every n-th answer of a write is lost; 0 loses none
	lastWrite        int64 // number of the last write; 0 for no limit
	lastWriteApplied bool  // whether the last write takes effect; its answer is lost in either case
	attempts         atomic.Int64
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	n := s.attempts.Add(1)
	lostAnswer := jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the answer was lost")
	if s.lastWrite > 0 && (n > s.lastWrite || (n == s.lastWrite && !s.lastWriteApplied)) {
		return 0, lostAnswer
	}
	revision, err := s.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		s.history.add(jaybarrow.Record{Key: key, Value: value, Revision: revision})
	}
	if (s.lastWrite > 0 && n == s.lastWrite) || (s.loseAnswerEvery > 0 && n%s.loseAnswerEvery == 0) {
		return 0, lostAnswer
	}
	return revision, err
}

func (s *faultyStore) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if s.lastWrite > 0 && s.attempts.Load() >= s.lastWrite {
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the process has ended")
	}
	return s.Core.Get(ctx, key)
}

// writeHistory is the history of accepted writes.
type writeHistory struct {
	sync.Mutex
	records []jaybarrow.Record
}

func (w *writeHistory) add(r jaybarrow.Record) {
	w.Lock()
	defer w.Unlock()
	w.records = append(w.records, r)
}

// visible returns the records without the hidden one.
func (f *fleet) visible(records []jaybarrow.Record) []jaybarrow.Record {
	return slices.DeleteFunc(slices.Clone(records), func(r jaybarrow.Record) bool { return r.Key == f.hidden })
}

// manager starts a manager on s, with its own directory that follows the fleet's store.
func (f *fleet) manager(t *testing.T, s jaybarrow.Store) *maintenance.Manager {
	t.Helper()
	d := directory.New()
	ctx, cancel := context.WithCancel(context.Background())
	list, revision, err := f.core.List(ctx, jaybarrow.Prefix)
	assert.NilError(t, err)
	assert.NilError(t, d.Apply(f.visible(list), revision))
	watch, err := f.core.Watch(ctx, jaybarrow.Prefix, revision)
	assert.NilError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			event, err := watch.Next()
			if err != nil {
				return
			}
			_ = d.Apply(f.visible(event.Records), event.Revision)
		}
	})
	m := maintenance.New(maintenance.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: s, Directory: d, Workers: f, Platform: f,
		Conditions: f, Journal: f, NewChange: identity.NewChangeID, DataCentre: "dc",
		Driving: func() bool { return true },
		Settings: maintenance.Settings{
			Interval: 5 * time.Millisecond, CallTimeout: time.Second, CheckpointAfter: time.Minute, RebootRetryInterval: time.Second, MaxListAge: time.Second,
		},
	})
	t.Cleanup(func() {
		m.Close()
		cancel()
		group.Wait()
	})
	return m
}

func (f *fleet) drains(t *testing.T, pool jaybarrow.PoolID) jaybarrow.PoolDrains {
	t.Helper()
	var record jaybarrow.PoolDrains
	if r, err := f.core.Get(context.Background(), jaybarrow.DrainKey(pool)); err == nil {
		assert.NilError(t, json.Unmarshal(r.Value, &record))
	}
	return record
}
