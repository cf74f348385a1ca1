// Package refusal holds the jobs that entry hosts have refused: at an entry host until they are reported, and at the leader, which counts the
// target of a job from its caller's first attempt and the refused work as demand for hosts.
package refusal
