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

// Count adds one to a counter, which it creates on first use.
func (m *Metrics) Count(name string) { m.counters.Add(name, 1) }

// Gauge registers a gauge whose value is read each time the metrics are written; read must not block.
func (m *Metrics) Gauge(name string, read func() int64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.gauges[name] = read
}

// Record adds a duration to a histogram, which it creates on first use.
func (m *Metrics) Record(name string, d time.Duration) {
	m.histograms.GetOrCreate(name, newHistogram).record(d)
}

const (
	// Histograms hold 1 ms to ten minutes with two significant digits; values outside are recorded as the nearest bound.
	lowestMs          = 1
	highestMs         = 10 * 60 * 1000
	significantDigits = 2
)

// histogram has its own lock, since hdrhistogram is not safe for concurrent use.
type histogram struct {
	lock   sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(lowestMs, highestMs, significantDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	_ = h.values.RecordValue(min(max(d.Milliseconds(), lowestMs), highestMs)) //nolint:errcheck // the value is within the range
}

// percentiles are the percentiles of a histogram that are written.
var percentiles = []float64{50, 90, 99, 100}

// WriteTo writes one line "name value" for each value, sorted; times are in milliseconds.
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
		for _, p := range percentiles {
			lines = append(lines, fmt.Sprintf("%s.p%g %d", name, p, h.values.ValueAtQuantile(p)))
		}
	})
	slices.Sort(lines)
	n, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return int64(n), err
}
