package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/estimate"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// poolVariant is one way to schedule a pool, which an experiment compares with others.
type poolVariant struct {
	name          string
	newOrder      func() jaybarrow.Order
	newPlacement  func(*rand.Rand) jaybarrow.Placement
	settings      schedule.Settings
	admitQuantile float64 // quantile of the run time that admission control assumes
	split         bool    // whether each of the entryHosts schedules independently on its part of the slots
}

// entryHosts is the number of independent schedulers of a split variant.
const entryHosts = 9

// job is a request of a caller.
type job struct {
	team     jaybarrow.TeamID
	queue    jaybarrow.QueueID
	class    jaybarrow.Class
	share    jaybarrow.Share
	slots    jaybarrow.Slots
	run      time.Duration // actual run time
	declared time.Duration // run time that the caller declares
	target   time.Duration // from the arrival to the answer
	onEnd    func(outcome)

	arrived time.Time
	retries int                // after failed attempts, not after refusals
	tried   []jaybarrow.HostID // hosts that refused or failed it
}

// outcome is the result of a job.
type outcome struct {
	kind   jaybarrow.ErrorKind // empty when the job was answered
	inTime bool                // whether the answer met the target
}

// attempt is the result of one execution of a job on a host.
type attempt struct {
	duration time.Duration
	kind     jaybarrow.ErrorKind // empty on success
}

// cluster simulates a pool's hosts with one scheduler or several independent ones. Its field execute decides the result of each
// attempt on a host; onAttemptEnd observes the attempts that were not refused.
type cluster struct {
	loop         *loop
	rand         *rand.Rand
	schedulers   []*scheduler
	execute      func(host jaybarrow.HostID, j *job) attempt
	onAttemptEnd func(j *job, host jaybarrow.HostID, from, to time.Time)
	nextID       int
}

// scheduler is a scheduling pool with its run time estimates and the observed state of its hosts.
type scheduler struct {
	pool          *schedule.Pool
	admitQuantile float64
	estimates     *estimate.Estimator
	jobs          map[jaybarrow.RequestID]*job
	hosts         map[jaybarrow.HostID]*hostSignals
	retryBudget   float64   // retries that may start now
	wakeAt        time.Time // of the next scheduled dispatch
}

// hostSignals are the observations of a host that placements use.
type hostSignals struct {
	failures int           // consecutive
	latency  time.Duration // smoothed run time relative to the estimate; one second when they are equal
}

func newCluster(l *loop, r *rand.Rand, v poolVariant, workers, slots int) *cluster {
	c := &cluster{
		loop: l, rand: r,
		execute:      func(_ jaybarrow.HostID, j *job) attempt { return attempt{duration: j.run} },
		onAttemptEnd: func(*job, jaybarrow.HostID, time.Time, time.Time) {},
	}
	count := 1
	if v.split {
		count = entryHosts
	}
	for i := range count {
		c.schedulers = append(c.schedulers, newScheduler(r, v, i, count, workers, slots))
	}
	return c
}

// newScheduler returns the scheduler with the index among count schedulers, to which the slots of the workers are dealt in turn.
func newScheduler(r *rand.Rand, v poolVariant, index, count, workers, slots int) *scheduler {
	s := &scheduler{
		pool:          schedule.New(v.settings, v.newOrder(), v.newPlacement(r)),
		admitQuantile: v.admitQuantile,
		estimates:     estimate.New(4096),
		jobs:          make(map[jaybarrow.RequestID]*job),
		hosts:         make(map[jaybarrow.HostID]*hostSignals),
		retryBudget:   1,
	}
	capacity := make([]jaybarrow.Slots, workers)
	for slot := index; slot < workers*slots; slot += count {
		capacity[slot%workers]++
	}
	var views []schedule.HostView
	for w, n := range capacity {
		id := hostID(w)
		s.hosts[id] = &hostSignals{}
		if n > 0 {
			views = append(views, schedule.HostView{ID: id, Capacity: jaybarrow.Demand{Slots: n}, Accepting: true})
		}
	}
	s.pool.SetHosts(views)
	return s
}

// hostID returns the id of the host with the index.
func hostID(w int) jaybarrow.HostID { return jaybarrow.HostID(fmt.Sprintf("w%02d", w)) }

// submit sends the job to a random scheduler.
func (c *cluster) submit(j *job) { c.submitTo(c.schedulers[c.rand.IntN(len(c.schedulers))], j) }

// submitTo enqueues the job, which ends at once when admission control rejects it. Each accepted job adds a tenth of a retry to the
// scheduler's retry budget, up to 10 retries.
func (c *cluster) submitTo(s *scheduler, j *job) {
	c.nextID++
	j.arrived, j.retries, j.tried = c.loop.now, 0, nil
	item := jaybarrow.Item{
		ID: jaybarrow.RequestID(fmt.Sprint(c.nextID)), Team: j.team, Class: j.class, Slots: j.slots,
		Demand: jaybarrow.Demand{Slots: j.slots}, Share: j.share, Arrived: j.arrived, Target: j.arrived.Add(j.target),
		Estimate: s.estimates.Estimate(j.team, j.queue, j.declared),
	}
	if j.class == jaybarrow.ClassQuick {
		item.Deadline = item.Target
	}
	evicted, err := s.pool.Enqueue(c.loop.now, item, s.estimates.Quantile(j.team, j.queue, j.declared, s.admitQuantile))
	if err != nil {
		j.onEnd(outcome{kind: jaybarrow.AsError(err).Kind})
		return
	}
	s.jobs[item.ID] = j
	s.retryBudget = min(s.retryBudget+0.1, 10)
	for _, e := range evicted {
		c.endJob(s, e.ID, outcome{kind: jaybarrow.KindQueueFull})
	}
	c.dispatch(s)
}

// endJob removes the job from the scheduler's jobs and passes on its outcome.
func (c *cluster) endJob(s *scheduler, id jaybarrow.RequestID, o outcome) {
	j := s.jobs[id]
	delete(s.jobs, id)
	j.onEnd(o)
}

// dispatch ends the jobs whose deadline has passed, starts every job that can start, and schedules the next dispatch.
func (c *cluster) dispatch(s *scheduler) {
	now := c.loop.now
	for _, e := range s.pool.Expired(now) {
		c.endJob(s, e.Item.ID, outcome{kind: jaybarrow.KindDeadlinePassed})
	}
	in := schedule.Inputs{
		Acquire: func(jaybarrow.TeamID, jaybarrow.Slots) bool { return true },
		Signals: func(id jaybarrow.HostID) (int, time.Duration) { return s.hosts[id].failures, s.hosts[id].latency },
	}
	for start, ok := s.pool.Next(now, in); ok; start, ok = s.pool.Next(now, in) {
		j := s.jobs[start.Item.ID]
		a := c.execute(start.Host, j)
		c.loop.after(a.duration, func() { c.finishAttempt(s, j, start, a, now) })
	}
	next, ok := s.pool.NextWake(now)
	if ok && (!s.wakeAt.After(now) || next.Before(s.wakeAt)) {
		s.wakeAt = next
		c.loop.at(next, func() { c.dispatch(s) })
	}
}

// finishAttempt answers the job or returns it to the queue, by the rules of package pool.
func (c *cluster) finishAttempt(s *scheduler, j *job, start schedule.Start, a attempt, startedAt time.Time) {
	now := c.loop.now
	s.pool.Finished(now, start.Attempt, a.duration)
	if a.kind == jaybarrow.KindWorkerRefused {
		s.pool.HostRefused(now, start.Host)
		j.tried = append(j.tried, start.Host)
		s.pool.Requeue(now, start.Item, j.tried)
		c.dispatch(s)
		return
	}
	c.onAttemptEnd(j, start.Host, startedAt, now)
	s.pool.HostAccepted(start.Host)
	s.hosts[start.Host].observe(a, start.Item.Estimate)
	switch {
	case a.kind == "":
		s.estimates.Observe(j.team, j.queue, j.declared, a.duration)
		c.endJob(s, start.Item.ID, outcome{inTime: !now.After(start.Item.Target)})
	case j.retries < 2 && s.retryBudget >= 1 && (start.Item.Deadline.IsZero() || now.Add(start.Item.Estimate).Before(start.Item.Deadline)):
		s.retryBudget--
		j.retries++
		j.tried = append(j.tried, start.Host)
		s.pool.Requeue(now, start.Item, j.tried)
	default:
		c.endJob(s, start.Item.ID, outcome{kind: a.kind})
	}
	c.dispatch(s)
}

// observe updates the signals with the result of an attempt.
func (h *hostSignals) observe(a attempt, expected time.Duration) {
	if a.kind != "" {
		h.failures++
		return
	}
	h.failures = 0
	relative := time.Duration(float64(time.Second) * a.duration.Seconds() / max(expected, time.Millisecond).Seconds())
	if h.latency == 0 {
		h.latency = relative
	}
	h.latency += (relative - h.latency) / 10
}
