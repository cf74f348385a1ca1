package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// A histogram holds 1 ms to 1 day with two significant digits; longer values count as the longest.
	lowestMs  = 1
	highestMs = 24 * 3600 * 1000
	digits    = 2

	// WindowLength and Windows span the time over which received service is compared with shares: the last hour.
	WindowLength = time.Minute
	Windows      = 60
)

// team holds the measurements of one team under its own lock, since the histograms are not safe for concurrent use.
type team struct {
	sync.Mutex
	classes map[jaybarrow.Class]*histograms
	service [Windows]served
}

type histograms struct {
	waited, took *hdrhistogram.Histogram
}

// served is the service of one window; a slot of the ring with an older number is empty.
type served struct {
	window      int64
	slotSeconds float64
}

func window(now time.Time) int64 { return now.UnixNano() / int64(WindowLength) }

func (t *team) record(class jaybarrow.Class, record func(*histograms)) {
	t.Lock()
	defer t.Unlock()
	h, ok := t.classes[class]
	if !ok {
		h = &histograms{hdrhistogram.New(lowestMs, highestMs, digits), hdrhistogram.New(lowestMs, highestMs, digits)}
		t.classes[class] = h
	}
	record(h)
}

func (h *histograms) record(target *hdrhistogram.Histogram, d time.Duration) {
	_ = target.RecordValue(min(max(d.Milliseconds(), 0), highestMs))
}

func (t *team) serve(now int64, slotSeconds float64) {
	t.Lock()
	defer t.Unlock()
	s := &t.service[now%Windows]
	if s.window != now {
		*s = served{window: now}
	}
	s.slotSeconds += slotSeconds
}

func (t *team) received(now int64) float64 {
	t.Lock()
	defer t.Unlock()
	total := 0.0
	for _, s := range t.service {
		if s.window > now-Windows {
			total += s.slotSeconds
		}
	}
	return total
}

// summary is what the JSON output says of one team.
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

func (t *team) summary(now int64) summary {
	s := summary{ReceivedSlotSeconds: t.received(now), Classes: make(map[jaybarrow.Class]classSummary)}
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
