package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PutHost creates a host or changes its record. The pool of an existing host changes only by a move, and its data centre, rack
// and address only by deleting it and creating it again, since work may be running on it.
type PutHost struct {
	Host     jaybarrow.Host
	Revision jaybarrow.Revision // 0 when the host must not exist
}

// PutHostHandler carries out PutHost.
type PutHostHandler struct {
	records *Records
}

// NewPutHost returns a PutHostHandler.
func NewPutHost(records *Records) *PutHostHandler { return &PutHostHandler{records: records} }

// Handle writes the host, whose pool must exist.
func (h *PutHostHandler) Handle(ctx context.Context, in PutHost) (Changed, error) {
	if err := checkHost(in.Host); err != nil {
		return Changed{}, err
	}
	if err := check(revisionRule(in.Revision)); err != nil {
		return Changed{}, err
	}
	if err := h.records.checkPoolExists(ctx, "pool", in.Host.Pool); err != nil {
		return Changed{}, err
	}
	if err := h.checkPlacement(ctx, in); err != nil {
		return Changed{}, err
	}
	revision, err := h.records.put(ctx, jaybarrow.HostKey(in.Host.ID), in.Revision, in.Host)
	return Changed{revision}, err
}

// checkPlacement rejects a change of an existing host's pool, data centre, rack or address, and a new host at an address that
// is in use.
func (h *PutHostHandler) checkPlacement(ctx context.Context, in PutHost) error {
	if in.Revision == 0 {
		return h.checkAddressFree(ctx, in.Host)
	}
	old, err := readAt[jaybarrow.Host](ctx, h.records, jaybarrow.HostKey(in.Host.ID), in.Revision)
	if err != nil {
		return err
	}
	return check(
		rule{"pool", in.Host.Pool == old.Pool, string(old.Pool) + "; a move changes the pool"},
		rule{"dataCentre", in.Host.DataCentre == old.DataCentre, string(old.DataCentre) + " while the host exists"},
		rule{"rack", in.Host.Rack == old.Rack, string(old.Rack) + " while the host exists"},
		rule{"address", in.Host.Address == old.Address, string(old.Address) + " while the host exists"},
	)
}

// checkAddressFree returns an error when another host has the address.
func (h *PutHostHandler) checkAddressFree(ctx context.Context, host jaybarrow.Host) error {
	hosts, err := list[jaybarrow.Host](ctx, h.records, jaybarrow.HostPrefix)
	if err != nil {
		return err
	}
	for _, other := range hosts {
		if other.Address == host.Address && other.ID != host.ID {
			return invalidField("address", "an address that no other host has; host "+string(other.ID)+" has it")
		}
	}
	return nil
}
