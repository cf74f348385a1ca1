// Package rendezvous assigns keys to owners by rendezvous hashing: when a candidate leaves, only its own keys change owner.
package rendezvous
