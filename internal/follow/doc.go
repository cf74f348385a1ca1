// Package follow keeps a local copy of a source up to date: it lists the source page by page and then applies its changes.
package follow
