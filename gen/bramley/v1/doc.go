// Package bramleyv1 is generated from the schemas under proto.
package bramleyv1
