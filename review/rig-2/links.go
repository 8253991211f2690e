package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// links are forwarders on loopback in front of the nodes and the store. They can cut some
// nodes off from all other nodes and from the store, silently.
type links struct {
	mu     sync.Mutex
	cutOff map[*node]bool
	// byDatagrams are the nodes by the address that they send datagrams from.
	byDatagrams map[string]*node
	conns       map[*pair]struct{}
}

// pair is a forwarded connection between two ends. A nil end is the store.
type pair struct {
	a, b     *node
	from, to net.Conn
	dead     bool
}

func newLinks() *links {
	return &links{cutOff: map[*node]bool{}, byDatagrams: map[string]*node{}, conns: map[*pair]struct{}{}}
}

// separated reports whether no byte passes between two ends.
func (l *links) separated(a, b *node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (a != nil && l.cutOff[a]) != (b != nil && l.cutOff[b])
}

// cut cuts these nodes off from all others and from the store. Connections that cross the
// cut stay silent for good.
func (l *links) cut(list []*node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range list {
		l.cutOff[n] = true
	}
	for p := range l.conns {
		if (p.a != nil && l.cutOff[p.a]) != (p.b != nil && l.cutOff[p.b]) {
			p.dead = true
		}
	}
}

// heal ends the cut. What was held up is lost, and its connections are reset.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cutOff)
	for p := range l.conns {
		if p.dead {
			_ = p.from.Close()
			_ = p.to.Close()
		}
	}
}

// forwardStore returns the address at which a node reaches the store.
func (l *links) forwardStore(n *node, store string) string {
	listener, err := net.Listen("tcp", n.ip+":0")
	must(err)
	go l.accept(listener, store, nil, func(net.Conn) *node { return n })
	return listener.Addr().String()
}

// forwardPeers returns the address at which other nodes reach the peers' listener of a node.
func (l *links) forwardPeers(n *node) string {
	listener, err := net.Listen("tcp", n.ip+":0")
	must(err)
	go l.accept(listener, n.peers, n, ownerOf)
	return listener.Addr().String()
}

func (l *links) accept(listener net.Listener, to string, b *node, owner func(net.Conn) *node) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			a := owner(c)
			if l.separated(a, b) {
				// Nobody answers. The connection ends when its sender gives up.
				time.Sleep(20 * time.Second)
				_ = c.Close()
				return
			}
			onward, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			p := &pair{a: a, b: b, from: c, to: onward}
			l.mu.Lock()
			l.conns[p] = struct{}{}
			l.mu.Unlock()
			var both sync.WaitGroup
			both.Add(2)
			go func() { defer both.Done(); l.pump(p, c, onward) }()
			go func() { defer both.Done(); l.pump(p, onward, c) }()
			both.Wait()
			l.mu.Lock()
			delete(l.conns, p)
			l.mu.Unlock()
		}()
	}
}

func (l *links) pump(p *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		dead := p.dead
		l.mu.Unlock()
		if dead {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// forwardDatagrams returns the address at which other nodes reach the datagrams of a node.
func (l *links) forwardDatagrams(n *node) string {
	front, err := net.ListenPacket("udp", n.ip+":0")
	must(err)
	l.mu.Lock()
	l.byDatagrams[n.datagrams] = n
	l.mu.Unlock()
	to, err := net.ResolveUDPAddr("udp", n.datagrams)
	must(err)
	go func() {
		backs := map[string]*net.UDPConn{}
		buffer := make([]byte, 64<<10)
		for {
			size, from, err := front.ReadFrom(buffer)
			if err != nil {
				return
			}
			l.mu.Lock()
			sender := l.byDatagrams[from.String()]
			l.mu.Unlock()
			if sender == nil || l.separated(sender, n) {
				continue
			}
			back := backs[from.String()]
			if back == nil {
				if back, err = net.DialUDP("udp", nil, to); err != nil {
					continue
				}
				backs[from.String()] = back
				go l.answers(back, front, from, sender, n)
			}
			_, _ = back.Write(buffer[:size])
		}
	}()
	return front.LocalAddr().String()
}

// answers forwards what a node answers to the sender of a datagram.
func (l *links) answers(back *net.UDPConn, front net.PacketConn, to net.Addr, sender, n *node) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := back.Read(buffer)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !l.separated(sender, n) {
			_, _ = front.WriteTo(buffer[:size], to)
		}
	}
}

// ownerOf returns the node whose process has the other end of a connection, nil if none has.
// It reads only what the system tells of the processes that this program started.
func ownerOf(c net.Conn) *node {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return nil
	}
	want := "socket:[" + inode + "]"
	for _, n := range nodes {
		n.mu.Lock()
		pid := 0
		if n.cmd != nil {
			pid = n.cmd.Process.Pid
		}
		n.mu.Unlock()
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if link, err := os.Readlink(folder + "/" + e.Name()); err == nil && link == want {
				return n
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket with these local and remote addresses.
func inodeOf(local, remote *net.TCPAddr) string {
	hex := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	text, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	l, r := hex(local), hex(remote)
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == l && f[2] == r {
			return f[9]
		}
	}
	return ""
}
