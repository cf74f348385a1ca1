package allotment

import "github.com/jaybarrow/jaybarrow"

// Self is the state of the entry host that decides.
type Self struct {
	Entry           jaybarrow.EntryID
	Incarnation     jaybarrow.Incarnation
	Used            jaybarrow.Slots // permits in use
	RecentPeak      jaybarrow.Slots // highest recent use; permits above it are idle
	Demand          jaybarrow.Slots // permits wanted beyond those in use; 0 when nothing waits
	LargestWaiting  jaybarrow.Slots // size of the largest waiting task
	RecentlyGained  bool            // permits gained a moment ago need not be passed on yet
	OlderTasksEnded bool            // no task of an older incarnation can still be running
	Leaving         bool            // planned stop: everything idle is given away
}

// Fleet is what the entry host knows of the others.
type Fleet struct {
	Live  map[jaybarrow.EntryID]jaybarrow.Incarnation // registered entry hosts
	Ended map[jaybarrow.EntryID]bool                  // entry hosts that have ended, with all of their tasks
}

// Decision is the outcome for one entry host.
type Decision struct {
	Next       jaybarrow.Allotment // to be written if Write is set; its Change is still that of the old record
	Write      bool
	Ceiling    jaybarrow.Slots // no start may bring the permits in use above it
	AboveFloor bool            // holds more than its floor, so time alone may change the decision
	Contended  bool            // other entry hosts want permits
	Urgency    Urgency         // of the write
}

// Urgency orders the writes that compete for the budget of an entry host.
type Urgency string

// The urgencies.
const (
	UrgencyStarved Urgency = "starved" // an entry host that wants permits cannot start one task
	UrgencyDemand  Urgency = "demand"  // work starts sooner with the write
	UrgencyMinor   Urgency = "minor"   // as demand, for less than the grant, which own tasks usually free soon
	UrgencyIdle    Urgency = "idle"    // floors, lower wants, and the return of idle permits that nobody wants
)

var urgencyRanks = map[Urgency]int{UrgencyStarved: 0, UrgencyDemand: 1, UrgencyMinor: 2, UrgencyIdle: 3}

// Before reports whether a write of this urgency goes before one of the other.
func (u Urgency) Before(other Urgency) bool { return urgencyRanks[u] < urgencyRanks[other] }

// slack is the part of n that is kept, or taken, beyond it so that steady traffic causes no writes.
func slack(n jaybarrow.Slots) jaybarrow.Slots { return n / 4 }
