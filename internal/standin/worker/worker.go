package worker

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Entry is one line of the ledger: a task that was started or refused.
type Entry struct {
	Task      jaybarrow.TaskID    `json:"task"`
	Request   jaybarrow.RequestID `json:"request"`
	Team      jaybarrow.TeamID    `json:"team"`
	Slots     jaybarrow.Slots     `json:"slots"`
	Entry     jaybarrow.EntryID   `json:"entry"`
	StartedNs int64               `json:"startedNs"` // wall clock; 0 for a refused task
	EndedNs   int64               `json:"endedNs"`   // wall clock; 0 while it runs
	Outcome   task.Outcome        `json:"outcome"`
}

// Start is a request to start a task.
type Start struct {
	Task        jaybarrow.TaskID
	Request     jaybarrow.RequestID
	Team        jaybarrow.TeamID
	Slots       jaybarrow.Slots
	Entry       jaybarrow.EntryID
	Incarnation jaybarrow.Incarnation
	Lease       time.Duration
	StartBefore jaybarrow.WorkerClock // 0: any time
}

// Worker is the stand-in's state: running tasks, their leases and the ledger.
type Worker struct {
	sync.Mutex
	clock    jaybarrow.Clock
	id       jaybarrow.HostID
	capacity jaybarrow.Demand
	born     time.Time
	draining bool
	newest   map[jaybarrow.EntryID]jaybarrow.Incarnation
	running  map[jaybarrow.TaskID]*running
	ledger   []Entry
}

type running struct {
	line  int // index in the ledger
	slots jaybarrow.Slots
	lease time.Duration
	timer *time.Timer
	stop  chan struct{}
}

// New returns an idle Worker.
func New(clock jaybarrow.Clock, id jaybarrow.HostID, capacity jaybarrow.Demand) *Worker {
	return &Worker{
		clock: clock, id: id, capacity: capacity, born: clock.Now(),
		newest:  make(map[jaybarrow.EntryID]jaybarrow.Incarnation),
		running: make(map[jaybarrow.TaskID]*running),
	}
}

// Clock returns the worker's monotonic clock.
func (w *Worker) Clock() jaybarrow.WorkerClock {
	return jaybarrow.WorkerClock(w.clock.Now().Sub(w.born).Milliseconds())
}

// Begin starts a task under its lease and returns a channel that is closed when it must stop; an empty reason means that it
// was started.
func (w *Worker) Begin(s Start) (stop <-chan struct{}, reason string) {
	w.Lock()
	defer w.Unlock()
	if reason = w.refusal(s); reason != "" {
		w.ledger = append(w.ledger, Entry{
			Task: s.Task, Request: s.Request, Team: s.Team, Slots: s.Slots, Entry: s.Entry, Outcome: task.OutcomeRefused,
		})
		return nil, reason
	}
	w.newest[s.Entry] = s.Incarnation
	r := &running{line: len(w.ledger), slots: s.Slots, lease: s.Lease, stop: make(chan struct{})}
	w.ledger = append(w.ledger, Entry{
		Task: s.Task, Request: s.Request, Team: s.Team, Slots: s.Slots, Entry: s.Entry,
		StartedNs: time.Now().UnixNano(), Outcome: task.OutcomeRunning,
	})
	r.timer = time.AfterFunc(s.Lease, func() { w.End(s.Task, task.OutcomeStopped) })
	w.running[s.Task] = r
	return r.stop, ""
}

func (w *Worker) refusal(s Start) string {
	used := jaybarrow.Slots(0)
	for _, r := range w.running {
		used += r.slots
	}
	switch {
	case w.draining:
		return "draining"
	case s.Incarnation < w.newest[s.Entry]:
		return "older incarnation of the entry host"
	case s.StartBefore != 0 && w.Clock() > s.StartBefore:
		return "late start"
	case w.running[s.Task] != nil:
		return "task is already running"
	case used+s.Slots > w.capacity.Slots:
		return "no free slot"
	}
	return ""
}

// End ends a running task; it reports whether the task was running.
func (w *Worker) End(id jaybarrow.TaskID, outcome task.Outcome) bool {
	w.Lock()
	defer w.Unlock()
	r, ok := w.running[id]
	if !ok {
		return false
	}
	delete(w.running, id)
	r.timer.Stop()
	close(r.stop)
	w.ledger[r.line].EndedNs = time.Now().UnixNano()
	w.ledger[r.line].Outcome = outcome
	return true
}

// Renew extends a running task's lease; it reports whether the task was running.
func (w *Worker) Renew(id jaybarrow.TaskID) bool {
	w.Lock()
	defer w.Unlock()
	r, ok := w.running[id]
	if !ok || !r.timer.Stop() {
		return false
	}
	r.timer.Reset(r.lease)
	return true
}

// SetDraining makes the worker refuse, or again accept, new tasks.
func (w *Worker) SetDraining(draining bool) {
	w.Lock()
	defer w.Unlock()
	w.draining = draining
}

// Status returns the worker's report.
func (w *Worker) Status() jaybarrow.WorkerStatus {
	w.Lock()
	defer w.Unlock()
	status := jaybarrow.WorkerStatus{Clock: w.Clock(), Draining: w.draining, Capacity: w.capacity, Running: []jaybarrow.TaskID{}}
	for id := range w.running {
		status.Running = append(status.Running, id)
	}
	return status
}

// Ledger returns a copy of the ledger.
func (w *Worker) Ledger() []Entry {
	w.Lock()
	defer w.Unlock()
	return append([]Entry(nil), w.ledger...)
}
