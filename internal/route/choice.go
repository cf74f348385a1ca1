package route

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Option is a data centre whose hosts of a pool could run a request.
type Option struct {
	DataCentre jaybarrow.DataCentreID
	Owner      jaybarrow.EntryID
	Local      bool          // the data centre is that of this entry host
	Load       schedule.Load // last reported
	LoadKnown  bool          // false before the owner has reported a load
	Pending    int           // requests forwarded to the owner since it reported the load
}

// assumedFreeSlots is the number of free slots that Choose assumes for a data centre that has not reported its load.
const assumedFreeSlots = 1

// forwardMargin is by how many requests the local queue may exceed that of another data centre before requests are forwarded
// while all data centres are full; below it, forwarding costs a round trip and gains nothing.
const forwardMargin = 8

// freeSlots estimates the free slots; a negative value is the number of requests that wait.
func (o Option) freeSlots() int {
	if !o.LoadKnown {
		return assumedFreeSlots - o.Pending
	}
	return int(o.Load.FreeSlots) - o.Load.Waiting - o.Pending
}

// Choose returns the index of the option to use: the local data centre while it has a free slot, else the one with the most
// free slots. When none has any, it is the local one unless its queue is longer by more than forwardMargin. The options must not
// be empty.
func Choose(options []Option) int {
	best, local := 0, -1
	for i, o := range options {
		if o.Local {
			local = i
		}
		if o.freeSlots() > options[best].freeSlots() {
			best = i
		}
	}
	if local < 0 {
		return best
	}
	switch freeSlots := options[local].freeSlots(); {
	case freeSlots > 0:
		return local
	case options[best].freeSlots() <= 0 && options[best].freeSlots() <= freeSlots+forwardMargin:
		return local
	default:
		return best
	}
}
