package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// orderLinkShare is the share of the link that orders to workers may use; reports, the store and the list of hosts use the rest.
	orderLinkShare = 0.5
	// orderBurst is how long orders may use the whole link share at once after a pause.
	orderBurst = 100 * time.Millisecond
	// minOrderBurst lets the largest order pass on the slowest link.
	minOrderBurst Bytes = 8 << 10
	// orderOverhead is added to the variable part of an order: its fixed fields, headers, answer and acknowledgements.
	orderOverhead Bytes = 600
	// judgeInterval is the time over which answers are counted before the rate changes.
	judgeInterval = 250 * time.Millisecond
	// minJudged is the least number of orders in that time from which their answers say something about this host.
	minJudged = 10
	// timeoutsAllowed is the fraction of orders without an answer in time above which this host sends too much. A rack or a data centre
	// that is gone leaves fewer, since its workers get no more orders after a missed report.
	timeoutsAllowed = 0.3
	// timeoutsTolerated is the fraction up to which the rate rises again: some worker is always slow.
	timeoutsTolerated = 0.1
	// slowdown multiplies the rate when too many answers are late, and speedup when none is. Late answers mean queues, which a steady rate
	// does not shorten.
	slowdown, speedup = 0.6, 1.15
	// minFactor is the smallest part of the full rate.
	minFactor = 1.0 / 32
	// unknownLinkRate is the full rate in bytes a second where the link is unknown: about 10,000 orders a second.
	unknownLinkRate = 20e6
)

// Orders decides how many orders to workers a leader sends. It is safe for concurrent use.
//
// Load pattern: a turn of several times the mean demand, or workers that all come back at once. Orders beyond what the link carries
// within their time limit are lost, are cleared up by stops, and are sent again, so that less work is done the more there is. Orders
// that would queue wait here instead, in the order of their jobs.
type Orders struct {
	fullRate float64 // bytes a second

	lock           sync.Mutex
	factor         float64 // of fullRate
	tokens         float64 // bytes that may be sent now
	refilledAt     time.Time
	judgedAt       time.Time
	answered, late int     // since judgedAt
	mean           float64 // bytes of an order
}

// NewOrders returns Orders for a leader on the host.
func NewOrders(h Host, now time.Time) *Orders {
	o := &Orders{fullRate: h.linkRate(orderLinkShare), factor: 1, refilledAt: now, judgedAt: now, mean: float64(2 * orderOverhead)}
	if o.fullRate == 0 {
		o.fullRate = unknownLinkRate
	}
	o.tokens = o.burst()
	return o
}

// burst returns the most bytes that may be sent at once.
func (o *Orders) burst() float64 {
	return max(float64(minOrderBurst), o.factor*o.fullRate*orderBurst.Seconds())
}

// refill adds the bytes that may be sent since the last call. The lock is held.
func (o *Orders) refill(now time.Time) {
	if elapsed := now.Sub(o.refilledAt); elapsed > 0 {
		o.tokens = min(o.burst(), o.tokens+elapsed.Seconds()*o.factor*o.fullRate)
		o.refilledAt = now
	}
}

// meanWeight is the weight of a new order in the mean of their sizes.
const meanWeight = 0.05

// TryTake reports whether an order with a variable part of the size may be sent now, and counts it as sent if so.
func (o *Orders) TryTake(size Bytes, now time.Time) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.refill(now)
	if o.tokens <= 0 {
		return false
	}
	cost := float64(size + orderOverhead)
	o.tokens -= cost
	o.mean += meanWeight * (cost - o.mean)
	return true
}

// Room returns how many orders of the usual size can be sent within the next burst. Tasks beyond it stay in their queue, where more urgent
// ones can still come before them.
func (o *Orders) Room(now time.Time) int {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.refill(now)
	return max(1, int(math.Ceil((max(0, o.tokens)+o.factor*o.fullRate*orderBurst.Seconds())/o.mean)))
}

// PerSecond returns how many orders of the usual size are sent in a second.
func (o *Orders) PerSecond() float64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.factor * o.fullRate / o.mean
}

// Note counts whether an order or a report was answered within its time limit. It reports whether the rate has changed because of it.
func (o *Orders) Note(answered bool, now time.Time) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	if answered {
		o.answered++
	} else {
		o.late++
	}
	if now.Sub(o.judgedAt) < judgeInterval {
		return false
	}
	before := o.factor
	if all := o.answered + o.late; all >= minJudged {
		switch {
		case float64(o.late) > timeoutsAllowed*float64(all):
			o.factor = max(minFactor, slowdown*o.factor)
		case float64(o.late) <= timeoutsTolerated*float64(all):
			o.factor = min(1, speedup*o.factor)
		}
	}
	o.answered, o.late, o.judgedAt = 0, 0, now
	return o.factor != before
}

// RatePercent returns the part of the full rate at which orders are sent, from 0 to 100.
func (o *Orders) RatePercent() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	return int(100 * o.factor)
}
