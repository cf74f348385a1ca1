// Package heap holds a generic binary heap whose elements know their index, so that any of them can be removed.
package heap
