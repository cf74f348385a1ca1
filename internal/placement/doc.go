// Package placement is the folder of placement policies; each subpackage implements jaybarrow.Placement.
package placement
