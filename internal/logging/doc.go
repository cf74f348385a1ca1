// Package logging creates structured loggers whose lines name the part of the program that wrote them.
package logging
