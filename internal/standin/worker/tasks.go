package worker

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Work is the body of a request. Any other body is echoed at once.
type Work struct {
	RunMs     int64  `json:"runMs"`
	Echo      string `json:"echo"`
	Fail      bool   `json:"fail,omitempty"`
	Resumable bool   `json:"resumable,omitempty"` // the task can be ended by a checkpoint
}

// Done is the body of the answer to a request whose work succeeded.
type Done struct {
	Request jaybarrow.RequestID `json:"request"`
	Task    jaybarrow.TaskID    `json:"task"`
	Worker  jaybarrow.HostID    `json:"worker"`
	Echo    string              `json:"echo"`
}

// throttleRequest is the body of a throttle call.
type throttleRequest struct {
	Speed float64 `json:"speed"` // share of full speed, above 0
}

func (s *Server) task(ctx *fasthttp.RequestCtx, method string, id jaybarrow.TaskID, action string) {
	switch {
	case method == fasthttp.MethodPost && action == "":
		s.runTask(ctx, id)
	case method == fasthttp.MethodPost && action == "renew":
		until, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(task.HeaderLeaseUntil)), 10, 64)
		writeState(ctx, id, s.worker.Renew(id, jaybarrow.WorkerClock(until)))
	case method == fasthttp.MethodPost && action == "checkpoint":
		outcome, ended := s.worker.Checkpoint(id)
		writeState(ctx, id, outcome)
		if !ended && outcome != task.OutcomeUnknown {
			ctx.SetStatusCode(fasthttp.StatusConflict)
		}
	case method == fasthttp.MethodPost && action == "throttle":
		var change throttleRequest
		if json.Unmarshal(ctx.PostBody(), &change) != nil || !s.worker.Throttle(id, change.Speed) {
			ctx.SetStatusCode(fasthttp.StatusConflict)
		}
	case method == fasthttp.MethodDelete && action == "":
		writeState(ctx, id, s.worker.Cancel(id))
	case method == fasthttp.MethodGet && action == "":
		outcome, answer, kept := s.worker.Result(id)
		writeState(ctx, id, outcome)
		ctx.Response.Header.Set(task.HeaderAnswerKept, strconv.FormatBool(kept))
		_, _ = ctx.Write(answer)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// writeState answers a call about a task with the state of the task.
func writeState(ctx *fasthttp.RequestCtx, id jaybarrow.TaskID, outcome task.Outcome) {
	ctx.Response.Header.Set(task.HeaderTask, string(id))
	ctx.Response.Header.Set(task.HeaderOutcome, string(outcome))
	if outcome == task.OutcomeUnknown {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// startResult is the answer to the start of a task.
type startResult struct {
	task    jaybarrow.TaskID
	outcome task.Outcome
	body    []byte
}

// startStatus is the HTTP status of the answer to a start, by outcome of the task.
var startStatus = map[task.Outcome]int{
	task.OutcomeDone:         fasthttp.StatusOK,
	task.OutcomeFailed:       fasthttp.StatusInternalServerError,
	task.OutcomeRefused:      fasthttp.StatusServiceUnavailable,
	task.OutcomeStopped:      fasthttp.StatusGatewayTimeout,
	task.OutcomeCheckpointed: fasthttp.StatusGatewayTimeout,
	task.OutcomeRunning:      fasthttp.StatusConflict,
}

func (r startResult) write(response *fasthttp.Response) {
	response.SetStatusCode(startStatus[r.outcome])
	response.Header.Set(task.HeaderTask, string(r.task))
	response.Header.Set(task.HeaderOutcome, string(r.outcome))
	response.SetBody(r.body)
}

func (s *Server) runTask(ctx *fasthttp.RequestCtx, id jaybarrow.TaskID) {
	work := Work{Echo: string(ctx.PostBody())}
	_ = json.Unmarshal(ctx.PostBody(), &work)
	start := decodeStart(&ctx.Request.Header, id)
	start.Resumable = work.Resumable
	execution, state, reason := s.worker.StartTask(start)
	if execution == nil {
		startResult{id, state, []byte(reason)}.write(&ctx.Response)
		return
	}
	s.execute(execution, start, work)
	outcome, answer, _ := s.worker.Result(id)
	s.respond(ctx, startResult{id, outcome, answer})
}

func decodeStart(header *fasthttp.RequestHeader, id jaybarrow.TaskID) Start {
	text := func(name string) string { return string(header.Peek(name)) }
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(text(name), 10, 64)
		return n
	}
	return Start{
		Task:        id,
		Request:     jaybarrow.RequestID(text(task.HeaderRequest)),
		Team:        jaybarrow.TeamID(text(task.HeaderTeam)),
		Slots:       jaybarrow.Slots(number(task.HeaderSlots)),
		Entry:       jaybarrow.EntryID(text(task.HeaderEntry)),
		Incarnation: jaybarrow.Incarnation(number(task.HeaderIncarnation)),
		Boot:        task.Boot(text(task.HeaderBoot)),
		Lease:       time.Duration(number(task.HeaderLease)) * time.Millisecond,
		StartBefore: jaybarrow.WorkerClock(number(task.HeaderStartBefore)),
	}
}

// execute does the work and finishes the task, unless the task is ended before that.
func (s *Server) execute(execution *Execution, start Start, work Work) {
	if fault := s.faults.get(); fault.Kind == FaultFail {
		if execution.Run(fault.delay()) {
			s.worker.Finish(start.Task, task.OutcomeFailed, []byte("the worker fails every task"))
		}
		return
	}
	if !execution.Run(time.Duration(work.RunMs) * time.Millisecond) {
		return
	}
	if work.Fail {
		s.worker.Finish(start.Task, task.OutcomeFailed, []byte("the work failed"))
		return
	}
	done, _ := json.Marshal(Done{start.Request, start.Task, s.worker.id, work.Echo})
	s.worker.Finish(start.Task, task.OutcomeDone, done)
}
