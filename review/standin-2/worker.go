package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the installation, as on the sheet of Stibakke.
const (
	maxLease     = 10 * time.Second
	stopTime     = 100 * time.Millisecond // a stop takes at most 200 ms
	gangTime     = 3 * time.Second
	saveInterval = time.Second
	restoreTime  = 100 * time.Millisecond
	startupTime  = 300 * time.Millisecond // of work that lasts
	heartbeat    = 1500 * time.Millisecond
)

// workSpec is what the caller of a case and its workers know of a submission.
type workSpec struct {
	tenant string
	steps  []stepSpec
	runs   time.Duration // of each work unit; 0 for work that lasts
}

// stepSpec is a step as callers submit it.
type stepSpec struct {
	Replicas   int   `json:"replicas"`
	CPU        int64 `json:"cpu"`
	MemoryMB   int64 `json:"mem_mb,omitempty"`
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
	Daemon     bool  `json:"daemon,omitempty"`
	MayMiss    int   `json:"may_miss,omitempty"`
}

// unitRun is one run of a work unit on a worker.
type unitRun struct {
	worker  *worker
	task    string
	job     string
	step    int
	number  int64
	spec    *workSpec
	began   time.Time     // when the worker accepted the start
	works   time.Time     // since when it works; zero while its gang is not complete
	resumed time.Duration // work that its checkpoint covers
	saved   string
	stopAt  time.Time // when a stop ends it; zero without one
}

func (r *unitRun) stepSpec() stepSpec { return r.spec.steps[r.step] }

// worked returns the work done so far.
func (r *unitRun) worked(now time.Time) time.Duration {
	if r.works.IsZero() || now.Before(r.works) {
		return r.resumed
	}
	return r.resumed + now.Sub(r.works)
}

// unitEnd is an end that a worker lists until it is acknowledged.
type unitEnd struct {
	number int64
	run    *unitRun
	how    string
}

// floor is the state of all workers; one lock guards it.
type floor struct {
	lock    sync.Mutex
	log     *journal
	store   *store
	specs   map[string]*workSpec // by submission
	workers []*worker
	starts  []start // that workers have accepted
	// onStart is called with the lock held after each start.
	onStart func(r *unitRun)
}

// start is a start that a worker has accepted.
type start struct {
	at     time.Time
	worker string
	task   string
	job    string
	number int64
	saved  string
}

func newFloor(log *journal, s *store) *floor {
	f := &floor{log: log, store: s, specs: make(map[string]*workSpec)}
	go f.work()
	return f
}

// work lets the work units work for as long as the program runs.
func (f *floor) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		f.lock.Lock()
		now := time.Now()
		for _, w := range f.workers {
			w.advance(now)
		}
		f.lock.Unlock()
	}
}

// members returns the runs of a gang that are present. The lock is held.
func (f *floor) members(r *unitRun) []*unitRun {
	var out []*unitRun
	for _, w := range f.workers {
		for _, other := range w.running {
			if other.job == r.job && other.step == r.step && other.number == r.number {
				out = append(out, other)
			}
		}
	}
	return out
}

// worker stands in for one worker.
type worker struct {
	*server
	floor   *floor
	id      string
	machine string
	pool    string
	cpu     int64
	started time.Time // origin of its clock
	fence   int64
	lease   time.Time // end of the lease
	running map[string]*unitRun
	stopped map[string]int64 // highest run of each work unit that has ended or was stopped
	ends    []unitEnd
	lastEnd int64
	gone    bool      // its machine moves or has its upkeep
	dark    bool      // cut off: it runs on, gets no calls and gives no answers
	sick    bool      // answers starts with 503
	beatAt  time.Time // of the last entry in the register
}

func (f *floor) newWorker(id, machine, pool string, cpu int64) (*worker, error) {
	w := &worker{
		floor: f, id: id, machine: machine, pool: pool, cpu: cpu, started: time.Now(), running: make(map[string]*unitRun),
		stopped: make(map[string]int64),
	}
	var err error
	if w.server, err = newServer(w); err != nil {
		return nil, err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.workers = append(f.workers, w)
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// advance lets the worker's runs work until now. The lock is held.
func (w *worker) advance(now time.Time) {
	w.beat(now)
	for _, r := range w.running {
		switch s := r.stepSpec(); {
		case now.After(w.lease):
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case s.Gang && r.works.IsZero():
			w.joinGang(r, s, now)
		case !s.Daemon && r.worked(now) >= r.spec.runs:
			w.end(r, "done")
		default:
			r.save(now)
		}
	}
}

// joinGang lets a gang work from when all of it is present. Members that go on from different checkpoints do not make one gang.
func (w *worker) joinGang(r *unitRun, s stepSpec, now time.Time) {
	members := slices.DeleteFunc(w.floor.members(r), func(m *unitRun) bool { return m.saved != r.saved })
	switch {
	case len(members) == s.Replicas:
		for _, m := range members {
			m.works = now
			if m.saved != "" {
				m.works = now.Add(restoreTime)
			}
		}
		w.floor.log.print("work      gang %s.%d run %d works", r.job, r.step, r.number)
	case now.Sub(r.began) > gangTime:
		w.end(r, "alone")
	}
}

// save keeps the progress of a work unit that checkpoints it.
func (r *unitRun) save(now time.Time) {
	if !r.stepSpec().Checkpoint {
		return
	}
	if full := r.worked(now).Truncate(saveInterval); full > r.resumed {
		r.saved = fmt.Sprintf("%08x%s", full.Milliseconds(), r.job[8:])
	}
}

// end ends a run, and with it a gang. The lock is held.
func (w *worker) end(r *unitRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.stopped[r.task] = max(w.stopped[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, unitEnd{w.lastEnd, r, how})
	w.floor.log.print("end       %s %s run %d: %s saved=%q", w.id, r.task, r.number, how, r.saved)
	if r.stepSpec().Gang && !r.works.IsZero() {
		rest := "broken"
		if how == "done" {
			rest = "done"
		}
		for _, m := range w.floor.members(r) {
			m.worker.end(m, rest)
		}
	}
}

// beat renews the worker's entry in the register, which ends after three heartbeats of silence. The lock is held.
func (w *worker) beat(now time.Time) {
	key := "servers/" + w.id
	switch since := now.Sub(w.beatAt); {
	case w.gone || w.dark && since > 3*heartbeat:
		if w.floor.store.value(key) != nil {
			w.floor.store.unset(key)
		}
	case !w.dark && since >= heartbeat:
		w.beatAt = now
		w.floor.store.set(key, map[string]any{
			"service": w.pool, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": w.capacity(), "labels": []string{"a", "r1-1"}, "time_ms": w.clock(), "sequence": w.clock(), "born": w.started.UnixMilli(),
		})
	}
}

func (w *worker) capacity() map[string]int64 {
	return map[string]int64{"cpu": w.cpu, "mem_mb": 131072, "gpu": 0}
}

// order is the body of a call to a worker.
type order struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	Spec      string `json:"spec"`
	ExpiresMs int64  `json:"expires_ms"`
	Fence     int64  `json:"fence"`
	Saved     string `json:"saved"`
	AckedUpto int64  `json:"acked_upto"`
	WaitMs    int64  `json:"wait_ms"`
}

// ServeHTTP serves one order.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.floor.lock.Lock()
	dark := w.dark
	w.floor.lock.Unlock()
	if dark {
		leaveUnanswered(r)
	}
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.floor.lock.Lock()
	defer w.floor.lock.Unlock()
	switch {
	case w.gone || r.Header.Get("Jaybarrow-Expect-Instance") != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case in.Fence < w.fence:
		w.reject(out, "fence")
		return
	}
	w.fence = in.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(out, in)
	case "/run-stop":
		w.stopped[in.Task] = max(w.stopped[in.Task], in.Run)
		if run := w.running[in.Task]; run != nil && run.number <= in.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		w.floor.log.print("stop      %s %s run %d", w.id, in.Task, in.Run)
		writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
	case "/hold":
		w.hold(out, r, in)
	case "/pace":
		writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reject(out http.ResponseWriter, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"time_ms": w.clock(), "reason": reason})
}

// extend extends the lease, which covers everything that runs.
func (w *worker) extend(expiresMs int64) {
	end := w.started.Add(time.Duration(expiresMs) * time.Millisecond)
	if latest := time.Now().Add(maxLease); end.After(latest) {
		end = latest
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

// start answers a start order. The lock is held.
func (w *worker) start(out http.ResponseWriter, in order) {
	job, step, err := parseTask(in.Task)
	spec := w.floor.specs[job]
	if err != nil || spec == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.sick {
		w.floor.log.print("refused   %s %s run %d: 503", w.id, in.Task, in.Run)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if in.ExpiresMs <= w.clock() {
		w.reject(out, "late")
		return
	}
	w.extend(in.ExpiresMs)
	used := int64(0)
	for _, r := range w.running {
		used += r.stepSpec().CPU
	}
	switch present := w.running[in.Task]; {
	case present != nil && present.number == in.Run:
	case present != nil || in.Run <= w.stopped[in.Task]:
		w.reject(out, "old")
		return
	case used+spec.steps[step].CPU > w.cpu:
		w.reject(out, "room")
		return
	default:
		w.accept(in, job, step, spec)
	}
	writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
}

// accept begins a run. The lock is held.
func (w *worker) accept(in order, job string, step int, spec *workSpec) {
	now := time.Now()
	r := &unitRun{worker: w, task: in.Task, job: job, step: step, number: in.Run, spec: spec, began: now, saved: in.Saved}
	if len(in.Saved) >= 8 {
		if ms, err := strconv.ParseInt(in.Saved[:8], 16, 64); err == nil {
			r.resumed = time.Duration(ms) * time.Millisecond
		}
	}
	if !spec.steps[step].Gang {
		r.works = now
		if in.Saved != "" {
			r.works = now.Add(restoreTime)
		}
	}
	w.running[in.Task] = r
	w.floor.starts = append(w.floor.starts, start{now, w.id, in.Task, job, in.Run, in.Saved})
	w.floor.log.print("start     %s %s run %d saved=%q fence %d", w.id, in.Task, in.Run, in.Saved, in.Fence)
	if w.floor.onStart != nil {
		w.floor.onStart(r)
	}
}

// parseTask returns the submission and the step of a work unit's name.
func parseTask(name string) (job string, step int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("work unit %q: want four parts", name)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}

// hold answers a hold order, at the latest after its wait. The lock is held, and free while the order waits.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, in order) {
	if in.ExpiresMs > 0 {
		w.extend(in.ExpiresMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= in.AckedUpto {
		w.ends = w.ends[1:]
	}
	for limit := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(limit); {
		w.floor.lock.Unlock()
		time.Sleep(3 * time.Millisecond)
		w.floor.lock.Lock()
	}
	if w.dark {
		w.floor.lock.Unlock()
		defer w.floor.lock.Lock()
		leaveUnanswered(r)
	}
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.number, run.saved, run.percent(now), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.how, e.run.saved})
	}
	writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock(), "born": w.started.UnixMilli(), "running": running, "finished": finished})
}

// percent returns the progress of a run.
func (r *unitRun) percent(now time.Time) int {
	if r.stepSpec().Daemon {
		return int(min(100, 100*r.worked(now)/startupTime))
	}
	return int(min(99, 100*r.worked(now)/max(1, r.spec.runs)))
}

// setDark cuts the worker off, or heals the cut.
func (w *worker) setDark(dark bool) {
	w.floor.lock.Lock()
	defer w.floor.lock.Unlock()
	w.dark = dark
	w.floor.log.print("TROUBLE   worker %s cut off: %t", w.id, dark)
}

// setSick makes the worker refuse starts, or heals it.
func (w *worker) setSick(sick bool) {
	w.floor.lock.Lock()
	defer w.floor.lock.Unlock()
	w.sick = sick
	w.floor.log.print("TROUBLE   worker %s unhealthy: %t", w.id, sick)
}
