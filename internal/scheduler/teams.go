package scheduler

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// teams counts the resources that each team uses in all pools; it implements workload.Teams.
type teams struct {
	used  *shard.Map[jaybarrow.TeamID, jaybarrow.Resources]
	limit func(jaybarrow.TeamID) (jaybarrow.Resources, bool) // false when the team has no limit
	share func(jaybarrow.TeamID) jaybarrow.Share
}

func newTeams(limit func(jaybarrow.TeamID) (jaybarrow.Resources, bool), share func(jaybarrow.TeamID) jaybarrow.Share) *teams {
	return &teams{used: shard.New[jaybarrow.TeamID, jaybarrow.Resources](), limit: limit, share: share}
}

// Share returns the team's relative part of a full pool.
func (t *teams) Share(team jaybarrow.TeamID) jaybarrow.Share { return t.share(team) }

// MayUse reports whether the team's limit allows the resources beside those that it uses. Work without a team has no limit.
func (t *teams) MayUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool {
	limit, limited := t.limit(team)
	used, _ := t.used.Get(team)
	return !limited || used.Plus(r).FitsLimit(limit)
}

// TryUse charges the resources to the team and reports true, or reports false when they would exceed the team's limit. Work without
// a team has no limit.
func (t *teams) TryUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool {
	limit, limited := t.limit(team)
	allowed := true
	t.used.Update(team, func(old jaybarrow.Resources, _ bool) (jaybarrow.Resources, bool) {
		next := old.Plus(r)
		allowed = !limited || next.FitsLimit(limit)
		if !allowed {
			next = old
		}
		return next, true
	})
	return allowed
}

// Use charges the resources to the team regardless of its limit.
func (t *teams) Use(team jaybarrow.TeamID, r jaybarrow.Resources) {
	t.used.Update(team, func(old jaybarrow.Resources, _ bool) (jaybarrow.Resources, bool) { return old.Plus(r), true })
}

// Release takes a charge back; a team that uses nothing is removed.
func (t *teams) Release(team jaybarrow.TeamID, r jaybarrow.Resources) {
	t.used.Update(team, func(old jaybarrow.Resources, _ bool) (jaybarrow.Resources, bool) {
		next := old.Minus(r)
		return next, next != jaybarrow.Resources{}
	})
}
