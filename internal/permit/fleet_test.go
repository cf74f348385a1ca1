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

// fault is what a store call of one entry host meets.
type fault string

const (
	faultNone      fault = "none"
	faultLost      fault = "lostAnswer"   // the write takes effect, the answer is lost
	faultDropped   fault = "lostRequest"  // the write has no effect, the outcome is unknown to the caller
	faultLate      fault = "lateWrite"    // the outcome is unknown, the write takes effect later
	faultRefused   fault = "refused"      // certainly not run
	faultMixed     fault = "mixed"        // each call meets one of the above
	faultFalseYes  fault = "falseSuccess" // breaks the contract: reports success for a write without effect
	faultFalseFail fault = "falseFailure" // breaks the contract: says notRun of a write that took effect
)

// host is one entry host of the test fleet; its store calls pass through its faults and stop while it is paused.
type host struct {
	*store.Core
	id   jaybarrow.EntryID
	rng  *rand.Rand
	lock sync.Mutex
	mode fault
	gate chan struct{} // closed while the host runs
	lag  time.Duration // of the watch
	late time.Duration // of a late write; 0: at random
	sent int           // late writes

	directory *directory.Directory
	presence  *presence.Presence
	keeper    *permit.Keeper
	stop      context.CancelFunc
	fed       chan struct{}
	up        bool
}

func (h *host) set(mode fault) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.mode = mode
}

func (h *host) fault() fault {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.mode == faultMixed {
		return []fault{faultNone, faultNone, faultLost, faultDropped, faultLate, faultRefused}[h.rng.IntN(6)]
	}
	return h.mode
}

// travel takes the time of one way of a call, and stops while the host is paused.
func (h *host) travel() {
	h.lock.Lock()
	took := time.Duration(h.rng.IntN(30)) * time.Millisecond
	h.lock.Unlock()
	time.Sleep(took)
	h.pass()
}

func (h *host) pass() {
	h.lock.Lock()
	gate := h.gate
	h.lock.Unlock()
	<-gate
}

func (h *host) setLag(lag time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.lag = lag
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

// lateness counts a late write and returns how late it takes effect.
func (h *host) lateness() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.sent++
	if h.late > 0 {
		return h.late
	}
	return time.Duration(h.rng.IntN(1000)) * time.Millisecond
}

func (h *host) lateWrites() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.sent
}

func lost() error { return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: answer lost") }

func (h *host) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	h.travel()
	if f := h.fault(); f == faultDropped || f == faultRefused {
		return jaybarrow.Record{}, lost()
	}
	return h.Core.Get(ctx, key)
}

func (h *host) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	h.travel()
	defer h.travel()
	write := func() (jaybarrow.Revision, error) { return h.Core.CompareAndSwap(ctx, key, previous, value, lease) }
	permits := key == jaybarrow.AllotmentKey(team)
	switch f := h.fault(); {
	case f == faultLost:
		_, _ = write()
		return 0, lost()
	case f == faultDropped:
		return 0, lost()
	case f == faultLate:
		late := h.lateness()
		go func() {
			time.Sleep(late)
			_, _ = write()
		}()
		return 0, lost()
	case f == faultRefused:
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: refused").WithEffect(jaybarrow.EffectNotRun)
	case f == faultFalseYes && permits:
		return previous + 1, nil
	case f == faultFalseFail && permits:
		_, _ = write()
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: refused").WithEffect(jaybarrow.EffectNotRun)
	}
	return write()
}

// start begins a new process of the entry host.
func (h *host) start(f *fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	h.directory, h.stop, h.fed, h.up = directory.New(), cancel, make(chan struct{}), true
	go h.feed(ctx, h.directory, h.fed)
	h.presence = presence.New(presence.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: h, Host: jaybarrow.EntryHost{ID: h.id},
		NewChange: identity.NewChangeID, Settings: presence.DefaultSettings(),
	})
	h.keeper = permit.New(permit.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: h, Directory: h.directory, Conditions: f.conditions,
		Registration: h.presence, Entry: h.id, NewChange: identity.NewChangeID, Settings: permit.DefaultSettings(),
	})
}

// feed applies the store's changes to the host's directory, late and not while it is paused.
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
		lag := h.lag
		h.lock.Unlock()
		time.Sleep(lag)
		h.pass()
		_ = d.Apply(event.Records, event.Revision)
	}
}

// crash ends the process without any release.
func (h *host) crash() {
	h.up = false
	h.resume()
	h.stop()
	h.keeper.Abandon()
	h.presence.Close()
	<-h.fed
}

// conditions is the platform's list as the hosts see it.
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

// run is a task that holds permits, or that may still be running after its entry host has crashed.
type run struct {
	host  *host
	slots jaybarrow.Slots
	until time.Time // zero while the entry host knows of it
}

// fleet is a set of entry hosts on one store, with the ledger of running tasks that the checker uses.
type fleet struct {
	core       *store.Core
	hosts      []*host
	conditions *conditions
	runs       []*run
	bound      jaybarrow.Slots // the limit in force, or the higher one while a lowered limit is not yet in force
}

func newFleet(count int, limit jaybarrow.Slots, seed uint64) *fleet {
	f := &fleet{
		core: store.NewCore(jaybarrow.SystemClock{}), bound: limit,
		conditions: &conditions{gone: make(map[string]time.Time), changed: make(chan struct{})},
	}
	f.setLimit(limit)
	for i := range count {
		h := &host{Core: f.core, id: jaybarrow.EntryID(fmt.Sprintf("entry-%d", i)), rng: rand.New(rand.NewPCG(seed, uint64(i))), mode: faultNone, gate: make(chan struct{})}
		h.lag = time.Duration(h.rng.IntN(40)) * time.Millisecond
		if h.rng.IntN(3) == 0 {
			h.lag *= 30
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
	f.bound = max(f.bound, limit)
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

// check returns an error when more may be running than the limit in force, or when the grants grew above the limit.
func (f *fleet) check() error {
	record, _ := f.record()
	var running jaybarrow.Slots
	for _, r := range f.runs {
		if r.until.IsZero() || time.Now().Before(r.until) {
			running += r.slots
		}
	}
	if allotment.InForce(record) {
		f.bound = record.Limit
	}
	if running > f.bound {
		return fmt.Errorf("%d slots may be running, the limit in force is %d: %+v", running, f.bound, record)
	}
	if sum := allotment.Sum(record); sum > f.bound {
		return fmt.Errorf("the grants sum to %d, the limit in force is %d: %+v", sum, f.bound, record)
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

// acquire starts a task if the host has permits; it returns an error when the start breaks a lowered limit.
func (f *fleet) acquire(h *host, slots jaybarrow.Slots) (bool, error) {
	latest := h.directory.Allotments.Latest(team)
	known := h.state()
	if !h.keeper.TryAcquire(team, slots) {
		return false, nil
	}
	f.runs = append(f.runs, &run{host: h, slots: slots})
	if part := allotment.Quota(latest.Value, h.id); known.Revision == latest.Revision && h.state().Revision == latest.Revision && !allotment.InForce(latest.Value) && known.InUse+slots > part {
		return true, fmt.Errorf("%s started up to %d slots, its part of the lowered limit is %d", h.id, known.InUse+slots, part)
	}
	return true, f.check()
}

// release ends the task and forgets it.
func (f *fleet) release(i int) {
	r := f.runs[i]
	f.runs = append(f.runs[:i], f.runs[i+1:]...)
	if r.until.IsZero() {
		r.host.keeper.Release(team, r.slots)
	}
}

// crash ends the host's process; its tasks run as long as their leases allow.
func (f *fleet) crash(h *host) {
	h.crash()
	settings := permit.DefaultSettings()
	end := time.Now().Add(settings.StartWindow + time.Duration(float64(jaybarrow.TaskLease)*(1+jaybarrow.ClockRateError)))
	for _, r := range f.runs {
		if r.host == h && r.until.IsZero() {
			r.until = end
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
	time.Sleep(2 * time.Second) // late writes end
}
