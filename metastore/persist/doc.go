// Package persist repeats calls of a metastore.Store in the ways that stay
// correct when answers are lost, late or from the past.
package persist
