// Package gateway holds the messages of the subset of the etcd v3 JSON gateway that the store speaks. Keys and values are
// base64, and 64-bit integers are strings.
package gateway
