package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one run of a task in a worker's ledger.
type Run struct {
	Worker, Task string
	Number       int64
	Spec         string
	Began, Ended time.Time // Ended is zero while it runs
	Outcome      string
	Acknowledged bool // the end was acknowledged
}

// Worker runs tasks. A task's spec is its run time, such as "50ms"; "fail" makes it fail at once and "last" run until it is
// stopped.
type Worker struct {
	ID    string
	site  *Site
	http  *server
	begun time.Time

	lock    sync.Mutex
	changed *sync.Cond
	fence   int64
	expires time.Time
	running map[string]*Run
	highest map[string]int64 // the highest run that was stopped or has ended, by task
	ended   []*Run
	number  int64 // of the first entry of ended
	fault   func(r *http.Request) Fault
	state   string
	pool    string
	machine string
	closed  bool
}

func newWorker(s *Site, id, pool, machine string) *Worker {
	w := &Worker{
		ID: id, site: s, begun: time.Now(), running: make(map[string]*Run), highest: make(map[string]int64), number: 1,
		state: "ready", pool: pool, machine: machine,
	}
	w.changed = sync.NewCond(&w.lock)
	w.http = newServer(w)
	go w.tick()
	return w
}

// SetFault installs a decision on each call; nil: no faults.
func (w *Worker) SetFault(fault func(r *http.Request) Fault) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.fault = fault
}

// capacity is what every worker has.
var capacity = map[string]int64{"cpu": 10_000, "mem_mb": 10_000, "gpu": 0}

// register writes the worker's entry.
func (w *Worker) register() {
	w.site.Store.Put("servers/"+w.ID, map[string]any{
		"service": w.pool, "address": w.http.address, "zone": "z1", "state": w.state, "slots": 8,
		"capacity": capacity, "labels": []string{"a", "r1"}, "born": w.begun.UnixMilli(), "sequence": 1,
	})
}

// Drain makes the worker say that it is leaving.
func (w *Worker) Drain() {
	w.lock.Lock()
	w.state = "draining"
	w.lock.Unlock()
	w.register()
}

// stop ends the worker with all that it runs.
func (w *Worker) stop() {
	w.lock.Lock()
	w.closed = true
	for _, r := range w.running {
		w.end(r, "gone")
	}
	w.changed.Broadcast()
	w.lock.Unlock()
	w.http.close()
}

func (w *Worker) clock() int64 { return time.Since(w.begun).Milliseconds() }

// tick ends tasks in time, and all of them when the lease has ended.
func (w *Worker) tick() {
	for {
		time.Sleep(2 * time.Millisecond)
		w.lock.Lock()
		if w.closed {
			w.lock.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			took, err := time.ParseDuration(r.Spec)
			switch {
			case now.After(w.expires):
				w.end(r, "lapsed")
			case r.Spec == "fail":
				w.end(r, "failed")
			case err == nil && now.Sub(r.Began) >= took:
				w.end(r, "done")
			}
		}
		w.lock.Unlock()
	}
}

func (w *Worker) end(r *Run, how string) {
	r.Ended, r.Outcome = time.Now(), how
	delete(w.running, r.Task)
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	w.ended = append(w.ended, r)
	w.changed.Broadcast()
}

// ServeHTTP answers an order.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.lock.Lock()
	fault := w.fault
	w.lock.Unlock()
	if fault == nil {
		w.serve(out, r)
		return
	}
	inject(fault(r), out, r, w.serve)
}

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
		w.start(out, in)
	case "/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
		if run := w.running[in.Task]; run != nil && run.Number <= in.Run {
			w.end(run, "stopped")
		}
		answer(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
	case "/hold":
		w.hold(out, r, in)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"time_ms": w.clock(), "reason": reason})
}

func (w *Worker) extend(expiresMs int64) {
	if end := w.begun.Add(time.Duration(expiresMs) * time.Millisecond); end.After(w.expires) {
		w.expires = end
	}
}

func (w *Worker) start(out http.ResponseWriter, in order) {
	if in.ExpiresMs <= w.clock() {
		w.reject(out, "late")
		return
	}
	w.extend(in.ExpiresMs)
	switch run := w.running[in.Task]; {
	case run != nil && run.Number == in.Run:
	case in.Run <= w.highest[in.Task] || run != nil:
		w.reject(out, "old")
		return
	default:
		began := &Run{Worker: w.ID, Task: in.Task, Number: in.Run, Spec: in.Spec, Began: time.Now()}
		w.running[in.Task] = began
		w.site.note(began)
	}
	answer(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, in order) {
	if in.ExpiresMs > 0 {
		w.extend(in.ExpiresMs)
	}
	for len(w.ended) > 0 && w.number <= in.AckedUpto {
		w.ended[0].Acknowledged = true
		w.ended = w.ended[1:]
		w.number++
	}
	wake := time.AfterFunc(time.Duration(in.WaitMs)*time.Millisecond, w.changed.Broadcast)
	defer wake.Stop()
	for until := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until) && !w.closed; {
		if r.Context().Err() != nil {
			break
		}
		w.changed.Wait()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 100
		if took, err := time.ParseDuration(run.Spec); err == nil {
			percent = int(min(99, 100*time.Since(run.Began)/max(1, took)))
		}
		running = append(running, []any{run.Task, run.Number, "", percent, 0})
	}
	for i, run := range w.ended {
		finished = append(finished, []any{w.number + int64(i), run.Task, run.Number, run.Outcome, ""})
	}
	answer(out, http.StatusOK, map[string]any{
		"time_ms": w.clock(), "born": w.begun.UnixMilli(), "running": running, "finished": finished,
	})
}

// task returns the name of a task on the wire.
func task(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
