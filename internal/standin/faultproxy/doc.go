// Package faultproxy is a small TCP proxy for tests. It injects faults between a client and a server.
package faultproxy
