package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// The allowed ranges of operators' values.
const (
	maxShare        = 1e6
	maxLimit        = 1_000_000
	maxUnavailable  = 10_000
	maxQuickTarget  = 10 * time.Minute
	maxSlowTarget   = 7 * 24 * time.Hour
	maxSlots        = 4096
	maxMemory       = 100_000_000
	maxAccelerators = 1024
	maxConnections  = 65536
)

func invalid(field, allowed string) *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindBadRequest, "field %s: allowed is %s", field, allowed)
}

// rule is one field's check.
type rule struct {
	field   string
	ok      bool
	allowed string
}

// check returns the fault of the first rule that fails.
func check(rules ...rule) error {
	for _, r := range rules {
		if !r.ok {
			return invalid(r.field, r.allowed)
		}
	}
	return nil
}

func named[T ~string](field string, value T) rule {
	return rule{field, validate.Name(string(value)), validate.NameForm}
}

func between[T ~int | ~int64](field string, value, low, high T) rule {
	return rule{field, value >= low && value <= high, fmt.Sprintf("a whole number from %d to %d", low, high)}
}

func addressed(field string, value jaybarrow.Address) rule {
	return rule{field, validate.Address(string(value)), validate.AddressForm}
}

func hashed(field string, value jaybarrow.KeyHash) rule {
	return rule{field, validate.Hash(string(value)), validate.HashForm}
}

func revisionRule(revision jaybarrow.Revision) rule {
	return rule{"revision", revision >= 0, "0 for a record that must not exist, or the revision that it was read at"}
}

func shareRule(share jaybarrow.Share) rule {
	f := float64(share)
	return rule{"share", f > 0 && f <= maxShare && !math.IsNaN(f), fmt.Sprintf("a number above 0 and at most %g", float64(maxShare))}
}

func limitRule(limit jaybarrow.Slots) rule { return between("limit", limit, 0, maxLimit) }

func targetRule(q jaybarrow.Queue) rule {
	most := maxQuickTarget
	if q.Class == jaybarrow.ClassSlow {
		most = maxSlowTarget
	}
	return between("targetMs", q.TargetMs, 1, most.Milliseconds())
}

func checkQueue(q jaybarrow.Queue) error {
	return check(named("id", q.ID), named("pool", q.Pool),
		rule{"class", q.Class == jaybarrow.ClassQuick || q.Class == jaybarrow.ClassSlow, "quick or slow"}, targetRule(q))
}

func checkHost(h jaybarrow.Host) error {
	return check(named("id", h.ID), named("pool", h.Pool), named("dataCentre", h.DataCentre), named("rack", h.Rack),
		addressed("address", h.Address), between("capacity.slots", h.Capacity.Slots, 1, maxSlots),
		between("capacity.memoryMb", h.Capacity.Memory, 0, maxMemory),
		between("capacity.accelerators", h.Capacity.Accelerators, 0, maxAccelerators),
		between("connections", h.Connections, 0, maxConnections))
}
