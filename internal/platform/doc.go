// Package platform is the HTTP client of the platform's key-value store and of its lagging list of hosts.
package platform
