package job

import (
	"context"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// admit returns KindDeadlineUnattainable, with the time to return, for a job that the scheduler expects to complete too late to be of
// use, and KindQueueFull for any job while the scheduler is short of memory. A job that is stored already is admitted, since its caller only
// repeats a request whose answer was lost. So is every job while no scheduler answers.
func (h *AcceptHandler) admit(ctx context.Context, in Accept, team jaybarrow.TeamID) error {
	unhurried := in.Recurrence != nil || isLasting(in.Steps)
	path, pathSteps := criticalPath(in.Queue.Policy(), in.Steps)
	askCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.AdmissionTimeout)
	a, err := h.deps.Directory.Admit(askCtx, jaybarrow.AdmissionRequest{
		Queue: in.Queue.ID, Pool: in.Queue.Pool, Team: team, Work: workOf(in.Steps), CriticalPath: path, PathSteps: pathSteps, Unhurried: unhurried,
	})
	cancel()
	if err != nil || a.Admitted || unhurried && !a.ShortOfMemory {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.ReadTimeout)
	defer cancel()
	_, err = h.deps.Store.Get(readCtx, jaybarrow.JobAcceptedKey(in.ID))
	if !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		// The job is stored, or the store cannot tell; the write finds out.
		return nil
	}
	if a.ShortOfMemory {
		return jaybarrow.Errorf(jaybarrow.KindQueueFull, "the scheduler has no memory for more jobs").WithRetryAfter(a.RetryAfter)
	}
	return jaybarrow.Errorf(jaybarrow.KindDeadlineUnattainable, "the queue's work takes %d ms before this job could begin", a.Wait.Milliseconds()).
		WithRetryAfter(a.RetryAfter)
}

func isLasting(steps []jaybarrow.Step) bool {
	for _, s := range steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// workOf returns the estimated work of all tasks.
func workOf(steps []jaybarrow.Step) jaybarrow.Work {
	var out jaybarrow.Work
	for _, s := range steps {
		demand := s.Demand
		if s.Background {
			demand.CPU = 0
		}
		out = out.Plus(demand.Work(s.Estimate()).Times(float64(s.Tasks)))
	}
	return out
}

// criticalPath returns the estimated time of the longest chain of steps and the number of its steps, the largest one where chains are equally
// long; a step only comes after earlier ones.
func criticalPath(policy jaybarrow.QueuePolicy, steps []jaybarrow.Step) (time.Duration, int) {
	type chain struct {
		takes time.Duration
		steps int
	}
	longer := func(a, b chain) chain {
		if a.takes > b.takes || a.takes == b.takes && a.steps > b.steps {
			return a
		}
		return b
	}
	ends := make([]chain, len(steps))
	var longest chain
	for i := range steps {
		s := &steps[i]
		for _, before := range s.After {
			ends[i] = longer(ends[i], ends[before])
		}
		ends[i].takes += policy.StepTime(s)
		ends[i].steps++
		longest = longer(longest, ends[i])
	}
	return longest.takes, longest.steps
}
