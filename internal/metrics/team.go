package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// Histograms hold 1 ms to 1 day with two significant digits; longer values are recorded as 1 day.
	lowestMs          = 1
	highestMs         = 24 * 3600 * 1000
	significantDigits = 2

	// WindowLength and WindowCount set the period over which received slot time is compared with shares: the last hour.
	WindowLength = time.Minute
	WindowCount  = 60
)

// team holds the measurements of one team under its own lock, since the histograms are not safe for concurrent use.
type team struct {
	sync.Mutex
	classes map[jaybarrow.Class]*histograms
	service [WindowCount]windowService // ring, indexed by window number modulo WindowCount
}

// histograms holds the times of one team and class.
type histograms struct {
	waited, took *hdrhistogram.Histogram
}

// windowService is the slot time received in one window. An element of the ring whose window is older than the last hour counts as
// empty.
type windowService struct {
	window      int64
	slotSeconds float64
}

// windowNumber returns the number of the window that contains the time, counted from the Unix epoch.
func windowNumber(now time.Time) int64 { return now.UnixNano() / int64(WindowLength) }

func (t *team) record(class jaybarrow.Class, update func(*histograms)) {
	t.Lock()
	defer t.Unlock()
	h, ok := t.classes[class]
	if !ok {
		h = &histograms{hdrhistogram.New(lowestMs, highestMs, significantDigits), hdrhistogram.New(lowestMs, highestMs, significantDigits)}
		t.classes[class] = h
	}
	update(h)
}

func (h *histograms) record(target *hdrhistogram.Histogram, d time.Duration) {
	_ = target.RecordValue(min(max(d.Milliseconds(), 0), highestMs))
}

func (t *team) addService(current int64, slotSeconds float64) {
	t.Lock()
	defer t.Unlock()
	s := &t.service[current%WindowCount]
	if s.window != current {
		*s = windowService{window: current}
	}
	s.slotSeconds += slotSeconds
}

func (t *team) received(current int64) float64 {
	t.Lock()
	defer t.Unlock()
	total := 0.0
	for _, s := range t.service {
		if s.window > current-WindowCount {
			total += s.slotSeconds
		}
	}
	return total
}

// summary is one team in the JSON output.
type summary struct {
	ReceivedSlotSeconds float64                          `json:"receivedSlotSeconds"`
	Classes             map[jaybarrow.Class]classSummary `json:"classes"`
}

type classSummary struct {
	WaitedMs quantiles `json:"waitedMs"`
	TookMs   quantiles `json:"tookMs"`
}

type quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

func (t *team) summary(current int64) summary {
	s := summary{ReceivedSlotSeconds: t.received(current), Classes: make(map[jaybarrow.Class]classSummary)}
	t.Lock()
	defer t.Unlock()
	for class, h := range t.classes {
		s.Classes[class] = classSummary{quantilesOf(h.waited), quantilesOf(h.took)}
	}
	return s
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(), Mean: h.Mean(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
	}
}
