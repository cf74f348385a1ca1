package permit

import (
	"slices"
	"strings"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

// TeamPermits is the state of one team's permits as this entry host knows it.
type TeamPermits struct {
	Team        jaybarrow.TeamID    `json:"team"`
	Revision    jaybarrow.Revision  `json:"revision"`
	Limit       jaybarrow.Slots     `json:"limit"`
	Granted     jaybarrow.Slots     `json:"granted"`     // to this process
	Usable      jaybarrow.Slots     `json:"usable"`      // part of the grant that tasks may use
	InUse       jaybarrow.Slots     `json:"inUse"`       // by this process
	UnmetDemand jaybarrow.Slots     `json:"wanted"`      // estimated demand beyond the grant
	Quarantined jaybarrow.Slots     `json:"quarantined"` // granted to an older incarnation of this entry host
	InForce     bool                `json:"inForce"`
	Pending     []jaybarrow.EntryID `json:"pending,omitempty"` // holders above their quota under a lowered limit
}

// Snapshot returns the state of all teams, in order of id.
func (k *Keeper) Snapshot() []TeamPermits {
	var all []TeamPermits
	k.holdings.Each(func(_ jaybarrow.TeamID, h *holding) {
		if s, ok := h.snapshot(); ok {
			all = append(all, s)
		}
	})
	slices.SortFunc(all, func(a, b TeamPermits) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return all
}

// snapshot returns the team's state; false when the team has no allotment.
func (h *holding) snapshot() (TeamPermits, bool) {
	h.Lock()
	defer h.Unlock()
	s := TeamPermits{
		Team: h.id, Revision: h.revision, Limit: h.record.Limit, Granted: h.granted(), Usable: h.usable(), InUse: h.used,
		Quarantined: h.quarantined(), InForce: allotment.InForce(h.record), Pending: allotment.HoldersAboveQuota(h.record),
	}
	if h.demand.unmet {
		s.UnmetDemand = max(0, h.demand.size(s.Granted, s.InUse)-(s.Granted-s.InUse))
	}
	return s, h.revision > 0 && !h.deleted
}
