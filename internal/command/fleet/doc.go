// Package fleet holds the operators' commands: changes of teams, keys, pools, queues, hosts and limits, and the beginning
// and end of drains.
package fleet
