package health

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Deps are the dependencies of a Health.
type Deps struct {
	Settings Settings
	Journal  jaybarrow.Journal
	Random   func() float64 // in [0, 1), for the jitter; safe for concurrent use
}

// Health tracks the health of the workers of each pool; each pool has its own lock.
type Health struct {
	deps  Deps
	pools *shard.Map[jaybarrow.PoolID, *pool]
}

type pool struct {
	sync.Mutex
	state *state
}

// New returns a Health without pools.
func New(deps Deps) *Health {
	return &Health{deps: deps, pools: shard.New[jaybarrow.PoolID, *pool]()}
}

func (t *Health) pool(id jaybarrow.PoolID) *pool {
	return t.pools.GetOrCreate(id, func() *pool { return &pool{state: newState(t.deps.Settings)} })
}

// SetPool replaces the pool's hosts and the count of those that its availability budget counts as unavailable, which does not
// include hosts that are only ejected here. Outcomes of hosts that are not in the pool are ignored.
func (t *Health) SetPool(id jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int) {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	p.state.setPool(hosts, unavailable)
}

// Observe records the outcome of a task on the host, and notes an ejection or readmission in the journal.
func (t *Health) Observe(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID, outcome Outcome, took time.Duration) {
	jitter := t.deps.Random()
	p := t.pool(id)
	p.Lock()
	before := p.state.phaseOf(host)
	p.state.observe(now, host, outcome, took, jitter)
	after, reason := p.state.phaseOf(host), p.state.reasonOf(host)
	p.Unlock()
	switch {
	case before != phaseEjected && after == phaseEjected && reason != "":
		t.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectHost, ID: string(host)}, "ejected", reason)
	case before == phaseTrial && after == phaseServing:
		t.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectHost, ID: string(host)}, "readmitted", "its trial task succeeded")
	}
}

// Admit reports whether a task may start on the host, and makes the task the host's trial if one is due. Every Admit that
// returned true must be followed by one Observe.
func (t *Health) Admit(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID) bool {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	return p.state.admit(now, host)
}

// Accepting reports whether the host may get a task, because it is not ejected or its trial is due.
func (t *Health) Accepting(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID) bool {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	return p.state.accepting(now, host)
}

// Condition is a host's health as placement uses it.
type Condition struct {
	Accepting bool
	Trial     bool          // at most one task may be placed
	Failures  int           // consecutive; 0 when the last one is at least Settings.Backoff ago
	Latency   time.Duration // smoothed run time of recent tasks, not lowered by failures; 0 when unknown
}

// Condition returns the host's condition.
func (t *Health) Condition(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID) Condition {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	c := Condition{Accepting: p.state.accepting(now, host)}
	if h, ok := p.state.hosts[host]; ok {
		c.Trial = c.Accepting && h.phase != phaseServing
		c.Failures, c.Latency = h.failures, h.latency
		// Placement avoids a host with failures while others have room. If failures did not expire, a host with too few of
		// them to be ejected would get neither a trial nor work after it has recovered.
		if now.Sub(h.decayedAt) >= t.deps.Settings.Backoff {
			c.Failures = 0
		}
	}
	return c
}

// Fill returns a copy of the candidate with the failures and latency of the condition.
func (c Condition) Fill(candidate jaybarrow.Candidate) jaybarrow.Candidate {
	candidate.Failures, candidate.Latency = c.Failures, c.Latency
	return candidate
}

// Ejection is an ejected host and the reason for its ejection.
type Ejection struct {
	Host   jaybarrow.HostID `json:"host"`
	Reason string           `json:"reason"`
	Since  time.Time        `json:"since"`
	Trial  time.Time        `json:"trial"` // start of the next trial, or the timeout of the running one
}

// Ejected returns the pool's ejected hosts in the order of their ids.
func (t *Health) Ejected(id jaybarrow.PoolID) []Ejection {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	var ejections []Ejection
	for _, hostID := range p.state.ejected() {
		h := p.state.hosts[hostID]
		ejections = append(ejections, Ejection{Host: hostID, Reason: h.reason, Since: h.ejectedAt, Trial: h.trialAt})
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Compare(a.Host, b.Host) })
	return ejections
}

// NextTrial returns the time of the pool's earliest trial, or of the timeout of a running one, so that a scheduler can wake up
// then; false when no host is ejected.
func (t *Health) NextTrial(id jaybarrow.PoolID) (time.Time, bool) {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	return p.state.nextTrial()
}

func (s *state) phaseOf(id jaybarrow.HostID) phase {
	if h, ok := s.hosts[id]; ok {
		return h.phase
	}
	return phaseServing
}

func (s *state) reasonOf(id jaybarrow.HostID) string {
	if h, ok := s.hosts[id]; ok {
		return h.reason
	}
	return ""
}
