// Package limit derives from a team's allotment whether its limit is in force and which entry hosts still hold too many permits.
package limit
