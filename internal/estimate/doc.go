// Package estimate learns run times by team and queue. It starts from the declared run time and moves to the observed
// distribution within a few runs, because declared times are off by up to ten times in either direction.
package estimate
