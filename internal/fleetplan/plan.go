package fleetplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings are the bounds of the decisions.
type Settings struct {
	// TargetUtilization is the part of a host's capacity that is planned with; tasks do not fill hosts exactly.
	TargetUtilization float64
	// Headroom is how many hosts a pool keeps beyond its need before others may take them.
	Headroom int
	// LendAfter is how long a pool's need must have been low before it lends hosts.
	LendAfter time.Duration
	// ReturnAfter is how long hosts beyond the need stay in a pool before they go back to the spare pool.
	ReturnAfter time.Duration
	// Lookahead is how far ahead a rising need is looked at: hosts that are asked for now serve after that time.
	Lookahead time.Duration
	// LateWorkFraction is the part of the waiting work of late jobs that hosts are planned for.
	LateWorkFraction float64
	// MaintenanceDuration is how long the drain and the maintenance of one host take together, for the pace of a wave.
	MaintenanceDuration time.Duration
}

// DefaultSettings returns the usual bounds.
func DefaultSettings() Settings {
	return Settings{
		TargetUtilization: 0.9,
		Headroom:          2,
		// About the run time of a short task: the need of a pool that is still busy does not fall for longer.
		LendAfter: time.Second,
		// A move there and back costs as much as two seconds in a pool.
		ReturnAfter: 2 * time.Second,
		// A move and the time until the next decision.
		Lookahead:        1600 * time.Millisecond,
		LateWorkFraction: 0.25,
		// The longest usual task and a maintenance of 2 s.
		MaintenanceDuration: 6 * time.Second,
	}
}

// Host is a host with what runs on its worker.
type Host struct {
	jaybarrow.FleetHost
	Known    bool // its worker has reported to the scheduler
	Usable   bool
	Reserved bool
	Ordered  bool // an order for it is under way
	// MayHaveBeenOrdered means that a previous leader may have given an order for it so lately that another one must wait.
	MayHaveBeenOrdered bool
	Runs               int
	Lasting            int
}

// idle reports whether the host could leave its pool at once.
func (h Host) idle(spare bool) bool {
	return h.State == jaybarrow.FleetHostUp && !h.Ordered && !h.MayHaveBeenOrdered && !h.Reserved && (spare || h.Known && h.Runs == 0)
}

// serving reports whether the host takes tasks.
func (h Host) serving() bool {
	return h.State == jaybarrow.FleetHostUp && h.Usable && !h.Reserved && !h.Ordered
}

// Pool is a pool with its need.
type Pool struct {
	ID           jaybarrow.PoolID
	Spare        bool
	Need         float64 // hosts' worth of running and waiting work
	RecentPeak   float64 // the largest Need of the last while
	Joining      int     // hosts on their way to it
	LongTermPeak float64 // the largest Need since ReturnAfter ago; +Inf: not known for that long
	// Labels is the part of Need that only hosts with a label meet, and LabelsJoining the hosts with it on their way.
	Labels        map[jaybarrow.Label]float64
	LabelsJoining map[jaybarrow.Label]int
}

// Wave is a wave that has not ended.
type Wave struct {
	jaybarrow.Wave
	Pending       []jaybarrow.HostID // hosts whose maintenance has not begun
	InMaintenance int                // hosts that may be in maintenance now
	TimeLeft      time.Duration
}

// State is what is decided on.
type State struct {
	Hosts []Host
	Pools []Pool
	Waves []Wave
}

// Move takes a host to another pool.
type Move struct {
	Host   Host
	To     jaybarrow.PoolID
	Reason string
}

// Maintenance begins or prepares a host's maintenance.
type Maintenance struct {
	Host Host
	Wave jaybarrow.WaveID
}

// Orders are the decisions.
type Orders struct {
	Moves    []Move
	Prepare  []Maintenance // keep new tasks from the host and wait until it is empty
	Maintain []Maintenance // the host is empty
}

// Decide returns the orders to give now.
func Decide(s Settings, in State) Orders {
	d := decision{
		settings: s, state: in, taken: make(map[jaybarrow.HostID]bool),
		pools: make(map[jaybarrow.PoolID]Pool, len(in.Pools)), serves: make(map[jaybarrow.PoolID]int, len(in.Pools)),
		holders: make(map[jaybarrow.PoolID]int, len(in.Pools)), arriving: make(map[jaybarrow.PoolID]int, len(in.Pools)),
		labelled: make(map[poolLabel]int),
	}
	for _, p := range in.Pools {
		d.pools[p.ID] = p
	}
	for _, h := range in.Hosts {
		if h.serving() {
			d.serve(h, 1)
		}
		if h.Lasting > 0 {
			d.holders[h.Pool]++
		}
	}
	d.waves()
	d.moves()
	return d.orders
}

// poolLabel is a label of hosts in a pool.
type poolLabel struct {
	pool  jaybarrow.PoolID
	label jaybarrow.Label
}

type decision struct {
	settings Settings
	state    State
	taken    map[jaybarrow.HostID]bool
	pools    map[jaybarrow.PoolID]Pool
	serves   map[jaybarrow.PoolID]int // hosts that take tasks
	holders  map[jaybarrow.PoolID]int // hosts with lasting tasks
	arriving map[jaybarrow.PoolID]int // hosts that were just ordered there
	labelled map[poolLabel]int        // hosts that take tasks, by label
	orders   Orders
}

func (d *decision) spare(id jaybarrow.PoolID) bool { return d.pools[id].Spare }

// serve counts a host that takes tasks in or out.
func (d *decision) serve(h Host, n int) {
	d.serves[h.Pool] += n
	for _, label := range h.Labels {
		d.labelled[poolLabel{h.Pool, label}] += n
	}
}

// take marks a host as spoken for.
func (d *decision) take(h Host) {
	if !d.taken[h.ID] && h.serving() {
		d.serve(h, -1)
	}
	d.taken[h.ID] = true
}

// waves prepares and begins maintenance, at most AtOnce hosts of a wave together.
func (d *decision) waves() {
	for _, w := range d.state.Waves {
		room := w.AtOnce - w.InMaintenance
		left := d.candidates(w)
		for _, h := range left {
			if room <= 0 {
				break
			}
			if h.Runs == 0 && (h.Reserved || d.spare(h.Pool)) {
				d.orders.Maintain = append(d.orders.Maintain, Maintenance{h, w.ID})
				d.take(h)
				room--
			}
		}
		for _, h := range left {
			if h.Reserved && !d.taken[h.ID] {
				room--
			}
		}
		hurried := w.TimeLeft < time.Duration(math.Ceil(float64(len(w.Pending))/float64(max(1, w.AtOnce)))+1)*d.settings.MaintenanceDuration
		for _, h := range left {
			if room <= 0 {
				break
			}
			if d.taken[h.ID] || h.Reserved || !hurried && !d.relaxed(h) {
				continue
			}
			d.orders.Prepare = append(d.orders.Prepare, Maintenance{h, w.ID})
			d.take(h)
			room--
		}
	}
}

// candidates returns the wave's hosts that can be maintained, those with the least to move first.
func (d *decision) candidates(w Wave) []Host {
	var out []Host
	for _, h := range d.state.Hosts {
		if h.State == jaybarrow.FleetHostUp && !h.Ordered && slices.Contains(w.Pending, h.ID) && (h.Known || d.spare(h.Pool)) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// relaxed reports whether the host's pool can do without it now.
func (d *decision) relaxed(h Host) bool {
	p, known := d.pools[h.Pool]
	return !known || p.Spare || p.RecentPeak+1 <= float64(d.serves[p.ID])
}

// moves brings idle hosts to the pools that lack them, and hosts that nobody needs back to the spare pool.
func (d *decision) moves() {
	short := slices.Clone(d.state.Pools)
	slices.SortStableFunc(short, func(a, b Pool) int { return cmp.Compare(d.lack(b), d.lack(a)) })
	for _, p := range short {
		for _, label := range slices.Sorted(maps.Keys(p.Labels)) {
			d.fetch(p.ID, label, d.lackOf(p, label))
		}
	}
	for _, p := range short {
		if !p.Spare {
			d.fetch(p.ID, "", d.lack(p))
		}
	}
	d.giveBack()
}

// fetch moves up to n idle hosts with the label to a pool; the empty label is that of every host.
func (d *decision) fetch(to jaybarrow.PoolID, label jaybarrow.Label, n int) {
	for range n {
		h, ok := d.pickSource(to, label)
		if !ok {
			return
		}
		d.move(h, to, "work waits")
		d.arriving[to]++
	}
}

// lackOf returns how many hosts with the label a pool is short of.
func (d *decision) lackOf(p Pool, label jaybarrow.Label) int {
	return int(math.Ceil(p.Labels[label])) - d.labelled[poolLabel{p.ID, label}] - p.LabelsJoining[label]
}

// bound reports whether the host's pool needs it for one of its labels.
func (d *decision) bound(h Host) bool {
	for _, label := range h.Labels {
		if need := d.pools[h.Pool].Labels[label]; need > 0 && float64(d.labelled[poolLabel{h.Pool, label}]-1) < need {
			return true
		}
	}
	return false
}

// lack returns how many hosts a pool is short of. Lasting tasks are spread: a host that is emptied of them needs another one in
// its place, even where the rest has room.
func (d *decision) lack(p Pool) int {
	return max(int(math.Ceil(p.Need)), d.holders[p.ID]) - d.serves[p.ID] - p.Joining - d.arriving[p.ID]
}

func (d *decision) move(h Host, to jaybarrow.PoolID, reason string) {
	d.take(h)
	d.orders.Moves = append(d.orders.Moves, Move{h, to, reason})
}

// pickSource returns the idle host that its pool misses least: one of the pool with the most beyond its need, else a spare one. Both
// arrive as soon, but the first costs something where it is. It must have the label, unless that is empty.
func (d *decision) pickSource(to jaybarrow.PoolID, label jaybarrow.Label) (Host, bool) {
	best, most := Host{}, math.Inf(-1)
	for _, h := range d.state.Hosts {
		if h.Pool == to || d.taken[h.ID] || label != "" && !slices.Contains(h.Labels, label) || d.bound(h) {
			continue
		}
		spare := d.spare(h.Pool)
		if !h.idle(spare) {
			continue
		}
		beyond := 0.0
		if !spare {
			beyond = d.beyond(h.Pool)
		}
		if (spare || beyond >= 1) && beyond > most {
			best, most = h, beyond
		}
	}
	return best, best.ID != ""
}

// beyond returns how many hosts a pool has beyond its recent need and what it keeps.
func (d *decision) beyond(id jaybarrow.PoolID) float64 {
	p, known := d.pools[id]
	if !known {
		return float64(d.serves[id])
	}
	return float64(d.serves[id]-d.settings.Headroom) - p.RecentPeak
}

// giveBack sends hosts of pools that have long had too many to the spare pool.
func (d *decision) giveBack() {
	target := slices.IndexFunc(d.state.Pools, func(p Pool) bool { return p.Spare })
	if target < 0 {
		return
	}
	for _, h := range d.state.Hosts {
		p, known := d.pools[h.Pool]
		if !known || p.Spare || d.taken[h.ID] || !h.idle(false) || d.bound(h) {
			continue
		}
		if float64(d.serves[p.ID]-d.settings.Headroom)-p.LongTermPeak >= 1 {
			d.move(h, d.state.Pools[target].ID, "nobody needs it")
		}
	}
}
