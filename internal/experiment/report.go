package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Metric is the name of a measured figure, as reports print it.
type Metric string

// Row holds the figures of one variant and subject, such as a team, in one run.
type Row struct {
	Variant string             `json:"variant"`
	Subject string             `json:"subject"`
	Values  map[Metric]float64 `json:"values"`
}

// Report holds the rows of all runs of one experiment.
type Report struct {
	Experiment string   `json:"experiment"`
	Seeds      []uint64 `json:"seeds"`
	Metrics    []Metric `json:"metrics"`
	Runs       [][]Row  `json:"runs"` // in the order of Seeds
}

// Experiment is a named simulation that Run executes once for a seed.
type Experiment struct {
	Name    string
	Metrics []Metric
	Run     func(seed uint64) []Row
}

// Experiments returns all experiments.
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

// WriteJSON writes the rows of all runs as JSON.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes a table of the mean of each figure over the runs, with the minimum and the maximum when they differ.
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

// summary formats the metric of the row over all runs, or returns "-" when the row does not have the metric.
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
	mean := formatNumber(sum / float64(len(values)))
	low, high := formatNumber(slices.Min(values)), formatNumber(slices.Max(values))
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, low, high)
}

// formatNumber formats the value with one decimal place, and without it when it is zero.
func formatNumber(v float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
}

// percent returns part as a percentage of whole, or 100 when whole is 0.
func percent(part, whole float64) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * part / whole
}
