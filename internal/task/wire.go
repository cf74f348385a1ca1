package task

// The headers of the HTTP calls from an entry host to a worker.
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
	HeaderClock       = "Worker-Clock" // in milliseconds, on every response of a worker
	HeaderBoot        = "Worker-Boot"  // on every response of a worker; on a start, the boot whose clock it refers to
	HeaderFence       = "Drain-Fence"  // fencing token, a store revision; a drain command older than the last is refused
	HeaderOutcome     = "Task-Outcome"
	HeaderAnswerKept  = "Task-Answer-Kept" // on a fetched outcome, whether the body is the stored answer
)

// Boot identifies one process of a worker. The worker's clock and its records of tasks start afresh with each.
type Boot string

// Outcome is the state of a task as its worker reports it.
type Outcome string

// The outcomes.
const (
	OutcomeDone         Outcome = "done"         // ran to its end; the body is the answer
	OutcomeFailed       Outcome = "failed"       // ran and failed
	OutcomeRefused      Outcome = "refused"      // was not started and never will be
	OutcomeStopped      Outcome = "stopped"      // was started, then stopped by a cancellation or the end of its lease
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
