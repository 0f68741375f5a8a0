// Package heap measures memory in tests.
package heap

import "runtime"

// Bytes returns the bytes of the heap that are in use, after a garbage collection.
func Bytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
