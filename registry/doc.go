// Package registry holds the routes and upstreams that one process knows, and how recently the store
// has confirmed them.
//
// Operators and upstreams publish in a store that the system can only read. A few processes read it and
// the others fetch the changes from them. A Registry merges both sources by the store's revision and
// tracks since when the store has confirmed its state without an interruption. Entries that lapsed
// during an outage of the store are kept until they can safely be treated as removed. The package reads
// no clock: times are passed in, as the time since any fixed moment by a clock that keeps running while
// the machine is suspended.
package registry
