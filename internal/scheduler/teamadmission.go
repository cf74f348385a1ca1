package scheduler

import (
	"maps"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// AdmissionObserver is notified of decisions on new jobs when admission weighs teams; its methods must not block.
type AdmissionObserver interface {
	// JobJudged reports whether a job of a team was admitted, and why.
	JobJudged(team jaybarrow.TeamID, admitted bool, reason admission.Reason)
	// TeamLimited reports that a team begins or ceases to be limited to its part of a congested pool.
	TeamLimited(pool jaybarrow.PoolID, team jaybarrow.TeamID, limited bool)
}

const (
	// unlimitedDelay is how long a team must not have been limited until that is reported; a team near its part is limited on and off.
	unlimitedDelay = time.Second
	// otherTeams stands in reports for teams that the configuration does not have, which are not bounded in number.
	otherTeams jaybarrow.TeamID = "other"
	// openQueue stands in reports for jobs without a team.
	openQueue jaybarrow.TeamID = "none"
)

// teamAdmission is what a pool knows of its teams in order to weigh them in admission; the pool's lock guards it.
type teamAdmission struct {
	demand  *admission.Demand
	limited map[jaybarrow.TeamID]time.Time // when each team that is reported as limited was last found so
}

func newTeamAdmission() *teamAdmission {
	return &teamAdmission{demand: admission.NewDemand(), limited: make(map[jaybarrow.TeamID]time.Time)}
}

// teamGates are the gates of the teams with refused callers, for jobs of one pool and priority.
type teamGates map[jaybarrow.TeamID]*admission.Gate

// of returns the gate of the team.
func (t teamGates) of(team jaybarrow.TeamID) *admission.Gate {
	g := t[team]
	if g == nil {
		g = new(admission.Gate)
		t[team] = g
	}
	return g
}

// noteSubmitted counts an accepted job for its team. The lock is held.
func (p *poolShard) noteSubmitted(spec *jaybarrow.Job, now time.Time) {
	if p.teams == nil || spec.Lasting() || spec.Recurrence != nil {
		return
	}
	var peak jaybarrow.Resources
	for i := range spec.Steps {
		if all := spec.Steps[i].Demand.Times(spec.Steps[i].Tasks); !all.FitsIn(peak) {
			peak = jaybarrow.Resources{CPU: max(peak.CPU, all.CPU), Memory: max(peak.Memory, all.Memory), Accelerators: max(peak.Accelerators, all.Accelerators)}
		}
	}
	p.teams.demand.Add(spec.Team, workload.WorkOf(spec).Times(p.state.RunTimeFactor(spec.Queue)), peak, time.UnixMilli(spec.AcceptedMs), now)
}

// teamLoads is what each team asks of a pool; nil unless admission weighs teams.
type teamLoads map[jaybarrow.TeamID]*admission.TeamLoad

// noteAsker records that a team asks for a job, and reports whether the load must be read again: a pool is divided as soon as there are two
// teams. The lock is held.
func (p *poolShard) noteAsker(g *gate, team jaybarrow.TeamID, now time.Time) bool {
	if p.teams == nil || team == "" || !p.teams.demand.Note(team, now) || g.known > 1 {
		return false
	}
	g.readAt = time.Time{}
	return true
}

// readBacklog returns what waits in the pool, also by team if admission weighs them. The lock is held.
func (p *poolShard) readBacklog(priority int, now time.Time) (admission.Load, teamLoads) {
	if p.teams == nil {
		return p.state.Backlog(priority, now), nil
	}
	load, byTeam := p.state.TeamBacklogs(priority, now)
	p.teams.demand.Fill(byTeam, now)
	for id, t := range byTeam {
		t.Share = p.deps.Catalog.Share(id)
	}
	return load, byTeam
}

// divide divides the pool among its teams for jobs of the priority if admission weighs them. The lock is held.
func (p *poolShard) divide(priority int, l admission.Load, byTeam teamLoads, now time.Time) *admission.Division {
	if p.teams == nil {
		return new(admission.Division)
	}
	l.InTimeAdvice, l.Advice = 0, 0 // the adviser's time is not divided
	d := admission.Divide(l, byTeam, p.deps.Catalog.LeastShare())
	if priority != leastUrgent { // no job has that priority
		p.state.SetDivision(priority, &d)
	}
	p.reportLimited(&d, now)
	return &d
}

// renewDivisions reads the load anew for the priorities for which the pool is divided, so that a division ends with the congestion though nobody
// asks for a job. The lock is held.
func (p *poolShard) renewDivisions(now time.Time) {
	for priority, g := range p.gates {
		if priority != leastUrgent && g.division.Divided() {
			p.readLoad(priority, now)
		}
	}
}

// decide admits or refuses a job; the load is that of the gate, as the job meets it. The lock is held.
func (p *poolShard) decide(g *gate, r jaybarrow.AdmissionRequest, load admission.Load, j admission.Job, now time.Time) admission.Decision {
	if p.teams == nil {
		return g.Decide(load, j, now)
	}
	var d admission.Decision
	// A job without a team waits behind all, as from builds that do not send the team.
	if r.Team == "" || !g.division.Divided() {
		d = g.Decide(load, j, now)
	} else {
		d = g.division.Decide(g.teams.of(r.Team), r.Team, load, j, now)
	}
	work := r.Work.Times(p.state.RunTimeFactor(r.Queue))
	if d.Admitted {
		g.division.Admitted(r.Team, work)
	} else {
		p.teams.demand.Add(r.Team, work, jaybarrow.Resources{}, now, now)
	}
	if o := p.deps.Admissions; o != nil {
		o.JobJudged(p.reportedTeam(r.Team), d.Admitted, d.Reason)
	}
	return d
}

// dropIdleGates forgets the teams whose refused callers are expected no more. The lock is held.
func (g *gate) dropIdleGates(now time.Time) {
	maps.DeleteFunc(g.teams, func(_ jaybarrow.TeamID, one *admission.Gate) bool { return one.Idle(now) })
}

// reportLimited reports the teams that begin and cease to be limited. The lock is held.
func (p *poolShard) reportLimited(d *admission.Division, now time.Time) {
	for id := range d.LimitedTeams {
		if _, known := p.teams.limited[id]; !known && p.deps.Admissions != nil {
			p.deps.Admissions.TeamLimited(p.id, p.reportedTeam(id), true)
		}
		p.teams.limited[id] = now
	}
	for id, at := range p.teams.limited {
		if now.Sub(at) <= unlimitedDelay {
			continue
		}
		delete(p.teams.limited, id)
		if p.deps.Admissions != nil {
			p.deps.Admissions.TeamLimited(p.id, p.reportedTeam(id), false)
		}
	}
}

// reportedTeam returns the id under which decisions on the team's jobs are reported.
func (p *poolShard) reportedTeam(id jaybarrow.TeamID) jaybarrow.TeamID {
	if id == "" {
		return openQueue
	}
	if _, configured := p.deps.Catalog.Limit(id); !configured {
		return otherTeams
	}
	return id
}
