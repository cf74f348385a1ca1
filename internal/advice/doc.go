// Package advice decides when the adviser is asked, about which step and about how many workers.
package advice
