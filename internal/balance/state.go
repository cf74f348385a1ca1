package balance

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Sample is a pool's load in the data centre at one moment.
type Sample struct {
	Pool       jaybarrow.PoolID
	Capacity   jaybarrow.Slots // of the own hosts that accept work or will again after a drain
	Running    jaybarrow.Slots // on own and borrowed hosts
	Waiting    jaybarrow.Slots
	RemoteFree jaybarrow.Slots // free in the pool's part of other data centres, which take what finds no room here
	Missed     int64           // requests refused or dropped for their deadlines since the last sample
}

// demand is the number of slots that the pool could use here. Of the waiting work no more counts than the pool runs at once,
// since a long queue of slow work needs no more slots than a short one as long as its targets are met. What exceeds the part
// high of the capacity does not count as far as other data centres can take it.
func (s Sample) demand(high float64) float64 {
	demand := float64(s.Running + min(s.Waiting, s.Capacity))
	over := max(demand-high*float64(s.Capacity), 0)
	return demand - min(over, float64(s.RemoteFree))
}

// Balancer keeps the smoothed loads of the pools of one data centre; its owner serializes all calls.
type Balancer struct {
	settings Settings
	begun    time.Time
	last     time.Time
	pools    map[jaybarrow.PoolID]*load
	total    average // demand above the own capacity, over all pools
	hosts    map[jaybarrow.HostID]stay
}

// load is the smoothed load of one pool in slots.
type load struct {
	short  average
	long   average
	missed average // requests a second
	others average // demand of the other pools above their own capacity
	gained int     // hosts that came from a spare pool and have not returned
}

// stay is a host's membership as it was seen.
type stay struct {
	pool  jaybarrow.PoolID
	since time.Time
}

// New returns a Balancer that has seen nothing; it decides nothing before it has observed for the long smoothing time.
func New(settings Settings) *Balancer {
	return &Balancer{settings: settings, pools: make(map[jaybarrow.PoolID]*load), hosts: make(map[jaybarrow.HostID]stay)}
}

// Observe takes one sample of each pool.
func (b *Balancer) Observe(now time.Time, samples []Sample) {
	if b.begun.IsZero() {
		b.begun, b.last = now, now
	}
	elapsed := now.Sub(b.last)
	b.last = now
	over := make(map[jaybarrow.PoolID]float64, len(samples))
	total := 0.0
	for _, s := range samples {
		over[s.Pool] = max(s.demand(b.settings.high())-float64(s.Capacity), 0)
		total += over[s.Pool]
	}
	b.total.add(total, elapsed, b.settings.LongSmoothing)
	for _, s := range samples {
		l := b.load(s.Pool)
		demand := s.demand(b.settings.high())
		l.short.add(demand, elapsed, b.settings.ShortSmoothing)
		l.long.add(demand, elapsed, b.settings.LongSmoothing)
		l.others.add(total-over[s.Pool], elapsed, b.settings.LongSmoothing)
		l.missed.add(float64(s.Missed)/max(elapsed.Seconds(), 1), elapsed, b.settings.LongSmoothing)
	}
	for id := range b.pools {
		if _, sampled := over[id]; !sampled {
			delete(b.pools, id)
		}
	}
}

func (b *Balancer) load(id jaybarrow.PoolID) *load {
	l, ok := b.pools[id]
	if !ok {
		l = &load{}
		b.pools[id] = l
	}
	return l
}

// average is an exponentially weighted mean with its variance. Until the smoothing time has passed once, all samples weigh
// alike, so that the first one does not count for too much.
type average struct {
	mean, variance float64
	weight         time.Duration // observed so far, up to the smoothing time
	known          bool
}

func (a *average) add(value float64, elapsed, smoothing time.Duration) {
	if !a.known {
		a.mean, a.known = value, true
		return
	}
	a.weight = min(a.weight+elapsed, smoothing)
	part := 1 - math.Exp(-elapsed.Seconds()/max(a.weight.Seconds(), 1e-9))
	off := value - a.mean
	a.mean += part * off
	a.variance = (1 - part) * (a.variance + part*off*off)
}

func (a *average) deviation() float64 { return math.Sqrt(a.variance) }
