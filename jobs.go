package jaybarrow

import (
	"fmt"
	"slices"
	"time"
)

// JobID names a job; the caller chooses it.
type JobID string

// StepIndex numbers the steps of a job from 0.
type StepIndex int

// TaskIndex numbers the tasks of a step from 0.
type TaskIndex int

// Occurrence numbers the runs of a scheduled job from 0; it is 0 for every other job.
type Occurrence int

// RunNumber numbers the starts of one task from 1; a later start has a higher number.
type RunNumber int64

// FenceToken orders the schedulers of the fleet; a worker rejects an order with a token lower than one it has seen.
type FenceToken int64

// WorkerID names a worker in the register; a process that restarts may keep it.
type WorkerID string

// Label is a property that a worker has and a step may require.
type Label string

// ImageID names the program that the tasks of a step run; tasks of the same image behave alike.
type ImageID string

// Checkpoint is the saved state of a task; empty when there is none.
type Checkpoint string

// Millicores counts processor capacity in thousandths of a core.
type Millicores int64

// Cores returns the capacity in whole and partial cores.
func (m Millicores) Cores() float64 { return float64(m) / 1000 }

// Percent is a share from 0 to 100.
type Percent int

// Resources is a demand or capacity in each kind of resource.
type Resources struct {
	CPU          Millicores   `json:"cpu,omitempty"`
	Memory       Megabytes    `json:"memoryMb,omitempty"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference; a part may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns the resources of n equal demands.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * Millicores(n), r.Memory * Megabytes(n), r.Accelerators * Accelerators(n)}
}

// FitsIn reports whether every part is at most that of the capacity.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// FitsLimit is FitsIn for a limit in which a part of 0 is unlimited.
func (r Resources) FitsLimit(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) && (limit.Memory == 0 || r.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence Occurrence
	Step       StepIndex
	Index      TaskIndex
}

// String returns the parts separated by slashes.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks          int         `json:"tasks"`
	Demand         Resources   `json:"demand"`
	EstimateMs     int64       `json:"estimateMs,omitempty"` // rough run time of one task
	After          []StepIndex `json:"after,omitempty"`      // steps that must be done first
	Checkpoints    bool        `json:"checkpoints,omitempty"`
	Gang           bool        `json:"gang,omitempty"` // the tasks make progress only while all of them run
	SameRack       bool        `json:"sameRack,omitempty"`
	Requires       Label       `json:"requires,omitempty"`
	DataRack       RackID      `json:"dataRack,omitempty"`
	MaxPerWorker   int         `json:"maxPerWorker,omitempty"` // 0 means no limit
	Speculative    bool        `json:"speculative,omitempty"`  // several copies of a task may run at the same time
	Lasting        bool        `json:"lasting,omitempty"`      // runs until the job is cancelled
	Image          ImageID     `json:"image,omitempty"`
	LatencyMs      int64       `json:"latencyMs,omitempty"`  // bound on the tail latency that the users of a lasting task see
	Background     bool        `json:"background,omitempty"` // uses CPU time that other tasks leave idle; not counted as used
	MaxUnavailable int         `json:"mayMiss,omitempty"`    // tasks that evictions may leave unavailable at the same time; 0 means 1
}

// Estimate returns the rough run time of one task.
func (s Step) Estimate() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// Recurrence is the schedule of a job that runs several times.
type Recurrence struct {
	Runs       int   `json:"runs"`
	StartMs    int64 `json:"startMs"` // wall clock of the first run
	IntervalMs int64 `json:"intervalMs"`
}

// Job is a job accepted from a caller; it is immutable.
type Job struct {
	ID         JobID       `json:"id"`
	Queue      QueueID     `json:"queue"`
	Pool       PoolID      `json:"pool"`           // pool of the queue when the job was accepted
	Team       TeamID      `json:"team,omitempty"` // empty on a queue open to all
	Spec       string      `json:"spec"`
	Steps      []Step      `json:"steps"`
	Recurrence *Recurrence `json:"recurrence,omitempty"`
	AcceptedMs int64       `json:"acceptedMs"` // wall clock
	// Policy is that of the queue when the job was accepted, for when the queue is no longer configured; nil in records of earlier builds.
	Policy *QueuePolicy `json:"policy,omitempty"`
}

// Occurrences returns the number of times that the job's steps run.
func (j *Job) Occurrences() int {
	if j.Recurrence == nil {
		return 1
	}
	return j.Recurrence.Runs
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Lasting })
}

// JobState is the state of a job that callers see.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }
