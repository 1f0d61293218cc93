package main

import "runtime"

// retainedHeap returns the heap bytes that the value returned by f keeps alive.
func retainedHeap[T any](f func() (T, error)) (float64, error) {
	before := heapBytes()
	v, err := f()
	after := heapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), err
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	// The first collection only moves sync.Pool entries to the victim cache; the
	// second frees them.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
