package route

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Option is a data centre whose part of a pool could run a request.
type Option struct {
	DataCentre jaybarrow.DataCentreID
	Owner      jaybarrow.EntryID
	Own        bool          // the data centre of this entry host
	Load       schedule.Load // last known; a part without a known load counts as free
	Known      bool
	Pending    int // requests forwarded there since the load was reported
}

// unknownFree is the number of slots that a part without a known load is taken to have free.
const unknownFree = 1

// spillMargin is how many more requests must wait in the own data centre than elsewhere before a full fleet's work is
// forwarded; forwarding for less costs a round trip and gains nothing.
const spillMargin = 8

func (o Option) free() int {
	if !o.Known {
		return unknownFree - o.Pending
	}
	return int(o.Load.FreeSlots) - o.Load.Waiting - o.Pending
}

// Choose returns the index of the option to use: the own data centre while it has a free slot, else the part with the most
// free slots; when none has any, the own one unless much more waits there. The options must not be empty.
func Choose(options []Option) int {
	best, own := 0, -1
	for i, o := range options {
		if o.Own {
			own = i
		}
		if o.free() > options[best].free() {
			best = i
		}
	}
	if own < 0 {
		return best
	}
	switch free := options[own].free(); {
	case free > 0:
		return own
	case options[best].free() <= 0 && options[best].free() <= free+spillMargin:
		return own
	default:
		return best
	}
}
