package permit

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/ratelimit"
)

// turns spends the entry host's budget of writes on the most urgent ones first, and on the longest waiting of equal urgency.
type turns struct {
	sync.Mutex
	budget  *ratelimit.Bucket // of this entry host alone
	shared  *ratelimit.Bucket // of the fleet; every write that the watch shows is taken from it
	seen    jaybarrow.Revision
	unseen  int               // own writes since the last look at the revisions
	minor   *ratelimit.Bucket // of the writes that no work waits long for; they would use up the fleet's budget
	waiting map[*holding]claim
	changed chan struct{} // the waiting writes or the budget changed
}

// claim is a write that waits for its turn.
type claim struct {
	urgency allotment.Urgency
	since   time.Time
	team    jaybarrow.TeamID
}

// at returns the claim with its urgency at the given time.
func (c claim) at(now time.Time) claim {
	if c.urgency == allotment.UrgencyMinor && now.Sub(c.since) >= minorWait {
		c.urgency = allotment.UrgencyDemand
	}
	return c
}

func (c claim) before(other claim) bool {
	if c.urgency != other.urgency {
		return c.urgency.Before(other.urgency)
	}
	if !c.since.Equal(other.since) {
		return c.since.Before(other.since)
	}
	return c.team < other.team
}

func newTurns(writesPerSecond, fleetWritesPerSecond int) *turns {
	return &turns{
		budget: ratelimit.New(writesPerSecond, writesPerSecond), minor: ratelimit.New(max(1, writesPerSecond/4), max(1, writesPerSecond/2)),
		shared: ratelimit.New(max(1, fleetWritesPerSecond), fleetWritesPerSecond/8), waiting: make(map[*holding]claim), changed: make(chan struct{}, 1),
	}
}

// minorWait is how long a write for a small lack may wait; then the own tasks did not end it, and it ranks as demand.
const minorWait = time.Second

// take spends a write, or lets the holding wait until it is woken for its turn.
func (t *turns) take(now time.Time, h *holding, urgency allotment.Urgency) bool {
	t.Lock()
	defer t.Unlock()
	c, waits := t.waiting[h]
	if !waits {
		c = claim{since: now, team: h.id}
	}
	c.urgency = urgency
	defer notify(t.changed)
	first, best := t.first(now)
	if (first == nil || first == h || !best.before(c.at(now))) && t.spend(now, c.at(now)) {
		delete(t.waiting, h)
		return true
	}
	t.waiting[h] = c
	return false
}

// drop forgets a write that is no longer due.
func (t *turns) drop(h *holding) {
	t.Lock()
	defer t.Unlock()
	if _, waits := t.waiting[h]; waits {
		delete(t.waiting, h)
		notify(t.changed)
	}
}

// spend takes a write from the own budget, and for work that waits also from what the fleet leaves of the shared one.
func (t *turns) spend(now time.Time, c claim) bool {
	if c.isMinor() && t.minor.Wait(now) > 0 {
		return false
	}
	if _, ok := t.budget.Take(now); ok {
		t.shared.Spend(1)
	} else if c.isMinor() {
		return false
	} else if _, ok := t.shared.Take(now); !ok {
		return false
	}
	if c.isMinor() {
		t.minor.Spend(1)
	}
	t.unseen++
	return true
}

// observe takes the writes of other processes, which the store's revisions count, from the shared budget.
func (t *turns) observe(revision jaybarrow.Revision) {
	t.Lock()
	defer t.Unlock()
	if revision <= t.seen {
		return
	}
	if others := int(revision-t.seen) - t.unseen; t.seen > 0 && others > 0 {
		t.shared.Spend(others)
	}
	t.seen, t.unseen = revision, 0
}

func (c claim) isMinor() bool {
	return c.urgency == allotment.UrgencyMinor || c.urgency == allotment.UrgencyIdle
}

// first returns the holding whose write is next.
func (t *turns) first(now time.Time) (*holding, claim) {
	var next *holding
	var best claim
	for h, c := range t.waiting {
		c = c.at(now)
		if next == nil || c.before(best) {
			next, best = h, c
		}
	}
	return next, best
}

// next returns the holding whose write is next, and how long until the budget allows it.
func (t *turns) next(now time.Time) (*holding, time.Duration) {
	t.Lock()
	defer t.Unlock()
	h, c := t.first(now)
	if h == nil {
		return nil, 0
	}
	if c.isMinor() {
		return h, max(t.budget.Wait(now), t.minor.Wait(now))
	}
	return h, min(t.budget.Wait(now), t.shared.Wait(now))
}

// wakeTimeout is how long a woken holding may take to make its write or to drop it before it is woken again.
const wakeTimeout = 100 * time.Millisecond

// dispatch wakes the holdings that wait for the budget, one for each write that it allows.
func (k *Keeper) dispatch() {
	for {
		h, wait := k.turns.next(k.deps.Clock.Now())
		var timer <-chan time.Time
		if h != nil {
			if wait <= 0 {
				h.signal()
				wait = wakeTimeout
			}
			timer = k.deps.Clock.After(wait)
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.turns.changed:
		case <-timer:
		}
	}
}
