package jaybarrow

import "time"

// Work is resources multiplied by the seconds for which they are used.
type Work struct{ CPU, Memory, Accelerators float64 }

// Plus returns the sum.
func (w Work) Plus(o Work) Work {
	return Work{w.CPU + o.CPU, w.Memory + o.Memory, w.Accelerators + o.Accelerators}
}

// Times returns the work multiplied by a factor.
func (w Work) Times(factor float64) Work {
	return Work{factor * w.CPU, factor * w.Memory, factor * w.Accelerators}
}

// Work returns what the resources do in the time.
func (r Resources) Work(d time.Duration) Work {
	return Work{float64(r.CPU), float64(r.Memory), float64(r.Accelerators)}.Times(d.Seconds())
}

// AdmissionRequest describes a job that a caller wants to hand in.
type AdmissionRequest struct {
	Queue        QueueID
	Pool         PoolID
	Team         TeamID // empty on a queue open to all, and from builds that do not send it
	Work         Work
	CriticalPath time.Duration // estimated run time of the longest chain of steps
	PathSteps    int           // steps of that chain; 0 when an older build asks
	Unhurried    bool          // the job is scheduled or lasting, and is never too late
}

// Admission is the scheduler's answer to an AdmissionRequest.
type Admission struct {
	Admitted   bool
	Wait       time.Duration // expected until the job could begin
	RetryAfter time.Duration // when to hand the job in again if it is not admitted
	// ShortOfMemory means that no job is admitted, since the scheduler's host could not hold it.
	ShortOfMemory bool
}

// RefusalRecorder remembers the jobs that are refused and whose callers may hand them in again.
type RefusalRecorder interface {
	// Record remembers that the job was refused now; the age is not used. It must not block.
	Record(job RefusedJob)
}

// RefusedJob is a job that an entry host has refused and whose caller may hand it in again.
type RefusedJob struct {
	ID   JobID
	Pool PoolID
	Age  time.Duration // since the caller's first attempt
	Work Work          // estimated
}
