// Package explain holds the query for the decisions on a request, host, team or pool.
package explain
