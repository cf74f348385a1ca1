// Package gateway holds the messages of the subset of the etcd v3 JSON gateway that the store speaks: keys and values are
// base64, 64-bit integers are strings.
package gateway
