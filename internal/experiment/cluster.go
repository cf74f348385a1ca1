package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/estimate"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// model is one way to schedule a pool.
type model struct {
	name         string
	newOrder     func() jaybarrow.Order
	newPlacement func(*rand.Rand) jaybarrow.Placement
	settings     schedule.Settings
	admitBy      float64 // quantile of the run time that admission assumes
	split        bool    // each of nine entry hosts schedules alone on a ninth of the slots
}

const entryHosts = 9

// job is one request of a caller.
type job struct {
	team     jaybarrow.TeamID
	queue    jaybarrow.QueueID
	class    jaybarrow.Class
	share    jaybarrow.Share
	slots    jaybarrow.Slots
	run      time.Duration
	declared time.Duration
	target   time.Duration
	done     func(outcome)

	arrived  time.Time
	attempts int
	tried    []jaybarrow.HostID
}

// outcome is how a job ended; an empty kind means that it was answered.
type outcome struct {
	kind   jaybarrow.ErrorKind
	inTime bool
}

// attempt is what a host does with a job: it takes a time and ends in an answer or an error.
type attempt struct {
	took time.Duration
	kind jaybarrow.ErrorKind
}

// cluster is one pool's hosts with one scheduler, or nine.
type cluster struct {
	loop    *loop
	rand    *rand.Rand
	domains []*domain
	behave  func(host jaybarrow.HostID, j *job) attempt
	served  func(j *job, host jaybarrow.HostID, from, to time.Time)
	nextID  int
}

// domain is one scheduler and what it has learned.
type domain struct {
	pool      *schedule.Pool
	admitBy   float64
	estimates *estimate.Estimator
	jobs      map[jaybarrow.RequestID]*job
	hosts     map[jaybarrow.HostID]*hostSignals
	budget    float64
	wakeAt    time.Time
}

type hostSignals struct {
	failures int
	latency  time.Duration
}

func newCluster(l *loop, r *rand.Rand, m model, workers, slots int) *cluster {
	c := &cluster{
		loop: l, rand: r,
		behave: func(_ jaybarrow.HostID, j *job) attempt { return attempt{took: j.run} },
		served: func(*job, jaybarrow.HostID, time.Time, time.Time) {},
	}
	count := 1
	if m.split {
		count = entryHosts
	}
	for i := range count {
		c.domains = append(c.domains, newDomain(r, m, i, count, workers, slots))
	}
	return c
}

func newDomain(r *rand.Rand, m model, i, count, workers, slots int) *domain {
	d := &domain{
		pool:      schedule.New(m.settings, m.newOrder(), m.newPlacement(r)),
		admitBy:   m.admitBy,
		estimates: estimate.New(4096),
		jobs:      make(map[jaybarrow.RequestID]*job),
		hosts:     make(map[jaybarrow.HostID]*hostSignals),
		budget:    1,
	}
	capacity := make([]jaybarrow.Slots, workers)
	for slot := i; slot < workers*slots; slot += count {
		capacity[slot%workers]++
	}
	var views []schedule.HostView
	for w, n := range capacity {
		id := hostID(w)
		d.hosts[id] = &hostSignals{}
		if n > 0 {
			views = append(views, schedule.HostView{ID: id, Capacity: jaybarrow.Demand{Slots: n}, Accepting: true})
		}
	}
	d.pool.SetHosts(views)
	return d
}

func hostID(w int) jaybarrow.HostID { return jaybarrow.HostID(fmt.Sprintf("w%02d", w)) }

// submit sends the job to the scheduler, or to a random one of nine.
func (c *cluster) submit(j *job) { c.submitTo(c.domains[c.rand.IntN(len(c.domains))], j) }

func (c *cluster) submitTo(d *domain, j *job) {
	c.nextID++
	j.arrived, j.attempts, j.tried = c.loop.now, 0, nil
	item := jaybarrow.Item{
		ID: jaybarrow.RequestID(fmt.Sprint(c.nextID)), Team: j.team, Class: j.class, Slots: j.slots,
		Demand: jaybarrow.Demand{Slots: j.slots}, Share: j.share, Arrived: j.arrived, Target: j.arrived.Add(j.target),
		Estimate: d.estimates.Estimate(j.team, j.queue, j.declared),
	}
	if j.class == jaybarrow.ClassQuick {
		item.Deadline = item.Target
	}
	evicted, err := d.pool.Enqueue(c.loop.now, item, d.estimates.Quantile(j.team, j.queue, j.declared, d.admitBy))
	if err != nil {
		j.done(outcome{kind: jaybarrow.AsError(err).Kind})
		return
	}
	d.jobs[item.ID] = j
	d.budget = min(d.budget+0.1, 10)
	for _, e := range evicted {
		c.end(d, e.ID, outcome{kind: jaybarrow.KindQueueFull})
	}
	c.dispatch(d)
}

func (c *cluster) end(d *domain, id jaybarrow.RequestID, o outcome) {
	j := d.jobs[id]
	delete(d.jobs, id)
	j.done(o)
}

// dispatch starts what can start and sets the next wake.
func (c *cluster) dispatch(d *domain) {
	now := c.loop.now
	for _, e := range d.pool.Expired(now) {
		c.end(d, e.Item.ID, outcome{kind: jaybarrow.KindDeadlinePassed})
	}
	in := schedule.Inputs{
		Acquire: func(jaybarrow.TeamID, jaybarrow.Slots) bool { return true },
		Signals: func(id jaybarrow.HostID) (int, time.Duration) { return d.hosts[id].failures, d.hosts[id].latency },
	}
	for start, ok := d.pool.Next(now, in); ok; start, ok = d.pool.Next(now, in) {
		j := d.jobs[start.Item.ID]
		a := c.behave(start.Host, j)
		c.loop.after(a.took, func() { c.finish(d, j, start, a, now) })
	}
	next, ok := d.pool.NextWake(now)
	if ok && (!d.wakeAt.After(now) || next.Before(d.wakeAt)) {
		d.wakeAt = next
		c.loop.at(next, func() { c.dispatch(d) })
	}
}

// finish ends an attempt and answers the job or returns it to the queue, with the rules of package pool.
func (c *cluster) finish(d *domain, j *job, start schedule.Start, a attempt, begun time.Time) {
	now := c.loop.now
	d.pool.Finished(now, start.Attempt, a.took)
	if a.kind == jaybarrow.KindWorkerRefused {
		d.pool.HostRefused(now, start.Host)
		j.tried = append(j.tried, start.Host)
		d.pool.Requeue(now, start.Item, j.tried)
		c.dispatch(d)
		return
	}
	c.served(j, start.Host, begun, now)
	d.pool.HostAccepted(start.Host)
	d.hosts[start.Host].observe(a, start.Item.Estimate)
	switch {
	case a.kind == "":
		d.estimates.Observe(j.team, j.queue, j.declared, a.took)
		c.end(d, start.Item.ID, outcome{inTime: !now.After(start.Item.Target)})
	case j.attempts < 2 && d.budget >= 1 && (start.Item.Deadline.IsZero() || now.Add(start.Item.Estimate).Before(start.Item.Deadline)):
		d.budget--
		j.attempts++
		j.tried = append(j.tried, start.Host)
		d.pool.Requeue(now, start.Item, j.tried)
	default:
		c.end(d, start.Item.ID, outcome{kind: a.kind})
	}
	c.dispatch(d)
}

// observe keeps the consecutive failures and a smoothed run time relative to the estimate.
func (h *hostSignals) observe(a attempt, expected time.Duration) {
	if a.kind != "" {
		h.failures++
		return
	}
	h.failures = 0
	relative := time.Duration(float64(time.Second) * a.took.Seconds() / max(expected, time.Millisecond).Seconds())
	if h.latency == 0 {
		h.latency = relative
	}
	h.latency += (relative - h.latency) / 10
}
