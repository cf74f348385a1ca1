package workload

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// offeredWindow is the window over which arriving work is averaged: long enough for a few jobs of a growing queue, and shorter
// than the run time of a typical job, so that hosts are requested before a backlog has built up.
const offeredWindow = 700 * time.Millisecond

// arrivals are the recently accepted jobs.
type arrivals []arrival

type arrival struct {
	at   time.Time
	work jaybarrow.Work
}

// WorkOf returns the estimated work of a job; lasting and scheduled jobs count as none.
func WorkOf(spec *jaybarrow.Job) jaybarrow.Work {
	var out jaybarrow.Work
	if spec.Lasting() || spec.Recurrence != nil {
		return out
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		out = out.Plus(demandOf(s).Work(s.Estimate()).Times(float64(s.Tasks)))
	}
	return out
}

func (a *arrivals) add(spec *jaybarrow.Job, at time.Time) {
	*a = append(*a, arrival{at: at, work: WorkOf(spec)})
}

// offered returns the offered load: the work that arrived per second, which equals the average demand if the rate continues. For
// each resource the largest job is left out, since a single job is no trend.
func (a *arrivals) offered(now time.Time) jaybarrow.Resources {
	*a = slices.DeleteFunc(*a, func(one arrival) bool { return now.Sub(one.at) > offeredWindow })
	var sum, largest jaybarrow.Work
	for _, one := range *a {
		sum = sum.Plus(one.work)
		largest = jaybarrow.Work{CPU: max(largest.CPU, one.work.CPU), Memory: max(largest.Memory, one.work.Memory), Accelerators: max(largest.Accelerators, one.work.Accelerators)}
	}
	seconds := offeredWindow.Seconds()
	return jaybarrow.Resources{
		CPU:          jaybarrow.Millicores((sum.CPU - largest.CPU) / seconds),
		Memory:       jaybarrow.Megabytes((sum.Memory - largest.Memory) / seconds),
		Accelerators: jaybarrow.Accelerators((sum.Accelerators - largest.Accelerators) / seconds),
	}
}
