package membudget

import "runtime/debug"

// heapFraction is the fraction of a process's memory for the Go runtime; the rest is for the
// program and unread bytes.
const heapFraction = 0.6

// LimitHeap makes the garbage collector run more often when the Go runtime holds more than its
// part of the memory of a process, in bytes.
func LimitHeap(memory int64) { debug.SetMemoryLimit(int64(heapFraction * float64(memory))) }
