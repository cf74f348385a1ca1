// Package fleet holds the queries for teams, keys, pools, queues, hosts, drains and entry hosts.
package fleet
