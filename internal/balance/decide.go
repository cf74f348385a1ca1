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

// Pool is a pool as the decisions see it.
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
	Rebooting     bool // drains for a reboot; still counts as capacity, since it returns by itself
	RebootPending bool // a wave over its pool will reboot it; it stays until then, because the wave would miss it in another pool
}

// ActiveMove is a move in progress, in any data centre.
type ActiveMove struct{ From, To jaybarrow.PoolID }

// Fleet is the input of the decisions besides the loads.
type Fleet struct {
	Pools []Pool
	Hosts []Host
	Moves []ActiveMove
}

// Move is the decision to move a host.
type Move struct {
	Host     jaybarrow.HostID
	From, To jaybarrow.PoolID
	Reason   string // one line for operators
}

// Decide returns the moves that should begin now: at most one out of and one into each pool, including those in progress.
func (b *Balancer) Decide(now time.Time, fleet Fleet) []Move {
	b.trackHosts(now, fleet)
	if b.observedSince.IsZero() || now.Sub(b.observedSince) < b.settings.LongSmoothing {
		return nil
	}
	d := newDecision(b, now, fleet)
	for _, p := range d.poolsLackingHosts() {
		d.supplyPool(p)
	}
	d.refillSpares()
	return d.moves
}

// trackHosts records since when each host has been in its pool, and how many hosts each pool has from a spare pool. A host seen
// for the first time counts as new in its pool, because a new process does not know of earlier moves.
func (b *Balancer) trackHosts(now time.Time, fleet Fleet) {
	spare := make(map[jaybarrow.PoolID]bool)
	for _, p := range fleet.Pools {
		spare[p.ID] = p.Spare
	}
	seen := make(map[jaybarrow.HostID]membership, len(fleet.Hosts))
	for _, h := range fleet.Hosts {
		old, known := b.hosts[h.ID]
		if !known || old.pool != h.Pool {
			seen[h.ID] = membership{h.Pool, now}
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

// decision is the state of one call of Decide.
type decision struct {
	*Balancer
	now             time.Time
	pools           map[jaybarrow.PoolID]Pool
	byPool          map[jaybarrow.PoolID][]Host // in order of id
	capacity        map[jaybarrow.PoolID]float64
	moveOut, moveIn map[jaybarrow.PoolID]bool // pools with a move in progress
	moves           []Move
}

func newDecision(b *Balancer, now time.Time, fleet Fleet) *decision {
	d := &decision{
		Balancer: b, now: now, pools: make(map[jaybarrow.PoolID]Pool), byPool: make(map[jaybarrow.PoolID][]Host),
		capacity: make(map[jaybarrow.PoolID]float64), moveOut: make(map[jaybarrow.PoolID]bool), moveIn: make(map[jaybarrow.PoolID]bool),
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
		d.moveOut[m.From], d.moveIn[m.To] = true, true
	}
	return d
}

// poolsLackingHosts returns the pools with sustained lack of capacity, the most utilized first.
func (d *decision) poolsLackingHosts() []jaybarrow.PoolID {
	var lacking []jaybarrow.PoolID
	for id, p := range d.pools {
		l, ok := d.Balancer.pools[id]
		if !ok || p.Spare || d.moveIn[id] || d.moveOut[id] {
			continue
		}
		bound := d.settings.highUtilization()*d.capacity[id] + roundingTolerance
		if l.missed.mean > maxMissedPerSecond {
			bound = d.settings.highUtilizationOnMisses()*d.capacity[id] + roundingTolerance
		}
		if l.long.mean > bound && l.short.mean > bound {
			lacking = append(lacking, id)
		}
	}
	slices.SortFunc(lacking, func(a, b jaybarrow.PoolID) int {
		return cmp.Or(cmp.Compare(d.utilization(b), d.utilization(a)), cmp.Compare(a, b))
	})
	return lacking
}

// roundingTolerance keeps demand that other data centres reduce exactly to the bound from counting as above it.
const roundingTolerance = 1e-6

// utilization returns the sustained demand of a pool as a fraction of its capacity.
func (d *decision) utilization(id jaybarrow.PoolID) float64 {
	l, ok := d.Balancer.pools[id]
	if !ok {
		return 0
	}
	return l.long.mean / max(d.capacity[id], 1)
}

// maxMissedPerSecond is the rate of requests with missed deadlines above which highUtilizationOnMisses applies to a pool.
const maxMissedPerSecond = 0.01

// supplyPool moves a host to a pool that lacks one: from a spare pool if the spare slots left cover the bursts of the other pools,
// or else from the least utilized pool. What the bursts need stays spare even if the pool misses deadlines, because the pool can
// borrow it while the others do not.
func (d *decision) supplyPool(to jaybarrow.PoolID) {
	l := d.Balancer.pools[to]
	need := fmt.Sprintf("pool %s has a sustained need of %.0f of its %.0f slots", to, l.long.mean, d.capacity[to])
	for _, id := range d.sparePools() {
		h, ok := d.movableHost(id)
		if !ok {
			continue
		}
		needed := l.othersOverflow.mean + d.settings.spareDeviations()*l.othersOverflow.deviation()
		if rest := d.spareSlots() - float64(h.Slots); rest >= needed {
			d.planMove(h, to, fmt.Sprintf("%s; the %.0f remaining spare slots cover the bursts of the other pools, up to %.0f", need, rest, needed))
			return
		}
	}
	if h, ok := d.hostOfLeastUtilized(to); ok {
		d.planMove(h, to, fmt.Sprintf("%s; pool %s needs %.0f of %.0f", need, h.Pool, d.Balancer.pools[h.Pool].long.mean, d.capacity[h.Pool]))
	}
}

// refillSpares moves a host to each spare pool: when the spare slots do not cover the measured bursts, or from a pool that got it
// from a spare pool and no longer needs it.
func (d *decision) refillSpares() {
	needed := d.totalOverflow.mean + d.settings.spareDeviations()*d.totalOverflow.deviation()
	for _, to := range d.sparePools() {
		if d.moveIn[to] || d.moveOut[to] {
			continue
		}
		if have := d.spareSlots(); have < needed {
			if h, ok := d.hostOfLeastUtilized(to); ok {
				d.planMove(h, to, fmt.Sprintf("bursts borrow up to %.0f slots and %.0f are spare; %s", needed, have, d.describeNeed(h.Pool)))
				continue
			}
		}
		if h, ok := d.hostToReturn(to); ok {
			d.planMove(h, to, "the need has gone; "+d.describeNeed(h.Pool))
		}
	}
}

// describeNeed returns the pool's part of a reason.
func (d *decision) describeNeed(id jaybarrow.PoolID) string {
	return fmt.Sprintf("pool %s needs %.0f of its %.0f slots", id, d.Balancer.pools[id].long.mean, d.capacity[id])
}

// sparePools returns the spare pools in order of id.
func (d *decision) sparePools() []jaybarrow.PoolID {
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

// hostOfLeastUtilized returns a host of the least utilized pool that can give one.
func (d *decision) hostOfLeastUtilized(to jaybarrow.PoolID) (Host, bool) {
	return d.findDonor(to, func(jaybarrow.PoolID) bool { return true })
}

// hostToReturn returns a host of the least utilized pool that got hosts from a spare pool and can give one back.
func (d *decision) hostToReturn(to jaybarrow.PoolID) (Host, bool) {
	return d.findDonor(to, func(id jaybarrow.PoolID) bool { return d.Balancer.pools[id].gained > 0 })
}

// findDonor returns a host of the least utilized eligible pool that can give one.
func (d *decision) findDonor(to jaybarrow.PoolID, eligible func(jaybarrow.PoolID) bool) (best Host, found bool) {
	least := math.Inf(1)
	for _, id := range slices.Sorted(maps.Keys(d.pools)) {
		if _, ok := d.Balancer.pools[id]; !ok || id == to || d.pools[id].Spare || d.moveIn[id] || !eligible(id) {
			continue
		}
		if h, ok := d.movableHost(id); ok && d.canSpare(id, h) && d.utilization(id) < least {
			best, least, found = h, d.utilization(id), true
		}
	}
	return best, found
}

// canSpare reports whether the pool can do without the host: its sustained demand is within the low bound of what remains, and its
// recent demand within the high one.
func (d *decision) canSpare(id jaybarrow.PoolID, h Host) bool {
	l, rest := d.Balancer.pools[id], d.capacity[id]-float64(h.Slots)
	return l.long.mean <= d.settings.lowUtilization()*rest && l.short.mean <= d.settings.highUtilization()*rest
}

// movableHost returns a host that may leave the pool now. The availability budget must allow one more drain, no other host may be
// leaving, and the host must have stayed its minimum time. A pool that is not spare must keep more hosts than may be unavailable
// at once, and one in this data centre, which may be cut off from the others.
func (d *decision) movableHost(id jaybarrow.PoolID) (Host, bool) {
	p := d.pools[id]
	tooFewHosts := !p.Spare && (p.Hosts-1 <= p.MaxUnavailable || len(d.byPool[id]) <= 1)
	if tooFewHosts || d.moveOut[id] || p.Unavailable+1 > p.MaxUnavailable {
		return Host{}, false
	}
	for _, h := range d.byPool[id] {
		if h.Accepting && !h.RebootPending && d.now.Sub(d.hosts[h.ID].since) >= d.settings.minStay() {
			return h, true
		}
	}
	return Host{}, false
}

// planMove adds a move, which counts as begun for the rest of the decision.
func (d *decision) planMove(h Host, to jaybarrow.PoolID, reason string) {
	d.moves = append(d.moves, Move{Host: h.ID, From: h.Pool, To: to, Reason: reason})
	d.moveOut[h.Pool], d.moveIn[to] = true, true
	d.capacity[h.Pool] -= float64(h.Slots)
	p := d.pools[h.Pool]
	p.Unavailable++
	d.pools[h.Pool] = p
}
