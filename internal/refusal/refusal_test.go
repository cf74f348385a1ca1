package refusal_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
)

func jobID(n int) jaybarrow.JobID { return jaybarrow.JobID(fmt.Sprintf("%016x", n)) }

// refusedJob is a job of 0.5 core-seconds.
func refusedJob(n int, age time.Duration) jaybarrow.RefusedJob {
	return jaybarrow.RefusedJob{ID: jobID(n), Pool: "desk", Age: age, Work: jaybarrow.Work{CPU: 500}}
}

func noneAccepted(jaybarrow.JobID) bool { return false }

// Load pattern: an entry host that refuses thousands of jobs while there is no leader. What it remembers must stay within 2,000 jobs and 15 s, with
// the time of the first attempt of each.
func TestAnEntryHostRemembersABoundedNumberOfJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := refusal.NewMemory(jaybarrow.SystemClock{})
		for n := range 5000 {
			m.Record(refusedJob(n, 0))
		}
		n, dropped := m.Size()
		assert.Assert(t, n > 1500 && n <= 2000, "%d jobs", n)
		assert.Equal(t, int(dropped)+n, 5000)
		time.Sleep(15*time.Second + time.Millisecond)
		n, _ = m.Size()
		assert.Equal(t, n, 0)
		assert.Equal(t, len(m.Unreported("a").Jobs), 0)
	})
}

// Guards against a job that looks new because its caller was refused again, and against one of another pool that changes it.
func TestAJobKeepsTheTimeOfItsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := refusal.NewMemory(jaybarrow.SystemClock{})
		for range 5 {
			m.Record(refusedJob(1, 0))
			time.Sleep(4 * time.Second)
		}
		other := refusedJob(1, 0)
		other.Pool = "lab"
		m.Record(other)
		ages := make(map[jaybarrow.PoolID]time.Duration)
		for _, j := range m.Unreported("a").Jobs {
			ages[j.Pool] = j.Age
		}
		assert.Equal(t, ages["desk"], 20*time.Second)
		assert.Equal(t, ages["lab"], time.Duration(0))
	})
}

// Guards against reports that grow beyond 500 jobs, against jobs that are lost with a report or a leader, and against jobs that are reported
// without need.
func TestEachTermIsToldOfEachJobOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := refusal.NewMemory(jaybarrow.SystemClock{})
		for n := range 1200 {
			m.Record(refusedJob(n, 0))
		}
		told := func(term refusal.Term) map[jaybarrow.JobID]bool {
			out := make(map[jaybarrow.JobID]bool)
			for {
				r := m.Unreported(term)
				if len(r.Jobs) == 0 {
					return out
				}
				assert.Assert(t, len(r.Jobs) <= refusal.MaxReportJobs)
				for _, j := range r.Jobs {
					assert.Assert(t, !out[j.ID], "told twice")
					out[j.ID] = true
				}
				m.Reported(r, term)
			}
		}
		lost := m.Unreported("a")
		assert.Equal(t, len(lost.Jobs), refusal.MaxReportJobs)
		assert.Equal(t, len(told("a")), 1200, "a lost report is made again")
		assert.Equal(t, len(told("a")), 0)
		assert.Equal(t, len(told("b")), 1200, "a new leader")
		m.Record(refusedJob(7, 0))
		inFlight := m.Unreported("b")
		assert.Equal(t, len(inFlight.Jobs), 1)
		time.Sleep(time.Millisecond)
		m.Record(refusedJob(7, 0))
		m.Reported(inFlight, "b")
		assert.Equal(t, len(told("b")), 1, "refused again during the report")
	})
}

// Guards against more than one report in 250 ms, and against calls that an earlier build as leader does not know; a new leader is told at once.
func TestReportsKeepTheirPace(t *testing.T) {
	now := time.Unix(1000, 0)
	var p refusal.Pace
	reports := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if p.Due(now.Add(at), "a") {
			reports++
		}
	}
	assert.Equal(t, reports, 4)
	now = now.Add(time.Second)
	assert.Assert(t, p.Due(now, "a"))
	p.Unknown(now)
	assert.Assert(t, !p.Due(now.Add(4990*time.Millisecond), "a"))
	assert.Assert(t, p.Due(now.Add(5*time.Second), "a"))
	p.Unknown(now.Add(5 * time.Second))
	assert.Assert(t, p.Due(now.Add(5250*time.Millisecond), "b"), "another leader may know the call")
}

// Guards against a first attempt that depends on the clocks of two hosts or on the order of reports: the age counts, and the earliest one of
// several entry hosts.
func TestTheEarliestFirstAttemptCounts(t *testing.T) {
	r, now := refusal.NewReports(), time.Unix(1000, 0)
	_, known := r.FirstAttempt(now, "desk", jobID(1))
	assert.Assert(t, !known)
	r.Add(now, refusedJob(1, 2*time.Second))
	r.Add(now, refusedJob(1, 5*time.Second))
	r.Add(now.Add(time.Second), refusedJob(1, time.Second))
	at, known := r.FirstAttempt(now.Add(time.Second), "desk", jobID(1))
	assert.Assert(t, known)
	assert.Equal(t, at, now.Add(-5*time.Second))
	_, known = r.FirstAttempt(now, "lab", jobID(1))
	assert.Assert(t, !known, "a job of another pool")
	r.Add(now, refusedJob(2, -time.Hour))
	at, _ = r.FirstAttempt(now, "desk", jobID(2))
	assert.Equal(t, at, now, "an age below 0")
	_, known = r.FirstAttempt(now.Add(20*time.Second), "desk", jobID(1))
	assert.Assert(t, !known, "too old")
}

// Guards against hosts that are moved for work that is counted twice, is accepted already or is not offered any more.
func TestRefusedWorkCountsOnceAndForASecond(t *testing.T) {
	r, now := refusal.NewReports(), time.Unix(1000, 0)
	assert.Equal(t, len(r.Demand(now, noneAccepted)), 0)
	for range 3 { // a report that was lost is made again, and other entry hosts report the same jobs
		for n := range 10 {
			r.Add(now, refusedJob(n, time.Second))
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, r.Demand(now, noneAccepted)["desk"].CPU, jaybarrow.Millicores(5000))
	accepted := func(id jaybarrow.JobID) bool { return id == jobID(3) || id == jobID(4) }
	assert.Equal(t, r.Demand(now, accepted)["desk"].CPU, jaybarrow.Millicores(4000))
	assert.Equal(t, len(r.Demand(now.Add(time.Second), noneAccepted)), 0)
}

// Guards against a report of a faulty host that makes the leader order hosts without end, overflow or fill its memory.
func TestImpossibleReportsDoNoHarm(t *testing.T) {
	r, now := refusal.NewReports(), time.Unix(1000, 0)
	assert.Assert(t, !r.Add(now, jaybarrow.RefusedJob{Pool: "desk"}))
	assert.Assert(t, !r.Add(now, jaybarrow.RefusedJob{ID: jobID(1)}))
	assert.Assert(t, !r.Add(now, jaybarrow.RefusedJob{ID: jaybarrow.JobID(make([]byte, 1000)), Pool: "desk"}))
	odd := refusedJob(1, math.MaxInt64)
	odd.Work = jaybarrow.Work{CPU: math.NaN(), Memory: math.Inf(1), Accelerators: -5}
	assert.Assert(t, r.Add(now, odd))
	d := r.Demand(now, noneAccepted)["desk"]
	assert.Equal(t, d.CPU, jaybarrow.Millicores(0))
	assert.Equal(t, d.Accelerators, jaybarrow.Accelerators(0))
	assert.Assert(t, d.Memory > 0)
	for n := range 50_000 {
		huge := refusedJob(n, 0)
		huge.Work.CPU = math.MaxFloat64
		r.Add(now, huge)
	}
	assert.Assert(t, r.Demand(now, noneAccepted)["desk"].CPU > 0, "the sum overflows")
	known, dropped := r.Size(now)
	assert.Assert(t, known <= 20_000 && dropped > 0, "%d known, %d dropped", known, dropped)
}
