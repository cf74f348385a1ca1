// Package scheduler runs the jobs of the fleet at the leading entry host: one shard for each pool, each under its own lock.
package scheduler
