// Package explain holds the query for the decisions that were made about a request, host, team or pool.
package explain
