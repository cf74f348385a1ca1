// Package settings reads an entry host's INI settings and reports every fault in them before any socket is opened.
package settings
