package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/leader"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// replayedTeam is a team of a replay.
type replayedTeam struct {
	id       jaybarrow.TeamID
	share    jaybarrow.Share
	perS     float64 // jobs that it usually submits in a second
	burst    float64 // by how much it submits more between burstAt and burstEnd
	from, to time.Duration
}

// replayResult counts what became of a team's jobs. Times count from the first attempt, except for the jobs that admission takes to be in
// time: these count from when they were accepted.
type replayResult struct{ jobs, inTime, refused, late, promised, broken int }

func (r replayResult) fraction() float64 { return float64(r.inTime) / float64(max(1, r.jobs)) }

// The jobs of a replay are 4 tasks of 1.4 cores for 640 ms and should be completed within 1.6 s. A worker of 10 cores takes 7 tasks.
const (
	replayTasks   = 4
	replayRun     = 640 * time.Millisecond
	replayTarget  = 1600 * time.Millisecond
	replayWorkers = 40
	// replayCapacity is the jobs in a second that fill the pool.
	replayCapacity = replayWorkers * 7 / replayTasks / 0.64
	replayTick     = 5 * time.Millisecond
	replayLength   = 9 * time.Second
)

// admissionReports records what a pool reports on admission.
type admissionReports struct {
	workload.Observer
	judged  map[string]int
	last    admission.Reason
	changes []string
}

func (a *admissionReports) JobJudged(team jaybarrow.TeamID, admitted bool, reason admission.Reason) {
	a.last = reason
	a.judged[fmt.Sprintf("%s %t %s", team, admitted, reason)]++
}

func (a *admissionReports) TeamLimited(_ jaybarrow.PoolID, team jaybarrow.TeamID, limited bool) {
	a.changes = append(a.changes, fmt.Sprintf("%s %t", team, limited))
}

// silentObserver drops what a pool reports.
type silentObserver struct{ ended func(*jaybarrow.Job) }

func (silentObserver) JobStarted(*jaybarrow.Job, time.Duration)     {}
func (silentObserver) StartAnswered(jaybarrow.StartOutcome)         {}
func (silentObserver) WorkerRestarted(jaybarrow.WorkerID, int, int) {}
func (silentObserver) RoomHeld(jaybarrow.PoolID, int, int)          {}
func (silentObserver) WorkerEjected(jaybarrow.WorkerID, string)     {}
func (silentObserver) StartWithheld(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID) {
}

func (silentObserver) HoldGivenUp(jaybarrow.WorkerID, jaybarrow.DrainObstacle) {
}

func (silentObserver) RunEnded(jaybarrow.TaskRef, jaybarrow.RunNumber, jaybarrow.WorkerID, jaybarrow.EndKind, time.Duration) {
}

func (silentObserver) AdviceEnded(jaybarrow.QueueID, jaybarrow.AdviceOutcome, time.Duration) {
}

func (o silentObserver) JobEnded(job *jaybarrow.Job, _ jaybarrow.JobState, _ time.Duration, _ int) {
	o.ended(job)
}

// judgedPool is a pool whose admission and plans are called in virtual time.
type judgedPool struct {
	*testing.T
	*poolShard
	reports *admissionReports
	now     time.Time
	clocks  map[jaybarrow.WorkerID]jaybarrow.WorkerClock
	ends    map[jaybarrow.WorkerID]jaybarrow.EndNumber
	ended   func(*jaybarrow.Job)
	// withoutTeams leaves the team out of questions.
	withoutTeams bool
	asksAlways   bool     // also while the pool is not named as congested, as the leader's own callers do
	transcript   []string // answers and starts
}

// newJudgedPool returns a pool without workers for teams with the shares; a share of 0 is not configured.
func newJudgedPool(t *testing.T, weighs bool, teams []replayedTeam) *judgedPool {
	configuration := &jaybarrow.Configuration{
		Version: 1, Pools: []jaybarrow.JobPool{{ID: "desk"}},
		Queues: []jaybarrow.JobQueue{{ID: "match", Pool: "desk", MaxAttempts: 2, Stretch: 1, Target: replayTarget - replayRun}},
	}
	for _, one := range teams {
		configuration.Teams = append(configuration.Teams, jaybarrow.JobTeam{ID: one.id, Share: one.share})
	}
	known := catalog.New(time.Now())
	known.Apply(configuration)
	settings := DefaultSettings()
	settings.TeamAdmission = weighs
	h := &judgedPool{
		T: t, now: time.UnixMilli(1_000_000), clocks: make(map[jaybarrow.WorkerID]jaybarrow.WorkerClock), ends: make(map[jaybarrow.WorkerID]jaybarrow.EndNumber),
		reports: &admissionReports{judged: make(map[string]int)}, ended: func(*jaybarrow.Job) {},
	}
	h.poolShard = &poolShard{
		deps: Deps{Catalog: known, Settings: settings, Admissions: h.reports, Log: zerolog.Nop()}, id: "desk",
		orders: budget.NewOrders(budget.Host{}, h.now), waitingTasks: new(atomic.Int64), throughput: new(budget.Throughput), advice: newAdviceCalls(nil),
		gates: make(map[int]*gate),
		state: workload.New(workload.Deps{
			Settings: settings.Workload, ID: "desk", Fence: 1, Teams: newTeams(known.Limit, known.Share),
			Observer: silentObserver{func(j *jaybarrow.Job) { h.ended(j) }},
			Policies: func(id jaybarrow.QueueID) (jaybarrow.QueuePolicy, bool) {
				q, ok := known.Queue(id)
				return q.Policy(), ok
			},
		}),
	}
	if weighs {
		h.teams = newTeamAdmission()
	}
	return h
}

// addWorkers registers workers that have reported.
func (h *judgedPool) addWorkers(n int) (ids []jaybarrow.WorkerID) {
	for i := range n {
		id := jaybarrow.WorkerID(fmt.Sprintf("w-%03d", i))
		h.state.SetWorker(jaybarrow.Worker{
			ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 100_000},
		}, h.now)
		h.clocks[id] = 1000
		h.report(id, nil)
		ids = append(ids, id)
	}
	return ids
}

func (h *judgedPool) report(id jaybarrow.WorkerID, running []jaybarrow.RunReport, ended ...jaybarrow.EndReport) {
	_, _, ok := h.state.HoldOrder(id, true, h.now)
	assert.Assert(h, ok)
	h.state.HandleReport(id, jaybarrow.HoldReport{Clock: h.clocks[id], Running: running, Ended: ended}, h.now, h.now)
}

// advance moves the clocks of the pool and of the workers.
func (h *judgedPool) advance(d time.Duration) {
	h.now = h.now.Add(d)
	for id := range h.clocks {
		h.clocks[id] += jaybarrow.WorkerClock(d / time.Millisecond)
	}
}

// ask asks for a replayed job of the team.
func (h *judgedPool) ask(team jaybarrow.TeamID) jaybarrow.Admission {
	if h.withoutTeams {
		team = ""
	}
	return h.admit(jaybarrow.AdmissionRequest{
		Queue: "match", Pool: "desk", Team: team, Work: replayedDemand.Work(replayRun).Times(replayTasks), CriticalPath: replayRun,
	}, h.now)
}

var replayedDemand = jaybarrow.Resources{CPU: 1400, Memory: 100}

// accept adds an accepted job of the team.
func (h *judgedPool) accept(id jaybarrow.JobID, team jaybarrow.TeamID) {
	spec := &jaybarrow.Job{
		ID: id, Queue: "match", Pool: "desk", Team: team, Spec: "s", AcceptedMs: h.now.UnixMilli(),
		Steps: []jaybarrow.Step{{Tasks: replayTasks, Demand: replayedDemand, EstimateMs: replayRun.Milliseconds()}},
	}
	h.state.AddJob(spec, nil, h.now)
	h.noteSubmitted(spec, h.now)
}

// attempt is a caller's call for a job.
type attempt struct {
	at, first time.Duration
	accepted  time.Duration
	team      int
	tries     int
	promised  bool // whether admission expects the job to be in time
}

type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replay submits the teams' jobs with exponentially distributed pauses for the length of time, lets refused callers return at the time that
// they are told, in whole seconds and once, and runs on until nothing waits. As on the platform, the leader is asked only while it names the
// pool as congested. It returns what became of the jobs that were first submitted after the start of the earliest burst, and the capacity in
// tasks, of each look, that idled while a task waited.
func (h *judgedPool) replay(teams []replayedTeam, length time.Duration, seed uint64) (results []replayResult, idle int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls attempts
	counted := length
	for n, one := range teams {
		if one.burst > 1 {
			counted = min(counted, one.from)
		}
		for at := time.Duration(0); at < length; {
			perS := one.perS
			if at >= one.from && at < one.to {
				perS *= one.burst
			}
			at += time.Duration(random.ExpFloat64() / perS * float64(time.Second))
			calls = append(calls, attempt{at: at, first: at, team: n})
		}
	}
	heap.Init(&calls)
	results = make([]replayResult, len(teams))
	ids := h.addWorkers(replayWorkers)
	type active struct {
		start workload.StartRun
		ends  time.Time
	}
	running := make(map[jaybarrow.WorkerID]map[jaybarrow.TaskRef]active)
	due := make(map[jaybarrow.WorkerID]time.Time)
	for _, id := range ids {
		running[id] = make(map[jaybarrow.TaskRef]active)
	}
	begin := h.now
	jobs := make(map[jaybarrow.JobID]attempt)
	h.ended = func(j *jaybarrow.Job) {
		call := jobs[j.ID]
		delete(jobs, j.ID)
		if call.promised {
			results[call.team].promised++
			if h.now.Sub(begin)-call.accepted > replayTarget {
				results[call.team].broken++
			}
		}
		switch {
		case call.first < counted:
		case h.now.Sub(begin)-call.first <= replayTarget:
			results[call.team].inTime++
		default:
			results[call.team].late++
		}
	}
	congested, nextLook, number := false, h.now, 0
	for len(calls) > 0 || len(jobs) > 0 {
		if !h.now.Before(nextLook) {
			congested = h.readLoad(leastUrgent, h.now).load.Wait() > congestionWait
			nextLook = h.now.Add(congestionInterval)
		}
		for len(calls) > 0 && calls[0].at <= h.now.Sub(begin) {
			call := heap.Pop(&calls).(attempt)
			if call.tries == 0 && call.first >= counted {
				results[call.team].jobs++
			}
			if congested || h.asksAlways {
				a := h.ask(teams[call.team].id)
				h.transcript = append(h.transcript, fmt.Sprintf("%v %d %t %d", call.at, call.team, a.Admitted, a.RetryAfter.Milliseconds()))
				if !a.Admitted {
					if call.tries > 0 {
						continue
					}
					if call.first >= counted {
						results[call.team].refused++
					}
					call.tries++
					call.at += max(time.Second, time.Duration(math.Ceil(a.RetryAfter.Seconds()))*time.Second)
					heap.Push(&calls, call)
					continue
				}
			}
			call.accepted, call.promised = h.now.Sub(begin), congested && h.reports.last == admission.ReasonInTime
			number++
			id := jaybarrow.JobID(fmt.Sprintf("j-%06d", number))
			jobs[id] = call
			h.accept(id, teams[call.team].id)
		}
		for _, id := range ids {
			var ends []jaybarrow.EndReport
			for ref, a := range running[id] {
				if !h.now.Before(a.ends) {
					h.ends[id]++
					ends = append(ends, jaybarrow.EndReport{Number: h.ends[id], Task: a.start.Task, Run: a.start.Run, Kind: jaybarrow.EndDone})
					delete(running[id], ref)
				}
			}
			if len(ends) == 0 && h.now.Before(due[id]) {
				continue
			}
			var reports []jaybarrow.RunReport
			for _, a := range running[id] {
				reports = append(reports, jaybarrow.RunReport{Task: a.start.Task, Run: a.start.Run, Progress: 100})
			}
			h.report(id, reports, ends...)
			due[id] = h.now.Add(200 * time.Millisecond)
		}
		for _, s := range h.nextPlan() {
			running[s.Worker.ID][s.Task] = active{start: s, ends: h.now.Add(replayRun)}
			h.transcript = append(h.transcript, s.Task.String())
		}
		if waiting := h.state.Backlog(leastUrgent, h.now).Tasks; waiting > 0 {
			free := replayWorkers * 7
			for _, id := range ids {
				free -= len(running[id])
			}
			idle += min(free, waiting)
		}
		h.advance(replayTick)
		assert.Assert(h, h.now.Sub(begin) < length+time.Minute, "%d jobs are not completed", len(jobs))
	}
	return results, idle
}

// burstOf returns 20 teams with skewed shares, a few of them large, which usually ask for a part of the pool's capacity in proportion to their
// shares. The teams with the numbers submit a multiple of that for 6 s.
func burstOf(usual, multiple float64, numbers ...int) []replayedTeam {
	out := make([]replayedTeam, 20)
	total := 0.0
	for n := range out {
		share := 1.0
		switch {
		case n < 3:
			share = 8
		case n < 8:
			share = 3
		}
		total += share
		out[n] = replayedTeam{id: jaybarrow.TeamID(fmt.Sprintf("team-%02d", n)), share: jaybarrow.Share(share), burst: 1}
	}
	for n := range out {
		out[n].perS = usual * replayCapacity * float64(out[n].share) / total
	}
	for _, n := range numbers {
		out[n].burst, out[n].from, out[n].to = multiple, 2*time.Second, 8*time.Second
	}
	return out
}

// sum adds the results of the teams for which the condition holds.
func sum(results []replayResult, of func(n int) bool) (out replayResult) {
	for n, r := range results {
		if of(n) {
			out.jobs, out.inTime, out.refused, out.late = out.jobs+r.jobs, out.inTime+r.inTime, out.refused+r.refused, out.late+r.late
			out.promised, out.broken = out.promised+r.promised, out.broken+r.broken
		}
	}
	return out
}

// Load pattern: one team submits 7.5 times its usual load for 6 s, or three large ones submit four times theirs, beside others that submit
// what they usually do; the pool holds about half of what is asked. The jobs of the others must be in time although they would come after
// those of whoever sends most. The pool must complete no fewer jobs in time than if it did not weigh teams, and must not idle while a task
// waits. What was admitted as in time must be.
func TestABurstOfSomeTeamsLeavesTheOthersInTime(t *testing.T) {
	cases := []struct {
		name      string
		teams     []replayedTeam
		bursting  []int
		leastLost int // jobs of the others, in percent, that are not in time when the pool does not weigh teams
	}{
		{"one at 7.5 times its usual load", burstOf(1, 7.5, 0), []int{0}, 7},
		{"three at 4 times their usual load", burstOf(0.9, 4, 0, 1, 2), []int{0, 1, 2}, 15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			others := func(n int) bool { return !slices.Contains(c.bursting, n) }
			all := func(int) bool { return true }
			var weighed, unweighed []replayResult
			for seed := range uint64(3) {
				before, _ := newJudgedPool(t, false, c.teams).replay(c.teams, replayLength, seed)
				after, idle := newJudgedPool(t, true, c.teams).replay(c.teams, replayLength, seed)
				t.Logf("others %+v, without weights %+v; all %+v, without weights %+v", sum(after, others), sum(before, others), sum(after, all), sum(before, all))
				assert.Assert(t, sum(after, others).fraction() >= 0.95, "%+v", sum(after, others))
				assert.Equal(t, idle, 0, "tasks that could have run while others waited, summed over all plans")
				unweighed, weighed = append(unweighed, sum(before, others), sum(before, all)), append(weighed, sum(after, others), sum(after, all))
			}
			// The results alternate between the others and all.
			isOthers, isAll := func(n int) bool { return n%2 == 0 }, func(n int) bool { return n%2 == 1 }
			without, with := sum(unweighed, isOthers), sum(weighed, isOthers)
			assert.Assert(t, without.fraction() <= 1-float64(c.leastLost)/100, "the load is too small: %+v", without)
			assert.Assert(t, sum(weighed, isAll).inTime >= sum(unweighed, isAll).inTime, "%+v in place of %+v", sum(weighed, isAll), sum(unweighed, isAll))
			assert.Assert(t, with.promised >= 900 && with.broken*100 <= with.promised, "%+v", with)
			assert.Assert(t, sum(weighed, isAll).broken*50 <= sum(weighed, isAll).promised, "%+v", sum(weighed, isAll))
		})
	}
}

// Guards against decisions that change where nothing has to be weighed: without the flag, for jobs without a team, with one team, and in a
// pool that is not congested.
func TestNothingChangesWhereNoTeamsCompete(t *testing.T) {
	one := burstOf(1, 7.5, 0)[:1]
	one[0].perS = replayCapacity / 2
	calm := burstOf(0.7, 1)
	cases := []struct {
		name                 string
		teams                []replayedTeam
		weighs, withoutTeams bool
		refuses              bool
	}{
		{"without the flag, whatever the teams", burstOf(1, 7.5, 0), false, true, true},
		{"one team", one, true, false, true},
		{"without congestion", calm, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, after := newJudgedPool(t, false, c.teams), newJudgedPool(t, c.weighs, c.teams)
			after.withoutTeams = c.withoutTeams
			before.asksAlways, after.asksAlways = true, true
			results, _ := before.replay(c.teams, replayLength, 1)
			after.replay(c.teams, replayLength, 1)
			assert.Assert(t, len(before.transcript) > 1000, "%d decisions", len(before.transcript))
			assert.Equal(t, sum(results, func(int) bool { return true }).refused > 0, c.refuses)
			assert.DeepEqual(t, after.transcript, before.transcript)
		})
	}
}

// Guards against jobs without a team, as earlier builds ask for them, that come before those of teams within their share.
func TestAJobWithoutATeamIsJudgedAsWithoutTheFlag(t *testing.T) {
	for _, weighs := range []bool{false, true} {
		h := newCongestedPool(t, weighs)
		assert.Equal(t, h.ask("small").Admitted, weighs)
		assert.Assert(t, !h.ask("").Admitted, "weighs %t", weighs)
	}
}

// newCongestedPool returns a pool of a new leader, in which late jobs of the team large wait that take 9 s. They were accepted long ago, so that
// nothing is known of what was lately submitted.
func newCongestedPool(t *testing.T, weighs bool) *judgedPool {
	h := newJudgedPool(t, weighs, []replayedTeam{{id: "large", share: 4}, {id: "small", share: 1}, {id: "other", share: 2}, {id: "unshared"}})
	h.addWorkers(4)
	h.now = h.now.Add(-time.Minute)
	for n := range 100 {
		h.accept(jaybarrow.JobID(fmt.Sprintf("j-%03d", n)), "large")
	}
	h.now = h.now.Add(time.Minute)
	if weighs {
		h.teams = newTeamAdmission()
	}
	h.nextPlan()
	return h
}

// nextPlan plans once and starts what it assigns.
func (h *judgedPool) nextPlan() (starts []workload.StartRun) {
	round := h.state.Plan(h.now, true)
	h.state.MarkWritten(round)
	for _, s := range round.Starts {
		if ready, ok := h.state.MarkSent(s, h.now); ok {
			h.state.HandleStartOutcome(ready, jaybarrow.StartDone, h.now)
			starts = append(starts, ready)
		}
	}
	return starts
}

// Guards against a new leader that treats all teams alike until it has seen some seconds of their load: what waits and runs tells which of
// them are beyond their share.
func TestANewLeaderJudgesByWhatIsWaitingAndRunning(t *testing.T) {
	assert.Assert(t, !newCongestedPool(t, false).ask("small").Admitted, "the pool's late work decides without the flag")
	h := newCongestedPool(t, true)
	assert.Assert(t, h.ask("small").Admitted)
	assert.Assert(t, !h.ask("large").Admitted)
	assert.Equal(t, h.reports.judged["small true inTime"], 1, "%v", h.reports.judged)
	assert.Equal(t, h.reports.judged["large false team"], 1, "%v", h.reports.judged)
}

// Guards against callers of one team that are told to return behind the refused callers of another one.
func TestEachTeamsCallersReturnByThemselves(t *testing.T) {
	h := newCongestedPool(t, true)
	h.ask("small")
	for n := range 30 {
		h.accept(jaybarrow.JobID(fmt.Sprint("other-", n)), "other")
	}
	h.gates = make(map[int]*gate)
	first := h.ask("large")
	for range 50 {
		last := h.ask("large")
		assert.Assert(t, !last.Admitted && last.RetryAfter >= first.RetryAfter)
	}
	other := h.ask("other")
	assert.Assert(t, !other.Admitted)
	last := h.ask("large")
	assert.Assert(t, other.RetryAfter+time.Second < last.RetryAfter, "%v after 51 refused callers of another team, of which the last returns after %v", other.RetryAfter, last.RetryAfter)
}

// Guards against a team without a share that is never beyond it, or that gets no part of the pool at all.
func TestATeamWithoutAShareHasTheSmallestOne(t *testing.T) {
	h := newCongestedPool(t, true)
	admitted := func(team jaybarrow.TeamID) (n int) {
		for n < 1000 && h.ask(team).Admitted {
			n++
			h.accept(jaybarrow.JobID(fmt.Sprint(team, n)), team)
			h.gates = make(map[int]*gate) // so that each answer is by the load of now
		}
		return n
	}
	small, unshared := admitted("small"), admitted("unshared")
	assert.Assert(t, small > 0 && small < 20, "%d", small)
	assert.Assert(t, unshared > 0 && unshared <= small, "%d with the smallest share, %d without one", small, unshared)
}

// Guards against a team whose state is kept although it is gone, and against reports of a limit that is on and off with each look.
func TestTheReportOfALimitEndsOnce(t *testing.T) {
	h := newCongestedPool(t, true)
	for range 3 {
		h.ask("small")
		h.advance(2 * backlogAge)
	}
	assert.DeepEqual(t, h.reports.changes, []string{"large true"})
	for id := range 100 {
		h.state.Cancel(jaybarrow.JobID(fmt.Sprintf("j-%03d", id)), h.now)
	}
	h.readLoad(leastUrgent, h.now)
	assert.DeepEqual(t, h.reports.changes, []string{"large true"})
	h.advance(2 * unlimitedDelay)
	h.readLoad(leastUrgent, h.now)
	assert.DeepEqual(t, h.reports.changes, []string{"large true", "large false"})
	assert.Equal(t, len(h.teams.limited), 0)
}

// Guards against memory and metrics that grow with the names that entry hosts send.
func TestTheNumberOfTeamsIsBounded(t *testing.T) {
	h := newCongestedPool(t, true)
	for n := range 5000 {
		team := jaybarrow.TeamID(fmt.Sprint("unknown-", n))
		for range 40 {
			if !h.ask(team).Admitted {
				break
			}
		}
	}
	assert.Assert(t, h.teams.demand.Teams() <= 1024, "%d", h.teams.demand.Teams())
	assert.Assert(t, len(h.reports.judged) <= 8, "%v", h.reports.judged)
	h.advance(time.Minute)
	g := h.readLoad(0, h.now)
	assert.Equal(t, h.teams.demand.Teams(), 0)
	assert.Equal(t, len(g.teams), 0)
}

// BenchmarkAdmission reports the time of one decision on a job among 250 teams with 1,000 waiting jobs, a reading of the load each 20 ms included.
func BenchmarkAdmission(b *testing.B) {
	for _, weighs := range []bool{false, true} {
		b.Run(fmt.Sprintf("weighs=%t", weighs), func(b *testing.B) {
			var teams []replayedTeam
			for n := range 250 {
				teams = append(teams, replayedTeam{id: jaybarrow.TeamID(fmt.Sprint("team-", n)), share: jaybarrow.Share(1 + n%7)})
			}
			h := newJudgedPool(new(testing.T), weighs, teams)
			h.addWorkers(220)
			for n := range 1000 {
				h.accept(jaybarrow.JobID(fmt.Sprint("j-", n)), teams[n*n%250].id)
			}
			h.nextPlan()
			b.ResetTimer()
			for n := range b.N {
				if n%60 == 0 { // 3,000 decisions a second
					h.advance(backlogAge + time.Millisecond)
				}
				h.ask(teams[n%250].id)
			}
		})
	}
}

// Guards against a flag that a scheduler does not pass on to its pools, and against one that is on by default.
func TestPoolsWeighTeamsOnlyWithTheFlag(t *testing.T) {
	for _, weighs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := platformWithFault{}
			settings := DefaultSettings()
			assert.Assert(t, !settings.TeamAdmission)
			settings.TeamAdmission = weighs
			s := New(Deps{
				Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: f, Catalog: catalog.New(time.Now()), Observer: f,
				Term: leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}}, Settings: settings,
			})
			defer s.Close()
			p := s.pool("desk")
			time.Sleep(time.Second)
			p.locked(func() {
				p.readLoad(0, time.Now())
				assert.Equal(t, p.teams != nil, weighs)
				if weighs {
					assert.Equal(t, p.teams.demand.Teams(), 1, "the stored job was not counted")
				}
			})
		})
	}
}

// Guards against a look at congestion between the admission of a job and its plan that replaces the division by which the job was admitted, so that it
// is placed behind the jobs of a limited team, and against a division that outlives the congestion though nobody asks.
func TestALookAtCongestionKeepsTheDivisionThatHolds(t *testing.T) {
	h := newJudgedPool(t, true, []replayedTeam{{id: "large", share: 1}, {id: "small", share: 10}, {id: "other", share: 10}})
	h.addWorkers(8)
	h.orders = budget.NewOrders(budget.Host{Link: 1}, h.now) // 52 starts in a second, which the jobs wait for longer than for room
	for n := range 60 {
		h.accept(jaybarrow.JobID(fmt.Sprintf("large-%02d", n)), "large")
	}
	for n := range 5 {
		h.accept(jaybarrow.JobID(fmt.Sprintf("other-%02d", n)), "other")
	}
	h.advance(50 * time.Millisecond)
	assert.Assert(t, h.ask("small").Admitted)
	assert.Equal(t, h.reports.last, admission.ReasonInTime)
	h.accept("small", "small")
	h.advance(2 * backlogAge)
	h.readLoad(leastUrgent, h.now)
	started := slices.ContainsFunc(h.nextPlan(), func(s workload.StartRun) bool { return s.Task.Job == "small" })
	assert.Assert(t, started, "placed behind the jobs of the limited team")
	for n := range 60 {
		h.state.Cancel(jaybarrow.JobID(fmt.Sprintf("large-%02d", n)), h.now)
	}
	h.advance(2 * backlogAge)
	h.readLoad(leastUrgent, h.now)
	assert.Assert(t, !h.gates[0].division.Divided())
}
