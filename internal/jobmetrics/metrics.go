package jobmetrics

import (
	"expvar"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Metrics holds the counters, gauges and histograms of one process. It is safe for concurrent use.
type Metrics struct {
	counters   *expvar.Map
	histograms *shard.Map[string, *histogram]
	lock       sync.Mutex
	gauges     map[string]func() int64
}

// New returns empty Metrics.
func New() *Metrics {
	return &Metrics{
		// The map is not published under expvar's global names, since a process may hold several entry hosts.
		counters: new(expvar.Map).Init(), histograms: shard.New[string, *histogram](), gauges: make(map[string]func() int64),
	}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.counters.Add(name, 1) }

// Gauge lets the value be read at each request for the metrics; it must not block.
func (m *Metrics) Gauge(name string, read func() int64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.gauges[name] = read
}

// Record adds a time to a histogram.
func (m *Metrics) Record(name string, d time.Duration) {
	m.histograms.GetOrCreate(name, newHistogram).record(d)
}

const (
	// A histogram holds 1 ms to ten minutes with two significant digits; longer values count as the longest.
	lowestMs  = 1
	highestMs = 10 * 60 * 1000
	digits    = 2
)

type histogram struct {
	lock   sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(lowestMs, highestMs, digits)}
}

func (h *histogram) record(d time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	_ = h.values.RecordValue(min(max(d.Milliseconds(), lowestMs), highestMs)) //nolint:errcheck // the value is within the range
}

// quantiles are what is shown of a histogram, in percent.
var quantiles = []float64{50, 90, 99, 100}

// WriteTo writes one line "name value" for each value, in order; times are in milliseconds.
func (m *Metrics) WriteTo(w io.Writer) (int64, error) {
	var lines []string
	m.counters.Do(func(kv expvar.KeyValue) { lines = append(lines, kv.Key+" "+kv.Value.String()) })
	m.lock.Lock()
	for name, read := range m.gauges {
		lines = append(lines, fmt.Sprintf("%s %d", name, read()))
	}
	m.lock.Unlock()
	m.histograms.Each(func(name string, h *histogram) {
		h.lock.Lock()
		defer h.lock.Unlock()
		lines = append(lines, fmt.Sprintf("%s.count %d", name, h.values.TotalCount()))
		for _, q := range quantiles {
			lines = append(lines, fmt.Sprintf("%s.p%g %d", name, q, h.values.ValueAtQuantile(q)))
		}
	})
	slices.Sort(lines)
	n, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return int64(n), err
}
