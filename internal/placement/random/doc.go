// Package random places work on any candidate with equal probability; it is a baseline for measurements.
package random
