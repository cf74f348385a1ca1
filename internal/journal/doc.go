// Package journal keeps a bounded record of decisions in shards; in each shard the oldest decisions are dropped first.
package journal
