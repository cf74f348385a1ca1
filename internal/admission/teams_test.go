package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
)

// hundredCores is a pool's load with the given waiting work in seconds of the pool, all in time.
func hundredCores(waiting time.Duration) admission.Load {
	capacity := jaybarrow.Resources{CPU: 100_000}
	return admission.Load{Capacity: capacity, Waiting: capacity.Work(waiting), InTime: capacity.Work(waiting)}
}

// submits is the load of a team that submits jobs of one core-second at the rate.
func submits(share jaybarrow.Share, perS float64) *admission.TeamLoad {
	return &admission.TeamLoad{Share: share, Submitted: jaybarrow.Work{CPU: 1000 * perS}, LargestJob: jaybarrow.Work{CPU: 1000}}
}

// waits adds work in time that waits, in core-seconds.
func waits(t *admission.TeamLoad, cores float64) *admission.TeamLoad {
	t.Waiting, t.InTime = jaybarrow.Work{CPU: 1000 * cores}, jaybarrow.Work{CPU: 1000 * cores}
	return t
}

// Load pattern: teams that ask for more than a pool holds together. Guards against teams that are limited although they ask for no more than
// their share or than the others leave, and against teams beyond that which are not.
func TestTheTeamsThatAskForMoreThanTheirPartAreLimited(t *testing.T) {
	type teams map[jaybarrow.TeamID]*admission.TeamLoad
	cases := []struct {
		name  string
		wait  time.Duration
		teams teams
		want  []jaybarrow.TeamID
	}{
		{"one asks for most", time.Second, teams{"a": submits(1, 150), "b": submits(1, 40), "c": submits(1, 20)}, []jaybarrow.TeamID{"a"}},
		{"beyond its share, within what others leave", time.Second, teams{"a": submits(1, 150), "b": submits(1, 40), "c": submits(1, 5)}, []jaybarrow.TeamID{"a"}},
		{"two beyond their part", time.Second, teams{"a": submits(1, 150), "b": submits(1, 60), "c": submits(1, 5)}, []jaybarrow.TeamID{"a", "b"}},
		{"shares count", time.Second, teams{"a": submits(8, 60), "b": submits(1, 60), "c": submits(1, 5)}, []jaybarrow.TeamID{"b"}},
		{"a small share of one job", time.Second, teams{"a": submits(99, 150), "b": submits(0.5, 1)}, []jaybarrow.TeamID{"a"}},
		{"without congestion", 400 * time.Millisecond, teams{"a": submits(1, 150), "b": submits(1, 40)}, nil},
		{"one team", time.Second, teams{"a": submits(1, 150)}, nil},
		{"less than the pool holds", time.Second, teams{"a": submits(1, 50), "b": submits(1, 40)}, nil},
		{"waiting work only", time.Second, teams{"a": waits(submits(1, 0), 95), "b": waits(submits(1, 0), 5)}, []jaybarrow.TeamID{"a"}},
		{
			"running work only", time.Second,
			teams{"a": {Share: 1, Used: jaybarrow.Resources{CPU: 90_000}}, "b": {Share: 1, Used: jaybarrow.Resources{CPU: 10_000}, Submitted: jaybarrow.Work{CPU: 20_000}}},
			[]jaybarrow.TeamID{"a"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := admission.Divide(hundredCores(c.wait), c.teams, 1)
			assert.Equal(t, d.Divided(), len(c.want) > 0)
			limited := 0
			for range d.LimitedTeams {
				limited++
			}
			assert.Equal(t, limited, len(c.want))
			for _, id := range c.want {
				assert.Assert(t, d.Limited(id), "%s is not limited", id)
			}
		})
	}
}

// Load pattern: one team fills a pool with its jobs. Guards against jobs of other teams that are refused for it, against jobs of the team that
// are taken to be in time although the others' come before them, and against a team that gets less than its part.
func TestAJobWaitsForThoseThatComeBeforeIt(t *testing.T) {
	job := admission.Job{Work: jaybarrow.Work{CPU: 1000}, CriticalPath: 500 * time.Millisecond, Target: 1500 * time.Millisecond}
	cases := []struct {
		name         string
		large, small float64 // core-seconds that wait
		perS         float64 // that the small team submits
		team         jaybarrow.TeamID
		want         admission.Reason
	}{
		{"within its share", 700, 10, 10, "small", admission.ReasonInTime},
		{"behind too much of its own", 700, 130, 30, "small", admission.ReasonTeam},
		{"beyond its part", 700, 10, 10, "large", admission.ReasonTeam},
		{"its part is free", 30, 30, 40, "large", admission.ReasonInTime},
		{"as much as its part", 75, 10, 40, "large", admission.ReasonLate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			load := hundredCores(0)
			load.Waiting = jaybarrow.Work{CPU: 1000 * (c.large + c.small)}
			load.InTime = load.Waiting
			d := admission.Divide(load, map[jaybarrow.TeamID]*admission.TeamLoad{
				"large": waits(submits(1, 150), c.large), "small": waits(submits(1, c.perS), c.small),
			}, 1)
			assert.Assert(t, d.Limited("large"))
			got := d.Decide(new(admission.Gate), c.team, load, job, time.Unix(1000, 0))
			assert.Equal(t, got.Reason, c.want)
			assert.Equal(t, got.Admitted, c.want == admission.ReasonInTime || c.want == admission.ReasonLate)
		})
	}
}

// Guards against callers of one team that return behind the refused callers of another one, and all at once.
func TestRefusedCallersReturnBehindThoseOfTheirTeam(t *testing.T) {
	job := admission.Job{Work: jaybarrow.Work{CPU: 10_000}, CriticalPath: 500 * time.Millisecond, Target: 1500 * time.Millisecond}
	load := hundredCores(9 * time.Second)
	d := admission.Divide(load, map[jaybarrow.TeamID]*admission.TeamLoad{
		"a": waits(submits(1, 150), 450), "b": waits(submits(1, 150), 450),
	}, 1)
	now := time.Unix(1000, 0)
	returns := func(g *admission.Gate, team jaybarrow.TeamID) time.Duration {
		got := d.Decide(g, team, load, job, now)
		assert.Assert(t, !got.Admitted)
		return got.RetryAfter
	}
	a, b := new(admission.Gate), new(admission.Gate)
	first := returns(a, "a")
	for range 20 {
		returns(a, "a")
	}
	assert.Equal(t, returns(b, "b"), first, "not behind the other team's")
	second := returns(b, "b")
	assert.Equal(t, second-first, 200*time.Millisecond, "its team's part of the pool takes so long for one job")
}

// Guards against jobs of a limited team that come before those which were promised their time, against a limited team that does not get its
// part, and against jobs with time that displace those without.
func TestTheOrderIsTheOneThatAdmissionCountsOn(t *testing.T) {
	d := admission.Divide(hundredCores(time.Second), map[jaybarrow.TeamID]*admission.TeamLoad{"a": waits(submits(1, 150), 90), "b": waits(submits(1, 20), 10)}, 1)
	assert.Assert(t, d.Limited("a") && !d.Limited("b"))
	part, beyond := jaybarrow.Resources{CPU: 70_000}, jaybarrow.Resources{CPU: 90_000}
	const hurried, early = 100 * time.Millisecond, 5 * time.Second
	urgent := d.Place("b", false, part, hurried)
	assert.Assert(t, urgent < d.Place("a", false, part, hurried))
	assert.Assert(t, d.Place("a", false, part, hurried) < d.Place("a", false, beyond, hurried))
	assert.Equal(t, d.Place("b", false, part, early), d.Place("a", false, beyond, hurried), "by their targets, while it has time")
	assert.Equal(t, d.Place("a", true, beyond, hurried), urgent, "promised before its team was limited")
	assert.Equal(t, d.Place("new", false, part, hurried), urgent)
}

// Guards against a demand that is remembered for ever, that counts a job for less the longer its accepting took, and against amounts that no
// job has.
func TestDemandIsOfTheLastSeconds(t *testing.T) {
	now := time.Unix(1000, 0)
	one := jaybarrow.Work{CPU: 1000}
	rate := func(d *admission.Demand, at time.Time) float64 {
		loads := make(map[jaybarrow.TeamID]*admission.TeamLoad)
		d.Fill(loads, at)
		if loads["a"] == nil {
			return 0
		}
		return loads["a"].Submitted.CPU
	}
	d := admission.NewDemand()
	for n := range 2000 {
		at := now.Add(time.Duration(n) * 5 * time.Millisecond)
		d.Add("a", one, jaybarrow.Resources{}, at, at)
	}
	end := now.Add(10 * time.Second)
	assert.Assert(t, math.Abs(rate(d, end)-200_000) < 4000, "%v with 200 jobs a second", rate(d, end))
	assert.Assert(t, rate(d, end.Add(4*time.Second)) < 40_000)
	assert.Equal(t, rate(d, end.Add(6*time.Second)), 0.0)
	assert.Equal(t, d.Teams(), 0)
	d.Add("a", one, jaybarrow.Resources{}, now.Add(-time.Minute), now)
	for _, work := range []jaybarrow.Work{{CPU: math.NaN()}, {CPU: math.Inf(1)}, {Memory: -1}} {
		d.Add("a", work, jaybarrow.Resources{}, now, now)
	}
	assert.Equal(t, d.Teams(), 0)
	for n := range 3000 {
		d.Add(jaybarrow.TeamID(fmt.Sprint(n)), one, jaybarrow.Resources{}, now, now)
	}
	assert.Equal(t, d.Teams(), 1024)
}

// Load pattern: a pool with few accelerators, of which a limited team may use less than one. Guards against a part that is rounded to none, so
// that the team's jobs are refused and its callers are told to return after the longest time.
func TestAPartOfFewAcceleratorsIsNotNone(t *testing.T) {
	job := admission.Job{Work: jaybarrow.Work{Accelerators: 0.1}, CriticalPath: 500 * time.Millisecond, Target: 3 * time.Second}
	now := time.Unix(1000, 0)
	divide := func(a, b float64) (admission.Division, admission.Load) {
		load := admission.Load{Capacity: jaybarrow.Resources{Accelerators: 1}, Waiting: jaybarrow.Work{Accelerators: a + b + 0.15}}
		load.InTime = load.Waiting
		waiting := func(amount float64) *admission.TeamLoad {
			w := jaybarrow.Work{Accelerators: amount}
			return &admission.TeamLoad{Share: 1, Submitted: w, Waiting: w, InTime: w}
		}
		d := admission.Divide(load, map[jaybarrow.TeamID]*admission.TeamLoad{"a": waiting(a), "b": waiting(b), "c": waiting(0.15)}, 1)
		assert.Assert(t, d.Limited("a") && d.Limited("b") && !d.Limited("c"))
		return d, load
	}
	d, load := divide(0.5, 3)
	assert.Equal(t, d.Decide(new(admission.Gate), "a", load, job, now).Reason, admission.ReasonInTime)
	d, load = divide(9, 9)
	g := new(admission.Gate)
	first := d.Decide(g, "a", load, job, now)
	assert.Assert(t, !first.Admitted)
	second := d.Decide(g, "a", load, job, now)
	assert.Assert(t, !second.Admitted && second.RetryAfter < 11*time.Second, "%v", second.RetryAfter)
	assert.Assert(t, second.RetryAfter-first.RetryAfter < 500*time.Millisecond, "%v after %v", second.RetryAfter, first.RetryAfter)
}

// Guards against the largest job of a team that is held against it as soon as it has been accepted, where it uses one accelerator.
func TestAPeakOfOneAcceleratorIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	d := admission.NewDemand()
	d.Add("a", jaybarrow.Work{Accelerators: 1}, jaybarrow.Resources{Accelerators: 1}, now, now)
	loads := make(map[jaybarrow.TeamID]*admission.TeamLoad)
	d.Fill(loads, now.Add(time.Second))
	left := loads["a"].LargestPeak[len(loads["a"].LargestPeak)-1]
	assert.Assert(t, left > 0.9 && left < 1, "%v", left)
}
