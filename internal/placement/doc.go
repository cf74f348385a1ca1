// Package placement groups the placement policies; each subpackage implements jaybarrow.Placement.
package placement
