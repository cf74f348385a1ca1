// Package jobmetrics counts decisions on jobs and keeps a histogram of their times for each team and queue.
package jobmetrics
