package status

import (
	"context"
	"sort"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/limit"
)

// Member is the last known state of an entry host.
type Member struct {
	ID              jaybarrow.EntryID
	DataCentre      jaybarrow.DataCentreID
	AppliedRevision jaybarrow.Revision
	LastHeard       time.Time // local time at which its state was received
	Ready           bool
}

// Members provides the entry hosts that must have applied a change before it is in force, including this one.
type Members interface {
	Members() []Member
}

// Configuration asks on which entry hosts a revision is in force; 0 means the newest revision that this entry host has applied.
type Configuration struct {
	Revision jaybarrow.Revision
}

// MemberStatus is the status of one entry host in a ConfigurationStatus.
type MemberStatus struct {
	ID              jaybarrow.EntryID      `json:"id"`
	DataCentre      jaybarrow.DataCentreID `json:"dataCentre"`
	AppliedRevision jaybarrow.Revision     `json:"appliedRevision"`
	HeardMsAgo      int64                  `json:"heardMsAgo"`
	Ready           bool                   `json:"ready"`
}

// PendingLimit is the limit of a team that is not in force yet.
type PendingLimit struct {
	Team jaybarrow.TeamID `json:"team"`
	limit.State
}

// ConfigurationStatus lists the entry hosts on which a revision is in force or pending, and the limits that are not in force yet.
type ConfigurationStatus struct {
	Revision      jaybarrow.Revision `json:"revision"`
	InForce       bool               `json:"inForce"` // on every entry host
	InForceOn     []MemberStatus     `json:"inForceOn"`
	PendingOn     []MemberStatus     `json:"pendingOn"`
	PendingLimits []PendingLimit     `json:"pendingLimits"`
}

// ConfigurationHandler answers Configuration queries.
type ConfigurationHandler struct {
	clock     jaybarrow.Clock
	directory *directory.Directory
	members   Members
}

// NewConfiguration returns a ConfigurationHandler.
func NewConfiguration(clock jaybarrow.Clock, d *directory.Directory, members Members) *ConfigurationHandler {
	return &ConfigurationHandler{clock: clock, directory: d, members: members}
}

// Answer returns the status of the revision.
func (h *ConfigurationHandler) Answer(_ context.Context, in Configuration) (ConfigurationStatus, error) {
	out := ConfigurationStatus{Revision: in.Revision, InForceOn: []MemberStatus{}, PendingOn: []MemberStatus{}, PendingLimits: h.pendingLimits()}
	if in.Revision == 0 {
		out.Revision = h.directory.Applied()
	}
	now := h.clock.Now()
	members := h.members.Members()
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	for _, m := range members {
		s := MemberStatus{m.ID, m.DataCentre, m.AppliedRevision, now.Sub(m.LastHeard).Milliseconds(), m.Ready}
		if m.AppliedRevision >= out.Revision {
			out.InForceOn = append(out.InForceOn, s)
		} else {
			out.PendingOn = append(out.PendingOn, s)
		}
	}
	out.InForce = len(out.PendingOn) == 0 && len(out.InForceOn) > 0
	return out, nil
}

// pendingLimits returns the limits that are not in force yet, in order of team.
func (h *ConfigurationHandler) pendingLimits() []PendingLimit {
	pending := []PendingLimit{}
	h.directory.Allotments.Each(func(id jaybarrow.TeamID, _ jaybarrow.Allotment) {
		v := h.directory.Allotments.Versioned(id)
		if s := limit.Of(v.Value, v.Revision); !s.InForce {
			pending = append(pending, PendingLimit{id, s})
		}
	})
	sort.Slice(pending, func(i, j int) bool { return pending[i].Team < pending[j].Team })
	return pending
}
