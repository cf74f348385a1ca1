package entry

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// startCallers starts the HTTP front end for callers and operators.
func (e *Entry) startCallers() {
	httpSettings := httpapi.Settings{
		MaxBody: e.deps.Settings.Queues.MaxBodyBytes, OperatorKeyHash: e.deps.Settings.Entry.OperatorKeyHash,
		Ready: e.ready, ShuttingDown: e.leaving.Load,
	}
	e.http = httpapi.New(logging.For(e.deps.Log, "http"), e.deps.Callers, httpSettings, httpapi.Handlers{
		Submit: request.NewSubmit(request.SubmitDeps{
			Clock: e.deps.Clock, Authenticator: e.keys, Queues: queueView{e}, InFlight: e.inFlight, Claim: e.claim, Runner: e.router, NewID: identity.NewRequestID,
		}),
		Cancel:   request.NewCancel(e.keys, e.router),
		Commands: e.commands(),
		Queries:  e.queries(),
	}, e.deps.OnFault)
}

func (e *Entry) claim(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (func(context.Context), error) {
	claimed, err := e.claims.Claim(ctx, team, id)
	return claimed.Release, err
}

// queueView looks up queues in the directory and capacity in the roster.
type queueView struct{ entry *Entry }

func (q queueView) HasConfiguration() bool { return q.entry.directory.Applied() > 0 }

func (q queueView) Queue(id jaybarrow.QueueID) (jaybarrow.Queue, bool) {
	return q.entry.directory.Queues.Get(id)
}

func (q queueView) Fits(pool jaybarrow.PoolID, demand jaybarrow.Demand) bool {
	return q.entry.roster.Fits(pool, demand)
}
