// Package permit holds this entry host's part of each team's limit and transfers permits between entry hosts by
// compare-and-swap on the teams' allotments.
package permit
