package metrics

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// OtherTeams stands for all teams above the maximum number, which are measured together.
const OtherTeams jaybarrow.TeamID = "(other)"

// Metrics holds the measurements of one entry host and implements jaybarrow.Meter. It is safe for concurrent use.
type Metrics struct {
	clock     jaybarrow.Clock
	maxTeams  int64
	teamCount atomic.Int64
	teams     *shard.Map[jaybarrow.TeamID, *team]
	errors    *expvar.Map
	vars      *expvar.Map
}

// New returns Metrics for at most maxTeams teams; further teams are measured together under OtherTeams.
func New(clock jaybarrow.Clock, maxTeams int) *Metrics {
	m := &Metrics{
		clock:    clock,
		maxTeams: int64(maxTeams),
		teams:    shard.New[jaybarrow.TeamID, *team](),
		errors:   new(expvar.Map).Init(),
		vars:     new(expvar.Map).Init(),
	}
	// The map is not published under expvar's global names, since a process may hold several entry hosts.
	m.vars.Set("errors", m.errors)
	m.vars.Set("teams", expvar.Func(func() any { return m.summaries() }))
	if memory := expvar.Get("memstats"); memory != nil {
		m.vars.Set("memstats", memory)
	}
	return m
}

// team returns the measurements of a team, or those of OtherTeams for a new team above the maximum.
func (m *Metrics) team(id jaybarrow.TeamID) *team {
	if t, ok := m.teams.Get(id); ok {
		return t
	}
	if id != OtherTeams && m.teamCount.Add(1) > m.maxTeams {
		m.teamCount.Add(-1)
		return m.team(OtherTeams)
	}
	created := false
	t := m.teams.GetOrCreate(id, func() *team {
		created = true
		return &team{classes: make(map[jaybarrow.Class]*histograms)}
	})
	if !created && id != OtherTeams {
		m.teamCount.Add(-1) // another goroutine has created the team meanwhile and counted it
	}
	return t
}

// Started records how long a request waited for its start.
func (m *Metrics) Started(id jaybarrow.TeamID, class jaybarrow.Class, waited time.Duration) {
	m.team(id).record(class, func(h *histograms) { h.record(h.waited, waited) })
}

// Answered records how long a request took and the kind of its error, which is empty for a success.
func (m *Metrics) Answered(id jaybarrow.TeamID, class jaybarrow.Class, kind jaybarrow.ErrorKind, took time.Duration) {
	m.team(id).record(class, func(h *histograms) { h.record(h.took, took) })
	if kind != "" {
		m.errors.Add(string(kind), 1)
	}
}

// Served records the slot time that a task of the team has used.
func (m *Metrics) Served(id jaybarrow.TeamID, slots jaybarrow.Slots, ran time.Duration) {
	m.team(id).addService(windowNumber(m.clock.Now()), float64(slots)*ran.Seconds())
}

// Received returns the slot-seconds that each team received in the last WindowCount windows, including the current one.
func (m *Metrics) Received() map[jaybarrow.TeamID]float64 {
	current := windowNumber(m.clock.Now())
	received := make(map[jaybarrow.TeamID]float64)
	m.teams.Each(func(id jaybarrow.TeamID, t *team) { received[id] = t.received(current) })
	return received
}

// Publish adds a variable to Vars; it is called before Vars is.
func (m *Metrics) Publish(name string, v expvar.Var) { m.vars.Set(name, v) }

// Vars returns all measurements as JSON, in expvar's form.
func (m *Metrics) Vars() []byte { return []byte(m.vars.String()) }

func (m *Metrics) summaries() map[jaybarrow.TeamID]summary {
	current := windowNumber(m.clock.Now())
	all := make(map[jaybarrow.TeamID]summary)
	m.teams.Each(func(id jaybarrow.TeamID, t *team) { all[id] = t.summary(current) })
	return all
}
