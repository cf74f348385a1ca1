package leastloaded

import "github.com/jaybarrow/jaybarrow"

// Placement chooses the candidate with the most free slots.
type Placement struct{}

// New returns a Placement.
func New() Placement { return Placement{} }

// Choose returns the index of the first candidate with the most free slots.
func (Placement) Choose(candidates []jaybarrow.Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.Free.Slots > candidates[best].Free.Slots {
			best = i
		}
	}
	return best
}
