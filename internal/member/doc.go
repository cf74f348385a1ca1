// Package member keeps what this entry host has heard of the others: who is live, who owns a pool and whether the local
// configuration is fresh.
package member
