// Package admission decides which new jobs a pool takes on, and when the others may return.
package admission
