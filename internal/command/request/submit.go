package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Submit asks to run a request and wait for its answer.
type Submit struct {
	Key          string // the caller's key; empty on an open queue
	Queue        jaybarrow.QueueID
	ID           jaybarrow.RequestID // empty: the system chooses one
	Idempotent   bool
	Demand       jaybarrow.Demand // Slots 0 means 1
	AnswerWithin time.Duration    // 0: the queue's target decides
	Declared     time.Duration    // declared run time; 0: unknown
	Body         []byte
}

// Submitted is the answer to a Submit.
type Submitted struct {
	ID   jaybarrow.RequestID
	Body []byte
}

// SubmitHandler checks, admits and runs requests.
type SubmitHandler struct {
	clock     jaybarrow.Clock
	directory *directory.Directory
	runner    jaybarrow.Runner
	newID     func() jaybarrow.RequestID
}

// NewSubmit returns a SubmitHandler that runs admitted requests on the runner.
func NewSubmit(clock jaybarrow.Clock, d *directory.Directory, runner jaybarrow.Runner, newID func() jaybarrow.RequestID) *SubmitHandler {
	return &SubmitHandler{clock: clock, directory: d, runner: runner, newID: newID}
}

// Hash returns the hash under which a key is stored.
func Hash(key string) jaybarrow.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return jaybarrow.KeyHash(hex.EncodeToString(sum[:]))
}

// Handle runs one request; the id in the result is set even when it fails.
func (h *SubmitHandler) Handle(ctx context.Context, in Submit) (Submitted, error) {
	if in.ID == "" {
		in.ID = h.newID()
	}
	out := Submitted{ID: in.ID}
	request, err := h.admit(in)
	if err != nil {
		return out, err
	}
	out.Body, err = h.runner.Run(ctx, request)
	return out, err
}

// admit checks the key, the queue and the demand.
func (h *SubmitHandler) admit(in Submit) (jaybarrow.Request, error) {
	queue, ok := h.directory.Queues.Get(in.Queue)
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
	if err := h.runnable(queue.Pool, in.Demand); err != nil {
		return jaybarrow.Request{}, err
	}
	now := h.clock.Now()
	request := jaybarrow.Request{
		ID: in.ID, Team: team, Queue: queue.ID, Pool: queue.Pool, Class: queue.Class, Demand: in.Demand,
		Declared: in.Declared, Arrived: now, Target: now.Add(queue.Target()), Idempotent: in.Idempotent, Body: in.Body,
	}
	switch {
	case in.AnswerWithin > 0:
		request.Deadline = now.Add(in.AnswerWithin)
	case queue.Class == jaybarrow.ClassQuick:
		request.Deadline = request.Target
	}
	return request, nil
}

func (h *SubmitHandler) team(key string, queue jaybarrow.Queue) (jaybarrow.TeamID, error) {
	if key == "" && queue.Open {
		return jaybarrow.PublicTeam, nil
	}
	access, ok := h.directory.AccessKeys.Get(Hash(key))
	if !ok || access.Withdrawn {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is unknown or withdrawn")
	}
	return access.Team, nil
}

// runnable refuses a demand that no host of the pool could ever meet.
func (h *SubmitHandler) runnable(pool jaybarrow.PoolID, demand jaybarrow.Demand) error {
	fits := false
	h.directory.Hosts.Each(func(_ jaybarrow.HostID, host jaybarrow.Host) {
		fits = fits || (host.Pool == pool && demand.FitsIn(host.Capacity))
	})
	if !fits {
		return jaybarrow.Errorf(jaybarrow.KindNeverRunnable, "no host of pool %s has room for %+v", pool, demand)
	}
	return nil
}
