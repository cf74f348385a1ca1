package health

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Deps are what a Health depends on.
type Deps struct {
	Settings Settings
	Journal  jaybarrow.Journal
	Random   func() float64 // in [0, 1), for the jitter; safe for concurrent use
}

// Health holds the health of the workers of each pool; each pool has its own lock.
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

// SetPool replaces the pool's hosts and the count of those that its availability budget counts as unavailable, without the
// ones that are only ejected here. Outcomes of hosts that are not in the pool are ignored.
func (t *Health) SetPool(id jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int) {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	p.state.resize(hosts, unavailable)
}

// Observe takes in how a task on the host ended.
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

// Admit notes that a task is about to start on the host and takes the trial when it is due; it reports false when the host
// must not get the task. Every Admit that returned true must be followed by one Observe.
func (t *Health) Admit(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID) bool {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	return p.state.begin(now, host)
}

// Accepting reports whether the host may get a task: it is not ejected, or its trial is due.
func (t *Health) Accepting(now time.Time, id jaybarrow.PoolID, host jaybarrow.HostID) bool {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	return p.state.accepting(now, host)
}

// Condition is what placement needs to know of a host's health.
type Condition struct {
	Accepting bool
	Trial     bool          // at most one task may be placed
	Failures  int           // consecutive; 0 when the last one is longer ago than the first backoff
	Latency   time.Duration // smoothed run time of its recent tasks, not lowered by failures; 0 when unknown
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
		// Placement gives a host with failures no work while others have room. Without an end to that, a host with too few
		// failures to be ejected would get neither a trial nor work after it is well again.
		if now.Sub(h.at) >= t.deps.Settings.Backoff {
			c.Failures = 0
		}
	}
	return c
}

// Fill returns the candidate with its failures and latency set.
func (c Condition) Fill(candidate jaybarrow.Candidate) jaybarrow.Candidate {
	candidate.Failures, candidate.Latency = c.Failures, c.Latency
	return candidate
}

// Ejection is a host that is ejected, and why.
type Ejection struct {
	Host   jaybarrow.HostID `json:"host"`
	Reason string           `json:"reason"`
	Since  time.Time        `json:"since"`
	Trial  time.Time        `json:"trial"` // when it is tried again, or its running trial is given up
}

// Ejected returns the pool's ejected hosts, by name.
func (t *Health) Ejected(id jaybarrow.PoolID) []Ejection {
	p := t.pool(id)
	p.Lock()
	defer p.Unlock()
	var ejections []Ejection
	for _, name := range p.state.ejected() {
		h := p.state.hosts[name]
		ejections = append(ejections, Ejection{Host: name, Reason: h.reason, Since: h.ejectedAt, Trial: h.trialAt})
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Compare(a.Host, b.Host) })
	return ejections
}

// NextTrial returns when the pool's next ejected host may be tried, so that a scheduler can wake up then; false when none
// is ejected.
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
