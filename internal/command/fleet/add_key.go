package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
)

// AddKey creates a key for a team.
type AddKey struct {
	Team jaybarrow.TeamID
}

// KeyAdded is the result of AddKey; the secret cannot be read again.
type KeyAdded struct {
	Secret   string             `json:"secret"`
	Hash     jaybarrow.KeyHash  `json:"hash"`
	Team     jaybarrow.TeamID   `json:"team"`
	Revision jaybarrow.Revision `json:"revision"`
}

// AddKeyHandler carries out AddKey.
type AddKeyHandler struct {
	records   *Records
	newSecret func() string
}

// NewAddKey returns an AddKeyHandler that takes secrets from newSecret.
func NewAddKey(records *Records, newSecret func() string) *AddKeyHandler {
	return &AddKeyHandler{records: records, newSecret: newSecret}
}

// Handle stores the hash of a new secret. A key whose write has an unknown outcome is never usable, since its secret is not
// returned; the operator adds another one.
func (h *AddKeyHandler) Handle(ctx context.Context, in AddKey) (KeyAdded, error) {
	if err := check(nameRule("team", in.Team)); err != nil {
		return KeyAdded{}, err
	}
	if _, _, err := read[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(in.Team)); err != nil {
		return KeyAdded{}, err
	}
	secret := h.newSecret()
	key := jaybarrow.AccessKey{Hash: request.HashKey(secret), Team: in.Team}
	revision, err := h.records.put(ctx, jaybarrow.AccessKeyKey(key.Hash), 0, key)
	if err != nil {
		return KeyAdded{}, err
	}
	return KeyAdded{Secret: secret, Hash: key.Hash, Team: in.Team, Revision: revision}, nil
}
