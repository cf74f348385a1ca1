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

// told is what a caller was told about one attempt at a request.
type callResult struct {
	team       jaybarrow.TeamID
	request    jaybarrow.RequestID
	entry      jaybarrow.EntryID
	idempotent bool
	echo       string
	answer     worker.Done // of an answered request
	kind       jaybarrow.ErrorKind
	effect     jaybarrow.Effect // EffectRan for an answered request
	message    string
	startedAt  time.Time
	endedAt    time.Time
}

// history collects what callers were told.
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

// call is a request of a test's caller.
type call struct {
	team          jaybarrow.TeamID
	queue         jaybarrow.QueueID
	id            jaybarrow.RequestID
	nonIdempotent bool
	run           time.Duration // the work's true run time
	within        time.Duration
	slots         jaybarrow.Slots
	declared      time.Duration
	key           string // empty: the team's first key, and none for PublicTeam
}

// send makes the call through the entry host and notes what the caller was told.
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
