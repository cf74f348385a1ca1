package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task, as the ledger records it.
type Run struct {
	Worker, Task string
	Number       int64
	Spec         string
	Began, Ended time.Time // Ended is zero while the task runs
	Outcome      string    // such as done, failed or stopped; empty while the task runs
	Acknowledged bool      // whether a hold call acknowledged the end
}

// Worker runs tasks. The spec of a task is its run time, such as "50ms"; a task with the spec "fail" fails at once, one with the
// spec "fail 50ms" after that time, and one with the spec "last" runs until it is stopped.
type Worker struct {
	ID, Zone  string
	site      *Site
	http      *server
	startedAt time.Time // origin of the clock of the worker

	lock      sync.Mutex
	changed   *sync.Cond
	fence     int64     // highest fencing token so far
	leaseEnd  time.Time // of all tasks
	running   map[string]*Run
	lastEnded map[string]int64            // number of the last run that was stopped or has ended, by task
	ended     []*Run                      // runs whose end is not acknowledged yet
	firstEnd  int64                       // number of the first end in ended
	faultFor  func(r *http.Request) Fault // nil without faults
	state     string
	pool      string
	machine   string
	closed    bool
}

func newWorker(s *Site, id, pool, machine, zone string) *Worker {
	w := &Worker{
		ID: id, site: s, startedAt: time.Now(), running: make(map[string]*Run), lastEnded: make(map[string]int64), firstEnd: 1,
		state: "ready", pool: pool, machine: machine, Zone: zone,
	}
	w.changed = sync.NewCond(&w.lock)
	w.http = newServer(w)
	go w.endDueRuns()
	return w
}

// SetFault sets the function that decides the fault of each call. A nil function injects no faults.
func (w *Worker) SetFault(faultFor func(r *http.Request) Fault) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.faultFor = faultFor
}

// capacity is the capacity of every worker, in thousandths of a core, megabytes and accelerators.
var capacity = map[string]int64{"cpu": 10_000, "mem_mb": 10_000, "gpu": 0}

// register writes the entry of the worker in the register.
func (w *Worker) register() {
	w.site.Store.Put("servers/"+w.ID, map[string]any{
		"service": w.pool, "address": w.http.address, "zone": w.Zone, "state": w.state, "slots": 8,
		"capacity": capacity, "labels": []string{"a", "r1"}, "born": w.startedAt.UnixMilli(), "sequence": 1,
	})
}

// Drain marks the worker as draining in its entry.
func (w *Worker) Drain() {
	w.lock.Lock()
	w.state = "draining"
	w.lock.Unlock()
	w.register()
}

// stop stops the worker and ends its running tasks as "gone".
func (w *Worker) stop() {
	w.lock.Lock()
	w.closed = true
	for _, r := range w.running {
		w.endRun(r, "gone")
	}
	w.changed.Broadcast()
	w.lock.Unlock()
	w.http.close()
}

func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// endDueRuns ends tasks when their run time has passed, and all tasks when the lease has expired, until the worker is closed.
func (w *Worker) endDueRuns() {
	for {
		time.Sleep(2 * time.Millisecond)
		w.lock.Lock()
		if w.closed {
			w.lock.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			spec, fails := strings.CutPrefix(r.Spec, "fail ")
			runTime, err := time.ParseDuration(spec)
			over := err == nil && now.Sub(r.Began) >= runTime
			switch {
			case now.After(w.leaseEnd):
				w.endRun(r, "lapsed")
			case r.Spec == "fail", over && fails:
				w.endRun(r, "failed")
			case over:
				w.endRun(r, "done")
			}
		}
		w.lock.Unlock()
	}
}

func (w *Worker) endRun(r *Run, outcome string) {
	r.Ended, r.Outcome = time.Now(), outcome
	delete(w.running, r.Task)
	w.lastEnded[r.Task] = max(w.lastEnded[r.Task], r.Number)
	w.ended = append(w.ended, r)
	w.changed.Broadcast()
}

// ServeHTTP serves an order, subject to the fault that SetFault set.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.lock.Lock()
	faultFor := w.faultFor
	w.lock.Unlock()
	if faultFor == nil {
		w.serve(out, r)
		return
	}
	injectFault(faultFor(r), out, r, w.serve)
}

// order is the body of a call to a worker. Each path uses only some of the fields.
type order struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	Spec      string `json:"spec"`
	ExpiresMs int64  `json:"expires_ms"`
	Fence     int64  `json:"fence"`
	AckedUpto int64  `json:"acked_upto"`
	WaitMs    int64  `json:"wait_ms"`
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.closed || r.Header.Get("Jaybarrow-Expect-Instance") != w.ID:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case in.Fence < w.fence:
		w.reject(out, "fence")
		return
	}
	w.fence = in.Fence
	switch r.URL.Path {
	case "/run-start":
		w.startRun(out, in)
	case "/run-stop":
		w.lastEnded[in.Task] = max(w.lastEnded[in.Task], in.Run)
		if run := w.running[in.Task]; run != nil && run.Number <= in.Run {
			w.endRun(run, "stopped")
		}
		writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
	case "/hold":
		w.hold(out, r, in)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) reject(out http.ResponseWriter, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"time_ms": w.clock(), "reason": reason})
}

func (w *Worker) extendLease(expiresMs int64) {
	if end := w.startedAt.Add(time.Duration(expiresMs) * time.Millisecond); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *Worker) startRun(out http.ResponseWriter, in order) {
	if in.ExpiresMs <= w.clock() {
		w.reject(out, "late")
		return
	}
	w.extendLease(in.ExpiresMs)
	switch run := w.running[in.Task]; {
	case run != nil && run.Number == in.Run:
	case in.Run <= w.lastEnded[in.Task] || run != nil:
		w.reject(out, "old")
		return
	default:
		started := &Run{Worker: w.ID, Task: in.Task, Number: in.Run, Spec: in.Spec, Began: time.Now()}
		w.running[in.Task] = started
		w.site.recordRun(started)
	}
	writeJSON(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
}

// hold extends the lease, acknowledges ends, and answers with the running and ended runs. It blocks until a run has ended
// or the wait time is over.
func (w *Worker) hold(out http.ResponseWriter, r *http.Request, in order) {
	if in.ExpiresMs > 0 {
		w.extendLease(in.ExpiresMs)
	}
	for len(w.ended) > 0 && w.firstEnd <= in.AckedUpto {
		w.ended[0].Acknowledged = true
		w.ended = w.ended[1:]
		w.firstEnd++
	}
	wake := time.AfterFunc(time.Duration(in.WaitMs)*time.Millisecond, w.changed.Broadcast)
	defer wake.Stop()
	for deadline := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(deadline) && !w.closed; {
		if r.Context().Err() != nil {
			break
		}
		w.changed.Wait()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 100
		if runTime, err := time.ParseDuration(run.Spec); err == nil {
			percent = int(min(99, 100*time.Since(run.Began)/max(1, runTime)))
		}
		running = append(running, []any{run.Task, run.Number, "", percent, 0})
	}
	for i, run := range w.ended {
		finished = append(finished, []any{w.firstEnd + int64(i), run.Task, run.Number, run.Outcome, ""})
	}
	writeJSON(out, http.StatusOK, map[string]any{
		"time_ms": w.clock(), "born": w.startedAt.UnixMilli(), "running": running, "finished": finished,
	})
}

// taskName returns the name of the task of a job on the wire.
func taskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
