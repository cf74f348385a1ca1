// Package query declares the handler type of queries, which read a snapshot and change nothing.
package query
