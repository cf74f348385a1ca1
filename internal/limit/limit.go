package limit

import (
	"sort"

	"github.com/jaybarrow/jaybarrow"
)

// Holder is an entry host with the permits that it holds.
type Holder struct {
	Entry jaybarrow.EntryID `json:"entry"`
	Slots jaybarrow.Slots   `json:"slots"`
}

// State is what an operator sees of a team's limit.
type State struct {
	Limit    jaybarrow.Slots    `json:"limit"`
	Revision jaybarrow.Revision `json:"revision"` // of the allotment; a change of the limit is made from it
	Granted  jaybarrow.Slots    `json:"granted"`  // sum over the entry hosts
	InForce  bool               `json:"inForce"`
	Pending  []Holder           `json:"pending"` // entry hosts that must return permits before the limit is in force
}

// Of returns the state of the allotment at the revision.
func Of(a jaybarrow.Allotment, revision jaybarrow.Revision) State {
	s := State{Limit: a.Limit, Revision: revision, Pending: []Holder{}}
	holders := []Holder{}
	for entry, grant := range a.Grants {
		s.Granted += grant.Slots
		if grant.Slots > 0 {
			holders = append(holders, Holder{entry, grant.Slots})
		}
	}
	s.InForce = s.Granted <= a.Limit
	if s.InForce {
		return s
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].Entry < holders[j].Entry })
	portion := a.Limit / jaybarrow.Slots(len(holders))
	for _, h := range holders {
		if h.Slots > portion {
			s.Pending = append(s.Pending, h)
		}
	}
	return s
}
