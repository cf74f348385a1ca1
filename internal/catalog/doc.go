// Package catalog holds the operators' configuration in force at an entry host.
package catalog
