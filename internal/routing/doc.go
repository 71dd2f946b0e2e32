// Package routing decides to which agent a balancer forwards a packet of a caller.
//
// A Table is immutable. It is built from the settings tree and the health of the agents. A Router
// looks up routes in a Table without allocating memory. The package reads no clock and does no I/O.
package routing
