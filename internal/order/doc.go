// Package order groups the queue orders; each subpackage implements jaybarrow.Order.
package order
