package process

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Forwarder is a TCP proxy that can blackhole its connections: they stay open, but
// pass no more data. This simulates a middlebox that lost its connection state.
type Forwarder struct {
	listener net.Listener
	to       string

	mu         sync.Mutex
	blackholed map[net.Conn]bool
}

// NewForwarder listens on a free loopback port and forwards connections to an
// address.
func NewForwarder(to string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f := &Forwarder{listener: l, to: to, blackholed: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// Address is the forwarder's listen address.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Blackhole stops forwarding on all open connections. New connections work.
func (f *Forwarder) Blackhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.blackholed {
		f.blackholed[c] = true
	}
}

// Close closes the listener. Open connections stay.
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

// copy forwards data, and discards it once the connection is blackholed. The key is
// the accepted side of the connection.
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
