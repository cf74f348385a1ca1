package worker

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Entry is one line of the ledger, for a started task or a refused start.
type Entry struct {
	Task        jaybarrow.TaskID      `json:"task"`
	Request     jaybarrow.RequestID   `json:"request"`
	Team        jaybarrow.TeamID      `json:"team"`
	Slots       jaybarrow.Slots       `json:"slots"`
	Entry       jaybarrow.EntryID     `json:"entry"`
	Incarnation jaybarrow.Incarnation `json:"incarnation"`
	StartedNs   int64                 `json:"startedNs"` // wall clock; 0 for a refused start
	EndedNs     int64                 `json:"endedNs"`   // wall clock; 0 while the task runs
	Outcome     task.Outcome          `json:"outcome"`
	Reason      string                `json:"reason,omitempty"` // of a refusal
}

// The reasons of refusals in the ledger.
const (
	ReasonRefusedBefore  = "the task was cancelled or refused before"
	ReasonStartedBefore  = "the task was started before"
	ReasonOtherBoot      = "start is meant for an earlier boot of the worker"
	ReasonLate           = "late start"
	ReasonOldIncarnation = "older incarnation of the entry host"
	ReasonDraining       = "draining"
	ReasonFull           = "no free slot"
	ReasonCancelled      = "cancelled before its start"
)

func entryOf(s Start, outcome task.Outcome, reason string) Entry {
	return Entry{
		Task: s.Task, Request: s.Request, Team: s.Team, Slots: s.Slots, Entry: s.Entry, Incarnation: s.Incarnation,
		Outcome: outcome, Reason: reason,
	}
}

// Ledger returns a copy of the ledger.
func (w *Worker) Ledger() []Entry {
	w.Lock()
	defer w.Unlock()
	return append([]Entry{}, w.ledger...)
}
