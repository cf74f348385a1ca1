package workload

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// evacuated reports whether the worker's data centre is being evacuated. The worker then gets no tasks and is no capacity; what runs there
// goes on.
func (w *worker) evacuated() bool { return w.isEvacuated(w.entry.DataCentre) }

// withholdStarts gives up the starts on workers of evacuated data centres that are decided and not sent.
//
// Load pattern: an evacuation begins while starts wait for their records to be written or for the leader's link.
func (p *Pool) withholdStarts(now time.Time) {
	for _, r := range slices.Collect(maps.Keys(p.planned)) {
		if r.phase == runPlanned && r.worker.runs[runKey{r.task.ref, r.number}] == r && r.worker.evacuated() {
			p.withholdStart(r, now)
		}
	}
}

// withholdStart gives up a planned run, so that its task goes to another worker. The other runs of a gang that are not sent are given up with it,
// since the gang starts on all its workers or not at all.
func (p *Pool) withholdStart(r *run, now time.Time) {
	given := []*run{r}
	if r.task.step.spec.Gang {
		for _, t := range r.task.step.tasks {
			if other := t.current; other != nil && other != r && other.phase == runPlanned {
				given = append(given, other)
			}
		}
	}
	for _, one := range given {
		p.endRun(one, jaybarrow.EndStopped, "", now)
		p.observer.StartWithheld(one.task.ref, one.number, one.worker.entry.ID)
	}
}

// usedByTeam returns what the teams use, without the runs on workers of evacuated data centres, whose capacity is not shared out either.
// Lasting tasks do not count.
func (p *Pool) usedByTeam() map[jaybarrow.TeamID]jaybarrow.Resources {
	used := maps.Clone(p.teamUsed)
	for _, w := range p.workers {
		if len(w.runs) == 0 || !w.evacuated() {
			continue
		}
		for _, r := range w.runs {
			if !r.task.step.spec.Lasting {
				team := r.task.step.job.spec.Team
				used[team] = used[team].Minus(r.demand)
			}
		}
	}
	return used
}

// EvacuationsChanged makes the next plan look at every worker, since workers may have become usable or ceased to be.
func (p *Pool) EvacuationsChanged() { p.sweepDue = true }

// RunsLeft returns how many runs there may be on the workers of the data centre.
func (p *Pool) RunsLeft(id jaybarrow.DataCentreID) int {
	n := 0
	for _, w := range p.workers {
		if w.entry.DataCentre != id {
			continue
		}
		for _, r := range w.runs {
			if r.phase != runPlanned {
				n++
			}
		}
	}
	return n
}
