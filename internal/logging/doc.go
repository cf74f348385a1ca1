// Package logging makes structured loggers with a fixed prefix for each part.
package logging
