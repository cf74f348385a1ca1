// Package jobmetrics holds counters of decisions on jobs, gauges, and histograms of job times by team and queue.
package jobmetrics
