// Package health implements passive outlier ejection: it decides from the outcomes of tasks which workers of a pool are
// ejected and when one gets a trial task; it sends no probes. The decisions are free of I/O and clocks and work on the state
// of one pool; Health holds the pools in shards.
package health
