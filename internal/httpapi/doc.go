// Package httpapi is the HTTP front end for callers and operators: it decodes, calls one handler and encodes.
package httpapi
