package request

import (
	"context"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
)

// Submit requests that a request be run and its result returned.
type Submit struct {
	Key          string // the caller's key; may be empty on an open queue
	Queue        jaybarrow.QueueID
	ID           jaybarrow.RequestID // when empty, the system chooses one
	Idempotent   bool
	Demand       jaybarrow.Demand // 0 slots mean 1
	AnswerWithin time.Duration    // time until the deadline; when 0, the queue determines it
	Declared     time.Duration    // declared run time; 0 when unknown
	Body         []byte
}

// Submitted is the result of a Submit.
type Submitted struct {
	ID   jaybarrow.RequestID
	Body []byte
}

// Queues provides the queues and checks demands against their pools.
type Queues interface {
	// HasConfiguration reports whether the entry host has received a configuration.
	HasConfiguration() bool
	// Queue returns the queue, or false when there is none.
	Queue(id jaybarrow.QueueID) (jaybarrow.Queue, bool)
	// Fits reports whether some host of the pool has the capacity for the demand when it is idle.
	Fits(pool jaybarrow.PoolID, demand jaybarrow.Demand) bool
}

// Claim reserves the id of a non-idempotent request, so that only one request with the id runs. The caller calls release when
// the request certainly did not run.
type Claim func(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (release func(context.Context), err error)

// SubmitDeps are what a SubmitHandler depends on.
type SubmitDeps struct {
	Clock         jaybarrow.Clock
	Authenticator *Authenticator
	Queues        Queues
	InFlight      *inflight.Requests // requests that were admitted and not answered
	Claim         Claim
	Runner        jaybarrow.Runner
	NewID         func() jaybarrow.RequestID
}

// SubmitHandler checks, admits and runs requests.
type SubmitHandler struct{ deps SubmitDeps }

// NewSubmit returns a SubmitHandler.
func NewSubmit(deps SubmitDeps) *SubmitHandler { return &SubmitHandler{deps: deps} }

// Handle runs one request; the id in the result is set even when there is an error.
func (h *SubmitHandler) Handle(ctx context.Context, in Submit) (Submitted, error) {
	idGiven := in.ID != ""
	if !idGiven {
		in.ID = h.deps.NewID()
	}
	out := Submitted{ID: in.ID}
	request, err := h.admit(in)
	if err != nil {
		return out, err
	}
	out.Body, err = h.run(ctx, request, idGiven && !in.Idempotent)
	return out, err
}

// run runs the request, whose id it claims first if claimed is set. The request is recorded before that, so that a cancellation
// that arrives at any time from then on ends it.
func (h *SubmitHandler) run(ctx context.Context, request jaybarrow.Request, claimed bool) ([]byte, error) {
	ctx, begun, err := h.deps.InFlight.Begin(ctx, request.Team, request.ID)
	if err != nil {
		return nil, err
	}
	defer begun.End()
	release := func(context.Context) {}
	if claimed {
		// A write that is broken off may still make the claim, so a cancellation takes effect after it.
		if release, err = h.deps.Claim(context.WithoutCancel(ctx), request.Team, request.ID); err != nil {
			return nil, err
		}
	}
	begun.HoldID()
	body, err := h.deps.Runner.Run(ctx, request)
	if err != nil && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun {
		release(context.WithoutCancel(ctx))
	}
	return body, err
}

// admit checks the queue, the key and the demand, and returns the request to run.
func (h *SubmitHandler) admit(in Submit) (jaybarrow.Request, error) {
	if !h.deps.Queues.HasConfiguration() {
		return jaybarrow.Request{}, jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "this entry host has no configuration yet")
	}
	queue, ok := h.deps.Queues.Queue(in.Queue)
	if !ok {
		return jaybarrow.Request{}, jaybarrow.Errorf(jaybarrow.KindUnknownQueue, "no queue %q", in.Queue)
	}
	team, err := h.team(in.Key, queue)
	if err != nil {
		return jaybarrow.Request{}, err
	}
	if in.Demand.Slots == 0 {
		in.Demand.Slots = 1
	}
	if !h.deps.Queues.Fits(queue.Pool, in.Demand) {
		return jaybarrow.Request{}, jaybarrow.Errorf(jaybarrow.KindNeverRunnable,
			"no host of pool %s has room for %d slots, %d MB and %d accelerators",
			queue.Pool, in.Demand.Slots, in.Demand.Memory, in.Demand.Accelerators)
	}
	return h.newRequest(in, team, queue), nil
}

// team returns the team of the key; a request without a key on an open queue runs as team public.
func (h *SubmitHandler) team(key string, queue jaybarrow.Queue) (jaybarrow.TeamID, error) {
	if key == "" && queue.Open {
		return jaybarrow.PublicTeam, nil
	}
	return h.deps.Authenticator.Team(key)
}

// newRequest returns the request with its target and deadline. Without a deadline of the caller, a quick request is refused when
// its target passes while it waits, and a slow one waits as long as its caller.
func (h *SubmitHandler) newRequest(in Submit, team jaybarrow.TeamID, queue jaybarrow.Queue) jaybarrow.Request {
	now := h.deps.Clock.Now()
	request := jaybarrow.Request{
		ID: in.ID, Team: team, Queue: queue.ID, Pool: queue.Pool, Class: queue.Class, Demand: in.Demand,
		Declared: in.Declared, Arrived: now, Target: now.Add(queue.Target()), Idempotent: in.Idempotent, Body: in.Body,
	}
	if in.Key != "" {
		request.KeyHash = HashKey(in.Key)
	}
	switch {
	case in.AnswerWithin > 0:
		request.Deadline = now.Add(in.AnswerWithin)
	case queue.Class == jaybarrow.ClassQuick:
		request.Deadline = request.Target
	}
	return request
}
