package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

var (
	seed     = flag.Uint64("seed", 20261204, "seed of the schedule of faults")
	duration = flag.Duration("duration", 10*time.Second, "how long faults are injected in each of two runs")
)

// Guards against faults that break a promise only in combination; the same schedule runs twice over on one system.
func TestAllFaultsTogether(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, faults for %s, twice", *seed, *duration)
	p := standardPlan()
	p.entriesPerDC = 2
	p.teams = map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 12, "clubs": 6, "quotes": 20}
	c := newCluster(t, p)
	h := &history{}
	s := &schedule{cluster: c, history: h, limits: &limitChanges{}}
	for round := range 2 {
		load := s.load(round)
		s.run(rand.New(rand.NewPCG(*seed, 0)))
		s.mend()
		s.awaitService(round)
		load.stop()
	}
	answered := 0
	for _, x := range h.list() {
		if x.kind == "" {
			answered++
		}
	}
	ran := ledgers(c.ledgers())
	t.Logf("%d of %d requests were answered", answered, len(h.list()))
	assert.NilError(t, checkAll(ran, h.list(), c.plan.teams))
	for _, change := range s.limits.list {
		assert.NilError(t, checkLimitBetween(ran, change.team, change.limit, change.told.UnixNano(), change.raised.UnixNano()))
	}
}

// schedule injects faults into a cluster.
type schedule struct {
	cluster *cluster
	history *history
	limits  *limitChanges
	group   sync.WaitGroup
}

// limitChanges are the intervals in which operators were told that a lower limit is in force.
type limitChanges struct {
	sync.Mutex
	list []limitChange
}

type limitChange struct {
	team         jaybarrow.TeamID
	limit        jaybarrow.Slots
	told, raised time.Time
}

// load starts callers of every team; some repeat a non-idempotent request through another entry host.
func (s *schedule) load(round int) *load {
	c := s.cluster
	teams := []jaybarrow.TeamID{"trail", "clubs", "quotes"}
	return c.startLoad(s.history, 36, func(caller, n int) *entryHost { return c.entries[(caller+n)%len(c.entries)] }, func(caller, n int) call {
		if n%7 == 6 {
			n -= 6 // a repeat of an earlier request; it was non-idempotent
		}
		return call{
			team: teams[caller%3], queue: []jaybarrow.QueueID{"match", "render"}[caller%2],
			id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d-%d", round, caller, n)), nonIdempotent: n%7 == 0 || n%3 == 0,
			run: time.Duration(10+caller*7) * time.Millisecond, within: 8 * time.Second, declared: time.Duration(1+caller%3*100) * time.Millisecond,
		}
	})
}

// run begins a fault every second or so; each ends by itself.
func (s *schedule) run(r *rand.Rand) {
	faults := []func(r *rand.Rand, lasts time.Duration){
		s.killEntry, s.pauseEntry, s.cutDataCentre, s.freezeLinks, s.failStore, s.failWorker, s.cutWorker, s.changeLimit, s.drainHost,
	}
	until := time.Now().Add(*duration)
	var order []int
	for time.Now().Before(until) {
		if len(order) == 0 { // every fault once before any comes again
			order = r.Perm(len(faults))
		}
		lasts := time.Duration(500+r.IntN(3000)) * time.Millisecond
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		fault := faults[order[0]]
		order = order[1:]
		s.group.Go(func() { fault(own, lasts) })
		time.Sleep(time.Duration(500+r.IntN(1000)) * time.Millisecond)
	}
	s.group.Wait()
}

func (s *schedule) entry(r *rand.Rand) *entryHost {
	return s.cluster.entries[r.IntN(len(s.cluster.entries))]
}

func (s *schedule) worker(r *rand.Rand) *workerHost {
	return s.cluster.workers[r.IntN(len(s.cluster.workers))]
}

func (s *schedule) killEntry(r *rand.Rand, lasts time.Duration) {
	e := s.entry(r)
	e.faulty.Lock()
	defer e.faulty.Unlock()
	e.kill()
	time.Sleep(lasts)
	s.cluster.startEntry(e)
}

func (s *schedule) pauseEntry(r *rand.Rand, lasts time.Duration) {
	e := s.entry(r)
	e.faulty.Lock()
	defer e.faulty.Unlock()
	e.signal(syscall.SIGSTOP)
	time.Sleep(lasts * 3) // some pauses are longer than a task lease
	e.signal(syscall.SIGCONT)
}

func (s *schedule) cutDataCentre(r *rand.Rand, lasts time.Duration) {
	dc := dataCentre(r.IntN(s.cluster.plan.dataCentres))
	s.cluster.cutOff(dc, true)
	time.Sleep(lasts)
	s.cluster.cutOff(dc, false)
}

func (s *schedule) freezeLinks(r *rand.Rand, _ time.Duration) {
	freezeOpen(s.cluster.peerLinks()...)
	freezeOpen(s.cluster.stores[dataCentre(r.IntN(s.cluster.plan.dataCentres))], s.worker(r).proxy)
}

func (s *schedule) failStore(r *rand.Rand, lasts time.Duration) {
	s.cluster.faults([]store.Faults{
		{Outage: store.OutageRefuse},
		{Outage: store.OutageUnavailable},
		{DelayMs: 400},
		{LostAnswers: store.LostAnswers{All: true}},
		{FrozenWatches: store.FreezeOpen},
	}[r.IntN(5)])
	time.Sleep(lasts)
	s.cluster.faults(store.Faults{})
}

func (s *schedule) failWorker(r *rand.Rand, lasts time.Duration) {
	w := s.worker(r)
	kinds := []worker.FaultKind{worker.FaultFail, worker.FaultHang, worker.FaultTruncate, worker.FaultDuplicate, worker.FaultCross, worker.FaultLate}
	w.misbehave(worker.Fault{Kind: kinds[r.IntN(len(kinds))], DelayMs: int64(r.IntN(1000))})
	time.Sleep(lasts)
	w.misbehave(worker.Fault{})
}

func (s *schedule) cutWorker(r *rand.Rand, lasts time.Duration) {
	w := s.worker(r)
	f := []faultproxy.Faults{
		cutFaults, {DropAnswers: faultproxy.DropAll}, {Up: faultproxy.DirectionFaults{Frozen: true}}, {Down: faultproxy.DirectionFaults{Frozen: true}}, {Up: faultproxy.DirectionFaults{DelayMs: 300}},
	}[r.IntN(5)]
	assert.Check(s.cluster.t, w.proxy.Set(f) == nil)
	if f.Refuse {
		w.proxy.Cut()
	}
	time.Sleep(lasts)
	assert.Check(s.cluster.t, w.proxy.Set(noFaults) == nil)
}

// changeLimit lowers a team's limit, waits until the operator is told that it is in force, and raises it again; other faults
// may make any of the calls fail.
func (s *schedule) changeLimit(r *rand.Rand, lasts time.Duration) {
	const team, lower = "trail", 5
	e := s.entry(r)
	full, revision, _, err := s.cluster.limitOf(e, team)
	if err != nil || full == lower {
		return
	}
	if _, err := s.cluster.operator(e).SetLimit(context.Background(), team, lower, revision); err != nil {
		return
	}
	change := limitChange{team: team, limit: lower}
	for end := time.Now().Add(lasts * 4); time.Now().Before(end) && change.told.IsZero(); time.Sleep(50 * time.Millisecond) {
		if limit, _, inForce, err := s.cluster.limitOf(e, team); err == nil && limit == lower && inForce {
			change.told = time.Now()
		}
	}
	time.Sleep(lasts)
	change.raised = time.Now()
	if !change.told.IsZero() {
		s.limits.Lock()
		s.limits.list = append(s.limits.list, change)
		s.limits.Unlock()
	}
	s.raise(team)
}

// raise sets the team's limit to that of the plan again, through whichever entry host can.
func (s *schedule) raise(team jaybarrow.TeamID) {
	c := s.cluster
	for n := range 1000 {
		e := c.entries[n%len(c.entries)]
		limit, revision, _, err := c.limitOf(e, team)
		if err == nil && limit != c.plan.teams[team] {
			_, err = c.operator(e).SetLimit(context.Background(), team, c.plan.teams[team], revision)
		}
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("the limit of %s was not raised again", team)
}

func (s *schedule) drainHost(r *rand.Rand, lasts time.Duration) {
	o, host := s.cluster.operator(s.entry(r)), s.worker(r).host.ID
	if _, err := o.BeginDrain(context.Background(), host, jaybarrow.PurposeHold, ""); err != nil {
		return
	}
	time.Sleep(lasts)
	_, _ = o.EndDrain(context.Background(), host) // tried again when the faults have ended
}

// mend ends what a failed call of an operator may have left.
func (s *schedule) mend() {
	c := s.cluster
	c.awaitReady()
	for _, w := range c.workers {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			o := c.operator(c.entries[0])
			host, err := o.Host(context.Background(), w.host.ID)
			if err == nil && host.Drain != nil {
				_, err = o.EndDrain(context.Background(), w.host.ID)
			}
			if err != nil || host.Drain != nil {
				return poll.Continue("%+v %v", host.Drain, err)
			}
			return poll.Success()
		}, poll.WithTimeout(patience))
	}
}

// recovery is the bound for normal service after the last fault: permits and slots of lost tasks are free after the longest
// run of a task without renewal, which a task can begin just before the last fault ends, and a retry then needs seconds.
const recovery = 2*jaybarrow.TaskLease + 10*time.Second

// awaitService waits until a request of each team through each entry host is answered, beside the load.
func (s *schedule) awaitService(round int) {
	c, ended := s.cluster, time.Now()
	attempt := 0
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		attempt++
		for _, e := range c.entries {
			for team := range c.plan.teams {
				for _, queue := range []jaybarrow.QueueID{"match", "render"} {
					id := jaybarrow.RequestID(fmt.Sprintf("service-%d-%d-%s-%s", round, attempt, e.id, queue))
					x := c.send(s.history, e, call{team: team, queue: queue, id: id, nonIdempotent: true, run: time.Millisecond, within: 10 * time.Second})
					if x.kind != "" {
						return poll.Continue("%s through %s: %s %s", team, e.id, x.kind, x.message)
					}
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
	assert.Check(c.t, time.Since(ended) < recovery, "normal service only after %s", time.Since(ended))
}
