// Package estimate predicts run times by team and queue. Estimates start from the declared run time and converge to the observed
// distribution within a few runs, because declared times are up to ten times too long or too short.
package estimate
