package admission

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Job is a job that is to be handed in.
type Job struct {
	Work         jaybarrow.Work
	CriticalPath time.Duration // estimated time of the longest chain of steps, from the assignment of its first tasks
	Target       time.Duration // within which the job should be completed
	Advice       time.Duration // the adviser's expected time for the job; 0 when it needs no advice
}

// lateFactor is how many times its target a job may take and still be of use to its caller.
const lateFactor = 3

// maxBacklog bounds the waiting work beside which further jobs are admitted: late jobs that were admitted must be completed too, although
// newer ones come before them.
const maxBacklog = 6 * time.Second

// maxReturn bounds the time after which a caller is asked to return; the load is not known further ahead.
const maxReturn = 20 * time.Second

// Reason says what a decision was made by.
type Reason string

// The reasons of decisions.
const (
	ReasonInTime Reason = "inTime" // the job can meet its target
	ReasonLate   Reason = "late"   // the job can be of use, though it may miss its target
	ReasonPool   Reason = "pool"   // the job would be too late by the work of the pool
	ReasonTeam   Reason = "team"   // the job would be too late by the work of its team, which is limited to its part of the pool
)

// Decision is the answer to a job.
type Decision struct {
	Admitted   bool
	Wait       time.Duration // expected until the job could begin
	RetryAfter time.Duration // when to hand the job in again if it is not admitted
	Reason     Reason
}

// Gate admits the jobs of one pool and urgency. It is not safe for concurrent use.
//
// Load pattern: a turn in which a queue asks for several times what its pool and the idle hosts hold. A job that would be completed too
// late to be of use is refused at once, so that it neither waits in vain nor delays others. Newer jobs that still meet their target are
// admitted beside a backlog of late ones, since they are placed first. The callers of refused jobs return one after the other, as their
// work fits in, rather than all at once.
type Gate struct {
	promisedUntil time.Time // when the work of refused callers who have not returned yet will have fitted in
}

// Decide admits or refuses a job. The load includes the jobs admitted before.
func (g *Gate) Decide(l Load, j Job, now time.Time) Decision {
	wait := l.Wait()
	w := waits{inTime: l.InTimeWait(), backlog: wait, all: wait, free: wait + j.CriticalPath - lateFactor*j.Target}
	return g.decide(w, j, l.soonTakes(j.Work), ReasonPool, now)
}

// waits are the times by which a job is judged: until it could begin if it can meet its target, until the work beside which such jobs are
// admitted has been placed, until all work has, and until a job like it can be admitted.
type waits struct{ inTime, backlog, all, free time.Duration }

// decide admits or refuses a job by the waits. The refused return one after the other, each after the time that the work of the one before
// takes, and are told the reason.
func (g *Gate) decide(w waits, j Job, takes time.Duration, refused Reason, now time.Time) Decision {
	switch {
	case w.inTime+j.CriticalPath <= j.Target && w.backlog <= maxBacklog:
		return Decision{Admitted: true, Wait: w.all, Reason: ReasonInTime}
	case w.all+j.CriticalPath <= lateFactor*j.Target:
		return Decision{Admitted: true, Wait: w.all, Reason: ReasonLate}
	}
	// The job can be admitted when the wait has fallen to what it bears; callers who were refused before come first.
	free := now.Add(w.free)
	if g.promisedUntil.After(free) {
		free = g.promisedUntil
	}
	g.promisedUntil = free.Add(max(takes, j.Advice))
	if latest := now.Add(maxReturn); g.promisedUntil.After(latest) {
		g.promisedUntil = latest
	}
	return Decision{Wait: w.all, RetryAfter: min(maxReturn, max(0, free.Sub(now))), Reason: refused}
}

// Idle reports whether no refused caller is expected to return any more.
func (g *Gate) Idle(now time.Time) bool { return !g.promisedUntil.After(now) }

// startWait returns how long the starts of the tasks take.
func (l Load) startWait(tasks int) time.Duration {
	if l.StartsPerSecond <= 0 {
		return 0
	}
	return seconds(float64(tasks) / l.StartsPerSecond)
}
