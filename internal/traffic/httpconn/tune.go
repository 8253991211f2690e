package httpconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose data is not acknowledged, so that a
	// peer behind a cut is noticed well before a request's time is over.
	userTimeout = 1500 * time.Millisecond
	// keepIdle, keepEvery and keepCount notice a silent peer within 3 s.
	keepIdle  = time.Second
	keepEvery = time.Second
	keepCount = 2
)

// tune sets the timeouts of the kernel on a connection. Errors only mean that
// a silent peer is noticed later, by the request's own timeout.
func tune(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// quiet reports whether an idle connection is open and has nothing to read: a
// byte that came unasked belongs to no request.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = err == unix.EAGAIN
		return true
	})
	return err == nil && isQuiet
}
