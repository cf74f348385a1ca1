// Package roster determines the hosts of a pool on which this entry host may place work.
package roster
