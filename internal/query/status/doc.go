// Package status holds the queries for the propagation of the configuration, the loads of the pools and the fleet's measures.
package status
