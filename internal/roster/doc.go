// Package roster says which hosts of a pool this entry host may place work on.
package roster
