package random

import (
	"math/rand/v2"

	"github.com/jaybarrow/jaybarrow"
)

// Placement chooses a candidate at random; it is not safe for concurrent use.
type Placement struct {
	rand *rand.Rand
}

// New returns a Placement that draws random numbers from r.
func New(r *rand.Rand) *Placement { return &Placement{rand: r} }

// Choose returns the index of a random candidate.
func (p *Placement) Choose(candidates []jaybarrow.Candidate) int { return p.rand.IntN(len(candidates)) }
