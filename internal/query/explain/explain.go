package explain

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/journal"
)

// Decisions provides the decisions that the local journal still holds, oldest first.
type Decisions interface {
	About(subject jaybarrow.Subject) []journal.Entry
}

// Explanation lists the decisions of the entry host that answers about a subject.
type Explanation struct {
	Subject   jaybarrow.Subject `json:"subject"`
	Decisions []journal.Entry   `json:"decisionsHere"`
}

// Handler returns the decisions about a subject.
type Handler struct {
	decisions Decisions
}

// New returns a Handler.
func New(decisions Decisions) *Handler { return &Handler{decisions: decisions} }

// Answer returns the explanation; its list is empty when there were no decisions or the journal has discarded them.
func (h *Handler) Answer(_ context.Context, in jaybarrow.Subject) (Explanation, error) {
	switch in.Kind {
	case jaybarrow.SubjectRequest, jaybarrow.SubjectHost, jaybarrow.SubjectTeam, jaybarrow.SubjectPool:
		return Explanation{in, h.decisions.About(in)}, nil
	}
	return Explanation{}, jaybarrow.Errorf(jaybarrow.KindBadRequest, "field kind: allowed is request, host, team or pool")
}
