// Package memstore keeps the objects of a metastore.Store in memory and has
// switches for the faults of a real one: outages, delays, answers that are lost
// after a write took effect, writes that take effect late, stale reads and rate
// limits. Delays use the time package and therefore run under testing/synctest.
package memstore
