// Package routing decides where a balancer sends the packet of a caller.
//
// A Table is made from the settings and the health of the agents and never changes; a Router finds
// routes in it without an allocation. The package reads no clock and opens no socket.
package routing
