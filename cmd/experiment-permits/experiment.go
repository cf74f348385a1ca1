package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// config is the experiment's settings.
type config struct {
	seed         uint64
	hosts, limit int
	teams        int
	skew, load   float64
	task, phase  time.Duration
	silent       bool
}

// tick is how often each team's demand starts tasks.
const tick = 10 * time.Millisecond

// permits is what a simulated entry host takes permits from.
type permits interface {
	acquire(host, team int) bool
	release(host, team int)
}

// keepers takes permits from the keepers under test.
type keepers struct{ *fleet }

func (k keepers) acquire(h, t int) bool { return k.hosts[h].keeper.TryAcquire(team(t), 1) }
func (k keepers) release(h, t int)      { k.hosts[h].keeper.Release(team(t), 1) }

// counter is the ideal: one counter for each team that all hosts share without cost. With parts it is the static split.
type counter struct {
	mutex sync.Mutex
	used  map[[2]int]int
	limit func(host int) int
	key   func(host, team int) [2]int
}

func newIdeal(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), limit: func(int) int { return c.limit },
		key: func(_, t int) [2]int { return [2]int{0, t} },
	}
}

func newSplit(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), key: func(h, t int) [2]int { return [2]int{h, t} },
		limit: func(h int) int {
			if h < c.limit%c.hosts {
				return c.limit/c.hosts + 1
			}
			return c.limit / c.hosts
		},
	}
}

func (s *counter) acquire(h, t int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.used[s.key(h, t)] >= s.limit(h) {
		return false
	}
	s.used[s.key(h, t)]++
	return true
}

func (s *counter) release(h, t int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used[s.key(h, t)]--
}

// workload is the queues and running tasks of all hosts and teams under one kind of permits.
type workload struct {
	config
	permits
	random  *rand.Rand
	busiest int       // host with the skewed part of the demand
	waiting [][]int   // by team and host
	owed    []float64 // fractional arrivals, by team
	running []running
	busy    int // slots in use
	sum     int // of busy, over the ticks of a phase
	arrived int
	ticks   int
}

type running struct {
	host, team, end int
}

func newWorkload(c config, p permits) *workload {
	w := &workload{config: c, permits: p, random: rand.New(rand.NewPCG(c.seed, 1)), owed: make([]float64, c.teams)}
	for range c.teams {
		w.waiting = append(w.waiting, make([]int, c.hosts))
	}
	return w
}

// step ends the tasks that are due, adds arrivals and starts what has permits. The demand is closed at the limit's queue:
// a host with more than the limit waiting receives no more, so that an overload stays bounded.
func (w *workload) step(now int) {
	left := w.running[:0]
	for _, r := range w.running {
		if r.end > now {
			left = append(left, r)
			continue
		}
		w.release(r.host, r.team)
		w.busy--
	}
	w.running = left
	rate := w.load * float64(w.limit) * float64(tick) / float64(w.task)
	for t := range w.teams {
		for w.owed[t] += rate; w.owed[t] >= 1; w.owed[t]-- {
			if h := w.choose(); w.waiting[t][h] < w.limit {
				w.waiting[t][h]++
			}
		}
		for h := range w.hosts {
			w.start(t, h, now)
		}
	}
	w.sum += w.busy
	w.ticks++
}

func (w *workload) choose() int {
	if w.random.Float64() < w.skew {
		return w.busiest
	}
	others := w.hosts - 1
	if w.silent {
		others-- // the last host is silent and has no demand
	}
	h := w.random.IntN(others)
	if h >= w.busiest {
		h++
	}
	return h
}

func (w *workload) start(t, h, now int) {
	for w.waiting[t][h] > 0 && w.acquire(h, t) {
		w.waiting[t][h]--
		w.busy++
		took := 1 + int(w.random.ExpFloat64()*float64(w.task)/float64(tick))
		w.running = append(w.running, running{host: h, team: t, end: now + took})
	}
}

// phase runs the workload in real time and returns the mean part of the limits in use.
func (w *workload) phase(length time.Duration) float64 {
	w.sum, w.ticks = 0, 0
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for begun := time.Now(); time.Since(begun) < length; {
		<-timer.C
		w.arrived++
		w.step(w.arrived)
	}
	return float64(w.sum) / float64(w.ticks) / float64(w.limit*w.teams)
}

// both runs a phase of the three workloads at once, and reports the writes and the processor time of it.
func both(f *fleet, name string, c config, loads []*workload) {
	writes, cpu, begun := f.writes.Load(), processorTime(), time.Now()
	shares := make([]float64, len(loads))
	var group sync.WaitGroup
	for i, w := range loads {
		group.Go(func() { shares[i] = w.phase(c.phase) })
	}
	group.Wait()
	seconds := time.Since(begun).Seconds()
	fmt.Printf("%-22s used share of limit: keepers %.3f  static split %.3f  ideal %.3f  writes/s %.1f  cores %.2f\n",
		name, shares[0], shares[1], shares[2], float64(f.writes.Load()-writes)/seconds, (processorTime()-cpu).Seconds()/seconds)
}

func experiment(c config) {
	f := newFleet(c)
	defer f.close()
	fmt.Printf("seed %d, %d hosts, limit %d, %d teams, skew %.2f, load %.2f, task %v, silent %v\n",
		c.seed, c.hosts, c.limit, c.teams, c.skew, c.load, c.task, c.silent)
	quiet(f, "start, no demand", c)
	quiet(f, "idle", c)
	loads := []*workload{newWorkload(c, keepers{f}), newWorkload(c, newSplit(c)), newWorkload(c, newIdeal(c))}
	if c.silent {
		close(f.hosts[c.hosts-1].store.frozen)
	}
	both(f, "demand begins", c, loads)
	both(f, "steady", c, loads)
	for _, w := range loads {
		w.busiest = 1
	}
	both(f, "shift to another host", c, loads)
	both(f, "steady after the shift", c, loads)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Printf("heap %.1f MB, %d goroutines\n", float64(memory.HeapAlloc)/1e6, runtime.NumGoroutine())
}

// quiet measures a phase without demand.
func quiet(f *fleet, name string, c config) {
	writes, cpu := f.writes.Load(), processorTime()
	time.Sleep(c.phase)
	fmt.Printf("%-22s writes/s %.1f  cores %.4f\n",
		name, float64(f.writes.Load()-writes)/c.phase.Seconds(), (processorTime()-cpu).Seconds()/c.phase.Seconds())
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ permits = keepers{}

var _ jaybarrow.Store = (*countingStore)(nil)
