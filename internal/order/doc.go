// Package order is the folder of queue orders; each subpackage implements jaybarrow.Order.
package order
