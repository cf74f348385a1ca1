package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// workload simulates the queues and running tasks of all hosts and teams with one kind of permits. Each task needs one slot.
type workload struct {
	config
	permits
	random          *rand.Rand
	busiest         int       // host that receives the skewed part of the demand
	queues          [][][]int // arrival ticks of waiting tasks, by team and host
	waitingReported [][]bool  // whether waiting slots are reported to the permits, by team and host
	arrivalsDue     []float64 // arrivals, fractions included, that are not yet queued, by team
	running         []running
	busy            int // slots in use
	busySum         int // of busy, over the ticks of a phase
	currentTick     int
	ticks           int
	busyByHost      []int // slots in use, by host
	busyByTick      []int // slots in use, by tick of the phase
	busiestByTick   []int // slots in use at the busiest host, by tick of the phase
	waits           []int // ticks that the tasks started in the phase had waited
}

// running is a running task, which ends at the tick end.
type running struct {
	host, team, end int
}

func newWorkload(c config, p permits) *workload {
	w := &workload{config: c, permits: p, random: rand.New(rand.NewPCG(c.seed, 1)), arrivalsDue: make([]float64, c.teams), busyByHost: make([]int, c.hosts)}
	for range c.teams {
		w.queues = append(w.queues, make([][]int, c.hosts))
		w.waitingReported = append(w.waitingReported, make([]bool, c.hosts))
	}
	return w
}

// step ends the tasks that are due, queues new arrivals and starts the tasks that get permits. An arrival is dropped when its team
// has as many tasks waiting at the host as the limit, so that an overload stays bounded.
func (w *workload) step(currentTick int) {
	unfinished := w.running[:0]
	for _, r := range w.running {
		if r.end > currentTick {
			unfinished = append(unfinished, r)
			continue
		}
		w.release(r.host, r.team)
		w.busy--
		w.busyByHost[r.host]--
	}
	w.running = unfinished
	w.busiestByTick = append(w.busiestByTick, w.busyByHost[w.busiest])
	rate := w.load * float64(w.limit) * float64(tick) / float64(w.task)
	for t := range w.teams {
		for w.arrivalsDue[t] += rate; w.arrivalsDue[t] >= 1; w.arrivalsDue[t]-- {
			if h := w.chooseHost(); len(w.queues[t][h]) < w.limit {
				w.queues[t][h] = append(w.queues[t][h], currentTick)
			}
		}
		for h := range w.hosts {
			w.startWaiting(t, h, currentTick)
		}
	}
	w.busySum += w.busy
	w.busyByTick = append(w.busyByTick, w.busy)
	w.ticks++
}

// chooseHost draws the host of an arrival.
func (w *workload) chooseHost() int {
	if w.random.Float64() < w.skew {
		return w.busiest
	}
	others := w.hosts - 1
	if w.silent {
		others-- // the last host is frozen and has no demand
	}
	h := w.random.IntN(others)
	if h >= w.busiest {
		h++
	}
	return h
}

// startWaiting starts the tasks of team t that wait at host h, as far as there are permits, and reports the waiting slots.
func (w *workload) startWaiting(t, h, currentTick int) {
	for len(w.queues[t][h]) > 0 {
		if !w.acquire(h, t) {
			w.waitingReported[t][h] = true
			w.permits.setWaiting(h, t, len(w.queues[t][h]))
			return
		}
		w.waits = append(w.waits, currentTick-w.queues[t][h][0])
		w.queues[t][h] = w.queues[t][h][1:]
		w.busy++
		w.busyByHost[h]++
		runTicks := 1 + int(w.random.ExpFloat64()*float64(w.task)/float64(tick))
		w.running = append(w.running, running{host: h, team: t, end: currentTick + runTicks})
	}
	if w.waitingReported[t][h] {
		w.waitingReported[t][h] = false
		w.permits.setWaiting(h, t, 0)
	}
}

// phase runs the workload in real time and returns the mean fraction of the limits in use.
func (w *workload) phase(length time.Duration) float64 {
	w.busySum, w.ticks, w.busiestByTick, w.busyByTick, w.waits = 0, 0, nil, nil, nil
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for start := time.Now(); time.Since(start) < length; {
		<-timer.C
		w.currentTick++
		w.step(w.currentTick)
	}
	return float64(w.busySum) / float64(w.ticks) / float64(w.limit*w.teams)
}

// reachable returns the highest fraction of the limits that can be in use with permits held by hosts, on all hosts and on the
// busiest one, which cannot use the permits that the others keep as their floors.
func (w *workload) reachable() (all, busiest float64) {
	// A task takes half a tick longer on average than its drawn run time, which is rounded up.
	demand := min(1, w.load*(1+float64(tick)/2/float64(w.task)))
	busiest = min(w.skew*demand, 1-float64(w.hosts-1)/float64(w.hosts)/2)
	return busiest + (1-w.skew)*demand, busiest
}

// timeToReach returns the time from the start of the phase until the mean use of the busiest host over ten ticks was the given
// fraction of its reachable use, or a negative time when it never was.
func (w *workload) timeToReach(fraction float64) time.Duration {
	const window = 10
	_, busiest := w.reachable()
	for i := window; i <= len(w.busiestByTick); i++ {
		sum := 0
		for _, n := range w.busiestByTick[i-window : i] {
			sum += n
		}
		if float64(sum)/window >= fraction*busiest*float64(w.limit*w.teams) {
			return time.Duration(i) * tick
		}
	}
	return -1
}

// timeToSettle returns the time from the start of the phase after which the mean use over half a second stayed at or above the given
// fraction of the reachable use, or a negative time when the use was below it at the end of the phase.
func (w *workload) timeToSettle(fraction float64) time.Duration {
	const window = 50
	reachable, _ := w.reachable()
	last, sum := 0, 0
	for i, n := range w.busyByTick {
		sum += n
		if i < window {
			continue
		}
		if sum -= w.busyByTick[i-window]; float64(sum)/window < fraction*reachable*float64(w.limit*w.teams) {
			last = i + 1
		}
	}
	if last == len(w.busyByTick) {
		return -1
	}
	return time.Duration(last) * tick
}

// waitTimes returns the 99th percentile and the longest wait of the tasks that started in the phase, and the age of the oldest
// task that is still waiting.
func (w *workload) waitTimes() (p99, longest, oldest time.Duration) {
	for _, hosts := range w.queues {
		for _, queue := range hosts {
			if len(queue) > 0 {
				oldest = max(oldest, time.Duration(w.currentTick-queue[0])*tick)
			}
		}
	}
	if len(w.waits) == 0 {
		return 0, 0, oldest
	}
	slices.Sort(w.waits)
	return time.Duration(w.waits[len(w.waits)*99/100]) * tick, time.Duration(w.waits[len(w.waits)-1]) * tick, oldest
}
