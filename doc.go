// Package jaybarrow declares the ids, units, records, error kinds and interfaces of the fleet manager; implementations
// of the interfaces live in packages below it.
package jaybarrow
