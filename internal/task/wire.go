package task

// The headers between an entry host and a worker.
const (
	HeaderTask        = "Task-Id"
	HeaderRequest     = "Task-Request"
	HeaderTeam        = "Task-Team"
	HeaderSlots       = "Task-Slots"
	HeaderLease       = "Task-Lease-Ms"
	HeaderLeaseUntil  = "Task-Lease-Until"  // in the worker's clock, on a renewal
	HeaderStartBefore = "Task-Start-Before" // in the worker's clock
	HeaderIdempotent  = "Task-Idempotent"
	HeaderEntry       = "Entry-Host"
	HeaderIncarnation = "Entry-Incarnation"
	HeaderClock       = "Worker-Clock" // milliseconds, on every answer of a worker
	HeaderBoot        = "Worker-Boot"  // on every answer of a worker, and on a start: the boot whose clock it refers to
	HeaderFence       = "Drain-Fence"  // store revision; an older drain command than the last is refused
	HeaderOutcome     = "Task-Outcome"
	HeaderAnswerKept  = "Task-Answer-Kept" // on a fetched result: whether the body is the stored answer
)

// Boot names one run of a worker; its clock and its records of tasks begin anew with each.
type Boot string

// Outcome is a worker's word on a task.
type Outcome string

// The outcomes.
const (
	OutcomeDone         Outcome = "done"         // ran to its end; the body is the answer
	OutcomeFailed       Outcome = "failed"       // ran and failed
	OutcomeRefused      Outcome = "refused"      // was not started and never will be
	OutcomeStopped      Outcome = "stopped"      // was started and stopped: cancelled, or its lease ended
	OutcomeCheckpointed Outcome = "checkpointed" // was started and ended by a checkpoint; it can be resumed
	OutcomeRunning      Outcome = "running"
	OutcomeUnknown      Outcome = "unknown" // the worker has no record of the task
)

// ended reports whether a task with the outcome has ended after it was started.
func (o Outcome) ended() bool {
	switch o {
	case OutcomeDone, OutcomeFailed, OutcomeStopped, OutcomeCheckpointed:
		return true
	default:
		return false
	}
}
