// Package endless is a stand-in for a server whose answers do not end.
package endless

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// maxEnds is the number of ended connections that the channel of Listen holds.
const maxEnds = 64

// Listen answers each connection with begin and then again, until the peer closes
// it. The pause is between two writes of again. Closed gets a value for each connection
// that the peer has closed. It stops listening when ctx ends.
func Listen(ctx context.Context, begin, again string, pause time.Duration) (address string, closed <-chan struct{}, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	ends := make(chan struct{}, maxEnds)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				answer(c, begin, again, pause)
				ends <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), ends, nil
}

// answer writes to a connection until the peer closes it.
func answer(c net.Conn, begin, again string, pause time.Duration) {
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, begin)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(c, again)
	}
}
