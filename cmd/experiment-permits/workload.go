package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// workload is the queues and running tasks of all hosts and teams under one kind of permits.
type workload struct {
	config
	permits
	random  *rand.Rand
	busiest int       // host with the skewed part of the demand
	queues  [][][]int // arrival ticks of waiting tasks, by team and host
	lacks   [][]bool  // by team and host, whether waiting slots were reported
	owed    []float64 // fractional arrivals, by team
	running []running
	busy    int // slots in use
	sum     int // of busy, over the ticks of a phase
	arrived int
	ticks   int
	busyAt  []int // slots in use, by host
	totals  []int // slots in use, by tick of the phase
	samples []int // slots in use at the busiest host, by tick of the phase
	waits   []int // ticks that the tasks started in the phase had waited
}

type running struct {
	host, team, end int
}

func newWorkload(c config, p permits) *workload {
	w := &workload{config: c, permits: p, random: rand.New(rand.NewPCG(c.seed, 1)), owed: make([]float64, c.teams), busyAt: make([]int, c.hosts)}
	for range c.teams {
		w.queues = append(w.queues, make([][]int, c.hosts))
		w.lacks = append(w.lacks, make([]bool, c.hosts))
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
		w.busyAt[r.host]--
	}
	w.running = left
	w.samples = append(w.samples, w.busyAt[w.busiest])
	rate := w.load * float64(w.limit) * float64(tick) / float64(w.task)
	for t := range w.teams {
		for w.owed[t] += rate; w.owed[t] >= 1; w.owed[t]-- {
			if h := w.choose(); len(w.queues[t][h]) < w.limit {
				w.queues[t][h] = append(w.queues[t][h], now)
			}
		}
		for h := range w.hosts {
			w.start(t, h, now)
		}
	}
	w.sum += w.busy
	w.totals = append(w.totals, w.busy)
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
	for len(w.queues[t][h]) > 0 {
		if !w.acquire(h, t) {
			w.lacks[t][h] = true
			w.permits.waiting(h, t, len(w.queues[t][h]))
			return
		}
		w.waits = append(w.waits, now-w.queues[t][h][0])
		w.queues[t][h] = w.queues[t][h][1:]
		w.busy++
		w.busyAt[h]++
		took := 1 + int(w.random.ExpFloat64()*float64(w.task)/float64(tick))
		w.running = append(w.running, running{host: h, team: t, end: now + took})
	}
	if w.lacks[t][h] {
		w.lacks[t][h] = false
		w.permits.waiting(h, t, 0)
	}
}

// phase runs the workload in real time and returns the mean part of the limits in use.
func (w *workload) phase(length time.Duration) float64 {
	w.sum, w.ticks, w.samples, w.totals, w.waits = 0, 0, nil, nil, nil
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for begun := time.Now(); time.Since(begun) < length; {
		<-timer.C
		w.arrived++
		w.step(w.arrived)
	}
	return float64(w.sum) / float64(w.ticks) / float64(w.limit*w.teams)
}

// reachable is the share that escrow can use at most, of all hosts and of the busiest one, which cannot have the floors of the
// others.
func (w *workload) reachable() (all, busiest float64) {
	// A task takes half a tick more than its drawn time, because it is rounded up.
	demand := min(1, w.load*(1+float64(tick)/2/float64(w.task)))
	busiest = min(w.skew*demand, 1-float64(w.hosts-1)/float64(w.hosts)/2)
	return busiest + (1-w.skew)*demand, busiest
}

// reached returns the time from the start of the phase until the mean use of the busiest host over ten ticks was the given
// part of its reachable share; negative when it never was.
func (w *workload) reached(part float64) time.Duration {
	const window = 10
	_, busiest := w.reachable()
	for i := window; i <= len(w.samples); i++ {
		sum := 0
		for _, n := range w.samples[i-window : i] {
			sum += n
		}
		if float64(sum)/window >= part*busiest*float64(w.limit*w.teams) {
			return time.Duration(i) * tick
		}
	}
	return -1
}

// stays returns the time from which the mean use over half a second stayed at the given part of the reachable share; negative
// when it was below at the end of the phase.
func (w *workload) stays(part float64) time.Duration {
	const window = 50
	reachable, _ := w.reachable()
	last, sum := 0, 0
	for i, n := range w.totals {
		sum += n
		if i < window {
			continue
		}
		if sum -= w.totals[i-window]; float64(sum)/window < part*reachable*float64(w.limit*w.teams) {
			last = i + 1
		}
	}
	if last == len(w.totals) {
		return -1
	}
	return time.Duration(last) * tick
}

// waited returns the 99th percentile and the highest wait of the tasks that started in the phase, and the age of the
// oldest task that still waits.
func (w *workload) waited() (high, most, oldest time.Duration) {
	for _, hosts := range w.queues {
		for _, queue := range hosts {
			if len(queue) > 0 {
				oldest = max(oldest, time.Duration(w.arrived-queue[0])*tick)
			}
		}
	}
	if len(w.waits) == 0 {
		return 0, 0, oldest
	}
	slices.Sort(w.waits)
	return time.Duration(w.waits[len(w.waits)*99/100]) * tick, time.Duration(w.waits[len(w.waits)-1]) * tick, oldest
}
