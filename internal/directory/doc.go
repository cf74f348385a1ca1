// Package directory holds an entry host's local copy of the store's records; a record is only ever replaced by a newer one.
package directory
