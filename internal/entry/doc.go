// Package entry assembles an entry host from its parts, which start and stop together.
package entry
