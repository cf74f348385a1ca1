package permit

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Keeper counts the permits in use against the grants in the teams' allotments.
type Keeper struct {
	entry      jaybarrow.EntryID
	allotments *directory.Table[jaybarrow.TeamID, jaybarrow.Allotment]
	inUse      *shard.Map[jaybarrow.TeamID, jaybarrow.Slots]
	available  chan struct{}
}

// New returns a Keeper with no permits in use.
func New(entry jaybarrow.EntryID, allotments *directory.Table[jaybarrow.TeamID, jaybarrow.Allotment]) *Keeper {
	return &Keeper{
		entry:      entry,
		allotments: allotments,
		inUse:      shard.New[jaybarrow.TeamID, jaybarrow.Slots](),
		available:  make(chan struct{}, 1),
	}
}

// TryAcquire takes permits if the grant covers them.
func (k *Keeper) TryAcquire(team jaybarrow.TeamID, slots jaybarrow.Slots) bool {
	allotment, _ := k.allotments.Get(team)
	granted := allotment.Grants[k.entry].Slots
	acquired := false
	k.inUse.Update(team, func(used jaybarrow.Slots, _ bool) (jaybarrow.Slots, bool) {
		if used+slots > granted {
			return used, used > 0
		}
		acquired = true
		return used + slots, true
	})
	return acquired
}

// Release returns permits after the end of the task is known.
func (k *Keeper) Release(team jaybarrow.TeamID, slots jaybarrow.Slots) {
	k.inUse.Update(team, func(used jaybarrow.Slots, _ bool) (jaybarrow.Slots, bool) {
		return used - slots, used > slots
	})
	select {
	case k.available <- struct{}{}:
	default:
	}
}

// Available signals when permits may have become available.
func (k *Keeper) Available() <-chan struct{} { return k.available }
