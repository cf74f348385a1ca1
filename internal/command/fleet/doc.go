// Package fleet holds the operators' commands, which change teams, keys, pools, queues, hosts and limits, and begin and end
// drains and maintenance waves.
package fleet
