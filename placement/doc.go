// Package placement decides which upstream a flow belongs to.
//
// Every process that holds the same candidates computes the same ranks, and a connection ID names
// the owner of an accepted flow, so a balancer needs no memory of flows. The package is pure: it
// reads no clock and opens no socket, and each decision takes the current time as an argument.
package placement
