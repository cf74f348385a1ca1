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
	seed     = flag.Uint64("seed", 20261204, "seed of the fault schedule")
	duration = flag.Duration("duration", 10*time.Second, "how long faults are injected in each of the two rounds")
)

// Guards against violations of an invariant that need a combination of faults. The same schedule runs twice on one cluster, so
// that the second round starts from the state that the first one left.
func TestInvariantsHoldUnderCombinedFaults(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, two rounds of faults for %s each", *seed, *duration)
	p := standardPlan()
	p.entriesPerDC = 2
	p.teams = map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 12, "clubs": 6, "quotes": 20}
	c := newCluster(t, p)
	h := &history{}
	s := &faultSchedule{cluster: c, history: h, limits: &limitChanges{}}
	for round := range 2 {
		load := s.load(round)
		s.run(rand.New(rand.NewPCG(*seed, 0)))
		s.endLeftoverDrains()
		s.awaitNormalService(round)
		load.stop()
	}
	answered := 0
	for _, x := range h.list() {
		if x.kind == "" {
			answered++
		}
	}
	allLedgers := ledgers(c.ledgers())
	t.Logf("%d of %d requests were answered", answered, len(h.list()))
	assert.NilError(t, checkInvariants(allLedgers, h.list(), c.plan.teams))
	for _, change := range s.limits.list {
		assert.NilError(t, checkLimitBetween(allLedgers, change.team, change.limit, change.inForceAt.UnixNano(), change.raisedAt.UnixNano()))
	}
}

// faultSchedule injects random faults into a cluster.
type faultSchedule struct {
	cluster *cluster
	history *history
	limits  *limitChanges
	group   sync.WaitGroup
}

// limitChanges collects the intervals in which a lowered limit was reported as in force.
type limitChanges struct {
	sync.Mutex
	list []limitChange
}

type limitChange struct {
	team                jaybarrow.TeamID
	limit               jaybarrow.Slots
	inForceAt, raisedAt time.Time
}

// load starts callers of every team; some of their calls repeat a non-idempotent request through another entry host.
func (s *faultSchedule) load(round int) *load {
	c := s.cluster
	teams := []jaybarrow.TeamID{"trail", "clubs", "quotes"}
	return c.startLoad(s.history, 36, func(caller, n int) *entryHost { return c.entries[(caller+n)%len(c.entries)] }, func(caller, n int) call {
		if n%7 == 6 {
			n -= 6 // repeats an earlier non-idempotent request
		}
		return call{
			team: teams[caller%3], queue: []jaybarrow.QueueID{"match", "render"}[caller%2],
			id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d-%d", round, caller, n)), nonIdempotent: n%7 == 0 || n%3 == 0,
			run: time.Duration(10+caller*7) * time.Millisecond, within: 8 * time.Second, declared: time.Duration(1+caller%3*100) * time.Millisecond,
		}
	})
}

// run injects a fault every 0.5 to 1.5 seconds, each for a limited time, and returns when all have ended.
func (s *faultSchedule) run(r *rand.Rand) {
	faults := []func(r *rand.Rand, faultDuration time.Duration){
		s.killEntry, s.pauseEntry, s.isolateDataCentre, s.freezeOpenConnections, s.failStore, s.failWorker, s.disruptWorkerConnections, s.changeLimit, s.drainHost,
	}
	until := time.Now().Add(*duration)
	var order []int
	for time.Now().Before(until) {
		if len(order) == 0 { // every fault occurs once before any is repeated
			order = r.Perm(len(faults))
		}
		faultDuration := time.Duration(500+r.IntN(3000)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		fault := faults[order[0]]
		order = order[1:]
		s.group.Go(func() { fault(faultRand, faultDuration) })
		time.Sleep(time.Duration(500+r.IntN(1000)) * time.Millisecond)
	}
	s.group.Wait()
}

// entry returns a random entry host.
func (s *faultSchedule) entry(r *rand.Rand) *entryHost {
	return s.cluster.entries[r.IntN(len(s.cluster.entries))]
}

// worker returns a random worker.
func (s *faultSchedule) worker(r *rand.Rand) *workerHost {
	return s.cluster.workers[r.IntN(len(s.cluster.workers))]
}

func (s *faultSchedule) killEntry(r *rand.Rand, faultDuration time.Duration) {
	e := s.entry(r)
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.kill()
	time.Sleep(faultDuration)
	s.cluster.startEntry(e)
}

func (s *faultSchedule) pauseEntry(r *rand.Rand, faultDuration time.Duration) {
	e := s.entry(r)
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.signal(syscall.SIGSTOP)
	time.Sleep(faultDuration * 3) // some pauses are longer than a task lease
	e.signal(syscall.SIGCONT)
}

func (s *faultSchedule) isolateDataCentre(r *rand.Rand, faultDuration time.Duration) {
	dc := dataCentre(r.IntN(s.cluster.plan.dataCentres))
	s.cluster.setIsolated(dc, true)
	time.Sleep(faultDuration)
	s.cluster.setIsolated(dc, false)
}

func (s *faultSchedule) freezeOpenConnections(r *rand.Rand, _ time.Duration) {
	freezeOpen(s.cluster.allPeerProxies()...)
	freezeOpen(s.cluster.storeProxies[dataCentre(r.IntN(s.cluster.plan.dataCentres))], s.worker(r).proxy)
}

func (s *faultSchedule) failStore(r *rand.Rand, faultDuration time.Duration) {
	s.cluster.faults([]store.Faults{
		{Outage: store.OutageRefuse},
		{Outage: store.OutageUnavailable},
		{DelayMs: 400},
		{LostAnswers: store.LostAnswers{All: true}},
		{FrozenWatches: store.FreezeOpen},
	}[r.IntN(5)])
	time.Sleep(faultDuration)
	s.cluster.faults(store.Faults{})
}

func (s *faultSchedule) failWorker(r *rand.Rand, faultDuration time.Duration) {
	w := s.worker(r)
	kinds := []worker.FaultKind{worker.FaultFail, worker.FaultHang, worker.FaultTruncate, worker.FaultDuplicate, worker.FaultCross, worker.FaultLate}
	w.injectFault(worker.Fault{Kind: kinds[r.IntN(len(kinds))], DelayMs: int64(r.IntN(1000))})
	time.Sleep(faultDuration)
	w.injectFault(worker.Fault{})
}

func (s *faultSchedule) disruptWorkerConnections(r *rand.Rand, faultDuration time.Duration) {
	w := s.worker(r)
	f := []faultproxy.Faults{
		refuseConnections, {DropAnswers: faultproxy.DropAll}, {Up: faultproxy.DirectionFaults{Frozen: true}}, {Down: faultproxy.DirectionFaults{Frozen: true}}, {Up: faultproxy.DirectionFaults{DelayMs: 300}},
	}[r.IntN(5)]
	assert.Check(s.cluster.t, w.proxy.Set(f) == nil)
	if f.Refuse {
		w.proxy.Cut()
	}
	time.Sleep(faultDuration)
	assert.Check(s.cluster.t, w.proxy.Set(noFaults) == nil)
}

// changeLimit lowers a team's limit, waits until it is reported as in force, and restores it. Concurrent faults may make any of
// the calls fail.
func (s *faultSchedule) changeLimit(r *rand.Rand, faultDuration time.Duration) {
	const team, lower = "trail", 5
	e := s.entry(r)
	current, revision, _, err := s.cluster.limitOf(e, team)
	if err != nil || current == lower {
		return
	}
	if _, err := s.cluster.operator(e).SetLimit(context.Background(), team, lower, revision); err != nil {
		return
	}
	change := limitChange{team: team, limit: lower}
	for end := time.Now().Add(faultDuration * 4); time.Now().Before(end) && change.inForceAt.IsZero(); time.Sleep(50 * time.Millisecond) {
		if limit, _, inForce, err := s.cluster.limitOf(e, team); err == nil && limit == lower && inForce {
			change.inForceAt = time.Now()
		}
	}
	time.Sleep(faultDuration)
	change.raisedAt = time.Now()
	if !change.inForceAt.IsZero() {
		s.limits.Lock()
		s.limits.list = append(s.limits.list, change)
		s.limits.Unlock()
	}
	s.restoreLimit(team)
}

// restoreLimit sets the team's limit to the planned one, through the entry hosts in turn until one succeeds.
func (s *faultSchedule) restoreLimit(team jaybarrow.TeamID) {
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
	c.t.Errorf("the limit of %s was not restored", team)
}

func (s *faultSchedule) drainHost(r *rand.Rand, faultDuration time.Duration) {
	o, host := s.cluster.operator(s.entry(r)), s.worker(r).host.ID
	if _, err := o.BeginDrain(context.Background(), host, jaybarrow.PurposeHold, ""); err != nil {
		return
	}
	time.Sleep(faultDuration)
	_, _ = o.EndDrain(context.Background(), host) // endLeftoverDrains retries it after the faults
}

// endLeftoverDrains waits until all entry hosts are ready and ends the drains that failed operator calls left behind.
func (s *faultSchedule) endLeftoverDrains() {
	c := s.cluster
	c.awaitAllReady()
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
		}, poll.WithTimeout(waitTimeout))
	}
}

// recoveryTimeout bounds the return to normal service after the last fault. A task that starts just before the last fault ends
// can hold its permits and slots for the longest run without a lease renewal, and a retry then takes several seconds.
const recoveryTimeout = 2*jaybarrow.TaskLease + 10*time.Second

// awaitNormalService waits until requests of each team to each queue through each entry host are answered under the load, and
// asserts that this takes less than recoveryTimeout.
func (s *faultSchedule) awaitNormalService(round int) {
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
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	assert.Check(c.t, time.Since(ended) < recoveryTimeout, "normal service returned only after %s", time.Since(ended))
}
