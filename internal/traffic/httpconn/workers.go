package httpconn

import "sync"

// maxIdleWorkers bounds the idle goroutines of a server. Usually fewer requests than
// this run at once.
const maxIdleWorkers = 64

// workers is a pool of goroutines. Reusing them saves work because the stack of a new
// goroutine is copied several times before it is large enough for a request.
type workers struct {
	mu     sync.Mutex
	idle   []chan func()
	closed bool
}

// run runs f on an idle goroutine, or on a new one if none is idle.
func (w *workers) run(f func()) {
	w.mu.Lock()
	n := len(w.idle)
	if n == 0 {
		w.mu.Unlock()
		go w.work(f)
		return
	}
	next := w.idle[n-1]
	w.idle = w.idle[:n-1]
	w.mu.Unlock()
	next <- f
}

// work runs f and then the functions that run passes on. It returns when enough other
// goroutines are idle or the pool is stopped.
func (w *workers) work(f func()) {
	next := make(chan func(), 1)
	for {
		f()
		w.mu.Lock()
		if w.closed || len(w.idle) >= maxIdleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle = append(w.idle, next)
		w.mu.Unlock()
		var ok bool
		if f, ok = <-next; !ok {
			return
		}
	}
}

// stop ends the idle goroutines at once and the running ones after their function.
func (w *workers) stop() {
	w.mu.Lock()
	idle := w.idle
	w.idle, w.closed = nil, true
	w.mu.Unlock()
	for _, next := range idle {
		close(next)
	}
}
