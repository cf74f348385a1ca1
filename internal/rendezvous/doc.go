// Package rendezvous chooses owners by rendezvous hashing: when a candidate leaves, only its own keys get another owner.
package rendezvous
