// Package allotment decides how one entry host changes a team's allotment. It does no I/O and reads no clock.
package allotment
