package task

// The headers between an entry host and a worker.
const (
	HeaderTask        = "Task-Id"
	HeaderRequest     = "Task-Request"
	HeaderTeam        = "Task-Team"
	HeaderSlots       = "Task-Slots"
	HeaderLease       = "Task-Lease-Ms"
	HeaderStartBefore = "Task-Start-Before" // in the worker's clock
	HeaderIdempotent  = "Task-Idempotent"
	HeaderEntry       = "Entry-Host"
	HeaderIncarnation = "Entry-Incarnation"
	HeaderClock       = "Worker-Clock" // milliseconds, on every answer of a worker
	HeaderOutcome     = "Task-Outcome"
)

// Outcome is a worker's word on a task.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"    // ran to its end; the body is the answer
	OutcomeFailed  Outcome = "failed"  // ran and failed
	OutcomeRefused Outcome = "refused" // was not started
	OutcomeStopped Outcome = "stopped" // was started and stopped: cancelled, or its lease ended
	OutcomeRunning Outcome = "running"
	OutcomeUnknown Outcome = "unknown" // the worker has no record of the task
)
