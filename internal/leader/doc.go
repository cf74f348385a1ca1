// Package leader elects the entry host whose scheduler serves the fleet, by a leased record in the store.
package leader
