package daemon

import (
	"runtime"
	"sync"
)

// ReserveProcessor gives the Go runtime one processor more than it has, for the goroutine
// that waits for a disk. A goroutine in a system call keeps its processor until the
// runtime's monitor takes it away, and on a machine with one core nothing else runs until
// then. Further calls do nothing.
var ReserveProcessor = sync.OnceFunc(func() { runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + 1) })
