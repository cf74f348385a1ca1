// Package directory holds an entry host's local copy of the store's records. A record is replaced only by a newer one.
package directory
