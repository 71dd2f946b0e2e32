// Package nodev1 is generated from the schemas under proto.
package nodev1
