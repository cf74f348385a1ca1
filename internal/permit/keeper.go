package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Keeper holds this entry host's permits and moves them through the store; each team has its own lock and its own loop.
type Keeper struct {
	deps      Deps
	span      time.Duration // longest run of a task without renewal, from the decision to start it
	holdings  *shard.Map[jaybarrow.TeamID, *holding]
	fleet     atomic.Pointer[fleetView]
	turns     *turns
	available chan struct{}
	progress  chan struct{} // a holding may have become empty
	group     conc.WaitGroup
	ctx       context.Context // ends the calls to the store at Close
	cancel    context.CancelFunc
	leaving   atomic.Bool
	close     sync.Once
}

// New returns a running Keeper without permits in use.
func New(deps Deps) *Keeper {
	k := &Keeper{
		deps:      deps,
		span:      taskSpan(deps.Settings.StartWindow),
		holdings:  shard.New[jaybarrow.TeamID, *holding](),
		turns:     newTurns(deps.Settings.WritesPerSecond, deps.Settings.FleetWritesPerSecond),
		available: make(chan struct{}, 1),
		progress:  make(chan struct{}, 1),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.fleet.Store(&fleetView{})
	k.group.Go(k.follow)
	k.group.Go(k.dispatch)
	return k
}

// TryAcquire takes permits for a start, or records the lack as demand and returns false.
func (k *Keeper) TryAcquire(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
	h, ok := k.holdings.Get(team)
	if !ok {
		return false // no limit is known for the team; its record creates the holding
	}
	return h.tryAcquire(k.deps.Clock.Now(), slots)
}

// SetWaiting tells how many slots of the team's work wait here for permits alone; 0 when none do.
func (k *Keeper) SetWaiting(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	if h, ok := k.holdings.Get(team); ok {
		h.waiting(k.deps.Clock.Now(), slots)
	}
}

// Release returns permits after the end of the task is known.
func (k *Keeper) Release(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	h, ok := k.holdings.Get(team)
	if ok && h.release(slots) {
		k.announce()
	}
	if k.leaving.Load() {
		notify(k.progress)
	}
}

// Available signals when permits may have become available.
func (k *Keeper) Available() <-chan struct{} { return k.available }

// ReleaseAll begins a planned stop: no more starts, idle permits are given away and the rest as tasks end.
func (k *Keeper) ReleaseAll() {
	k.leaving.Store(true)
	k.holdings.Each(func(_ jaybarrow.TeamID, h *holding) {
		h.Lock()
		h.leaving = true
		h.Unlock()
		h.signal()
	})
}

// Close releases everything, waits until nothing is held or ctx ends, and stops the Keeper. It returns ctx's error when
// permits are still held.
func (k *Keeper) Close(ctx context.Context) error {
	k.ReleaseAll()
	var err error
	for err == nil && k.holdsAny() {
		select {
		case <-k.progress:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	k.Abandon()
	return err
}

// Abandon stops the Keeper without releasing anything, as a crash would.
func (k *Keeper) Abandon() {
	k.close.Do(k.cancel)
	k.group.Wait()
}

func (k *Keeper) holdsAny() bool {
	holds := false
	k.holdings.Each(func(_ jaybarrow.TeamID, h *holding) {
		h.Lock()
		defer h.Unlock()
		_, granted := h.record.Grants[h.entry]
		writable := h.incarnation != 0 && !h.fenced
		holds = holds || h.used > 0 || (writable && (granted || h.pending.open))
	})
	return holds
}

// announce tells the schedulers that permits may be available.
func (k *Keeper) announce() { notify(k.available) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// holding returns the team's holding; the first call starts its loop.
func (k *Keeper) holding(team jaybarrow.TeamID) *holding {
	created := false
	h := k.holdings.GetOrCreate(team, func() *holding {
		created = true
		return &holding{
			id: team, entry: k.deps.Entry, limits: k.deps.Settings, wake: make(chan struct{}, 1), leaving: k.leaving.Load(),
			demand: demand{patience: k.deps.Settings.DemandDelay},
		}
	})
	if created {
		k.group.Go(func() { k.loop(h) })
	}
	return h
}

// follow wakes the holdings whose record, or whose view of the fleet, changed.
func (k *Keeper) follow() {
	ready, fenced := k.deps.Registration.Ready(), k.deps.Registration.Fenced()
	tables := k.deps.Directory
	evidence := false // the platform's list changed, so that every holding looks for ended hosts
	for {
		allotments, entries, conditions := tables.Allotments.Changed(), tables.Entries.Changed(), k.conditionsChanged()
		all := k.refreshFleet() || evidence
		evidence = false
		newest := jaybarrow.Revision(0)
		tables.Allotments.EachVersioned(func(id jaybarrow.TeamID, v directory.Versioned[jaybarrow.Allotment]) {
			newest = max(newest, v.Revision)
			h := k.holding(id)
			if all || h.isOlder(v.Revision) {
				h.signal()
			}
		})
		k.turns.observe(newest)
		select {
		case <-k.ctx.Done():
			return
		case <-allotments:
		case <-entries:
		case <-conditions:
			evidence = true
		case <-ready:
			ready = nil
		case <-fenced:
			fenced = nil
		}
		// Changes often come in groups; a pause lets one scan take several.
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
