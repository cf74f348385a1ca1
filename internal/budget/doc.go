// Package budget decides how much of a host's link and processor the work of a leader may use, so that renewals and reports of
// workers still arrive when there is more to start than the host can carry.
package budget
