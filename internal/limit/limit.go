package limit

import (
	"sort"

	"github.com/jaybarrow/jaybarrow"
)

// Holder is an entry host that holds permits.
type Holder struct {
	Entry jaybarrow.EntryID `json:"entry"`
	Slots jaybarrow.Slots   `json:"slots"`
}

// State is the state of a team's limit as shown to operators.
type State struct {
	Limit    jaybarrow.Slots    `json:"limit"`
	Revision jaybarrow.Revision `json:"revision"` // of the allotment; a change of the limit is checked against it
	Granted  jaybarrow.Slots    `json:"granted"`  // sum over the entry hosts
	InForce  bool               `json:"inForce"`
	Pending  []Holder           `json:"pending"` // entry hosts that hold more than an even share while the limit is not in force
}

// Of returns the state of the limit from the allotment at the given revision.
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
	evenShare := a.Limit / jaybarrow.Slots(len(holders))
	for _, h := range holders {
		if h.Slots > evenShare {
			s.Pending = append(s.Pending, h)
		}
	}
	return s
}
