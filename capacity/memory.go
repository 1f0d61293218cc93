package main

import "runtime"

// held returns the heap bytes that the value made by f keeps alive.
func held[T any](f func() (T, error)) (float64, error) {
	before := heapBytes()
	v, err := f()
	after := heapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), err
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	// Two collections, since the first only moves pools to their victim cache.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
