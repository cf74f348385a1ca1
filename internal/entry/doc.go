// Package entry assembles one entry host from its parts; the parts start and stop together.
package entry
