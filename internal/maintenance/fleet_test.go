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
	core     *store.Core
	begun    time.Time
	booted   map[jaybarrow.HostID]time.Time
	draining map[jaybarrow.HostID]bool
	fences   map[jaybarrow.HostID]jaybarrow.Revision
	down     map[string]bool
	hidden   jaybarrow.Key // a record that has not reached the directories
	unread   bool          // the list of hosts has not been read
	reboots  map[jaybarrow.HostID]int
	log      *writes
}

func newFleet(t *testing.T, hosts int, pools ...jaybarrow.PoolID) *fleet {
	t.Helper()
	f := &fleet{
		core: store.NewCore(jaybarrow.SystemClock{}), begun: time.Now().Add(-time.Hour),
		booted: make(map[jaybarrow.HostID]time.Time), draining: make(map[jaybarrow.HostID]bool),
		fences: make(map[jaybarrow.HostID]jaybarrow.Revision),
		down:   make(map[string]bool), reboots: make(map[jaybarrow.HostID]int), log: &writes{},
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

// The fleet is the workers of all hosts; no task runs on them.

func (f *fleet) Run(context.Context, jaybarrow.Host, jaybarrow.Task) ([]byte, error) { return nil, nil }

func (f *fleet) AwaitEnd(jaybarrow.Host, jaybarrow.Task) {}

func (f *fleet) Checkpoint(context.Context, jaybarrow.Host, jaybarrow.TaskID) error { return nil }

func (f *fleet) Status(_ context.Context, h jaybarrow.Host) (jaybarrow.WorkerStatus, error) {
	f.Lock()
	defer f.Unlock()
	born, ok := f.booted[h.ID]
	if !ok {
		born = f.begun
	}
	return jaybarrow.WorkerStatus{
		Clock: jaybarrow.WorkerClock(time.Since(born).Milliseconds()), Draining: f.draining[h.ID],
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
	f.booted[id] = time.Now()
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
	if f.unread {
		return time.Time{}
	}
	return time.Now()
}

func (f *fleet) Changed() <-chan struct{} { return nil }

func (f *fleet) Note(jaybarrow.Subject, string, string) {}

// unreliable is a store that loses the answers of some writes and, once it has made its last write, all of them: its
// manager then stands still like a killed process.
type unreliable struct {
	*store.Core
	log       *writes
	loseEvery int64
	last      int64 // 0: no end
	effective bool  // whether the last write takes effect
	made      atomic.Int64
}

func (u *unreliable) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	n := u.made.Add(1)
	lost := jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the answer was lost")
	if u.last > 0 && (n > u.last || (n == u.last && !u.effective)) {
		return 0, lost
	}
	revision, err := u.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		u.log.add(jaybarrow.Record{Key: key, Value: value, Revision: revision})
	}
	if (u.last > 0 && n == u.last) || (u.loseEvery > 0 && n%u.loseEvery == 0) {
		return 0, lost
	}
	return revision, err
}

func (u *unreliable) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if u.last > 0 && u.made.Load() >= u.last {
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the process has ended")
	}
	return u.Core.Get(ctx, key)
}

// writes is the history of accepted writes.
type writes struct {
	sync.Mutex
	records []jaybarrow.Record
}

func (w *writes) add(r jaybarrow.Record) {
	w.Lock()
	defer w.Unlock()
	w.records = append(w.records, r)
}

func (f *fleet) visible(records []jaybarrow.Record) []jaybarrow.Record {
	return slices.DeleteFunc(slices.Clone(records), func(r jaybarrow.Record) bool { return r.Key == f.hidden })
}

// manager starts a manager with a directory of its own that follows the store.
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
