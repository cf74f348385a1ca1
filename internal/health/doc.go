// Package health decides from observed outcomes which workers of a pool are ejected and when one is tried again; it sends
// no probes. The decisions are pure functions on the state of one pool; Health holds the pools in shards.
package health
