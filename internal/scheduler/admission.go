package scheduler

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/dispatch"
	"github.com/jaybarrow/jaybarrow/internal/leader"
)

// backlogAge is how long the backlog of a pool is used for the decisions on new jobs; what they add is counted in between.
const backlogAge = 20 * time.Millisecond

// gate admits the jobs of one pool and priority; the pool's lock guards it.
type gate struct {
	admission.Gate
	load     admission.Load
	readAt   time.Time
	division *admission.Division // limits no team unless admission weighs teams
	teams    teamGates
	known    int // teams in the division
}

// leastUrgent is a priority that no queue comes after.
const leastUrgent = math.MaxInt

// Admit decides whether a job should be handed in now. Before the stored jobs are loaded every job is admitted.
func (s *Scheduler) Admit(r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	admitted := jaybarrow.Admission{Admitted: true}
	if s.ShortOfMemory() {
		return RefuseForMemory(), nil
	}
	if r.Unhurried || !s.JobsAreLoaded() {
		return admitted, nil
	}
	p, known := s.pools.Get(r.Pool)
	if !known {
		return admitted, nil
	}
	out := admitted
	if !p.locked(func() { out = p.admit(r, s.deps.Clock.Now()) }) {
		return jaybarrow.Admission{}, jaybarrow.Errorf(jaybarrow.KindPeerLost, "the scheduler is ending")
	}
	return out, nil
}

// admit decides on a job of the pool. The lock is held.
func (p *poolShard) admit(r jaybarrow.AdmissionRequest, now time.Time) jaybarrow.Admission {
	target, priority, known := p.state.Target(r.Queue, r.CriticalPath)
	if !known {
		return jaybarrow.Admission{Admitted: true}
	}
	g := p.readLoad(priority, now)
	if p.noteAsker(g, r.Team, now) {
		g = p.readLoad(priority, now)
	}
	path := dispatch.Path(r.CriticalPath, r.PathSteps, p.dispatchDelay(now))
	job := admission.Job{Work: r.Work, CriticalPath: path, Target: target, Advice: p.state.AdviceTime(r.Queue)}
	load := g.load
	if job.Advice == 0 {
		load.InTimeAdvice, load.Advice = 0, 0
	}
	d := p.decide(g, r, load, job, now)
	if d.Admitted {
		g.load.InTime, g.load.Waiting = g.load.InTime.Plus(r.Work), g.load.Waiting.Plus(r.Work)
		g.load.InTimeAdvice, g.load.Advice = g.load.InTimeAdvice+job.Advice, g.load.Advice+job.Advice
	}
	return jaybarrow.Admission{Admitted: d.Admitted, Wait: d.Wait, RetryAfter: d.RetryAfter}
}

// readLoad returns the gate for jobs of the priority, with the load on which they are admitted up to date. The lock is held.
func (p *poolShard) readLoad(priority int, now time.Time) *gate {
	g := p.gates[priority]
	if g == nil {
		g = &gate{teams: make(teamGates)}
		p.gates[priority] = g
	}
	if !g.readAt.IsZero() && now.Sub(g.readAt) <= backlogAge {
		return g
	}
	var byTeam teamLoads
	g.load, byTeam = p.readBacklog(priority, now)
	g.readAt = now
	// All pools share the rate of starts, so the tasks of the others wait for it too.
	before := p.tasks
	p.tasks = g.load.Tasks
	g.load.Tasks = int(p.waitingTasks.Add(int64(p.tasks - before)))
	g.load.Coming, g.load.ComingIn = p.coming.Capacity, p.coming.In
	g.load.InTimeAdvice, g.load.Advice = p.advice.backlog(priority)
	g.load.StartsPerSecond = p.startsPerSecond()
	g.division, g.known = p.divide(priority, g.load, byTeam, now), len(byTeam)
	g.dropIdleGates(now)
	if priority == leastUrgent {
		p.renewDivisions(now)
	}
	return g
}

// startsPerSecond returns how many tasks the link and the processor of this host let it start in a second.
func (p *poolShard) startsPerSecond() float64 {
	rate := p.orders.PerSecond()
	if most := p.throughput.PerSecond(); most > 0 {
		rate = min(rate, most)
	}
	return rate
}

// watchThroughput samples how late timers are and how many starts are sent, until ctx ends.
func (s *Scheduler) watchThroughput(ctx context.Context) {
	sent, began := s.startsSent.Load(), s.deps.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.deps.Clock.After(budget.ThroughputInterval):
		}
		now, total := s.deps.Clock.Now(), s.startsSent.Load()
		took := now.Sub(began)
		s.throughput.Sample(took-budget.ThroughputInterval, total-sent, took)
		sent, began = total, now
	}
}

const (
	// congestionInterval is the time between two looks at the pools for congested ones.
	congestionInterval = 250 * time.Millisecond
	// congestionWait is the wait from which a pool counts as congested.
	congestionWait = admission.CongestedWait
)

// announceCongestion keeps the record of what is congested up to date until ctx ends. Without it entry hosts admit every job, so that a
// failed write is only repeated with the next look.
func (s *Scheduler) announceCongestion(ctx context.Context) {
	var announced leader.Congestion
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.deps.Clock.After(congestionInterval):
		}
		s.sampleMemory()
		s.logDispatch(s.deps.Clock.Now())
		congested := leader.Congestion{Pools: s.congestedPools(s.deps.Clock.Now()), ShortOfMemory: s.ShortOfMemory()}
		if congested.Equal(announced) || !s.deps.Term.Valid() {
			continue
		}
		if err := s.writeCongestion(ctx, congested); err != nil {
			if ctx.Err() == nil {
				s.deps.Log.Info().Err(err).Msg("cannot announce which pools are congested; trying again")
			}
			continue
		}
		s.deps.Log.Info().Int("pools", len(congested.Pools)).Bool("shortOfMemory", congested.ShortOfMemory).Msg("congested pools announced")
		announced = congested
	}
}

// congestedPools returns the pools whose waiting work takes longer than congestionWait, sorted.
func (s *Scheduler) congestedPools(now time.Time) []jaybarrow.PoolID {
	var out []jaybarrow.PoolID
	advised := s.advisedPools()
	s.pools.Each(func(id jaybarrow.PoolID, p *poolShard) {
		p.locked(func() {
			load := p.readLoad(leastUrgent, now).load
			if !advised[id] {
				load.InTimeAdvice, load.Advice = 0, 0
			}
			if load.Wait() > congestionWait {
				out = append(out, id)
			}
		})
	})
	slices.Sort(out)
	return out
}

// advisedPools returns the pools of the queues with advice.
func (s *Scheduler) advisedPools() map[jaybarrow.PoolID]bool {
	c := s.deps.Catalog.Configuration()
	if c == nil {
		return nil
	}
	out := make(map[jaybarrow.PoolID]bool)
	for n := range c.Queues {
		if q := &c.Queues[n]; q.Advice != nil {
			out[q.Pool] = true
		}
	}
	return out
}

// writeCongestion replaces the record of what is congested under the leader's lease.
func (s *Scheduler) writeCongestion(ctx context.Context, c leader.Congestion) error {
	changes := jaybarrow.Commit{Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: s.deps.Term.Revision}}}
	if c.Equal(leader.Congestion{}) {
		changes.Removes = []jaybarrow.Key{jaybarrow.JobCongestionKey}
	} else {
		value, err := json.Marshal(c)
		if err != nil {
			return err
		}
		changes.Puts = []jaybarrow.Put{{Key: jaybarrow.JobCongestionKey, Value: value, Lease: s.deps.Term.Lease}}
	}
	limited, cancel := context.WithTimeout(ctx, s.deps.Settings.Commit.Timeout)
	defer cancel()
	_, err := s.deps.Store.Commit(limited, changes)
	return err
}

// Coming is the capacity that the fleet can add to a pool, and the time that it takes.
type Coming struct {
	Capacity jaybarrow.Resources
	In       time.Duration
}

// SetComing replaces what the fleet can add to each pool; a pool that is not named gets nothing.
func (s *Scheduler) SetComing(byPool map[jaybarrow.PoolID]Coming) {
	s.pools.Each(func(id jaybarrow.PoolID, p *poolShard) {
		p.locked(func() { p.coming = byPool[id] })
	})
}
