// Package follow keeps a local copy of a source up to date: it lists the source once and then applies its changes.
package follow
