package advice

import (
	"cmp"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Flow is the steps of one queue that share the adviser's time with those of others.
type Flow struct {
	Pool  jaybarrow.PoolID
	Queue jaybarrow.QueueID
	// Late means that the jobs can no longer meet their target.
	Late bool
	// Waits means that the steps cannot start at once when they are allowed: they wait for room.
	Waits bool
}

// Offer is the first step of a flow that the adviser may be asked about.
type Offer struct {
	Flow     Flow
	Step     jaybarrow.StepRef
	Rank     int // of its job; lower ones come first
	Priority int // of its queue; 0 is the most urgent
	Target   time.Time
}

// maxPassedOver is how much of the adviser's time others may get while a flow waits.
const maxPassedOver = 2 * time.Second

// Turns decides which flow's step the adviser is asked about next: one that can start at once before one that waits, then by rank and urgency.
// Flows that are equal in these share the adviser's time evenly, and none is passed over for more than maxPassedOver of it. It is not safe for
// concurrent use.
type Turns struct {
	flows map[Flow]*share
}

// share is what a flow has got of the adviser's time.
type share struct {
	used       time.Duration // comparable between flows that wait at the same time
	passedOver time.Duration // what others got since the flow's last turn, while it waited
}

// NewTurns returns a Turns without flows.
func NewTurns() *Turns { return &Turns{flows: make(map[Flow]*share)} }

// Choose returns the index of the offer whose step comes next; false when none should come now. Unless the adviser is idle, no step that cannot
// start at once comes before its flow is passed over for too long: one that can start may turn up while the calls under way are served.
func (t *Turns) Choose(offers []Offer, idle bool) (int, bool) {
	if len(offers) == 0 {
		return 0, false
	}
	t.enter(offers)
	best := 0
	for n := range offers {
		if t.compare(offers[n], offers[best]) < 0 {
			best = n
		}
	}
	first := offers[best].Flow
	return best, idle || !first.Waits || t.flows[first].passedOver >= maxPassedOver
}

// enter starts to account for the flows that wait now. A flow that did not wait gets no more time for it later.
func (t *Turns) enter(offers []Offer) {
	waiting := make(map[Flow]bool, len(offers))
	least, known := time.Duration(0), false
	for _, o := range offers {
		waiting[o.Flow] = true
		if s := t.flows[o.Flow]; s != nil && (!known || s.used < least) {
			least, known = s.used, true
		}
	}
	for f, s := range t.flows {
		if !waiting[f] {
			s.passedOver = 0
			if s.used <= least {
				delete(t.flows, f)
			}
		}
	}
	for f := range waiting {
		if s := t.flows[f]; s == nil {
			t.flows[f] = &share{used: least}
		}
	}
}

func (t *Turns) compare(a, b Offer) int {
	one, other := t.flows[a.Flow], t.flows[b.Flow]
	if one.passedOver >= maxPassedOver || other.passedOver >= maxPassedOver {
		if c := cmp.Compare(other.passedOver, one.passedOver); c != 0 {
			return c
		}
	}
	return cmp.Or(
		compareBool(a.Flow.Waits, b.Flow.Waits), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(one.used, other.used), a.Target.Compare(b.Target), cmp.Compare(a.Step.Job, b.Step.Job),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Take records that the chosen offer gets so much of the adviser's time, while the others wait.
func (t *Turns) Take(offers []Offer, chosen int, cost time.Duration) {
	taken := offers[chosen].Flow
	for n := range offers {
		if s := t.flows[offers[n].Flow]; s != nil && offers[n].Flow != taken {
			s.passedOver += cost
		}
	}
	if s := t.flows[taken]; s != nil {
		s.used += cost
		s.passedOver = 0
	}
}
