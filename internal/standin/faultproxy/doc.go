// Package faultproxy is a small TCP proxy that injects faults between a client and a server; it is for tests.
package faultproxy
