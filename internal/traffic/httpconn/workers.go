package httpconn

import "sync"

// idleWorkers bounds the goroutines of a server that wait for work: more than
// run at once at most times.
const idleWorkers = 64

// workers runs functions on goroutines that it keeps for the next ones: a new
// goroutine's stack is copied several times until a request fits into it.
type workers struct {
	mu     sync.Mutex
	idle   []chan func()
	closed bool
}

// run runs a function on an idle goroutine, or on a new one.
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

// work runs functions until there are enough idle goroutines.
func (w *workers) work(f func()) {
	next := make(chan func(), 1)
	for {
		f()
		w.mu.Lock()
		if w.closed || len(w.idle) >= idleWorkers {
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

// stop ends the idle goroutines.
func (w *workers) stop() {
	w.mu.Lock()
	idle := w.idle
	w.idle, w.closed = nil, true
	w.mu.Unlock()
	for _, next := range idle {
		close(next)
	}
}
