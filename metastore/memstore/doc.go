// Package memstore implements metastore.Store in memory and injects the faults of
// a real store: outages, delays, lost responses to writes that took effect, writes
// that take effect late, stale reads and rate limits. Delays use package time and
// therefore run under testing/synctest.
package memstore
