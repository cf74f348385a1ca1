// Package fiberlimit applies the limits of clientlimit to an HTTP front end of fiber.
package fiberlimit
