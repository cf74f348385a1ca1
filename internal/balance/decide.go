package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Pool is what the decisions need to know of a pool.
type Pool struct {
	ID             jaybarrow.PoolID
	Spare          bool
	MaxUnavailable int
	Unavailable    int // draining or down hosts in all data centres
	Hosts          int // in all data centres
}

// Host is a host of the data centre.
type Host struct {
	ID            jaybarrow.HostID
	Pool          jaybarrow.PoolID
	Slots         jaybarrow.Slots
	Accepting     bool // live and not draining
	Rebooting     bool // drains for a reboot; a lack of capacity that ends by itself is no lasting one
	RebootPending bool // a wave over its pool will reboot it; it stays until then, since the wave would miss it in another pool
}

// ActiveMove is a move that has begun and not ended, in any data centre.
type ActiveMove struct{ From, To jaybarrow.PoolID }

// Fleet is what the decisions look at besides the loads.
type Fleet struct {
	Pools []Pool
	Hosts []Host
	Moves []ActiveMove
}

// Move is the decision to move a host.
type Move struct {
	Host     jaybarrow.HostID
	From, To jaybarrow.PoolID
	Reason   string // one line
}

// Decide returns the moves that should begin now, at most one out of and one into each pool including those under way.
func (b *Balancer) Decide(now time.Time, fleet Fleet) []Move {
	b.track(now, fleet)
	if b.begun.IsZero() || now.Sub(b.begun) < b.settings.LongSmoothing {
		return nil
	}
	d := newDecision(b, now, fleet)
	for _, p := range d.lacking() {
		d.supply(p)
	}
	d.refill()
	return d.moves
}

// track notes since when each host is in its pool, and how many hosts each pool has from a spare pool. A host that is seen
// first counts as new in its pool, since a new process does not know of earlier moves.
func (b *Balancer) track(now time.Time, fleet Fleet) {
	spare := make(map[jaybarrow.PoolID]bool)
	for _, p := range fleet.Pools {
		spare[p.ID] = p.Spare
	}
	seen := make(map[jaybarrow.HostID]stay, len(fleet.Hosts))
	for _, h := range fleet.Hosts {
		old, known := b.hosts[h.ID]
		if !known || old.pool != h.Pool {
			seen[h.ID] = stay{h.Pool, now}
		} else {
			seen[h.ID] = old
		}
		switch {
		case !known || old.pool == h.Pool:
		case spare[old.pool] && !spare[h.Pool]:
			b.load(h.Pool).gained++
		case spare[h.Pool] && !spare[old.pool]:
			l := b.load(old.pool)
			l.gained = max(l.gained-1, 0)
		}
	}
	b.hosts = seen
}

// decision is one call of Decide.
type decision struct {
	*Balancer
	now      time.Time
	pools    map[jaybarrow.PoolID]Pool
	byPool   map[jaybarrow.PoolID][]Host // in the order of their ids
	capacity map[jaybarrow.PoolID]float64
	out, in  map[jaybarrow.PoolID]bool // a move is under way
	moves    []Move
}

func newDecision(b *Balancer, now time.Time, fleet Fleet) *decision {
	d := &decision{
		Balancer: b, now: now, pools: make(map[jaybarrow.PoolID]Pool), byPool: make(map[jaybarrow.PoolID][]Host),
		capacity: make(map[jaybarrow.PoolID]float64), out: make(map[jaybarrow.PoolID]bool), in: make(map[jaybarrow.PoolID]bool),
	}
	for _, p := range fleet.Pools {
		d.pools[p.ID] = p
	}
	for _, h := range fleet.Hosts {
		d.byPool[h.Pool] = append(d.byPool[h.Pool], h)
		if h.Accepting || h.Rebooting {
			d.capacity[h.Pool] += float64(h.Slots)
		}
	}
	for _, hosts := range d.byPool {
		slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, m := range fleet.Moves {
		d.out[m.From], d.in[m.To] = true, true
	}
	return d
}

// lacking returns the pools with a lasting lack of capacity, the greatest part first.
func (d *decision) lacking() []jaybarrow.PoolID {
	var lacking []jaybarrow.PoolID
	for id, p := range d.pools {
		l, ok := d.Balancer.pools[id]
		if !ok || p.Spare || d.in[id] || d.out[id] {
			continue
		}
		bound := d.settings.high()*d.capacity[id] + rounding
		if l.missed.mean > missedRate {
			bound = d.settings.missing()*d.capacity[id] + rounding
		}
		if l.long.mean > bound && l.short.mean > bound {
			lacking = append(lacking, id)
		}
	}
	slices.SortFunc(lacking, func(a, b jaybarrow.PoolID) int {
		return cmp.Or(cmp.Compare(d.used(b), d.used(a)), cmp.Compare(a, b))
	})
	return lacking
}

// rounding keeps a demand that other data centres bring down to the bound from counting as above it.
const rounding = 1e-6

// used is the part of its capacity that a pool needs lastingly.
func (d *decision) used(id jaybarrow.PoolID) float64 {
	l, ok := d.Balancer.pools[id]
	if !ok {
		return 0
	}
	return l.long.mean / max(d.capacity[id], 1)
}

// missedRate is the rate of missed targets, in requests a second, that counts as lasting.
const missedRate = 0.01

// supply moves a host to a pool that lacks one: from a spare pool that has more than the other pools' bursts need, or else from
// the pool that uses the least of its own. What the bursts need stays spare even if the pool misses targets, since the pool
// borrows it when the others do not.
func (d *decision) supply(to jaybarrow.PoolID) {
	l := d.Balancer.pools[to]
	why := fmt.Sprintf("pool %s needs %.0f of its %.0f slots lastingly", to, l.long.mean, d.capacity[to])
	for _, id := range d.spares() {
		h, ok := d.movable(id)
		if !ok {
			continue
		}
		needed := l.others.mean + d.settings.spread()*l.others.deviation()
		if rest := d.spareSlots() - float64(h.Slots); rest >= needed {
			d.move(h, to, fmt.Sprintf("%s; the spare slots left, %.0f, cover the bursts of the others, %.0f", why, rest, needed))
			return
		}
	}
	if h, ok := d.leastUsed(to); ok {
		d.move(h, to, fmt.Sprintf("%s; pool %s needs %.0f of %.0f", why, h.Pool, d.Balancer.pools[h.Pool].long.mean, d.capacity[h.Pool]))
	}
}

// refill returns a host to a spare pool whose slots do not cover the measured bursts, and hosts whose need has gone.
func (d *decision) refill() {
	needed := d.total.mean + d.settings.spread()*d.total.deviation()
	for _, to := range d.spares() {
		if d.in[to] || d.out[to] {
			continue
		}
		if have := d.spareSlots(); have < needed {
			if h, ok := d.leastUsed(to); ok {
				d.move(h, to, fmt.Sprintf("bursts borrow up to %.0f slots and %.0f are spare; %s", needed, have, d.describe(h.Pool)))
				continue
			}
		}
		if h, ok := d.notNeeded(to); ok {
			d.move(h, to, "the need has gone; "+d.describe(h.Pool))
		}
	}
}

func (d *decision) describe(id jaybarrow.PoolID) string {
	return fmt.Sprintf("pool %s needs %.0f of its %.0f slots", id, d.Balancer.pools[id].long.mean, d.capacity[id])
}

// spares returns the spare pools in the order of their ids.
func (d *decision) spares() []jaybarrow.PoolID {
	var ids []jaybarrow.PoolID
	for id, p := range d.pools {
		if p.Spare {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (d *decision) spareSlots() float64 {
	slots := 0.0
	for id, p := range d.pools {
		if p.Spare {
			slots += d.capacity[id]
		}
	}
	return slots
}

// leastUsed returns a host of the pool that uses the least part of its capacity and can give one.
func (d *decision) leastUsed(to jaybarrow.PoolID) (Host, bool) {
	return d.giver(to, func(jaybarrow.PoolID) bool { return true })
}

// notNeeded returns a host of a pool that got it from a spare pool and can give it back.
func (d *decision) notNeeded(to jaybarrow.PoolID) (Host, bool) {
	return d.giver(to, func(id jaybarrow.PoolID) bool { return d.Balancer.pools[id].gained > 0 })
}

func (d *decision) giver(to jaybarrow.PoolID, eligible func(jaybarrow.PoolID) bool) (best Host, found bool) {
	least := math.Inf(1)
	for _, id := range slices.Sorted(maps.Keys(d.pools)) {
		if _, ok := d.Balancer.pools[id]; !ok || id == to || d.pools[id].Spare || d.in[id] || !eligible(id) {
			continue
		}
		if h, ok := d.movable(id); ok && d.ample(id, h) && d.used(id) < least {
			best, least, found = h, d.used(id), true
		}
	}
	return best, found
}

// ample reports whether the pool can do without the host: lastingly it needs little of what remains, and now not much.
func (d *decision) ample(id jaybarrow.PoolID, h Host) bool {
	l, rest := d.Balancer.pools[id], d.capacity[id]-float64(h.Slots)
	return l.long.mean <= d.settings.low()*rest && l.short.mean <= d.settings.high()*rest
}

// movable returns a host that may leave the pool now: the availability budget allows one more drain, the pool keeps more hosts
// than may be unavailable at once and one in this data centre, which may be cut off from the others, no other host is leaving
// it, and the host has stayed its least time.
func (d *decision) movable(id jaybarrow.PoolID) (Host, bool) {
	p := d.pools[id]
	few := !p.Spare && (p.Hosts-1 <= p.MaxUnavailable || len(d.byPool[id]) <= 1)
	if few || d.out[id] || p.Unavailable+1 > p.MaxUnavailable {
		return Host{}, false
	}
	for _, h := range d.byPool[id] {
		if h.Accepting && !h.RebootPending && d.now.Sub(d.hosts[h.ID].since) >= d.settings.minStay() {
			return h, true
		}
	}
	return Host{}, false
}

func (d *decision) move(h Host, to jaybarrow.PoolID, reason string) {
	d.moves = append(d.moves, Move{Host: h.ID, From: h.Pool, To: to, Reason: reason})
	d.out[h.Pool], d.in[to] = true, true
	d.capacity[h.Pool] -= float64(h.Slots)
	p := d.pools[h.Pool]
	p.Unavailable++
	d.pools[h.Pool] = p
}
