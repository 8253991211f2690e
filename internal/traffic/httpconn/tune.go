package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout closes a connection whose data is not acknowledged. It is well
	// below a request's timeout, so that a network partition is detected before
	// the request times out.
	userTimeout = 1500 * time.Millisecond
	// TCP keep-alive detects an unresponsive peer within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// setTimeouts sets TCP keep-alive and TCP_USER_TIMEOUT. Errors are ignored: without
// these options an unresponsive peer is detected later, by the request's timeout.
func setTimeouts(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// healthy reports whether an idle connection is open and has no bytes to read:
// unsolicited bytes belong to no request.
func healthy(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
