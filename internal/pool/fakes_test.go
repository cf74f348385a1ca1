package pool_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/pool"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// clock is a manual clock.
type clock struct {
	sync.Mutex
	now     time.Time
	timers  map[chan time.Time]time.Time
	onAfter func() // optional; called before a timer is set
}

func newClock() *clock {
	return &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), timers: make(map[chan time.Time]time.Time)}
}

func (c *clock) Now() time.Time {
	c.Lock()
	defer c.Unlock()
	return c.now
}

func (c *clock) After(d time.Duration) <-chan time.Time {
	if c.onAfter != nil {
		c.onAfter()
	}
	c.Lock()
	defer c.Unlock()
	timer := make(chan time.Time, 1)
	c.timers[timer] = c.now.Add(d)
	return timer
}

func (c *clock) advance(d time.Duration) {
	c.Lock()
	defer c.Unlock()
	c.now = c.now.Add(d)
	for timer, at := range c.timers {
		if !at.After(c.now) {
			timer <- c.now
			delete(c.timers, timer)
		}
	}
}

// permits grants every acquisition of at most the team's limit.
type permits struct {
	sync.Mutex
	limit     map[jaybarrow.TeamID]jaybarrow.Slots // a team without an entry is unlimited
	used      jaybarrow.Slots
	acquires  int
	waiting   map[jaybarrow.TeamID]jaybarrow.Slots // as last reported
	available chan struct{}
}

func (p *permits) TryAcquire(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
	p.Lock()
	defer p.Unlock()
	p.acquires++
	if limit, ok := p.limit[team]; ok && slots > limit {
		return false
	}
	p.used += slots
	return true
}

func (p *permits) Release(_ jaybarrow.TeamID, slots jaybarrow.Slots) {
	p.Lock()
	p.used -= slots
	p.Unlock()
	select {
	case p.available <- struct{}{}:
	default:
	}
}

func (p *permits) SetWaiting(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	p.Lock()
	defer p.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[jaybarrow.TeamID]jaybarrow.Slots)
	}
	p.waiting[team] = slots
}

func (p *permits) waitingOf(team jaybarrow.TeamID) jaybarrow.Slots {
	p.Lock()
	defer p.Unlock()
	return p.waiting[team]
}

func (p *permits) Available() <-chan struct{} { return p.available }

func (p *permits) setLimit(team jaybarrow.TeamID, limit jaybarrow.Slots) {
	p.Lock()
	p.limit[team] = limit
	p.Unlock()
	p.available <- struct{}{}
}

func (p *permits) inUse() jaybarrow.Slots {
	p.Lock()
	defer p.Unlock()
	return p.used
}

func (p *permits) acquireCalls() int {
	p.Lock()
	defer p.Unlock()
	return p.acquires
}

// hosts lists the hosts "a", "b", ... with one slot each in every pool.
type hosts struct {
	count   int
	changed chan struct{}
}

func (h hosts) PoolHosts(jaybarrow.PoolID) []schedule.HostView {
	var views []schedule.HostView
	for i := range h.count {
		views = append(views, schedule.HostView{ID: jaybarrow.HostID(rune('a' + i)), Capacity: jaybarrow.Demand{Slots: 1}, Accepting: true})
	}
	return views
}

func (h hosts) Host(id jaybarrow.HostID) (jaybarrow.Host, bool) { return jaybarrow.Host{ID: id}, true }

func (h hosts) Share(jaybarrow.TeamID) jaybarrow.Share { return 1 }

func (h hosts) Changed() <-chan struct{} { return h.changed }

// workers runs each task with the run function; the methods that are not overridden panic.
type workers struct {
	jaybarrow.Workers
	run func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error)
	end chan struct{} // AwaitEnd blocks until it is closed

	sync.Mutex
	hosts []jaybarrow.HostID // of the tasks sent, in order
}

func (w *workers) Run(ctx context.Context, host jaybarrow.Host, task jaybarrow.Task) ([]byte, error) {
	w.Lock()
	w.hosts = append(w.hosts, host.ID)
	w.Unlock()
	return w.run(ctx, host.ID, task)
}

func (w *workers) AwaitEnd(jaybarrow.Host, jaybarrow.Task) { <-w.end }

func (w *workers) sent() []jaybarrow.HostID {
	w.Lock()
	defer w.Unlock()
	return append([]jaybarrow.HostID(nil), w.hosts...)
}

// recorder is an Observer, Meter and Journal that keeps one line for each call.
type recorder struct {
	sync.Mutex
	lines  []string
	onNote func(line string) // optional; called with each line of the Journal
}

func (r *recorder) add(format string, args ...any) {
	r.Lock()
	defer r.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) all() []string {
	r.Lock()
	defer r.Unlock()
	return append([]string(nil), r.lines...)
}

func (r *recorder) Observe(id jaybarrow.PoolID, host jaybarrow.HostID, outcome error, _ time.Duration) {
	r.add("observed %s on %s of %s", kindOf(outcome), host, id)
}

func (r *recorder) Note(subject jaybarrow.Subject, decision, _ string) {
	r.add("%s %s", decision, subject.ID)
	if r.onNote != nil {
		r.onNote(fmt.Sprintf("%s %s", decision, subject.ID))
	}
}

func (r *recorder) Started(team jaybarrow.TeamID, _ jaybarrow.Class, _ time.Duration) {
	r.add("first start of %s", team)
}

func (r *recorder) Answered(team jaybarrow.TeamID, _ jaybarrow.Class, kind jaybarrow.ErrorKind, _ time.Duration) {
	r.add("answered %q to %s", kind, team)
}

func (r *recorder) Served(team jaybarrow.TeamID, slots jaybarrow.Slots, ran time.Duration) {
	r.add("served %d slots for %v to %s", slots, ran, team)
}

func kindOf(err error) string {
	if err == nil {
		return "success"
	}
	return string(jaybarrow.AsError(err).Kind)
}

type fixture struct {
	t         *testing.T
	recorder  *recorder
	clock     *clock
	permits   *permits
	workers   *workers
	scheduler *pool.Scheduler
	ids       atomic.Int64
}

type answer struct {
	body []byte
	err  error
}

// newFixture returns a fixture with hosts of one slot each and workers that run tasks with the run function.
func newFixture(t *testing.T, hostCount int, run func(ctx context.Context, host jaybarrow.HostID, task jaybarrow.Task) ([]byte, error)) *fixture {
	f := &fixture{t: t, recorder: &recorder{}, clock: newClock(), workers: &workers{run: run, end: make(chan struct{})}}
	f.permits = &permits{limit: make(map[jaybarrow.TeamID]jaybarrow.Slots), available: make(chan struct{}, 1)}
	f.scheduler = pool.New(pool.Deps{
		Clock: f.clock, Log: zerolog.Nop(), Hosts: hosts{hostCount, make(chan struct{})}, Workers: f.workers, Permits: f.permits,
		NewPool: func() *schedule.Pool {
			return schedule.New(schedule.Settings{MaxWaiting: 4, Admission: true}, fairshare.New(), leastloaded.New())
		},
		NewTaskID: func(id jaybarrow.RequestID) jaybarrow.TaskID {
			return jaybarrow.TaskID(fmt.Sprint(id, "-", f.ids.Add(1)))
		},
		Incarnation: func() jaybarrow.Incarnation { return 1 }, StartWindow: 2 * time.Second,
		CheckKey: func(jaybarrow.KeyHash) error { return nil },
		Observer: f.recorder, Meter: f.recorder, Journal: f.recorder,
	})
	return f
}

func (f *fixture) request(team, id string, deadline time.Duration) jaybarrow.Request {
	now := f.clock.Now()
	r := jaybarrow.Request{
		ID: jaybarrow.RequestID(id), Team: jaybarrow.TeamID(team), Queue: "q", Pool: "p", Class: jaybarrow.ClassSlow,
		Demand: jaybarrow.Demand{Slots: 1}, Arrived: now, Target: now.Add(time.Hour), Idempotent: true, Declared: time.Second,
	}
	if deadline > 0 {
		r.Class, r.Target, r.Deadline = jaybarrow.ClassQuick, now.Add(deadline), now.Add(deadline)
	}
	return r
}

// submit runs the request in the background.
func (f *fixture) submit(r jaybarrow.Request) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		body, err := f.scheduler.Run(context.Background(), r)
		answers <- answer{body, err}
	}()
	return answers
}

func (f *fixture) await(answers <-chan answer) answer {
	f.t.Helper()
	select {
	case a := <-answers:
		return a
	case <-time.After(20 * time.Second):
		f.t.Fatal("no answer")
		return answer{}
	}
}

// eventually waits until the condition holds.
func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func (f *fixture) load() schedule.Load { return f.scheduler.Loads()["p"] }

func assertError(t *testing.T, err error, kind jaybarrow.ErrorKind, effect jaybarrow.Effect) {
	t.Helper()
	assert.Assert(t, err != nil)
	failure := jaybarrow.AsError(err)
	assert.Equal(t, failure.Kind, kind, "%v", err)
	assert.Equal(t, failure.Effect, effect)
}
