package workload

import (
	"github.com/jaybarrow/jaybarrow"
)

// beyondShare returns 1 for each team that has more of the pool running than its share among the teams that want something, else 0.
// Lasting tasks do not count: they hold what they have for as long as their jobs live.
func (p *Pool) beyondShare(waiting []*job) map[jaybarrow.TeamID]int {
	used := make(map[jaybarrow.TeamID]jaybarrow.Resources)
	for _, j := range waiting {
		used[j.spec.Team] = jaybarrow.Resources{}
	}
	if len(used) < 2 {
		return nil
	}
	var capacity jaybarrow.Resources
	for _, w := range p.workers {
		capacity = capacity.Plus(w.entry.Capacity)
		for _, r := range w.runs {
			if !r.task.step.spec.Lasting {
				team := r.task.step.job.spec.Team
				used[team] = used[team].Plus(r.demand)
			}
		}
	}
	var all jaybarrow.Share
	for team := range used {
		all += p.teams.Share(team)
	}
	beyond := make(map[jaybarrow.TeamID]int, len(used))
	for team, r := range used {
		if share := p.teams.Share(team); share > 0 && dominant(r, capacity) > float64(share/all) {
			beyond[team] = 1
		}
	}
	return beyond
}

// dominant returns the largest part that the resources are of any kind of the capacity.
func dominant(r, capacity jaybarrow.Resources) float64 {
	part := func(used, all float64) float64 {
		if all <= 0 {
			return 0
		}
		return used / all
	}
	return max(
		part(float64(r.CPU), float64(capacity.CPU)), part(float64(r.Memory), float64(capacity.Memory)),
		part(float64(r.Accelerators), float64(capacity.Accelerators)),
	)
}
