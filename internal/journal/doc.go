// Package journal keeps a bounded record of decisions in shards; a full shard drops its oldest decisions first.
package journal
