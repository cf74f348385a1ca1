package latency

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is how many answers are kept. A busy client replaces them within a fraction of a second, so that the estimate follows a change of the
	// dependency within a few calls.
	window = 16
	// maxAge is the age above which an answer says nothing about the present any more.
	maxAge = 5 * time.Second
	// usualRank is the position of the usual time among the sorted answers, in parts of all: high enough to cover ordinary variation, and
	// unmoved by the one or two slowest of a window.
	usualRank = 0.8
)

// Estimator estimates how long a dependency takes to answer. It is safe for concurrent use.
//
// Load pattern: a dependency that becomes slow for all of its callers. Time limits that are fixed at its usual speed then treat each call as lost
// and repeat it, which makes the dependency slower still.
type Estimator struct {
	lock    sync.Mutex
	answers [window]answer
	next    int
}

type answer struct {
	at   time.Time
	took time.Duration
}

// New returns an Estimator that knows no answers.
func New() *Estimator { return new(Estimator) }

// Observe records that an answer arrived at now and took so long. Calls without an answer are not recorded: they may be lost, and a lost call
// says nothing about the speed of the others.
func (e *Estimator) Observe(now time.Time, took time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.answers[e.next%window] = answer{at: now, took: took}
	e.next++
}

// Usual returns the time within which most recent answers arrived; 0 while there are none. A nil Estimator knows no answers.
func (e *Estimator) Usual(now time.Time) time.Duration {
	if e == nil {
		return 0
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	var times [window]time.Duration
	n := 0
	for _, a := range e.answers {
		if !a.at.IsZero() && now.Sub(a.at) <= maxAge {
			times[n] = a.took
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(times[:n])
	return times[int(usualRank*float64(n-1))]
}
