package worker

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// AnswerRetention is how long the answer of a finished task can be fetched.
const AnswerRetention = 30 * time.Second

// Start is a request to start a task.
type Start struct {
	Task        jaybarrow.TaskID
	Request     jaybarrow.RequestID
	Team        jaybarrow.TeamID
	Slots       jaybarrow.Slots
	Entry       jaybarrow.EntryID
	Incarnation jaybarrow.Incarnation
	Boot        task.Boot // the boot that StartBefore refers to, or empty for any boot
	Lease       time.Duration
	StartBefore jaybarrow.WorkerClock // 0 without a limit
	Resumable   bool                  // the task can be ended by a checkpoint
}

// Worker is the state of the stand-in: its tasks, their leases and the ledger.
type Worker struct {
	sync.Mutex
	clock     jaybarrow.Clock
	id        jaybarrow.HostID
	boot      task.Boot
	capacity  jaybarrow.Demand
	startedAt time.Time // origin of the worker clock
	draining  bool
	// drainingSince is when draining last became true, and fence is the highest fence of an accepted drain command.
	drainingSince     jaybarrow.WorkerClock
	fence             jaybarrow.Revision
	newestIncarnation map[jaybarrow.EntryID]jaybarrow.Incarnation
	records           map[jaybarrow.TaskID]*record
	withAnswer        []*record // finished tasks with a stored answer, oldest first
	usage             usage
	ledger            []Entry
}

// record is the state of one task id. It is kept as long as the Worker, so that an id is never started twice.
type record struct {
	ledgerIndex int
	slots       jaybarrow.Slots
	lease       time.Duration
	leaseEnd    time.Time
	leaseTimer  *time.Timer
	stop        chan struct{} // closed when the task ends
	speed       chan float64
	resumable   bool
	outcome     task.Outcome
	answer      []byte
	ended       time.Time
}

// New returns an idle Worker.
func New(clock jaybarrow.Clock, id jaybarrow.HostID, capacity jaybarrow.Demand) *Worker {
	return &Worker{
		clock: clock, id: id, boot: task.Boot(uuid.NewString()), capacity: capacity, startedAt: clock.Now(),
		newestIncarnation: make(map[jaybarrow.EntryID]jaybarrow.Incarnation),
		records:           make(map[jaybarrow.TaskID]*record),
	}
}

// Boot returns the id of this boot of the worker.
func (w *Worker) Boot() task.Boot { return w.boot }

// Clock returns the time on the monotonic clock of the worker.
func (w *Worker) Clock() jaybarrow.WorkerClock {
	return jaybarrow.WorkerClock(w.clock.Now().Sub(w.startedAt).Milliseconds())
}

// StartTask starts a task under its lease. If it refuses the start, it returns no execution, the reason, and the state
// of the task that was started before under the same id, or OutcomeRefused.
func (w *Worker) StartTask(s Start) (execution *Execution, state task.Outcome, reason string) {
	w.Lock()
	defer w.Unlock()
	if reason = w.refusalReason(s); reason != "" {
		return nil, w.recordRefusal(s, reason), reason
	}
	w.newestIncarnation[s.Entry] = s.Incarnation
	r := &record{
		ledgerIndex: len(w.ledger), slots: s.Slots, lease: s.Lease, leaseEnd: w.clock.Now().Add(s.Lease),
		stop: make(chan struct{}), speed: make(chan float64, 1), resumable: s.Resumable, outcome: task.OutcomeRunning,
	}
	w.ledger = append(w.ledger, entryOf(s, task.OutcomeRunning, ""))
	w.ledger[r.ledgerIndex].StartedNs = time.Now().UnixNano()
	r.leaseTimer = time.AfterFunc(s.Lease, func() { w.expire(s.Task) })
	w.records[s.Task] = r
	w.recordUsage()
	return &Execution{worker: w, id: s.Task, stop: r.stop, speed: r.speed}, task.OutcomeRunning, ""
}

// refusalReason returns why the start must be refused, or an empty reason.
func (w *Worker) refusalReason(s Start) string {
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
	case s.Incarnation < w.newestIncarnation[s.Entry]:
		return ReasonOldIncarnation
	case w.draining:
		return ReasonDraining
	case w.usedSlots()+s.Slots > w.capacity.Slots:
		return ReasonFull
	}
	return ""
}

// recordRefusal records a refused start and returns the state of the task. A refused id stays refused, because the entry
// host was informed that the task did not run.
func (w *Worker) recordRefusal(s Start, reason string) task.Outcome {
	w.ledger = append(w.ledger, entryOf(s, task.OutcomeRefused, reason))
	if known, present := w.records[s.Task]; present {
		return known.outcome
	}
	w.records[s.Task] = &record{outcome: task.OutcomeRefused}
	return task.OutcomeRefused
}

func (w *Worker) usedSlots() jaybarrow.Slots {
	usedSlots := jaybarrow.Slots(0)
	for _, r := range w.records {
		if r.outcome == task.OutcomeRunning {
			usedSlots += r.slots
		}
	}
	return usedSlots
}

// Finish ends a running task with its outcome and answer. It reports whether the task was running.
func (w *Worker) Finish(id jaybarrow.TaskID, outcome task.Outcome, answer []byte) bool {
	w.Lock()
	defer w.Unlock()
	return w.finish(id, outcome, answer)
}

// finish is Finish for callers that hold the lock.
func (w *Worker) finish(id jaybarrow.TaskID, outcome task.Outcome, answer []byte) bool {
	r, ok := w.records[id]
	if !ok || r.outcome != task.OutcomeRunning {
		return false
	}
	now := w.clock.Now()
	r.leaseTimer.Stop()
	close(r.stop)
	r.outcome, r.answer, r.ended = outcome, answer, now
	w.withAnswer = append(w.withAnswer, r)
	w.ledger[r.ledgerIndex].EndedNs = time.Now().UnixNano()
	w.ledger[r.ledgerIndex].Outcome = outcome
	w.recordUsage()
	w.dropOldAnswers(now)
	return true
}

// expire stops a task whose lease has expired.
func (w *Worker) expire(id jaybarrow.TaskID) {
	w.Lock()
	defer w.Unlock()
	r := w.records[id]
	if left := r.leaseEnd.Sub(w.clock.Now()); left > 0 {
		r.leaseTimer.Reset(left) // the lease was renewed while the timer fired
		return
	}
	w.finish(id, task.OutcomeStopped, []byte("the lease ended"))
}

// Renew extends the lease of a running task to until, or by its length when until is 0, and returns the state of the task.
// A renewal never shortens a lease.
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
		end = w.startedAt.Add(time.Duration(until) * time.Millisecond)
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
		r.leaseTimer.Reset(end.Sub(now))
	}
	return r.outcome
}

// Cancel stops a running task and returns its state. It records an unknown id, so that a start of that id which arrives
// later is refused.
func (w *Worker) Cancel(id jaybarrow.TaskID) task.Outcome {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok {
		return w.recordRefusal(Start{Task: id}, ReasonCancelled)
	}
	w.finish(id, task.OutcomeStopped, []byte("cancelled"))
	return r.outcome
}

// Checkpoint ends a running task that can be resumed. It returns the state of the task and whether the call ended it.
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

// Throttle sets the speed of a running task as a share of full speed. It reports false when the task is not running or the
// speed is not positive.
func (w *Worker) Throttle(id jaybarrow.TaskID, speed float64) bool {
	w.Lock()
	defer w.Unlock()
	r, ok := w.records[id]
	if !ok || r.outcome != task.OutcomeRunning || speed <= 0 {
		return false
	}
	select {
	case <-r.speed: // replaces a speed that the task has not read yet
	default:
	}
	r.speed <- speed
	return true
}

// Result returns the state of a task, its stored answer, and whether that answer is still kept.
func (w *Worker) Result(id jaybarrow.TaskID) (outcome task.Outcome, answer []byte, kept bool) {
	w.Lock()
	defer w.Unlock()
	w.dropOldAnswers(w.clock.Now())
	r, ok := w.records[id]
	if !ok {
		return task.OutcomeUnknown, nil, false
	}
	return r.outcome, r.answer, r.answer != nil
}

func (w *Worker) dropOldAnswers(now time.Time) {
	for len(w.withAnswer) > 0 && now.Sub(w.withAnswer[0].ended) > AnswerRetention {
		w.withAnswer[0].answer = nil
		w.withAnswer = w.withAnswer[1:]
	}
}

// SetDraining makes the worker refuse new tasks, or accept them again. It reports false, without effect, when a command
// with a higher fence was accepted before.
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
