package allotment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

// claimant is an entry host in a division of permits.
type claimant struct {
	id   jaybarrow.EntryID
	have jaybarrow.Slots
	need jaybarrow.Slots
	unit jaybarrow.Slots // size of a waiting task; 0 when the host wants nothing
}

// starved reports whether the host wants permits and could not start a task even with all of its permits idle.
func (c claimant) starved() bool { return c.unit > 0 && c.have < c.unit }

// bound drops a unit that the reachable permits cannot cover, so that no permits wait for it.
func (c *claimant) bound(total jaybarrow.Slots) {
	if c.unit > total {
		c.unit = 0
	}
}

// divide returns the max-min fair division of total: nobody gets more than it needs, and those that need more than the
// level get the level. What does not divide evenly goes to the first in the order of prefer.
func divide(total jaybarrow.Slots, claimants []claimant, prefer func(a, b claimant) int) map[jaybarrow.EntryID]jaybarrow.Slots {
	parts := make(map[jaybarrow.EntryID]jaybarrow.Slots, len(claimants))
	sorted := slices.SortedFunc(slices.Values(claimants), func(a, b claimant) int { return cmp.Compare(a.need, b.need) })
	left := max(total, 0)
	for i, c := range sorted {
		open := jaybarrow.Slots(len(sorted) - i)
		if c.need*open > left {
			level(left, sorted[i:], prefer, parts)
			return parts
		}
		parts[c.id] = c.need
		left -= c.need
	}
	return parts
}

func level(left jaybarrow.Slots, open []claimant, prefer func(a, b claimant) int, parts map[jaybarrow.EntryID]jaybarrow.Slots) {
	base, rest := left/jaybarrow.Slots(len(open)), left%jaybarrow.Slots(len(open))
	// A host that needs exactly the level is not one of those that share the rest.
	slices.SortFunc(open, func(a, b claimant) int {
		if c := cmp.Compare(btoi(a.need <= base), btoi(b.need <= base)); c != 0 {
			return c
		}
		return prefer(a, b)
	})
	for i, c := range open {
		parts[c.id] = base
		if jaybarrow.Slots(i) < rest {
			parts[c.id]++
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// byHolding prefers those that hold more, so that a division that is already fair does not move.
func byHolding(a, b claimant) int {
	return cmp.Or(cmp.Compare(b.have, a.have), cmp.Compare(a.id, b.id))
}

// byID is independent of the holdings, so that parts stay the same while holders shrink towards them.
func byID(a, b claimant) int { return cmp.Compare(a.id, b.id) }

// Floor returns the permits that a live entry host keeps when idle: its even part of half of the limit. A limit with fewer
// permits than live entry hosts has no floors, because idle floors would keep permits from the hosts with demand.
func Floor(team jaybarrow.TeamID, limit jaybarrow.Slots, live map[jaybarrow.EntryID]jaybarrow.Incarnation, id jaybarrow.EntryID) jaybarrow.Slots {
	count := jaybarrow.Slots(len(live))
	if _, ok := live[id]; !ok || limit < count {
		return 0
	}
	half := limit / 2
	if jaybarrow.Slots(Rank(team, live, id)) < half%count {
		return half/count + 1
	}
	return half / count
}

// Rank returns the entry host's place among the live ones in an order that differs for each team.
func Rank(team jaybarrow.TeamID, live map[jaybarrow.EntryID]jaybarrow.Incarnation, id jaybarrow.EntryID) int {
	own, rank := score(team, id), 0
	for other := range live {
		if s := score(team, other); s < own || (s == own && other < id) {
			rank++
		}
	}
	return rank
}

// score orders entry hosts differently for each team (rendezvous hashing).
func score(team jaybarrow.TeamID, id jaybarrow.EntryID) uint64 {
	return xxhash.Sum64String(string(team) + "/" + string(id))
}

// Sum returns the total of the grants.
func Sum(record jaybarrow.Allotment) jaybarrow.Slots {
	var sum jaybarrow.Slots
	for _, g := range record.Grants {
		sum += g.Slots
	}
	return sum
}

// InForce reports whether the limit is in force: the grants are within it.
func InForce(record jaybarrow.Allotment) bool { return Sum(record) <= record.Limit }

// HoldersAboveQuota returns the holders whose grant is above their part of a lowered limit, in order of id.
func HoldersAboveQuota(record jaybarrow.Allotment) []jaybarrow.EntryID {
	if InForce(record) {
		return nil
	}
	parts := lowered(record)
	var pending []jaybarrow.EntryID
	for id, g := range record.Grants {
		if g.Slots > parts[id] {
			pending = append(pending, id)
		}
	}
	slices.Sort(pending)
	return pending
}

// Quota returns the number of permits above which the holder starts nothing: its part of a lowered limit, and its whole grant
// when the limit is in force.
func Quota(record jaybarrow.Allotment, id jaybarrow.EntryID) jaybarrow.Slots {
	if InForce(record) {
		return record.Grants[id].Slots
	}
	return lowered(record)[id]
}

// lowered returns each holder's part of a limit that is below the sum of the grants. The largest grants are cut to one
// level, which stays the same while holders shrink to it; a proportional cut would ask those that shrank first again.
func lowered(record jaybarrow.Allotment) map[jaybarrow.EntryID]jaybarrow.Slots {
	holders := make([]claimant, 0, len(record.Grants))
	for id, g := range record.Grants {
		holders = append(holders, claimant{id: id, have: g.Slots, need: g.Slots})
	}
	return divide(record.Limit, holders, byID)
}
