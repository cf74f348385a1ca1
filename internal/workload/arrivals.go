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
	work work
}

// work is a demand multiplied by the seconds for which it is needed.
type work struct{ cpu, memory, accelerators float64 }

// workOf returns the estimated work of a job; lasting and scheduled jobs count as none.
func workOf(spec *jaybarrow.Job) work {
	var out work
	if spec.Lasting() || spec.Recurrence != nil {
		return out
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		seconds := float64(s.Tasks) * s.Estimate().Seconds()
		if !s.Background {
			out.cpu += float64(s.Demand.CPU) * seconds
		}
		out.memory += float64(s.Demand.Memory) * seconds
		out.accelerators += float64(s.Demand.Accelerators) * seconds
	}
	return out
}

func (a *arrivals) add(spec *jaybarrow.Job, at time.Time) {
	*a = append(*a, arrival{at: at, work: workOf(spec)})
}

// offered returns the offered load: the work that arrived per second, which equals the average demand if the rate continues. For
// each resource the largest job is left out, since a single job is no trend.
func (a *arrivals) offered(now time.Time) jaybarrow.Resources {
	*a = slices.DeleteFunc(*a, func(one arrival) bool { return now.Sub(one.at) > offeredWindow })
	var sum, largest work
	for _, one := range *a {
		sum = work{sum.cpu + one.work.cpu, sum.memory + one.work.memory, sum.accelerators + one.work.accelerators}
		largest = work{max(largest.cpu, one.work.cpu), max(largest.memory, one.work.memory), max(largest.accelerators, one.work.accelerators)}
	}
	seconds := offeredWindow.Seconds()
	return jaybarrow.Resources{
		CPU:          jaybarrow.Millicores((sum.cpu - largest.cpu) / seconds),
		Memory:       jaybarrow.Megabytes((sum.memory - largest.memory) / seconds),
		Accelerators: jaybarrow.Accelerators((sum.accelerators - largest.accelerators) / seconds),
	}
}
