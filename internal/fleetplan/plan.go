package fleetplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings are the bounds of the decisions on hosts.
type Settings struct {
	// TargetUtilization is the part of a host's capacity that the plan counts on, since tasks do not fill hosts exactly.
	TargetUtilization float64
	// Headroom is the number of hosts that a pool keeps in excess of its need.
	Headroom int
	// MoveAfter is how long a pool's need must have been low before its idle hosts may move to other pools.
	MoveAfter time.Duration
	// ReturnAfter is how long a pool's need must have been low before its idle hosts return to the spare pool.
	ReturnAfter time.Duration
	// Lookahead is how far ahead a rising need is extrapolated: the time from a decision until a moved host accepts tasks.
	Lookahead time.Duration
	// LateWorkFraction is the part of the waiting work of late jobs that is added to a pool's need.
	LateWorkFraction float64
	// MaintenanceDuration is how long the drain and the maintenance of one host take together. It decides when a wave must empty hosts
	// of busy pools to end in time.
	MaintenanceDuration time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		TargetUtilization: 0.9,
		Headroom:          2,
		// About the run time of a short task: the need of a busy pool drops for no longer than that.
		MoveAfter: time.Second,
		// Two moves, to the spare pool and back, cost as much as two seconds in a pool.
		ReturnAfter: 2 * time.Second,
		// The duration of a move plus the time until the next decision.
		Lookahead:        1600 * time.Millisecond,
		LateWorkFraction: 0.25,
		// The run time of the longest usual task plus a maintenance of 2 s.
		MaintenanceDuration: 6 * time.Second,
	}
}

// Host is a host with the load of its worker.
type Host struct {
	jaybarrow.FleetHost
	Known    bool // its worker is registered with the scheduler
	Usable   bool // its worker can receive tasks
	Reserved bool // its worker receives no new tasks
	Ordered  bool // an order for it is in progress
	// MayHaveBeenOrdered means that a previous leader may have given an order for the host so recently that another order must wait.
	MayHaveBeenOrdered bool
	// Evacuated means that the host's data centre is being evacuated: it gets no tasks and does not count as capacity.
	Evacuated bool
	Runs      int // running tasks
	Lasting   int // running tasks that last until their job is cancelled
	// Obstacle is why the host cannot be emptied at present; it is tried again once this is empty.
	Obstacle jaybarrow.DrainObstacle
}

// idle reports whether the host can leave its pool without ending a task.
func (h Host) idle(isSpare bool) bool {
	return h.State == jaybarrow.FleetHostUp && !h.Ordered && !h.MayHaveBeenOrdered && !h.Reserved && (isSpare || h.Known && h.Runs == 0)
}

// serving reports whether the host accepts new tasks.
func (h Host) serving() bool {
	return h.State == jaybarrow.FleetHostUp && h.Usable && !h.Reserved && !h.Ordered && !h.Evacuated
}

// Pool is a pool with the number of hosts that it needs.
type Pool struct {
	ID           jaybarrow.PoolID
	Spare        bool
	Need         float64 // hosts that the running and waiting work needs
	RecentPeak   float64 // largest sample of the need within MoveAfter
	Joining      int     // hosts that are moving to the pool or whose worker is not registered yet
	LongTermPeak float64 // largest sample of the need within ReturnAfter; +Inf while the samples cover less time
	// Labels is the part of Need that only hosts with the label can meet; LabelsJoining counts the joining hosts with the label.
	Labels        map[jaybarrow.Label]float64
	LabelsJoining map[jaybarrow.Label]int
}

// Wave is a maintenance wave that has not ended.
type Wave struct {
	jaybarrow.Wave
	Pending       []jaybarrow.HostID // hosts whose maintenance has not begun
	InMaintenance int                // hosts that may be in maintenance now
	TimeLeft      time.Duration      // until every host must have been maintained
}

// State is the input of a decision.
type State struct {
	Hosts []Host
	Pools []Pool
	Waves []Wave
}

// Move is the order to move a host to another pool.
type Move struct {
	Host   Host
	To     jaybarrow.PoolID
	Reason string
}

// Maintenance is the order to drain a host for maintenance or to begin its maintenance.
type Maintenance struct {
	Host Host
	Wave jaybarrow.WaveID
}

// Orders is the result of a decision.
type Orders struct {
	Moves    []Move
	Drain    []Maintenance // hosts whose workers receive no new tasks until they are empty
	Maintain []Maintenance // empty hosts whose maintenance begins
}

// Decide returns the orders to give now.
func Decide(s Settings, in State) Orders {
	d := decision{
		settings: s, state: in, taken: make(map[jaybarrow.HostID]bool),
		pools: make(map[jaybarrow.PoolID]Pool, len(in.Pools)), servingHosts: make(map[jaybarrow.PoolID]int, len(in.Pools)),
		lastingHosts: make(map[jaybarrow.PoolID]int, len(in.Pools)), lacksRoom: make(map[jaybarrow.PoolID]int), orderedHosts: make(map[jaybarrow.PoolID]int, len(in.Pools)),
		servingByLabel: make(map[poolLabel]int), hostsOf: make(map[jaybarrow.PoolID]int, len(in.Pools)),
	}
	for _, p := range in.Pools {
		d.pools[p.ID] = p
	}
	for _, h := range in.Hosts {
		if !h.Evacuated {
			d.hostsOf[h.Pool]++
		}
		if h.serving() {
			d.countServing(h, 1)
		}
		if h.Lasting > 0 && !h.Evacuated { // lasting tasks of an evacuated data centre stay there
			d.lastingHosts[h.Pool]++
		}
		if h.Obstacle == jaybarrow.ObstacleNoRoom || h.Obstacle == jaybarrow.ObstacleOthersAway {
			d.lacksRoom[h.Pool] = 1
		}
	}
	d.planWaves()
	d.planMoves()
	return d.orders
}

// poolLabel is a pool and a label of hosts in it.
type poolLabel struct {
	pool  jaybarrow.PoolID
	label jaybarrow.Label
}

// decision is the state of one call of Decide.
type decision struct {
	settings       Settings
	state          State
	taken          map[jaybarrow.HostID]bool // hosts with an order in this decision
	pools          map[jaybarrow.PoolID]Pool
	hostsOf        map[jaybarrow.PoolID]int // hosts, in whatever state, that are not evacuated
	servingHosts   map[jaybarrow.PoolID]int // hosts that accept tasks
	lastingHosts   map[jaybarrow.PoolID]int // hosts with lasting tasks
	lacksRoom      map[jaybarrow.PoolID]int // 1 for a pool with hosts that cannot be emptied for want of room for their lasting tasks
	orderedHosts   map[jaybarrow.PoolID]int // hosts that this decision moves there
	servingByLabel map[poolLabel]int        // hosts that accept tasks, by label
	sources        []*source                // idle hosts, by pool
	orders         Orders
}

// isSpare reports whether the pool is a spare pool.
func (d *decision) isSpare(id jaybarrow.PoolID) bool { return d.pools[id].Spare }

// countServing adds n to the counts of serving hosts of the host's pool and labels.
func (d *decision) countServing(h Host, n int) {
	d.servingHosts[h.Pool] += n
	for _, label := range h.Labels {
		d.servingByLabel[poolLabel{h.Pool, label}] += n
	}
}

// markTaken marks a host as used by an order, so that it gets no other one and no longer counts as serving.
func (d *decision) markTaken(h Host) {
	if !d.taken[h.ID] && h.serving() {
		d.countServing(h, -1)
	}
	d.taken[h.ID] = true
}

// planWaves decides which hosts to drain for maintenance and which to maintain, at most AtOnce hosts of a wave together. Hosts that a
// busy pool needs are drained only when the wave would otherwise exceed its time.
func (d *decision) planWaves() {
	for _, w := range d.state.Waves {
		budget := w.AtOnce - w.InMaintenance
		eligible := d.candidates(w)
		for _, h := range eligible {
			if budget <= 0 {
				break
			}
			// A host that several waves name has its maintenance for one after the other.
			if !d.taken[h.ID] && h.Runs == 0 && (h.Reserved || d.isSpare(h.Pool)) {
				d.orders.Maintain = append(d.orders.Maintain, Maintenance{h, w.ID})
				d.markTaken(h)
				budget--
			}
		}
		for _, h := range eligible {
			if h.Reserved && !d.taken[h.ID] {
				budget--
			}
		}
		urgent := w.TimeLeft < time.Duration(math.Ceil(float64(len(w.Pending))/float64(max(1, w.AtOnce)))+1)*d.settings.MaintenanceDuration
		for _, h := range eligible {
			if budget <= 0 {
				break
			}
			if d.taken[h.ID] || h.Reserved || h.Obstacle != "" || !urgent && !d.canSpare(h) || d.isLastServing(h) {
				continue
			}
			d.orders.Drain = append(d.orders.Drain, Maintenance{h, w.ID})
			d.markTaken(h)
			budget--
		}
	}
}

// candidates returns the wave's hosts that can be maintained, those with the fewest lasting tasks first and then the fewest tasks.
func (d *decision) candidates(w Wave) []Host {
	var out []Host
	for _, h := range d.state.Hosts {
		if h.State == jaybarrow.FleetHostUp && !h.Ordered && slices.Contains(w.Pending, h.ID) && (h.Known || d.isSpare(h.Pool)) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// isLastServing reports whether the host is the last one that accepts tasks in a pool that has others: these come back from their maintenance
// before this one is drained.
func (d *decision) isLastServing(h Host) bool {
	return h.serving() && d.servingHosts[h.Pool] <= 1 && d.hostsOf[h.Pool] > 1
}

// canSpare reports whether the host's pool meets its recent need without the host.
func (d *decision) canSpare(h Host) bool {
	p, known := d.pools[h.Pool]
	return !known || p.Spare || h.Evacuated || p.RecentPeak+1 <= float64(d.servingHosts[p.ID])
}

// planMoves moves idle hosts to the pools with a shortage and returns surplus hosts to the spare pool. Shortages of labelled hosts
// are met first.
func (d *decision) planMoves() {
	d.findSources()
	byShortage := slices.Clone(d.state.Pools)
	slices.SortStableFunc(byShortage, func(a, b Pool) int { return cmp.Compare(d.shortage(b), d.shortage(a)) })
	for _, p := range byShortage {
		for _, label := range slices.Sorted(maps.Keys(p.Labels)) {
			d.moveIn(p.ID, label, d.labelShortage(p, label))
		}
	}
	for _, p := range byShortage {
		if !p.Spare {
			d.moveIn(p.ID, "", d.shortage(p))
		}
	}
	d.returnSurplus()
}

// moveIn moves up to n idle hosts with the label to a pool; the empty label matches every host.
func (d *decision) moveIn(to jaybarrow.PoolID, label jaybarrow.Label, n int) {
	for range n {
		h, ok := d.pickSource(to, label)
		if !ok {
			return
		}
		d.move(h, to, "work is waiting")
		d.orderedHosts[to]++
	}
}

// labelShortage returns how many hosts with the label the pool lacks.
func (d *decision) labelShortage(p Pool, label jaybarrow.Label) int {
	return int(math.Ceil(p.Labels[label])) - d.servingByLabel[poolLabel{p.ID, label}] - p.LabelsJoining[label]
}

// neededForLabel reports whether the host's pool needs it for one of its labels.
func (d *decision) neededForLabel(h Host) bool {
	needs := d.pools[h.Pool].Labels
	if len(needs) == 0 {
		return false
	}
	for _, label := range h.Labels {
		if need := needs[label]; need > 0 && float64(d.servingByLabel[poolLabel{h.Pool, label}]-1) < need {
			return true
		}
	}
	return false
}

// shortage returns how many hosts the pool lacks. Lasting tasks are spread over hosts, so a host that is drained of them must be
// replaced even if the other hosts have capacity, and one more must come where none can be drained.
func (d *decision) shortage(p Pool) int {
	return max(int(math.Ceil(p.Need)), d.lastingHosts[p.ID]+d.lacksRoom[p.ID]) - d.servingHosts[p.ID] - p.Joining - d.orderedHosts[p.ID]
}

// move orders the host to another pool.
func (d *decision) move(h Host, to jaybarrow.PoolID, reason string) {
	d.markTaken(h)
	d.orders.Moves = append(d.orders.Moves, Move{h, to, reason})
}

// pickSource returns an idle host from the pool with the largest surplus, or a spare host if no pool has a surplus. Both arrive
// equally soon, but a spare host costs nothing where it is. The host must have the label, unless that is empty.
func (d *decision) pickSource(to jaybarrow.PoolID, label jaybarrow.Label) (Host, bool) {
	best, bestSurplus := Host{}, math.Inf(-1)
	for _, from := range d.sources {
		if from.pool == to {
			continue
		}
		isSpare, surplus := d.isSpare(from.pool), 0.0
		if !isSpare {
			if surplus = d.surplus(from.pool); surplus < 1 {
				continue
			}
		}
		if surplus <= bestSurplus {
			continue
		}
		if h, ok := d.firstSource(from, label); ok {
			best, bestSurplus = h, surplus
		}
	}
	return best, best.ID != ""
}

// source holds the idle hosts of a pool.
type source struct {
	pool  jaybarrow.PoolID
	hosts []Host
}

// findSources collects the idle hosts by pool, in the order of the list of hosts.
func (d *decision) findSources() {
	byPool := make(map[jaybarrow.PoolID]*source)
	for _, h := range d.state.Hosts {
		if d.taken[h.ID] || h.Evacuated || !h.idle(d.isSpare(h.Pool)) {
			continue
		}
		from := byPool[h.Pool]
		if from == nil {
			from = &source{pool: h.Pool}
			byPool[h.Pool] = from
			d.sources = append(d.sources, from)
		}
		from.hosts = append(from.hosts, h)
	}
}

// firstSource returns the first host of the pool that may leave it and has the label, unless that is empty.
func (d *decision) firstSource(from *source, label jaybarrow.Label) (Host, bool) {
	for len(from.hosts) > 0 && d.taken[from.hosts[0].ID] {
		from.hosts = from.hosts[1:]
	}
	for _, h := range from.hosts {
		if !d.taken[h.ID] && (label == "" || slices.Contains(h.Labels, label)) && !d.neededForLabel(h) {
			return h, true
		}
	}
	return Host{}, false
}

// surplus returns how many hosts a pool has in excess of its recent need and the headroom.
func (d *decision) surplus(id jaybarrow.PoolID) float64 {
	p, known := d.pools[id]
	if !known {
		return float64(d.servingHosts[id])
	}
	return float64(d.servingHosts[id]-d.settings.Headroom) - p.RecentPeak
}

// returnSurplus moves idle hosts to the spare pool: those of evacuated data centres, and others from pools that have had a surplus for
// ReturnAfter.
func (d *decision) returnSurplus() {
	spareIndex := slices.IndexFunc(d.state.Pools, func(p Pool) bool { return p.Spare })
	if spareIndex < 0 {
		return
	}
	for _, h := range d.state.Hosts {
		p, known := d.pools[h.Pool]
		if !known || p.Spare || d.taken[h.ID] || !h.idle(false) {
			continue
		}
		if h.Evacuated {
			d.move(h, d.state.Pools[spareIndex].ID, "its data centre is being evacuated")
			continue
		}
		if d.neededForLabel(h) {
			continue
		}
		if float64(d.servingHosts[p.ID]-d.settings.Headroom)-p.LongTermPeak >= 1 {
			d.move(h, d.state.Pools[spareIndex].ID, "the pool no longer needs it")
		}
	}
}
