package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/launch"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/internal/task"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// pathTest sends the same work through the entry hosts and directly to the workers, in one run.
func pathTest(flags *flag.FlagSet, c *common) func(io.Writer) error {
	requests := flags.Int("requests", 10000, "requests through the entry hosts, and as many direct calls")
	callers := flags.Int("callers", 16, "concurrent callers")
	entries := flags.Int("entries", 3, "entry hosts, each in a data centre of its own")
	workers := flags.Int("workers", 12, "workers in 2 pools")
	runMs := flags.Int64("runMs", 2, "run time of each task")
	return func(out io.Writer) error {
		fleet, err := launch.New(launch.Plan{
			ProgramDir: c.programs, SettingsDir: c.scratch, Log: os.Stderr, DataCentres: *entries, Entries: *entries,
			Workers: *workers, Pools: 2, Teams: 4, Limit: 1000,
		})
		if err != nil {
			return err
		}
		defer fleet.Close()
		p := &path{fleet: fleet, callers: *callers, body: worker.Work{RunMs: *runMs}}
		return p.measure(out, *requests)
	}
}

type path struct {
	fleet   *launch.Fleet
	callers int
	body    worker.Work
}

// way is a way to the workers.
type way struct {
	name     string
	send     func(n int) error
	took     *hdrhistogram.Histogram
	lock     sync.Mutex
	failures atomic.Int64
	elapsed  time.Duration
}

func newWay(name string, send func(int) error) *way {
	return &way{name: name, send: send, took: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// rounds is how often the ways take turns, so that a change of the machine's load meets both.
const rounds = 10

func (p *path) measure(out io.Writer, requests int) error {
	idleUse, err := p.use()
	if err != nil {
		return err
	}
	through, direct := newWay("through entry hosts", p.through()), newWay("direct", p.direct())
	before, err := p.use()
	if err != nil {
		return err
	}
	for round := range rounds {
		for _, w := range []*way{direct, through} {
			w.run(p.callers, round*requests/rounds, requests/rounds)
		}
	}
	after, err := p.use()
	if err != nil {
		return err
	}
	for _, w := range []*way{direct, through} {
		fmt.Fprintf(out, "%s: p50 %.2f ms, p99 %.2f ms, %.0f requests/s, %d failed of %d\n", w.name,
			w.quantile(50), w.quantile(99), float64(requests)/w.elapsed.Seconds(), w.failures.Load(), requests)
	}
	for _, q := range []float64{50, 99} {
		fmt.Fprintf(out, "p%.0f: ratio %.2f, difference %.2f ms\n", q, through.quantile(q)/direct.quantile(q), through.quantile(q)-direct.quantile(q))
	}
	fmt.Fprintf(out, "processor time of all entry hosts for each request: %.0f us\n",
		float64((after.CPUTime-before.CPUTime).Microseconds())/float64(requests))
	fmt.Fprintf(out, "resident memory of an entry host: idle %.1f MB, after the run %.1f MB\n",
		float64(idleUse.ResidentBytes)/float64(len(p.fleet.Entries))/1e6, float64(after.ResidentBytes)/float64(len(p.fleet.Entries))/1e6)
	if through.failures.Load()+direct.failures.Load() > 0 {
		return fmt.Errorf("%d requests failed", through.failures.Load()+direct.failures.Load())
	}
	return nil
}

func (p *path) use() (launch.Usage, error) {
	var sum launch.Usage
	for _, e := range p.fleet.Entries {
		u, err := e.Usage()
		if err != nil {
			return sum, err
		}
		sum.CPUTime += u.CPUTime
		sum.ResidentBytes += u.ResidentBytes
	}
	return sum, nil
}

func (w *way) run(callers, first, count int) {
	begun := time.Now()
	var next atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(count); n = next.Add(1) {
				w.one(first + int(n))
			}
		})
	}
	group.Wait()
	w.elapsed += time.Since(begun)
}

func (w *way) one(n int) {
	begun := time.Now()
	if err := w.send(n); err != nil {
		if w.failures.Add(1) == 1 {
			fmt.Fprintf(os.Stderr, "loadtest: %s: %v\n", w.name, err)
		}
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	_ = w.took.RecordValue(time.Since(begun).Microseconds())
}

func (w *way) quantile(q float64) float64 { return float64(w.took.ValueAtQuantile(q)) / 1000 }

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// through sends requests through the entry hosts in turn and checks each answer.
func (p *path) through() func(int) error {
	connections := newHTTP()
	return func(n int) error {
		e, key := p.fleet.Entries[n%len(p.fleet.Entries)], p.fleet.Keys[n%len(p.fleet.Keys)]
		work := p.body
		work.Echo = fmt.Sprintf("echo-%d", n)
		body, err := json.Marshal(work)
		if err != nil {
			return err
		}
		answer, err := client.New(connections, e.Callers, key).Submit(context.Background(), client.Request{
			Queue: launch.QueueID(n % 2), ID: jaybarrow.RequestID(fmt.Sprintf("r%d", n)), Body: body,
		})
		if err != nil {
			return err
		}
		return checkDone(answer.Body, work.Echo)
	}
}

// direct calls the workers in turn without an entry host.
func (p *path) direct() func(int) error {
	connections := newHTTP()
	return func(n int) error {
		w := p.fleet.Workers[n%len(p.fleet.Workers)]
		work := p.body
		work.Echo = fmt.Sprintf("direct-%d", n)
		body, err := json.Marshal(work)
		if err != nil {
			return err
		}
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/tasks/direct-%d", w.Address, n), bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set(task.HeaderSlots, "1")
		r.Header.Set(task.HeaderLease, "10000")
		response, err := connections.Do(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		return checkDone(answer, work.Echo)
	}
}

func checkDone(body []byte, echo string) error {
	var done worker.Done
	if err := json.Unmarshal(body, &done); err != nil {
		return fmt.Errorf("answer %q: %w", body, err)
	}
	if done.Echo != echo {
		return fmt.Errorf("answer %q instead of %q", done.Echo, echo)
	}
	return nil
}
