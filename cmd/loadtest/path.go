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

// pathTest sets up a test that compares the latency of requests through the entry hosts with that of direct calls to the workers.
func pathTest(flags *flag.FlagSet, o *options) func(io.Writer) error {
	requests := flags.Int("requests", 10000, "requests through the entry hosts, and as many direct calls")
	callers := flags.Int("callers", 16, "concurrent callers")
	entries := flags.Int("entries", 3, "entry hosts, each in a data centre of its own")
	workers := flags.Int("workers", 12, "workers in 2 pools")
	runMs := flags.Int64("runMs", 2, "run time of each task in milliseconds")
	return func(out io.Writer) error {
		fleet, err := launch.New(launch.Plan{
			ProgramDir: o.programs, SettingsDir: o.scratch, Log: os.Stderr, DataCentres: *entries, Entries: *entries,
			Workers: *workers, Pools: 2, Teams: 4, Limit: 1000,
		})
		if err != nil {
			return err
		}
		defer fleet.Close()
		p := &pathMeasurement{fleet: fleet, callers: *callers, body: worker.Work{RunMs: *runMs}}
		return p.measure(out, *requests)
	}
}

// pathMeasurement compares the routes to the workers of one fleet.
type pathMeasurement struct {
	fleet   *launch.Fleet
	callers int
	body    worker.Work
}

// route is a way for requests to reach the workers, with the measured latencies.
type route struct {
	name      string
	send      func(n int) error
	latencies *hdrhistogram.Histogram
	lock      sync.Mutex
	failures  atomic.Int64
	elapsed   time.Duration // of all batches
}

func newRoute(name string, send func(int) error) *route {
	return &route{name: name, send: send, latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// rounds is the number of batches of each route. The routes alternate, so that a change of the machine's load affects both.
const rounds = 10

func (p *pathMeasurement) measure(out io.Writer, requests int) error {
	idleUse, err := p.entryUsage()
	if err != nil {
		return err
	}
	viaEntries, direct := newRoute("through entry hosts", p.viaEntries()), newRoute("direct", p.direct())
	before, err := p.entryUsage()
	if err != nil {
		return err
	}
	for round := range rounds {
		for _, r := range []*route{direct, viaEntries} {
			r.sendBatch(p.callers, round*requests/rounds, requests/rounds)
		}
	}
	after, err := p.entryUsage()
	if err != nil {
		return err
	}
	for _, r := range []*route{direct, viaEntries} {
		fmt.Fprintf(out, "%s: p50 %.2f ms, p99 %.2f ms, %.0f requests/s, %d failed of %d\n", r.name,
			r.quantile(50), r.quantile(99), float64(requests)/r.elapsed.Seconds(), r.failures.Load(), requests)
	}
	for _, q := range []float64{50, 99} {
		fmt.Fprintf(out, "p%.0f: ratio %.2f, difference %.2f ms\n", q, viaEntries.quantile(q)/direct.quantile(q), viaEntries.quantile(q)-direct.quantile(q))
	}
	fmt.Fprintf(out, "processor time of all entry hosts for each request: %.0f us\n",
		float64((after.CPUTime-before.CPUTime).Microseconds())/float64(requests))
	fmt.Fprintf(out, "resident memory of an entry host: idle %.1f MB, after the run %.1f MB\n",
		float64(idleUse.ResidentBytes)/float64(len(p.fleet.Entries))/1e6, float64(after.ResidentBytes)/float64(len(p.fleet.Entries))/1e6)
	if viaEntries.failures.Load()+direct.failures.Load() > 0 {
		return fmt.Errorf("%d requests failed", viaEntries.failures.Load()+direct.failures.Load())
	}
	return nil
}

// entryUsage returns the total resource usage of all entry hosts.
func (p *pathMeasurement) entryUsage() (launch.Usage, error) {
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

// sendBatch sends the requests first+1 to first+count with concurrent callers and waits for all of them.
func (r *route) sendBatch(callers, first, count int) {
	start := time.Now()
	var next atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(count); n = next.Add(1) {
				r.sendOne(first + int(n))
			}
		})
	}
	group.Wait()
	r.elapsed += time.Since(start)
}

// sendOne sends one request and records its latency; it logs only the first failure of the route.
func (r *route) sendOne(n int) {
	start := time.Now()
	if err := r.send(n); err != nil {
		if r.failures.Add(1) == 1 {
			fmt.Fprintf(os.Stderr, "loadtest: %s: %v\n", r.name, err)
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.latencies.RecordValue(time.Since(start).Microseconds())
}

// quantile returns the latency at the percentile q, in milliseconds.
func (r *route) quantile(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1000 }

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// viaEntries returns a function that sends the n-th request through the entry hosts in turn and checks the answer.
func (p *pathMeasurement) viaEntries() func(int) error {
	httpClient := newHTTPClient()
	return func(n int) error {
		e, key := p.fleet.Entries[n%len(p.fleet.Entries)], p.fleet.Keys[n%len(p.fleet.Keys)]
		work := p.body
		work.Echo = fmt.Sprintf("echo-%d", n)
		body, err := json.Marshal(work)
		if err != nil {
			return err
		}
		answer, err := client.New(httpClient, e.Callers, key).Submit(context.Background(), client.Request{
			Queue: launch.QueueID(n % 2), ID: jaybarrow.RequestID(fmt.Sprintf("r%d", n)), Body: body,
		})
		if err != nil {
			return err
		}
		return checkEcho(answer.Body, work.Echo)
	}
}

// direct returns a function that calls the workers in turn without an entry host and checks the answer.
func (p *pathMeasurement) direct() func(int) error {
	httpClient := newHTTPClient()
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
		response, err := httpClient.Do(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		return checkEcho(answer, work.Echo)
	}
}

// checkEcho returns an error unless the body is a worker's answer with the echo.
func checkEcho(body []byte, echo string) error {
	var done worker.Done
	if err := json.Unmarshal(body, &done); err != nil {
		return fmt.Errorf("decode the answer %q: %w", body, err)
	}
	if done.Echo != echo {
		return fmt.Errorf("worker echoed %q instead of %q", done.Echo, echo)
	}
	return nil
}
