package workload

import "github.com/jaybarrow/jaybarrow"

// teamsOverShare returns 1 for each team that uses more of the pool than its share among the teams with waiting or running tasks,
// else 0. Lasting tasks do not count, since they hold their resources until their job is cancelled.
func (p *Pool) teamsOverShare(waiting []*job) map[jaybarrow.TeamID]int {
	used := p.usedByTeam()
	for _, j := range waiting {
		if _, found := used[j.spec.Team]; !found {
			used[j.spec.Team] = jaybarrow.Resources{}
		}
	}
	if len(used) < 2 {
		return nil
	}
	var capacity jaybarrow.Resources
	for _, w := range p.workers {
		if w.reported && !w.gone && !w.evacuated() {
			capacity = capacity.Plus(w.entry.Capacity)
		}
	}
	var totalShare jaybarrow.Share
	for team := range used {
		totalShare += p.teams.Share(team)
	}
	overShare := make(map[jaybarrow.TeamID]int, len(used))
	for team, r := range used {
		if share := p.teams.Share(team); share > 0 && dominantShare(r, capacity) > float64(share/totalShare) {
			overShare[team] = 1
		}
	}
	return overShare
}

// dominantShare returns the largest of the resources' fractions of the capacity, over CPU, memory and accelerators.
func dominantShare(r, capacity jaybarrow.Resources) float64 {
	fraction := func(used, all float64) float64 {
		if all <= 0 {
			return 0
		}
		return used / all
	}
	return max(
		fraction(float64(r.CPU), float64(capacity.CPU)), fraction(float64(r.Memory), float64(capacity.Memory)),
		fraction(float64(r.Accelerators), float64(capacity.Accelerators)),
	)
}
