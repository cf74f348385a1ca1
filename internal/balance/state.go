package balance

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Sample is the load of a pool in the data centre at one time.
type Sample struct {
	Pool       jaybarrow.PoolID
	Capacity   jaybarrow.Slots // of the pool's hosts that accept work or will again after a reboot
	Running    jaybarrow.Slots // on the pool's own and on borrowed hosts
	Waiting    jaybarrow.Slots
	RemoteFree jaybarrow.Slots // free in the pool in other data centres, which take overflow from here
	Missed     int64           // requests refused or dropped for their deadlines since the last sample
}

// demand returns the number of slots that the pool could use here. Waiting work counts only up to the pool's capacity, because a
// long queue of slow work needs no more slots than a short one as long as its targets are met. Demand above highUtilization of
// the capacity does not count as far as other data centres can take it.
func (s Sample) demand(highUtilization float64) float64 {
	demand := float64(s.Running + min(s.Waiting, s.Capacity))
	excess := max(demand-highUtilization*float64(s.Capacity), 0)
	return demand - min(excess, float64(s.RemoteFree))
}

// Balancer holds the smoothed loads of the pools of one data centre. It is not safe for concurrent use.
type Balancer struct {
	settings      Settings
	observedSince time.Time
	lastSampleAt  time.Time
	pools         map[jaybarrow.PoolID]*load
	totalOverflow average // demand above the pools' own capacity, over all pools
	hosts         map[jaybarrow.HostID]membership
}

// load is the smoothed load of one pool, in slots where not stated otherwise.
type load struct {
	short          average
	long           average
	missed         average // missed deadlines, in requests a second
	othersOverflow average // demand of the other pools above their own capacity
	gained         int     // hosts that came from a spare pool and have not returned
}

// membership is the pool of a host and since when the host was seen there.
type membership struct {
	pool  jaybarrow.PoolID
	since time.Time
}

// New returns a Balancer without samples. It decides nothing until it has observed for the long smoothing time.
func New(settings Settings) *Balancer {
	return &Balancer{settings: settings, pools: make(map[jaybarrow.PoolID]*load), hosts: make(map[jaybarrow.HostID]membership)}
}

// Observe takes one sample of each pool.
func (b *Balancer) Observe(now time.Time, samples []Sample) {
	if b.observedSince.IsZero() {
		b.observedSince, b.lastSampleAt = now, now
	}
	elapsed := now.Sub(b.lastSampleAt)
	b.lastSampleAt = now
	overflow := make(map[jaybarrow.PoolID]float64, len(samples))
	totalOverflow := 0.0
	for _, s := range samples {
		overflow[s.Pool] = max(s.demand(b.settings.highUtilization())-float64(s.Capacity), 0)
		totalOverflow += overflow[s.Pool]
	}
	b.totalOverflow.add(totalOverflow, elapsed, b.settings.LongSmoothing)
	for _, s := range samples {
		l := b.load(s.Pool)
		demand := s.demand(b.settings.highUtilization())
		l.short.add(demand, elapsed, b.settings.ShortSmoothing)
		l.long.add(demand, elapsed, b.settings.LongSmoothing)
		l.othersOverflow.add(totalOverflow-overflow[s.Pool], elapsed, b.settings.LongSmoothing)
		l.missed.add(float64(s.Missed)/max(elapsed.Seconds(), 1), elapsed, b.settings.LongSmoothing)
	}
	for id := range b.pools {
		if _, sampled := overflow[id]; !sampled {
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

// average is an exponentially weighted mean with its variance. Until the smoothing time has passed once, all samples have equal
// weight, so that the first one does not count for too much.
type average struct {
	mean, variance float64
	weight         time.Duration // observed so far, up to the smoothing time
	initialized    bool
}

func (a *average) add(value float64, elapsed, smoothing time.Duration) {
	if !a.initialized {
		a.mean, a.initialized = value, true
		return
	}
	a.weight = min(a.weight+elapsed, smoothing)
	alpha := 1 - math.Exp(-elapsed.Seconds()/max(a.weight.Seconds(), 1e-9))
	delta := value - a.mean
	a.mean += alpha * delta
	a.variance = (1 - alpha) * (a.variance + alpha*delta*delta)
}

func (a *average) deviation() float64 { return math.Sqrt(a.variance) }
