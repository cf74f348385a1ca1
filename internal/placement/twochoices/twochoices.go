package twochoices

import (
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Placement compares two random candidates; it is not safe for concurrent use.
type Placement struct {
	rand *rand.Rand
}

// New returns a Placement that draws random numbers from r.
func New(r *rand.Rand) *Placement { return &Placement{rand: r} }

// Choose returns the index of the better of two distinct random candidates.
func (p *Placement) Choose(candidates []jaybarrow.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	i := p.rand.IntN(len(candidates))
	j := p.rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if better(candidates[j], candidates[i]) {
		return j
	}
	return i
}

// better reports whether a is preferred to b. A host with more consecutive failures is never preferred: a host that fails quickly
// also frees its slots quickly, so that its load and latency are the lowest.
func better(a, b jaybarrow.Candidate) bool {
	if a.Failures != b.Failures {
		return a.Failures < b.Failures
	}
	return cost(a, b.Latency) < cost(b, a.Latency)
}

// cost returns the candidate's load after the start, multiplied by its latency if both candidates' latencies are known.
func cost(c jaybarrow.Candidate, otherLatency time.Duration) float64 {
	load := float64(c.Running+1) / float64(max(c.Running+int(c.Free.Slots), 1))
	if c.Latency <= 0 || otherLatency <= 0 {
		return load
	}
	return load * c.Latency.Seconds()
}
