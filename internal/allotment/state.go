package allotment

import "github.com/jaybarrow/jaybarrow"

// Self is the state of the entry host that decides.
type Self struct {
	Entry           jaybarrow.EntryID
	Incarnation     jaybarrow.Incarnation
	Used            jaybarrow.Slots // permits in use
	RecentPeak      jaybarrow.Slots // highest recent use; held permits above it are idle
	Demand          jaybarrow.Slots // permits requested beyond those in use; 0 when none are
	LargestWaiting  jaybarrow.Slots // slots of the largest waiting task
	RecentlyGained  bool            // the grant rose within the minimum hold time, so it need not be passed on yet
	OlderTasksEnded bool            // no task of an older incarnation can still be running
	Leaving         bool            // the host stops as planned and gives away all idle permits
}

// Fleet is what the deciding entry host knows of all entry hosts.
type Fleet struct {
	Live  map[jaybarrow.EntryID]jaybarrow.Incarnation // registered entry hosts
	Ended map[jaybarrow.EntryID]bool                  // entry hosts that are gone and whose tasks have all ended
}

// Decision is the outcome of Decide for one entry host.
type Decision struct {
	Next       jaybarrow.Allotment // record to write if Write is set; the caller replaces its Change
	Write      bool
	Ceiling    jaybarrow.Slots // a task may start only while the permits in use stay within it
	AboveFloor bool            // the host holds more than its floor, so time alone may change the decision
	Contended  bool            // other entry hosts have unmet demand
	Urgency    Urgency         // priority of the write
}

// Urgency orders the writes that compete for the budget of an entry host.
type Urgency string

// The urgencies, the most urgent first.
const (
	UrgencyStarved Urgency = "starved" // an entry host with demand cannot start even one task
	UrgencyDemand  Urgency = "demand"  // work starts sooner with the write
	UrgencyMinor   Urgency = "minor"   // demand for less than the grant, which the host's own tasks usually free soon
	UrgencyIdle    Urgency = "idle"    // floors, lower demand, and the return of idle permits that no host needs
)

var urgencyRanks = map[Urgency]int{UrgencyStarved: 0, UrgencyDemand: 1, UrgencyMinor: 2, UrgencyIdle: 3}

// Before reports whether u is more urgent than other.
func (u Urgency) Before(other Urgency) bool { return urgencyRanks[u] < urgencyRanks[other] }

// slack returns the headroom kept above n, so that small changes in traffic cause no writes.
func slack(n jaybarrow.Slots) jaybarrow.Slots { return n / 4 }
