package advice

import (
	"slices"
	"time"
)

// CallNumber numbers the calls of one host to its adviser in the order in which they are sent.
type CallNumber int64

const (
	// minUnderWay keeps the adviser busy: while one call is served, the next one is already there.
	minUnderWay = 2
	// MaxUnderWay bounds the calls under way, also those that may be lost.
	MaxUnderWay = 8
	// roundTrip covers the way of an answer and of the next call. Where decisions take less, more than minUnderWay calls are needed.
	roundTrip = 20 * time.Millisecond
)

const (
	// minSilence is the least time without an expected answer after which the adviser counts as silent.
	minSilence = time.Second
	// trialInterval is the least time between two trial calls to a silent adviser; longSilence is the part of the silence that they are apart at
	// least, since each adds to the work of an adviser that is only slow.
	trialInterval = 2 * time.Second
	longSilence   = 0.25
	// maxLearnedService bounds what a slow answer adds to the time after which the adviser counts as silent.
	maxLearnedService = 10 * time.Second
	// sendOrder is how much later a call must have been sent to be certain to have arrived later; it covers the setup of a connection.
	sendOrder = 300 * time.Millisecond
	// overtakenGrace is how long the answer to an overtaken call may still be on its way.
	overtakenGrace = 500 * time.Millisecond
)

const (
	// retryDelay is the delay after a failed call; it doubles with each further failure up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Calls tracks the calls to an adviser that serves the calls of one host one at a time and in their order. No call has a time limit, since
// one that is given up may still be served. A call is lost when its connection fails or when a call sent later is answered first. While the
// adviser is silent, further calls are sent now and then to find out; once MaxUnderWay are under way, the last one is given up for the next. It
// is not safe for concurrent use.
type Calls struct {
	open       []call // in the order of their numbers
	lastNumber CallNumber
	answered   CallNumber    // the highest number of an answered call
	issued     time.Time     // the earliest time at which its answer can have been given
	progressAt time.Time     // when the last answer arrived
	service    time.Duration // the largest time that a recent decision took
	trials     int           // trial calls since the last answer
	trialAt    time.Time     // when the next one may be sent
	failures   int           // failed calls since the last answer
	retryAt    time.Time     // no call is sent earlier
	tickAt     time.Time     // the last Tick
	steadyFrom time.Time     // the first Tick since which none was late
}

// TickInterval is the interval at which Tick is to be called while calls are under way; from maxTickGap on, the process has been paused.
const (
	TickInterval = 100 * time.Millisecond
	maxTickGap   = 3 * TickInterval
)

// call is a call that is under way.
type call struct {
	number      CallNumber
	sent        time.Time
	cost        time.Duration
	due         time.Time // when its answer is expected
	overtakenAt time.Time // when a later call was answered; zero until then
}

// Turn says whether a call may be sent.
type Turn struct {
	Open  bool
	Trial bool          // the adviser is silent, and the answer will show whether the calls under way are lost
	Wait  time.Duration // until this changes, unless a call under way ends earlier; 0 when it does not
}

// Turn returns whether a call may be sent now.
func (c *Calls) Turn(now time.Time) Turn {
	if wait := c.retryAt.Sub(now); wait > 0 {
		return Turn{Wait: wait}
	}
	if len(c.open) == 0 {
		return Turn{Open: true}
	}
	if wait := c.trialDue().Sub(now); wait > 0 {
		return Turn{Open: c.mayFollow(now), Wait: wait}
	}
	return Turn{Open: len(c.open) < MaxUnderWay, Trial: true}
}

// mayFollow reports whether the calls under way leave the adviser without work when they are answered.
func (c *Calls) mayFollow(now time.Time) bool {
	expected := 0
	var work time.Duration
	for _, o := range c.open {
		if o.overtakenAt.IsZero() {
			expected++
			work += o.cost
		}
	}
	switch {
	case len(c.open) >= MaxUnderWay:
		return false
	case c.failures > 0:
		return expected == 0
	case expected < minUnderWay:
		return true
	}
	return work < roundTrip && now.Before(c.open[0].due.Add(roundTrip))
}

// trialDue returns when a silent adviser gets a further call.
func (c *Calls) trialDue() time.Time {
	if c.trials > 0 {
		return c.trialAt
	}
	return c.silentSince().Add(c.silence())
}

// silentSince returns since when the adviser owes an answer.
func (c *Calls) silentSince() time.Time {
	since := c.progressAt
	for _, o := range c.open {
		if o.overtakenAt.IsZero() {
			if o.due.After(since) {
				since = o.due
			}
			break
		}
	}
	return since
}

// silence returns how long after an answer was expected the adviser counts as silent.
func (c *Calls) silence() time.Duration {
	longest := min(c.service, maxLearnedService)
	for _, o := range c.open {
		longest = max(longest, o.cost)
	}
	return max(minSilence, 2*longest)
}

// Send records a call that should take the adviser the time.
func (c *Calls) Send(cost time.Duration, trial bool, now time.Time) CallNumber {
	if trial {
		c.trials++
		c.trialAt = now.Add(max(trialInterval, c.silence(), time.Duration(longSilence*float64(now.Sub(c.silentSince())))))
	}
	c.lastNumber++
	due := now
	if n := len(c.open); n > 0 && c.open[n-1].due.After(due) {
		due = c.open[n-1].due
	}
	c.open = append(c.open, call{number: c.lastNumber, sent: now, cost: cost, due: due.Add(cost)})
	return c.lastNumber
}

// Tick records that the process runs.
func (c *Calls) Tick(now time.Time) {
	if now.Sub(c.tickAt) > maxTickGap {
		c.steadyFrom = now
	}
	c.tickAt = now
}

// Answer records the answer to a call and returns the earliest time at which it can have been given; the zero time for a call that is not under
// way. A process that was paused reads an answer later than it arrived: then only the order of the calls and the time that they take count.
func (c *Calls) Answer(n CallNumber, now time.Time) time.Time {
	position := c.find(n)
	if position < 0 {
		return time.Time{}
	}
	o := c.open[position]
	c.open = slices.Delete(c.open, position, position+1)
	began := o.sent
	if c.progressAt.After(began) {
		began = c.progressAt
	}
	took := now.Sub(began)
	c.service = max(took, (7*c.service+took)/8)
	c.progressAt, c.trials, c.failures, c.retryAt = now, 0, 0, time.Time{}
	for i := range c.open {
		if earlier := &c.open[i]; earlier.number < n && earlier.overtakenAt.IsZero() && o.sent.Sub(earlier.sent) >= sendOrder {
			earlier.overtakenAt = now
		}
	}
	issued := o.sent
	if c.answered < n && c.issued.After(issued) {
		issued = c.issued // the adviser took this call up after the one before
	}
	issued = issued.Add(o.cost)
	if arrived := now.Add(-maxTickGap); arrived.After(issued) && now.Sub(c.tickAt) <= maxTickGap && c.tickAt.Sub(c.steadyFrom) >= maxTickGap {
		issued = arrived
	}
	if issued.After(now) {
		issued = now
	}
	if c.answered < n {
		c.answered, c.issued = n, issued
	}
	return issued
}

// Fail records that a call has ended without an answer and delays the next one. A call that was lost before counts no more.
func (c *Calls) Fail(n CallNumber, now time.Time) {
	position := c.find(n)
	if position < 0 {
		return
	}
	c.open = slices.Delete(c.open, position, position+1)
	c.retryAt = now.Add(min(maxRetryDelay, retryDelay<<min(c.failures, 10)))
	c.failures++
}

// TakeLost removes and returns the calls that are lost or given up for a trial; their connections are to be closed.
func (c *Calls) TakeLost(now time.Time) []CallNumber {
	var out []CallNumber
	full := len(c.open) >= MaxUnderWay && !now.Before(c.trialDue())
	c.open = slices.DeleteFunc(c.open, func(o call) bool {
		lost := full && o.number == c.lastNumber || !o.overtakenAt.IsZero() && now.Sub(o.overtakenAt) > overtakenGrace+o.cost
		if lost {
			out = append(out, o.number)
		}
		return lost
	})
	return out
}

// NextLoss returns how long until an overtaken call is lost; false when there is none.
func (c *Calls) NextLoss(now time.Time) (time.Duration, bool) {
	var wait time.Duration
	found := false
	for _, o := range c.open {
		if o.overtakenAt.IsZero() {
			continue
		}
		if left := o.overtakenAt.Add(overtakenGrace + o.cost).Sub(now); !found || left < wait {
			wait, found = left, true
		}
	}
	return max(time.Millisecond, wait), found
}

// UnderWay returns how many calls are under way.
func (c *Calls) UnderWay() int { return len(c.open) }

// Knows reports whether the call is under way.
func (c *Calls) Knows(n CallNumber) bool { return c.find(n) >= 0 }

func (c *Calls) find(n CallNumber) int {
	return slices.IndexFunc(c.open, func(o call) bool { return o.number == n })
}
