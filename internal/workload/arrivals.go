package workload

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// offeredOver is the time over which arriving work is averaged: long enough for a few jobs of a rising queue, and shorter than
// the run time of a usual job, so that hosts are asked for before the work has piled up.
const offeredOver = 700 * time.Millisecond

// arrivals are the jobs that arrived lately.
type arrivals []arrival

type arrival struct {
	at   time.Time
	work work
}

// work is a demand times the seconds for which it is needed.
type work struct{ cpu, memory, accelerators float64 }

// workOf returns the work of a job by its estimates; lasting and scheduled jobs do not count.
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

// offered returns the work that arrived lately for each second: as much runs on average if it goes on like that. The largest job
// is left out, since a single one is no trend.
func (a *arrivals) offered(now time.Time) jaybarrow.Resources {
	*a = slices.DeleteFunc(*a, func(one arrival) bool { return now.Sub(one.at) > offeredOver })
	var sum, largest work
	for _, one := range *a {
		sum = work{sum.cpu + one.work.cpu, sum.memory + one.work.memory, sum.accelerators + one.work.accelerators}
		largest = work{max(largest.cpu, one.work.cpu), max(largest.memory, one.work.memory), max(largest.accelerators, one.work.accelerators)}
	}
	seconds := offeredOver.Seconds()
	return jaybarrow.Resources{
		CPU:          jaybarrow.Millicores((sum.cpu - largest.cpu) / seconds),
		Memory:       jaybarrow.Megabytes((sum.memory - largest.memory) / seconds),
		Accelerators: jaybarrow.Accelerators((sum.accelerators - largest.accelerators) / seconds),
	}
}
