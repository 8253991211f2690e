package httpconn

import (
	"net"
	"sync"
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
	// windowCheckInterval is the time between checks for a closed window. Several fit
	// into userTimeout.
	windowCheckInterval = 400 * time.Millisecond
	// maxWindowProbes is the number of unanswered probes of a closed window after which
	// the peer counts as unreachable.
	maxWindowProbes = 3
)

// setKeepAlive sets TCP keep-alive. Errors are ignored: without it an unresponsive peer
// is detected later, by the request's timeout.
func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 is the system's default. Errors are ignored, as
// for setKeepAlive.
func setUserTimeout(conn net.Conn, timeout time.Duration) {
	withDescriptor(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// withDescriptor calls f with the descriptor of a TCP connection that is open.
func withDescriptor(conn net.Conn, f func(fd int)) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// windowClosed reports whether data waits for a peer that acknowledges all it gets but
// does not read it.
func windowClosed(conn net.Conn) bool {
	closed := false
	withDescriptor(conn, func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ); err != nil || queued == 0 {
			return
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.Unacked == 0 && info.Probes < maxWindowProbes
	})
	return closed
}

// windowWatch keeps a connection open while its peer reads slowly. TCP_USER_TIMEOUT
// aborts a connection for lost segments, and also for a window that stays closed although
// the peer answers each probe. The watch lifts it in the second case.
type windowWatch struct {
	conn net.Conn

	mu      sync.Mutex
	timer   *time.Timer
	lifted  bool
	stopped bool
}

func watchWindow(conn net.Conn) *windowWatch {
	w := &windowWatch{conn: conn}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(windowCheckInterval, w.check)
	return w
}

func (w *windowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.lift(windowClosed(w.conn))
	w.timer.Reset(windowCheckInterval)
}

// lift lifts the user timeout or sets it again. The mutex is held.
func (w *windowWatch) lift(lifted bool) {
	if lifted == w.lifted {
		return
	}
	w.lifted = lifted
	if lifted {
		setUserTimeout(w.conn, 0)
	} else {
		setUserTimeout(w.conn, userTimeout)
	}
}

// stop ends the watch. The user timeout applies again.
func (w *windowWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.lift(false)
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
