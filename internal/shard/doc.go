// Package shard provides a generic map whose entries are spread over shards, each under its own lock.
package shard
