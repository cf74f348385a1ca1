package budget

import (
	"sync"
	"time"
)

const (
	// ThroughputInterval is the time between two samples of a Throughput.
	ThroughputInterval = 100 * time.Millisecond
	// throughputSamples is how many samples an estimate covers: as long as the processor takes to work off what one burst has left.
	throughputSamples = 10
	// lateTimer is the delay from which a timer shows that the processor had other work for all the time.
	lateTimer = 25 * time.Millisecond
	// minThroughputOrders is the least number of orders in an estimate: of fewer the processor was kept by something else, such as a takeover.
	minThroughputOrders = 50
)

// Throughput estimates how many orders a second the processor of a leader's host carries. It is safe for concurrent use.
//
// Load pattern: a turn in which more is to be started than the processor of the leader can send. The link has room and workers have too, so
// that neither shows how long a new job would wait for its starts.
type Throughput struct {
	lock    sync.Mutex
	samples [throughputSamples]throughputSample // a ring
	next    int
}

type throughputSample struct {
	late   bool
	orders int64
	took   time.Duration
}

// Sample adds a sample: by how much the timer was late that should have ended it, the orders that were sent in it, and how long it took.
func (p *Throughput) Sample(late time.Duration, orders int64, took time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.samples[p.next] = throughputSample{late: late >= lateTimer, orders: orders, took: took}
	p.next = (p.next + 1) % throughputSamples
}

// PerSecond returns how many orders the processor carries in a second; 0 while it has room for more, or the number is not known.
func (p *Throughput) PerSecond() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	late, orders, took := 0, int64(0), time.Duration(0)
	for _, s := range p.samples {
		if s.late {
			late++
		}
		orders += s.orders
		took += s.took
	}
	if late <= throughputSamples/2 || orders < minThroughputOrders {
		return 0
	}
	return float64(orders) / took.Seconds()
}
