package fleet

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/limit"
)

// Usage provides the number of slots for which a team's permits are in use on this entry host.
type Usage interface {
	InUse(team jaybarrow.TeamID) jaybarrow.Slots
}

// Team is a team with its limit and the part of it that is in use.
type Team struct {
	jaybarrow.Team
	Revision jaybarrow.Revision `json:"revision"`
	Limit    limit.State        `json:"limit"`
	InUse    *jaybarrow.Slots   `json:"inUseHere,omitempty"` // slots in use on the entry host that answers; absent when not counted
}

// NewTeams returns the handlers of the queries for all teams and for one team; with a nil usage the results omit InUse.
func NewTeams(d *directory.Directory, usage Usage) (*ListHandler[jaybarrow.TeamID, jaybarrow.Team, Team], *GetHandler[jaybarrow.TeamID, jaybarrow.Team, Team]) {
	return newHandlers(d.Teams, "team", func(id jaybarrow.TeamID, v directory.Versioned[jaybarrow.Team]) Team {
		allotment := d.Allotments.Versioned(id)
		view := Team{Team: v.Value, Revision: v.Revision, Limit: limit.Of(allotment.Value, allotment.Revision)}
		if usage != nil {
			slots := usage.InUse(id)
			view.InUse = &slots
		}
		return view
	})
}

// Key is a key's hash with its team; the key itself is not stored.
type Key struct {
	jaybarrow.AccessKey
	Revision jaybarrow.Revision `json:"revision"`
}

// NewKeys returns the handlers of the queries for all keys and for one key.
func NewKeys(d *directory.Directory) (*ListHandler[jaybarrow.KeyHash, jaybarrow.AccessKey, Key], *GetHandler[jaybarrow.KeyHash, jaybarrow.AccessKey, Key]) {
	return newHandlers(d.AccessKeys, "key", func(_ jaybarrow.KeyHash, v directory.Versioned[jaybarrow.AccessKey]) Key {
		return Key{v.Value, v.Revision}
	})
}
