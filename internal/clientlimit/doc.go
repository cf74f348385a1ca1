// Package clientlimit bounds what clients can make a process hold: connections for each listener, and bytes of bodies, messages and answers
// over all connections together.
package clientlimit
