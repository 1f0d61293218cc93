// Package persist retries calls of a metastore.Store in ways that are correct even
// if responses are lost, writes take effect late or reads are stale.
package persist
