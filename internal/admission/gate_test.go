package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
)

// quick is a job of 12 tasks of 1.4 cores for 0.64 s that should be completed within 1.6 s.
var quick = admission.Job{
	Work: jaybarrow.Resources{CPU: 12 * 1400}.Work(640 * time.Millisecond), CriticalPath: 640 * time.Millisecond, Target: 1600 * time.Millisecond,
}

// turn replays arrivals of quick jobs at a pool of the capacity and returns how many were admitted, refused, and completed too late to be
// of use, and when the refused ones were asked to return. The pool places work in the order of admission.
func turn(capacity jaybarrow.Millicores, jobsPerS int, length time.Duration) (admitted, refused, useless int, returns []time.Duration) {
	var gate admission.Gate
	begin := time.Unix(1000, 0)
	var waiting jaybarrow.Work
	const tick = 10 * time.Millisecond
	offered := 0
	for at := time.Duration(0); at < length; at += tick {
		waiting.CPU = max(0, waiting.CPU-float64(capacity)*tick.Seconds())
		for ; offered < int(at.Seconds()*float64(jobsPerS)); offered++ {
			load := admission.Load{InTime: waiting, Waiting: waiting, Capacity: jaybarrow.Resources{CPU: capacity}}
			d := gate.Decide(load, quick, begin.Add(at))
			if !d.Admitted {
				refused++
				returns = append(returns, at+d.RetryAfter)
				continue
			}
			admitted++
			waiting = waiting.Plus(quick.Work)
			if load.Wait()+quick.CriticalPath > 3*quick.Target {
				useless++
			}
		}
	}
	return admitted, refused, useless, returns
}

// Load pattern: a turn of five times what the pool holds. What is admitted must be of use, the pool must stay full, and the refused
// callers must return one after the other.
func TestATurnAdmitsWhatCanBeOfUse(t *testing.T) {
	const capacity, perS = 200_000, 90 // 18.6 jobs a second fill the pool
	admitted, refused, useless, returns := turn(capacity, perS, 4*time.Second)
	assert.Assert(t, refused > 0 && admitted+refused >= 4*perS-perS/10, "%d admitted, %d refused", admitted, refused)
	assert.Equal(t, useless, 0)
	assert.Assert(t, float64(admitted)*quick.Work.CPU >= 4*capacity, "%d admitted jobs do not fill the pool", admitted)
	counts := make(map[int]int)
	for _, at := range returns {
		counts[int(at/time.Second)]++
	}
	for second, n := range counts {
		if second < 20 {
			assert.Assert(t, n <= 2*20, "%d callers return in second %d", n, second)
		}
	}
}

// Guards against refusals where there is room, which callers would wait for in vain.
func TestACalmPoolRefusesNothing(t *testing.T) {
	_, refused, _, _ := turn(200_000, 15, 4*time.Second)
	assert.Equal(t, refused, 0)
}

// Guards against a refusal of work that hosts which are idle elsewhere, or joining, will carry in time.
func TestHostsThatComeCount(t *testing.T) {
	load := admission.Load{Waiting: quick.Work.Times(20), InTime: quick.Work.Times(20), Capacity: jaybarrow.Resources{CPU: 10_000}}
	var gate admission.Gate
	assert.Assert(t, !gate.Decide(load, quick, time.Unix(1000, 0)).Admitted)
	load.Coming, load.ComingIn = jaybarrow.Resources{CPU: 1_000_000}, 1500*time.Millisecond
	assert.Assert(t, new(admission.Gate).Decide(load, quick, time.Unix(1000, 0)).Admitted)
}

// Guards against newer jobs that are refused although they would be placed before the late ones, and against a backlog of late jobs that
// grows without end behind newer ones.
func TestJobsInTimeAreAdmittedBesideABoundedBacklog(t *testing.T) {
	late := func(wait time.Duration) admission.Load {
		capacity := jaybarrow.Resources{CPU: 100_000}
		return admission.Load{Waiting: capacity.Work(wait), Capacity: capacity}
	}
	assert.Assert(t, new(admission.Gate).Decide(late(5*time.Second), quick, time.Unix(1000, 0)).Admitted)
	d := new(admission.Gate).Decide(late(9*time.Second), quick, time.Unix(1000, 0))
	assert.Assert(t, !d.Admitted)
	assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter < 9*time.Second, "%v", d.RetryAfter)
}

// Guards against jobs that are admitted because workers have room while the scheduler cannot start as many tasks.
func TestTheRateOfStartsCounts(t *testing.T) {
	load := admission.Load{Tasks: 1000, Capacity: jaybarrow.Resources{CPU: 1_000_000}, StartsPerSecond: 50}
	d := new(admission.Gate).Decide(load, quick, time.Unix(1000, 0))
	assert.Assert(t, !d.Admitted)
	assert.Equal(t, d.Wait, 20*time.Second)
}

// Load pattern: a turn that fills the leader's processor beside a backlog of late jobs. A job whose starts come too late behind others in time
// must be refused at once, and one that comes before the late ones must not.
func TestTheStartsOfJobsInTimeDecideWhetherAnotherOneIs(t *testing.T) {
	load := admission.Load{Tasks: 5000, InTimeTasks: 5000, Capacity: jaybarrow.Resources{CPU: 10_000_000}, StartsPerSecond: 1000}
	assert.Assert(t, !new(admission.Gate).Decide(load, quick, time.Unix(1000, 0)).Admitted, "its starts come after 5 s")
	load.InTimeTasks = 500
	assert.Assert(t, new(admission.Gate).Decide(load, quick, time.Unix(1000, 0)).Admitted, "its starts come after 0.5 s")
}

// Guards against a pool without workers that refuses for ever, or with a time that nobody can wait for.
func TestAPoolWithoutCapacityGivesATimeToReturn(t *testing.T) {
	d := new(admission.Gate).Decide(admission.Load{Waiting: quick.Work, InTime: quick.Work}, quick, time.Unix(1000, 0))
	assert.Assert(t, !d.Admitted)
	assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= 20*time.Second, "%v", d.RetryAfter)
	assert.Assert(t, new(admission.Gate).Decide(admission.Load{}, quick, time.Unix(1000, 0)).Admitted, "nothing waits")
}

// Load pattern: a burst of jobs that need advice, in a pool with room. The adviser's time decides, and refused callers return as it decides.
func TestTheAdvisersTimeCounts(t *testing.T) {
	advised := quick
	advised.Advice = 100 * time.Millisecond
	load := admission.Load{Capacity: jaybarrow.Resources{CPU: 1_000_000}, InTimeAdvice: 6 * time.Second, Advice: 6 * time.Second}
	var gate admission.Gate
	first, second := gate.Decide(load, advised, time.Unix(1000, 0)), gate.Decide(load, advised, time.Unix(1000, 0))
	assert.Assert(t, !first.Admitted && !second.Admitted)
	assert.Equal(t, first.RetryAfter, 6*time.Second+quick.CriticalPath-3*quick.Target)
	assert.Equal(t, second.RetryAfter-first.RetryAfter, advised.Advice)
	load.InTimeAdvice = 500 * time.Millisecond
	assert.Assert(t, new(admission.Gate).Decide(load, advised, time.Unix(1000, 0)).Admitted, "it comes before the late ones")
}
