// Package httpapi is the HTTP front end for callers and operators: it decodes a request, calls one handler and encodes the response.
package httpapi
