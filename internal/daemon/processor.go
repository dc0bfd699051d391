package daemon

import (
	"runtime"
	"sync"
)

// ReserveProcessor raises GOMAXPROCS by one, so that other goroutines run while one waits
// for a disk. A goroutine in a system call keeps its processor until the runtime's monitor
// takes it away, and with GOMAXPROCS 1 no other goroutine runs until then. Only the first
// call has an effect.
var ReserveProcessor = sync.OnceFunc(func() { runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + 1) })
