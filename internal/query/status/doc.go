// Package status holds the queries for the state of the configuration, the loads of pools and the measures.
package status
