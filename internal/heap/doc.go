// Package heap provides a generic binary heap that reports the index of each element, so that any element can be removed.
package heap
