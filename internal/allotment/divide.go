package allotment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

// claimant is an entry host in a division of permits.
type claimant struct {
	id          jaybarrow.EntryID
	granted     jaybarrow.Slots
	need        jaybarrow.Slots
	largestTask jaybarrow.Slots // slots of the largest waiting task; 0 when the host has no unmet demand
}

// starved reports whether the host could not start its largest waiting task even if all of its permits were idle.
func (c claimant) starved() bool { return c.largestTask > 0 && c.granted < c.largestTask }

// dropOversizedTask ignores a task that the reachable permits cannot cover, so that no permits are collected for it.
func (c *claimant) dropOversizedTask(total jaybarrow.Slots) {
	if c.largestTask > total {
		c.largestTask = 0
	}
}

// divide returns the max-min fair shares of total: no claimant gets more than it needs, and those that need more than the fair
// level get the level. The remainder goes to the first claimants in the order of prefer.
func divide(total jaybarrow.Slots, claimants []claimant, prefer func(a, b claimant) int) map[jaybarrow.EntryID]jaybarrow.Slots {
	shares := make(map[jaybarrow.EntryID]jaybarrow.Slots, len(claimants))
	sorted := slices.SortedFunc(slices.Values(claimants), func(a, b claimant) int { return cmp.Compare(a.need, b.need) })
	left := max(total, 0)
	for i, c := range sorted {
		unsatisfied := jaybarrow.Slots(len(sorted) - i)
		if c.need*unsatisfied > left {
			divideEvenly(left, sorted[i:], prefer, shares)
			return shares
		}
		shares[c.id] = c.need
		left -= c.need
	}
	return shares
}

// divideEvenly gives the claimants that are not satisfied yet an equal share of what is left.
func divideEvenly(left jaybarrow.Slots, unsatisfied []claimant, prefer func(a, b claimant) int, shares map[jaybarrow.EntryID]jaybarrow.Slots) {
	level, remainder := left/jaybarrow.Slots(len(unsatisfied)), left%jaybarrow.Slots(len(unsatisfied))
	// A host that needs no more than the level gets nothing of the remainder.
	slices.SortFunc(unsatisfied, func(a, b claimant) int {
		if c := cmp.Compare(boolToInt(a.need <= level), boolToInt(b.need <= level)); c != 0 {
			return c
		}
		return prefer(a, b)
	})
	for i, c := range unsatisfied {
		shares[c.id] = level
		if jaybarrow.Slots(i) < remainder {
			shares[c.id]++
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// byGrant puts larger grants first, so that a division that is already fair does not change.
func byGrant(a, b claimant) int {
	return cmp.Or(cmp.Compare(b.granted, a.granted), cmp.Compare(a.id, b.id))
}

// byID does not depend on the grants, so that quotas stay the same while holders return permits.
func byID(a, b claimant) int { return cmp.Compare(a.id, b.id) }

// Floor returns the permits that a live entry host keeps when idle: its even share of half of the limit. A limit below the number
// of live entry hosts has no floors, because idle floors would withhold permits from the hosts with demand.
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

// Rank returns the entry host's position among the live ones, from 0, in an order that differs for each team.
func Rank(team jaybarrow.TeamID, live map[jaybarrow.EntryID]jaybarrow.Incarnation, id jaybarrow.EntryID) int {
	own, rank := score(team, id), 0
	for other := range live {
		if s := score(team, other); s < own || (s == own && other < id) {
			rank++
		}
	}
	return rank
}

// score returns the rendezvous hash by which entry hosts are ordered for a team.
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

// InForce reports whether the limit is in force, which it is when the grants sum to no more than it.
func InForce(record jaybarrow.Allotment) bool { return Sum(record) <= record.Limit }

// HoldersAboveQuota returns the holders whose grant exceeds their quota under a lowered limit, in order of id.
func HoldersAboveQuota(record jaybarrow.Allotment) []jaybarrow.EntryID {
	if InForce(record) {
		return nil
	}
	quotas := loweredQuotas(record)
	var holders []jaybarrow.EntryID
	for id, g := range record.Grants {
		if g.Slots > quotas[id] {
			holders = append(holders, id)
		}
	}
	slices.Sort(holders)
	return holders
}

// Quota returns the permits that the holder may use: its whole grant when the limit is in force, and otherwise its share of the
// lowered limit.
func Quota(record jaybarrow.Allotment, id jaybarrow.EntryID) jaybarrow.Slots {
	if InForce(record) {
		return record.Grants[id].Slots
	}
	return loweredQuotas(record)[id]
}

// loweredQuotas returns each holder's quota under a limit below the sum of the grants. The largest grants are cut to one level,
// which stays the same while holders return permits. A proportional cut would fall again on holders that have already returned
// theirs.
func loweredQuotas(record jaybarrow.Allotment) map[jaybarrow.EntryID]jaybarrow.Slots {
	holders := make([]claimant, 0, len(record.Grants))
	for id, g := range record.Grants {
		holders = append(holders, claimant{id: id, granted: g.Slots, need: g.Slots})
	}
	return divide(record.Limit, holders, byID)
}
