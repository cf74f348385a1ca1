package job

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// The limits of a job; a larger one is rejected before anything is stored.
const (
	maxSpecBytes = 4000
	maxSteps     = 1000 // of one job
	idDigits     = 16   // hexadecimal
)

// The largest numbers of a job. The demands of all waiting tasks are added up, and times are added to the current time.
const (
	maxCPU          = 1_000_000_000               // thousandths of a core, of one task
	maxMemory       = 1_000_000_000               // MB, of one task
	maxAccelerators = 1_000_000                   // of one task
	maxTimeMs       = 10 * 365 * 24 * 3600 * 1000 // of an estimate, a latency or an interval
	maxStartMs      = 253_402_300_799_999         // Unix ms; the end of the year 9999
)

// validateJob returns KindBadRequest for a job that is malformed or exceeds a limit. Its progress must fit into one value of the store.
func validateJob(in Accept, valueBytes int) error {
	switch {
	case !ValidID(in.ID):
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "job id %q: want %d hexadecimal digits", in.ID, idDigits)
	case len(in.Spec) > maxSpecBytes:
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "spec has %d bytes, at most %d are allowed", len(in.Spec), maxSpecBytes)
	case len(in.Steps) == 0 || len(in.Steps) > maxSteps:
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%d steps: want 1 to %d", len(in.Steps), maxSteps)
	}
	runs := 1
	if r := in.Recurrence; r != nil {
		if r.Runs < 1 || r.IntervalMs < 0 || r.IntervalMs > maxTimeMs {
			return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%d runs every %d ms: want at least 1 run and an interval of 0 to %d ms", r.Runs, r.IntervalMs, int64(maxTimeMs))
		}
		if r.StartMs < 0 || r.StartMs > maxStartMs {
			return jaybarrow.Errorf(jaybarrow.KindBadRequest, "start at %d ms: want 0 to %d", r.StartMs, int64(maxStartMs))
		}
		runs = min(r.Runs, workload.MaxTasks(valueBytes)+1)
	}
	tasks, lasting := 0, 0
	mostTasks, mostBegun := workload.MaxTasks(valueBytes), workload.MaxBegunTasks(valueBytes)
	for i, s := range in.Steps {
		if err := validateStep(i, s); err != nil {
			return err
		}
		tasks += min(s.Tasks, mostTasks+1)
		if s.Lasting {
			lasting += min(s.Tasks, mostBegun+1)
		}
		if s.Gang && s.Tasks > mostBegun {
			return jaybarrow.Errorf(jaybarrow.KindBadRequest, "step %d: a gang of %d tasks, at most %d can be stored", i, s.Tasks, mostBegun)
		}
	}
	if tasks*runs > mostTasks {
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "more than %d tasks", mostTasks)
	}
	if lasting*runs > mostBegun {
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "more than %d lasting tasks", mostBegun)
	}
	return nil
}

func validateStep(i int, s jaybarrow.Step) error {
	if s.Tasks < 1 {
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "step %d: %d tasks: want at least 1", i, s.Tasks)
	}
	d := s.Demand
	if d.CPU < 0 || d.Memory < 0 || d.Accelerators < 0 || s.EstimateMs < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyMs < 0 {
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "step %d: a value is negative", i)
	}
	if d.CPU > maxCPU || d.Memory > maxMemory || d.Accelerators > maxAccelerators || s.EstimateMs > maxTimeMs || s.LatencyMs > maxTimeMs {
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "step %d: a value is too large", i)
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || int(predecessor) >= i {
			return jaybarrow.Errorf(jaybarrow.KindBadRequest, "step %d: after %d: want an earlier step", i, predecessor)
		}
	}
	return nil
}

// ValidID reports whether the id is one that a caller may choose.
func ValidID(id jaybarrow.JobID) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
