// Package catalog holds the configuration in force at an entry host, indexed for lookups.
package catalog
