package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// The upper limits of values that operators set.
const (
	maxShare           = 1e6
	maxLimit           = 1_000_000 // slots
	maxPoolUnavailable = 10_000    // hosts
	maxQuickTarget     = 10 * time.Minute
	maxSlowTarget      = 7 * 24 * time.Hour
	maxSlots           = 4096
	maxMemory          = 100_000_000 // MB
	maxAccelerators    = 1024
	maxConnections     = 65536
)

// invalidField returns a KindBadRequest error that names the field and its allowed values.
func invalidField(field, allowed string) *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindBadRequest, "field %s: allowed is %s", field, allowed)
}

// rule is the result of checking one field.
type rule struct {
	field   string
	ok      bool
	allowed string // description of the allowed values
}

// check returns the error of the first rule that is not met.
func check(rules ...rule) error {
	for _, r := range rules {
		if !r.ok {
			return invalidField(r.field, r.allowed)
		}
	}
	return nil
}

func nameRule[T ~string](field string, value T) rule {
	return rule{field, validate.Name(string(value)), validate.NameForm}
}

func rangeRule[T ~int | ~int64](field string, value, low, high T) rule {
	return rule{field, value >= low && value <= high, fmt.Sprintf("a whole number from %d to %d", low, high)}
}

func addressRule(field string, value jaybarrow.Address) rule {
	return rule{field, validate.Address(string(value)), validate.AddressForm}
}

func hashRule(field string, value jaybarrow.KeyHash) rule {
	return rule{field, validate.Hash(string(value)), validate.HashForm}
}

func revisionRule(revision jaybarrow.Revision) rule {
	return rule{"revision", revision >= 0, "0 for a record that must not exist, or the revision that it was read at"}
}

func shareRule(share jaybarrow.Share) rule {
	f := float64(share)
	return rule{"share", f > 0 && f <= maxShare && !math.IsNaN(f), fmt.Sprintf("a number above 0 and at most %g", float64(maxShare))}
}

func limitRule(limit jaybarrow.Slots) rule { return rangeRule("limit", limit, 0, maxLimit) }

func targetRule(q jaybarrow.Queue) rule {
	maxTarget := maxQuickTarget
	if q.Class == jaybarrow.ClassSlow {
		maxTarget = maxSlowTarget
	}
	return rangeRule("targetMs", q.TargetMs, 1, maxTarget.Milliseconds())
}

func checkQueue(q jaybarrow.Queue) error {
	return check(nameRule("id", q.ID), nameRule("pool", q.Pool),
		rule{"class", q.Class == jaybarrow.ClassQuick || q.Class == jaybarrow.ClassSlow, "quick or slow"}, targetRule(q))
}

func checkHost(h jaybarrow.Host) error {
	return check(nameRule("id", h.ID), nameRule("pool", h.Pool), nameRule("dataCentre", h.DataCentre), nameRule("rack", h.Rack),
		addressRule("address", h.Address), rangeRule("capacity.slots", h.Capacity.Slots, 1, maxSlots),
		rangeRule("capacity.memoryMb", h.Capacity.Memory, 0, maxMemory),
		rangeRule("capacity.accelerators", h.Capacity.Accelerators, 0, maxAccelerators),
		rangeRule("connections", h.Connections, 0, maxConnections))
}
