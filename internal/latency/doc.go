// Package latency estimates how long a dependency lately takes to answer.
package latency
