package process

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Forwarder stands between two processes and can lose track of connections,
// as a box on the way does: they stay open and silent.
type Forwarder struct {
	listener net.Listener
	to       string

	mu         sync.Mutex
	blackholed map[net.Conn]bool
}

// NewForwarder forwards connections to an address.
func NewForwarder(to string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f := &Forwarder{listener: l, to: to, blackholed: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// Address is where the forwarder takes connections.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Blackhole makes all open connections silent; new ones work.
func (f *Forwarder) Blackhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.blackholed {
		f.blackholed[c] = true
	}
}

// Close stops taking connections.
func (f *Forwarder) Close() { _ = f.listener.Close() }

func (f *Forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		f.mu.Lock()
		f.blackholed[in] = false
		f.mu.Unlock()
		go f.copy(in, out, in)
		go f.copy(out, in, in)
	}
}

// copy passes bytes on until the connection is silent; then it swallows them.
func (f *Forwarder) copy(to, from, key net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if f.isBlackholed(key) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			f.mu.Lock()
			delete(f.blackholed, key)
			f.mu.Unlock()
			return
		}
	}
}

func (f *Forwarder) isBlackholed(key net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blackholed[key]
}
