package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// WithdrawKey revokes a key; its record is kept, so that every entry host receives the withdrawal as a change.
type WithdrawKey struct {
	Hash     jaybarrow.KeyHash
	Revision jaybarrow.Revision
}

// WithdrawKeyHandler carries out WithdrawKey.
type WithdrawKeyHandler struct {
	records *Records
}

// NewWithdrawKey returns a WithdrawKeyHandler.
func NewWithdrawKey(records *Records) *WithdrawKeyHandler {
	return &WithdrawKeyHandler{records: records}
}

// Handle marks the key as withdrawn.
func (h *WithdrawKeyHandler) Handle(ctx context.Context, in WithdrawKey) (Changed, error) {
	if err := check(hashRule("hash", in.Hash)); err != nil {
		return Changed{}, err
	}
	key, err := readAt[jaybarrow.AccessKey](ctx, h.records, jaybarrow.AccessKeyKey(in.Hash), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	key.Withdrawn = true
	revision, err := h.records.put(ctx, jaybarrow.AccessKeyKey(in.Hash), in.Revision, key)
	return Changed{revision}, err
}
