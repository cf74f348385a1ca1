package permit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/permit"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

const team = jaybarrow.TeamID("trail")

// fault is how the store calls of one entry host fail.
type fault string

const (
	faultNone         fault = "none"
	faultLostAnswer   fault = "lostAnswer"   // the write takes effect, the response is lost
	faultLostRequest  fault = "lostRequest"  // the write has no effect, but the outcome is unknown to the caller
	faultLateWrite    fault = "lateWrite"    // the outcome is unknown to the caller, the write takes effect later
	faultRefused      fault = "refused"      // the caller knows that the write has no effect
	faultMixed        fault = "mixed"        // each call has one of the above at random
	faultFalseSuccess fault = "falseSuccess" // breaks the contract: reports success for a write without effect
	faultFalseFailure fault = "falseFailure" // breaks the contract: reports notRun for a write that took effect
)

// host is one entry host of the test fleet. Its store calls are subject to its fault and block while it is paused.
type host struct {
	*store.Core
	id        jaybarrow.EntryID
	rng       *rand.Rand
	lock      sync.Mutex
	mode      fault
	gate      chan struct{} // closed while the host is not paused
	watchLag  time.Duration // delay of each event of the watch
	lateBy    time.Duration // delay of a late write; random when 0
	lateCount int           // number of late writes

	directory *directory.Directory
	presence  *presence.Presence
	keeper    *permit.Keeper
	stop      context.CancelFunc
	feedDone  chan struct{}
	up        bool
}

func (h *host) injectFault(mode fault) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.mode = mode
}

func (h *host) fault() fault {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.mode == faultMixed {
		return []fault{faultNone, faultNone, faultLostAnswer, faultLostRequest, faultLateWrite, faultRefused}[h.rng.IntN(6)]
	}
	return h.mode
}

// delayCall waits for the network delay of one direction of a call, and blocks while the host is paused.
func (h *host) delayCall() {
	h.lock.Lock()
	took := time.Duration(h.rng.IntN(30)) * time.Millisecond
	h.lock.Unlock()
	time.Sleep(took)
	h.waitWhilePaused()
}

func (h *host) waitWhilePaused() {
	h.lock.Lock()
	gate := h.gate
	h.lock.Unlock()
	<-gate
}

func (h *host) setLag(lag time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.watchLag = lag
}

func (h *host) pause() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.gate = make(chan struct{})
}

func (h *host) resume() {
	h.lock.Lock()
	defer h.lock.Unlock()
	select {
	case <-h.gate:
	default:
		close(h.gate)
	}
}

// countLateWrite counts a late write and returns its delay.
func (h *host) countLateWrite() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.lateCount++
	if h.lateBy > 0 {
		return h.lateBy
	}
	return time.Duration(h.rng.IntN(1000)) * time.Millisecond
}

func (h *host) lateWrites() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.lateCount
}

func outcomeUnknown() error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: response lost")
}

func (h *host) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	h.delayCall()
	if f := h.fault(); f == faultLostRequest || f == faultRefused {
		return jaybarrow.Record{}, outcomeUnknown()
	}
	return h.Core.Get(ctx, key)
}

func (h *host) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	h.delayCall()
	defer h.delayCall()
	write := func() (jaybarrow.Revision, error) { return h.Core.CompareAndSwap(ctx, key, previous, value, lease) }
	permits := key == jaybarrow.AllotmentKey(team)
	switch f := h.fault(); {
	case f == faultLostAnswer:
		_, _ = write()
		return 0, outcomeUnknown()
	case f == faultLostRequest:
		return 0, outcomeUnknown()
	case f == faultLateWrite:
		late := h.countLateWrite()
		go func() {
			time.Sleep(late)
			_, _ = write()
		}()
		return 0, outcomeUnknown()
	case f == faultRefused:
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: refused").WithEffect(jaybarrow.EffectNotRun)
	case f == faultFalseSuccess && permits:
		return previous + 1, nil
	case f == faultFalseFailure && permits:
		_, _ = write()
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: refused").WithEffect(jaybarrow.EffectNotRun)
	}
	return write()
}

// start starts a new process of the entry host.
func (h *host) start(f *fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	h.directory, h.stop, h.feedDone, h.up = directory.New(), cancel, make(chan struct{}), true
	go h.feed(ctx, h.directory, h.feedDone)
	h.presence = presence.New(presence.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: h, Host: jaybarrow.EntryHost{ID: h.id},
		NewChange: identity.NewChangeID, Settings: presence.DefaultSettings(),
	})
	h.keeper = permit.New(permit.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: h, Directory: h.directory, Conditions: f.conditions,
		Registration: h.presence, Entry: h.id, NewChange: identity.NewChangeID, Settings: permit.DefaultSettings(),
	})
}

// feed applies the store's changes to the host's directory after the watch's lag, and blocks while the host is paused.
func (h *host) feed(ctx context.Context, d *directory.Directory, fed chan struct{}) {
	defer close(fed)
	watch, _ := h.Core.Watch(ctx, jaybarrow.Prefix, 0)
	defer watch.Close()
	for {
		event, err := watch.Next()
		if err != nil || ctx.Err() != nil {
			return
		}
		h.lock.Lock()
		lag := h.watchLag
		h.lock.Unlock()
		time.Sleep(lag)
		h.waitWhilePaused()
		_ = d.Apply(event.Records, event.Revision)
	}
}

// crash ends the process without releasing permits.
func (h *host) crash() {
	h.up = false
	h.resume()
	h.stop()
	h.keeper.Abandon()
	h.presence.Close()
	<-h.feedDone
}

// conditions is the platform's list of hosts.
type conditions struct {
	sync.Mutex
	gone    map[string]time.Time
	changed chan struct{}
}

func (c *conditions) Condition(string) jaybarrow.HostCondition { return jaybarrow.HostLive }

func (c *conditions) GoneFor(name string) (time.Duration, bool) {
	c.Lock()
	defer c.Unlock()
	since, ok := c.gone[name]
	return time.Since(since), ok
}

func (c *conditions) ReadAt() time.Time { return time.Now() }

func (c *conditions) Changed() <-chan struct{} {
	c.Lock()
	defer c.Unlock()
	return c.changed
}

func (c *conditions) setGone(id jaybarrow.EntryID) {
	c.Lock()
	defer c.Unlock()
	c.gone[string(id)] = time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
}

// heldTask holds permits, or may still be running after its entry host has crashed.
type heldTask struct {
	host  *host
	slots jaybarrow.Slots
	until time.Time // latest end of a task whose entry host has crashed; zero otherwise
}

// fleet is a set of entry hosts on one store, with the running tasks that the checker sums up.
type fleet struct {
	core       *store.Core
	hosts      []*host
	conditions *conditions
	tasks      []*heldTask
	maxRunning jaybarrow.Slots // the limit in force, or the higher one while a lowered limit is not yet in force
}

func newFleet(count int, limit jaybarrow.Slots, seed uint64) *fleet {
	f := &fleet{
		core: store.NewCore(jaybarrow.SystemClock{}), maxRunning: limit,
		conditions: &conditions{gone: make(map[string]time.Time), changed: make(chan struct{})},
	}
	f.setLimit(limit)
	for i := range count {
		h := &host{Core: f.core, id: jaybarrow.EntryID(fmt.Sprintf("entry-%d", i)), rng: rand.New(rand.NewPCG(seed, uint64(i))), mode: faultNone, gate: make(chan struct{})}
		h.watchLag = time.Duration(h.rng.IntN(40)) * time.Millisecond
		if h.rng.IntN(3) == 0 {
			h.watchLag *= 30
		}
		h.resume()
		h.start(f)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *fleet) record() (jaybarrow.Allotment, jaybarrow.Revision) {
	stored, err := f.core.Get(context.Background(), jaybarrow.AllotmentKey(team))
	if err != nil {
		return jaybarrow.Allotment{Team: team}, 0
	}
	var a jaybarrow.Allotment
	if err := json.Unmarshal(stored.Value, &a); err != nil {
		panic(err)
	}
	return a, stored.Revision
}

func (f *fleet) setLimit(limit jaybarrow.Slots) {
	f.maxRunning = max(f.maxRunning, limit)
	for {
		record, revision := f.record()
		record.Limit, record.Change = limit, identity.NewChangeID()
		value, err := json.Marshal(record)
		if err != nil {
			panic(err)
		}
		_, err = f.core.CompareAndSwap(context.Background(), jaybarrow.AllotmentKey(team), revision, value, 0)
		if !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			return
		}
	}
}

// check returns an error when more slots may be running than the limit in force allows, or the grants sum to more than it.
func (f *fleet) check() error {
	record, _ := f.record()
	var running jaybarrow.Slots
	for _, task := range f.tasks {
		if task.until.IsZero() || time.Now().Before(task.until) {
			running += task.slots
		}
	}
	if allotment.InForce(record) {
		f.maxRunning = record.Limit
	}
	if running > f.maxRunning {
		return fmt.Errorf("%d slots may be running, the limit in force is %d: %+v", running, f.maxRunning, record)
	}
	if sum := allotment.Sum(record); sum > f.maxRunning {
		return fmt.Errorf("the grants sum to %d, the limit in force is %d: %+v", sum, f.maxRunning, record)
	}
	return nil
}

// state returns the host's view of the team; empty before it knows the team.
func (h *host) state() permit.TeamPermits {
	for _, s := range h.keeper.Snapshot() {
		return s
	}
	return permit.TeamPermits{}
}

// acquire starts a task if the host has permits. It returns an error when the start breaks a limit.
func (f *fleet) acquire(h *host, slots jaybarrow.Slots) (bool, error) {
	latest := h.directory.Allotments.Latest(team)
	known := h.state()
	if !h.keeper.TryAcquire(team, slots) {
		return false, nil
	}
	f.tasks = append(f.tasks, &heldTask{host: h, slots: slots})
	if quota := allotment.Quota(latest.Value, h.id); known.Revision == latest.Revision && h.state().Revision == latest.Revision && !allotment.InForce(latest.Value) && known.InUse+slots > quota {
		return true, fmt.Errorf("%s runs up to %d slots after a start, its quota under the lowered limit is %d", h.id, known.InUse+slots, quota)
	}
	return true, f.check()
}

// release ends the task and returns its permits.
func (f *fleet) release(i int) {
	task := f.tasks[i]
	f.tasks = append(f.tasks[:i], f.tasks[i+1:]...)
	if task.until.IsZero() {
		task.host.keeper.Release(team, task.slots)
	}
}

// crash ends the host's process; its tasks run as long as their leases allow.
func (f *fleet) crash(h *host) {
	h.crash()
	settings := permit.DefaultSettings()
	end := time.Now().Add(settings.StartWindow + time.Duration(float64(jaybarrow.TaskLease)*(1+jaybarrow.ClockRateError)))
	for _, task := range f.tasks {
		if task.host == h && task.until.IsZero() {
			task.until = end
		}
	}
}

// close stops every process.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.up {
			h.crash()
		}
	}
	time.Sleep(2 * time.Second) // for the late writes to end
}
