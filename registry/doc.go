// Package registry holds what one process knows of routes and upstreams, and how old that is.
//
// Operators and upstreams publish in a store that the system can only read. A few processes read it; the
// others take over what changed from them. A Registry merges both sources by the store's revision, tells
// for how long the store has confirmed its state, and keeps the entries that lapsed while the store was
// away until they can be trusted to be gone. The package is pure: time is passed in, as the time since any
// fixed moment by a clock that goes on while the machine is suspended.
package registry
