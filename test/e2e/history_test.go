package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// callResult is the outcome of one attempt at a request, as its caller saw it.
type callResult struct {
	team       jaybarrow.TeamID
	request    jaybarrow.RequestID
	entry      jaybarrow.EntryID
	idempotent bool
	echo       string
	answer     worker.Done         // zero unless the request was answered
	kind       jaybarrow.ErrorKind // empty when the request was answered
	effect     jaybarrow.Effect    // EffectRan when the request was answered
	message    string
	startedAt  time.Time
	endedAt    time.Time
}

// history collects the results of all calls of a test.
type history struct {
	sync.Mutex
	all []callResult
}

func (h *history) add(t callResult) {
	h.Lock()
	defer h.Unlock()
	h.all = append(h.all, t)
}

func (h *history) list() []callResult {
	h.Lock()
	defer h.Unlock()
	return append([]callResult(nil), h.all...)
}

// call describes a request that a test sends.
type call struct {
	team          jaybarrow.TeamID
	queue         jaybarrow.QueueID
	id            jaybarrow.RequestID
	nonIdempotent bool
	run           time.Duration // actual run time of the work
	within        time.Duration // deadline for the answer, counted from the request
	slots         jaybarrow.Slots
	declared      time.Duration // run time that the request declares
	key           string        // empty for the team's first key, or for no key when the team is PublicTeam
}

// send makes the call through the entry host, waits for its result and adds that to the history.
func (c *cluster) send(h *history, e *entryHost, in call) callResult {
	t := callResult{
		team: in.team, request: in.id, entry: e.id, idempotent: !in.nonIdempotent,
		echo: fmt.Sprintf("%s/%s/%d", in.team, in.id, rand.Uint64()), startedAt: time.Now(),
	}
	body, _ := json.Marshal(worker.Work{RunMs: in.run.Milliseconds(), Echo: t.echo})
	if in.key == "" {
		in.key = c.keys[in.team]
	}
	caller := client.New(c.callers, e.callers, in.key)
	answer, err := caller.Submit(context.Background(), client.Request{
		Queue: in.queue, ID: in.id, NonIdempotent: in.nonIdempotent, Demand: jaybarrow.Demand{Slots: in.slots},
		AnswerWithin: in.within, RunTime: in.declared, Body: body,
	})
	if err == nil {
		err = json.Unmarshal(answer.Body, &t.answer)
	}
	t.endedAt, t.effect = time.Now(), jaybarrow.EffectRan
	if err != nil {
		fault := jaybarrow.AsError(err)
		t.kind, t.effect, t.message = fault.Kind, fault.Effect, fault.Message
	}
	h.add(t)
	return t
}
