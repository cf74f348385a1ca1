package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Metric is the name of a measured figure.
type Metric string

// Row is one measured variant, or one part of it, in one run.
type Row struct {
	Variant string             `json:"variant"`
	Subject string             `json:"subject"`
	Values  map[Metric]float64 `json:"values"`
}

// Report holds the rows of all runs of one sub-experiment.
type Report struct {
	Experiment string   `json:"experiment"`
	Seeds      []uint64 `json:"seeds"`
	Metrics    []Metric `json:"metrics"`
	Runs       [][]Row  `json:"runs"` // by seed
}

// Experiment is a sub-experiment.
type Experiment struct {
	Name    string
	Metrics []Metric
	Run     func(seed uint64) []Row
}

// Experiments returns all sub-experiments.
func Experiments() []Experiment {
	return []Experiment{
		{"shares", sharesMetrics, runShares},
		{"bursts", burstsMetrics, runBursts},
		{"placement", placementMetrics, runPlacement},
		{"mix", mixMetrics, runMix},
		{"wide", wideMetrics, runWide},
		{"moves", movesMetrics, runMoves},
	}
}

// Measure runs the experiment once for each seed.
func Measure(e Experiment, seeds []uint64) Report {
	report := Report{Experiment: e.Name, Seeds: seeds, Metrics: e.Metrics}
	for _, seed := range seeds {
		report.Runs = append(report.Runs, e.Run(seed))
	}
	return report
}

// WriteJSON writes the rows of all runs.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the mean over the runs, with the least and the greatest value when they differ.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seeds %v: mean (least to greatest)\n", r.Experiment, r.Seeds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "variant\tpart")
	for _, m := range r.Metrics {
		fmt.Fprintf(t, "\t%s", m)
	}
	fmt.Fprintln(t)
	for i, row := range r.Runs[0] {
		fmt.Fprintf(t, "%s\t%s", row.Variant, row.Subject)
		for _, m := range r.Metrics {
			fmt.Fprintf(t, "\t%s", r.summary(i, m))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// summary formats the metric of the row over all runs; "-" when the row does not have it.
func (r Report) summary(row int, m Metric) string {
	var values []float64
	for _, run := range r.Runs {
		if v, ok := run[row].Values[m]; ok {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return "-"
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	mean := number(sum / float64(len(values)))
	low, high := number(slices.Min(values)), number(slices.Max(values))
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, low, high)
}

func number(v float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
}

// percent returns part of whole in percent, and 100 of nothing.
func percent(part, whole float64) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * part / whole
}
