package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Keeper holds this entry host's permits and transfers them through the store. Each team has its own lock and goroutine.
type Keeper struct {
	deps      Deps
	taskSpan  time.Duration // longest run of a task without a lease renewal, from the decision to start it
	holdings  *shard.Map[jaybarrow.TeamID, *holding]
	fleet     atomic.Pointer[fleetView]
	writes    *writeQueue
	available chan struct{}
	emptied   chan struct{} // signals that a holding may have become empty
	group     *rungroup.Group
	ctx       context.Context // cancelled at Close; ends the goroutines and their calls to the store
	cancel    context.CancelFunc
	leaving   atomic.Bool
	closeOnce sync.Once
}

// New returns a running Keeper without permits in use.
func New(deps Deps) *Keeper {
	k := &Keeper{
		deps:      deps,
		group:     rungroup.New(deps.OnFault),
		taskSpan:  longestTaskSpan(deps.Settings.StartWindow),
		holdings:  shard.New[jaybarrow.TeamID, *holding](),
		writes:    newWriteQueue(deps.Settings.WritesPerSecond, deps.Settings.FleetWritesPerSecond),
		available: make(chan struct{}, 1),
		emptied:   make(chan struct{}, 1),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.fleet.Store(&fleetView{})
	k.group.Keep(k.ctx, "watch of allotments", func() error { k.watchDirectory(); return nil })
	k.group.Keep(k.ctx, "writes of allotments", func() error { k.dispatchWrites(); return nil })
	return k
}

// TryAcquire takes permits for a start, or records unmet demand and returns false.
func (k *Keeper) TryAcquire(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
	h, ok := k.holdings.Get(team)
	if !ok {
		return false // no limit is known for the team; watchDirectory creates the holding when its record arrives
	}
	return h.tryAcquire(k.deps.Clock.Now(), slots)
}

// SetWaiting sets the number of slots of the team's work that wait on this host only for permits.
func (k *Keeper) SetWaiting(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	if h, ok := k.holdings.Get(team); ok {
		h.setWaiting(k.deps.Clock.Now(), slots)
	}
}

// Release returns permits after the end of the task is known.
func (k *Keeper) Release(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	h, ok := k.holdings.Get(team)
	if ok && h.release(slots) {
		k.signalAvailable()
	}
	if k.leaving.Load() {
		notify(k.emptied)
	}
}

// Available signals when permits may have become available.
func (k *Keeper) Available() <-chan struct{} { return k.available }

// ReleaseAll begins a planned stop: no further task starts, idle permits are given away, and the others follow when their tasks
// end.
func (k *Keeper) ReleaseAll() {
	k.leaving.Store(true)
	k.holdings.Each(func(_ jaybarrow.TeamID, h *holding) {
		h.Lock()
		h.leaving = true
		h.Unlock()
		h.signal()
	})
}

// Close releases all permits, blocks until none is held or ctx ends, and stops the Keeper. It returns ctx's error when
// permits are still held.
func (k *Keeper) Close(ctx context.Context) error {
	k.ReleaseAll()
	var err error
	for err == nil && k.holdsAny() {
		select {
		case <-k.emptied:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	k.Abandon()
	return err
}

// Abandon stops the Keeper without releasing anything, as a crash would.
func (k *Keeper) Abandon() {
	k.closeOnce.Do(k.cancel)
	k.group.Wait()
}

func (k *Keeper) holdsAny() bool {
	holds := false
	k.holdings.Each(func(_ jaybarrow.TeamID, h *holding) {
		h.Lock()
		defer h.Unlock()
		_, granted := h.record.Grants[h.entry]
		writable := h.incarnation != 0 && !h.fenced
		holds = holds || h.used > 0 || (writable && (granted || h.pending.outstanding))
	})
	return holds
}

// signalAvailable signals the schedulers that permits may be available.
func (k *Keeper) signalAvailable() { notify(k.available) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// holding returns the team's holding; the first call creates it and starts its goroutine.
func (k *Keeper) holding(team jaybarrow.TeamID) *holding {
	created := false
	h := k.holdings.GetOrCreate(team, func() *holding {
		created = true
		return &holding{
			id: team, entry: k.deps.Entry, settings: k.deps.Settings, wake: make(chan struct{}, 1), leaving: k.leaving.Load(),
			demand: demand{delay: k.deps.Settings.DemandDelay},
		}
	})
	if created {
		k.group.Keep(k.ctx, "permits of a team", func() error { k.runLoop(h); return nil })
	}
	return h
}

// watchDirectory wakes the holdings whose record changed, and all of them when the view of the fleet changed.
func (k *Keeper) watchDirectory() {
	ready, fenced := k.deps.Registration.Ready(), k.deps.Registration.Fenced()
	tables := k.deps.Directory
	recheckGone := false // the platform's list changed, so every holding checks for hosts that are gone
	for {
		allotments, entries, conditions := tables.Allotments.Changed(), tables.Entries.Changed(), k.conditionsChanged()
		all := k.refreshFleet() || recheckGone
		recheckGone = false
		newest := jaybarrow.Revision(0)
		tables.Allotments.EachVersioned(func(id jaybarrow.TeamID, v directory.Versioned[jaybarrow.Allotment]) {
			newest = max(newest, v.Revision)
			h := k.holding(id)
			if all || h.isOlder(v.Revision) {
				h.signal()
			}
		})
		k.writes.chargeOthers(newest)
		select {
		case <-k.ctx.Done():
			return
		case <-allotments:
		case <-entries:
		case <-conditions:
			recheckGone = true
		case <-ready:
			ready = nil
		case <-fenced:
			fenced = nil
		}
		// Changes often come in groups; the delay lets one scan take several.
		select {
		case <-k.ctx.Done():
			return
		case <-k.deps.Clock.After(k.deps.Settings.MinScanInterval):
		}
	}
}

func (h *holding) isOlder(revision jaybarrow.Revision) bool {
	h.Lock()
	defer h.Unlock()
	return h.revision < revision
}
