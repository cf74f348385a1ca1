// Package scheduler schedules the jobs of the fleet on the leading entry host. Each pool is a shard with its own lock.
package scheduler
