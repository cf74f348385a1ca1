package worker

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// AnswerRetention is how long a finished task's answer can be fetched.
const AnswerRetention = 30 * time.Second

// Start is a request to start a task.
type Start struct {
	Task        jaybarrow.TaskID
	Request     jaybarrow.RequestID
	Team        jaybarrow.TeamID
	Slots       jaybarrow.Slots
	Entry       jaybarrow.EntryID
	Incarnation jaybarrow.Incarnation
	Boot        task.Boot // the boot whose clock StartBefore is in; empty: any
	Lease       time.Duration
	StartBefore jaybarrow.WorkerClock // 0: any time
	Resumable   bool
}

// Worker is the stand-in's state: tasks, their leases and the ledger.
type Worker struct {
	sync.Mutex
	clock    jaybarrow.Clock
	id       jaybarrow.HostID
	boot     task.Boot
	capacity jaybarrow.Demand
	born     time.Time
	draining bool
	// drainingSince is when draining last became true, and fence the highest one of a drain command.
	drainingSince jaybarrow.WorkerClock
	fence         jaybarrow.Revision
	newest        map[jaybarrow.EntryID]jaybarrow.Incarnation
	records       map[jaybarrow.TaskID]*record
	answered      []*record // finished tasks with a stored answer, oldest first
	usage         usage
	ledger        []Entry
}

// record is all that the worker knows of one task id; it is kept for the worker's life, so an id is never started twice.
type record struct {
	line      int // index in the ledger
	slots     jaybarrow.Slots
	lease     time.Duration
	leaseEnd  time.Time
	timer     *time.Timer
	stop      chan struct{} // closed at the end of the task
	speed     chan float64
	resumable bool
	outcome   task.Outcome
	answer    []byte
	ended     time.Time
}

// New returns an idle Worker.
func New(clock jaybarrow.Clock, id jaybarrow.HostID, capacity jaybarrow.Demand) *Worker {
	return &Worker{
		clock: clock, id: id, boot: task.Boot(uuid.NewString()), capacity: capacity, born: clock.Now(),
		newest:  make(map[jaybarrow.EntryID]jaybarrow.Incarnation),
		records: make(map[jaybarrow.TaskID]*record),
	}
}

// Boot returns the id of this run of the worker.
func (w *Worker) Boot() task.Boot { return w.boot }

// Clock returns the worker's monotonic clock.
func (w *Worker) Clock() jaybarrow.WorkerClock {
	return jaybarrow.WorkerClock(w.clock.Now().Sub(w.born).Milliseconds())
}

// StartTask starts a task under its lease. Without an execution it returns the state of the task, OutcomeRefused unless the
// same id was started before, and the reason.
func (w *Worker) StartTask(s Start) (execution *Execution, state task.Outcome, reason string) {
	w.Lock()
	defer w.Unlock()
	if reason = w.refusal(s); reason != "" {
		return nil, w.refuse(s, reason), reason
	}
	w.newest[s.Entry] = s.Incarnation
	r := &record{
		line: len(w.ledger), slots: s.Slots, lease: s.Lease, leaseEnd: w.clock.Now().Add(s.Lease),
		stop: make(chan struct{}), speed: make(chan float64, 1), resumable: s.Resumable, outcome: task.OutcomeRunning,
	}
	w.ledger = append(w.ledger, entryOf(s, task.OutcomeRunning, ""))
	w.ledger[r.line].StartedNs = time.Now().UnixNano()
	r.timer = time.AfterFunc(s.Lease, func() { w.expire(s.Task) })
	w.records[s.Task] = r
	w.noteUsage()
	return &Execution{worker: w, id: s.Task, stop: r.stop, speed: r.speed}, task.OutcomeRunning, ""
}

func (w *Worker) refusal(s Start) string {
	known, present := w.records[s.Task]
	switch {
	case present && known.outcome == task.OutcomeRefused:
		return ReasonRefusedBefore
	case present:
		return ReasonStartedBefore
	case s.Boot != "" && s.Boot != w.boot:
		return ReasonOtherBoot
	case s.StartBefore != 0 && w.Clock() >= s.StartBefore:
		return ReasonLate
	case s.Incarnation < w.newest[s.Entry]:
		return ReasonOldIncarnation
	case w.draining:
		return ReasonDraining
	case w.used()+s.Slots > w.capacity.Slots:
		return ReasonFull
	}
	return ""
}

// refuse records a refused start and returns the task's state. A refused id stays refused, because the entry host was
// told that it did not run.
func (w *Worker) refuse(s Start, reason string) task.Outcome {
	w.ledger = append(w.ledger, entryOf(s, task.OutcomeRefused, reason))
	if known, present := w.records[s.Task]; present {
		return known.outcome
	}
	w.records[s.Task] = &record{outcome: task.OutcomeRefused}
	return task.OutcomeRefused
}

func (w *Worker) used() jaybarrow.Slots {
	used := jaybarrow.Slots(0)
	for _, r := range w.records {
		if r.outcome == task.OutcomeRunning {
			used += r.slots
		}
	}
	return used
}

// Finish ends a running task with its outcome and answer; it reports whether the task was running.
func (w *Worker) Finish(id jaybarrow.TaskID, outcome task.Outcome, answer []byte) bool {
	w.Lock()
	defer w.Unlock()
	return w.finish(id, outcome, answer)
}

func (w *Worker) finish(id jaybarrow.TaskID, outcome task.Outcome, answer []byte) bool {
	r, ok := w.records[id]
	if !ok || r.outcome != task.OutcomeRunning {
		return false
	}
	now := w.clock.Now()
	r.timer.Stop()
	close(r.stop)
	r.outcome, r.answer, r.ended = outcome, answer, now
	w.answered = append(w.answered, r)
	w.ledger[r.line].EndedNs = time.Now().UnixNano()
	w.ledger[r.line].Outcome = outcome
	w.noteUsage()
	w.dropAnswers(now)
	return true
}

// expire stops a task whose lease has ended.
func (w *Worker) expire(id jaybarrow.TaskID) {
	w.Lock()
	defer w.Unlock()
	r := w.records[id]
	if left := r.leaseEnd.Sub(w.clock.Now()); left > 0 {
		r.timer.Reset(left) // a renewal came while the timer fired
		return
	}
	w.finish(id, task.OutcomeStopped, []byte("the lease ended"))
}

// Renew extends a running task's lease to until, or by its length when until is 0; a renewal never shortens a lease. It
// returns the task's state.
func (w *Worker) Renew(id jaybarrow.TaskID, until jaybarrow.WorkerClock) task.Outcome {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok {
		return task.OutcomeUnknown
	}
	if r.outcome != task.OutcomeRunning {
		return r.outcome
	}
	now := w.clock.Now()
	end := now.Add(r.lease)
	if until != 0 {
		end = w.born.Add(time.Duration(until) * time.Millisecond)
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
		r.timer.Reset(end.Sub(now))
	}
	return r.outcome
}

// Cancel stops a running task, or records the id so that a start that arrives later is refused; it returns the state
// after it.
func (w *Worker) Cancel(id jaybarrow.TaskID) task.Outcome {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok {
		return w.refuse(Start{Task: id}, ReasonCancelled)
	}
	w.finish(id, task.OutcomeStopped, []byte("cancelled"))
	return r.outcome
}

// Checkpoint ends a running task that can be resumed; it returns the task's state and whether it was checkpointed.
func (w *Worker) Checkpoint(id jaybarrow.TaskID) (task.Outcome, bool) {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok {
		return task.OutcomeUnknown, false
	}
	if !r.resumable {
		return r.outcome, false
	}
	ended := w.finish(id, task.OutcomeCheckpointed, []byte("checkpointed"))
	return r.outcome, ended
}

// Throttle sets the speed of a running task; it reports whether the task was running.
func (w *Worker) Throttle(id jaybarrow.TaskID, speed float64) bool {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok || r.outcome != task.OutcomeRunning || speed <= 0 {
		return false
	}
	select {
	case <-r.speed: // only the newest speed counts
	default:
	}
	r.speed <- speed
	return true
}

// Result returns a task's state, its stored answer, and whether that answer is still kept.
func (w *Worker) Result(id jaybarrow.TaskID) (outcome task.Outcome, answer []byte, kept bool) {
	w.Lock()
	defer w.Unlock()
	w.dropAnswers(w.clock.Now())
	r, ok := w.records[id]
	if !ok {
		return task.OutcomeUnknown, nil, false
	}
	return r.outcome, r.answer, r.answer != nil
}

func (w *Worker) dropAnswers(now time.Time) {
	for len(w.answered) > 0 && now.Sub(w.answered[0].ended) > AnswerRetention {
		w.answered[0].answer = nil
		w.answered = w.answered[1:]
	}
}

// SetDraining makes the worker refuse, or again accept, new tasks; false when a command with a higher fence was taken before.
func (w *Worker) SetDraining(draining bool, fence jaybarrow.Revision) bool {
	w.Lock()
	defer w.Unlock()
	if fence < w.fence {
		return false
	}
	if draining && !w.draining {
		w.drainingSince = w.Clock()
	}
	w.draining, w.fence = draining, fence
	return true
}

// stopAll stops every running task.
func (w *Worker) stopAll() {
	w.Lock()
	defer w.Unlock()
	for id := range w.records {
		w.finish(id, task.OutcomeStopped, []byte("the worker stopped"))
	}
}
