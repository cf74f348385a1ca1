package fleet

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/limit"
)

// Usage counts the permits in use on this entry host.
type Usage interface {
	InUse(team jaybarrow.TeamID) jaybarrow.Slots
}

// Team is a team with its limit and the use of it.
type Team struct {
	jaybarrow.Team
	Revision jaybarrow.Revision `json:"revision"`
	Limit    limit.State        `json:"limit"`
	InUse    *jaybarrow.Slots   `json:"inUseHere,omitempty"` // on the entry host that answers; absent when not counted
}

// NewTeams returns the queries for all teams and for one team; a nil usage leaves the use of limits out.
func NewTeams(d *directory.Directory, usage Usage) (*All[jaybarrow.TeamID, jaybarrow.Team, Team], *One[jaybarrow.TeamID, jaybarrow.Team, Team]) {
	return pair(d.Teams, "team", func(id jaybarrow.TeamID, v directory.Versioned[jaybarrow.Team]) Team {
		allotment := d.Allotments.Versioned(id)
		view := Team{Team: v.Value, Revision: v.Revision, Limit: limit.Of(allotment.Value, allotment.Revision)}
		if usage != nil {
			slots := usage.InUse(id)
			view.InUse = &slots
		}
		return view
	})
}

// Key is a key's hash with its team; the key itself is not known to the system.
type Key struct {
	jaybarrow.AccessKey
	Revision jaybarrow.Revision `json:"revision"`
}

// NewKeys returns the queries for all keys and for one key.
func NewKeys(d *directory.Directory) (*All[jaybarrow.KeyHash, jaybarrow.AccessKey, Key], *One[jaybarrow.KeyHash, jaybarrow.AccessKey, Key]) {
	return pair(d.AccessKeys, "key", func(_ jaybarrow.KeyHash, v directory.Versioned[jaybarrow.AccessKey]) Key {
		return Key{v.Value, v.Revision}
	})
}
