package explain

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/journal"
)

// Decisions gives the decisions that this entry host still holds, oldest first.
type Decisions interface {
	About(subject jaybarrow.Subject) []journal.Entry
}

// Explanation is what was decided on a subject by the entry host that answers.
type Explanation struct {
	Subject   jaybarrow.Subject `json:"subject"`
	Decisions []journal.Entry   `json:"decisionsHere"`
}

// Handler answers with the decisions on a subject.
type Handler struct {
	decisions Decisions
}

// New returns a Handler.
func New(decisions Decisions) *Handler { return &Handler{decisions: decisions} }

// Answer returns the explanation; it is empty when nothing was decided or the journal has dropped it.
func (h *Handler) Answer(_ context.Context, in jaybarrow.Subject) (Explanation, error) {
	switch in.Kind {
	case jaybarrow.SubjectRequest, jaybarrow.SubjectHost, jaybarrow.SubjectTeam, jaybarrow.SubjectPool:
		return Explanation{in, h.decisions.About(in)}, nil
	}
	return Explanation{}, jaybarrow.Errorf(jaybarrow.KindBadRequest, "field kind: allowed is request, host, team or pool")
}
