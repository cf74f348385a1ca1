// Package evacuation holds the data centres that operators are evacuating, and how recently their keys were read.
package evacuation
