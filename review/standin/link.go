package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link carries the connections and datagrams of the other nodes to one node. It drops
// those that cross a cut.
type link struct {
	fleet *fleet
	to    *machine
	ip    string

	mu    sync.Mutex
	conns map[net.Conn]*machine
}

// cutOff is the machine that is cut off from all other machines; nil for none.
var cutOff struct {
	sync.Mutex
	machine *machine
}

// crosses reports whether traffic between two machines crosses the cut.
func crosses(a, b *machine) bool {
	cutOff.Lock()
	defer cutOff.Unlock()
	return cutOff.machine != nil && (a == cutOff.machine) != (b == cutOff.machine)
}

// cut cuts a machine off from all other machines, or ends the cut with nil.
func (f *fleet) cut(m *machine) {
	cutOff.Lock()
	cutOff.machine = m
	cutOff.Unlock()
	for _, to := range f.machines {
		to.link.dropCrossing()
	}
}

// forward adds a link to a machine, and its addresses to the settings of the node.
func (f *fleet) forward(m *machine, ip string, settings []byte, peers, datagrams string) ([]byte, error) {
	ports, err := freePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	m.link = &link{fleet: f, to: m, ip: ip, conns: map[net.Conn]*machine{}}
	publicPeers, publicDatagrams := net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	if err := m.link.forwardConnections(publicPeers, peers); err != nil {
		return nil, err
	}
	if err := m.link.forwardDatagrams(publicDatagrams, datagrams); err != nil {
		return nil, err
	}
	public, _ := json.Marshal(map[string]any{"peers": publicPeers, "datagrams": publicDatagrams})
	text := strings.TrimSpace(string(settings))
	return []byte(strings.TrimSuffix(text, "}") + `,"public":` + string(public) + "}\n"), nil
}

func (l *link) forwardDatagrams(listen, to string) error {
	conn, err := net.ListenPacket("udp", listen)
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w", err)
	}
	sessions := map[string]net.Conn{}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			sender := l.fleet.machineOf(from)
			if crosses(sender, l.to) {
				continue
			}
			session, ok := sessions[from.String()]
			if !ok {
				if session, err = net.Dial("udp", to); err != nil {
					continue
				}
				sessions[from.String()] = session
				go func() {
					answers := make([]byte, 64<<10)
					for {
						n, err := session.Read(answers)
						if err != nil {
							time.Sleep(time.Millisecond) // the node does not run
							continue
						}
						if !crosses(sender, l.to) {
							_, _ = conn.WriteTo(answers[:n], from)
						}
					}
				}()
			}
			_, _ = session.Write(buffer[:n])
		}
	}()
	return nil
}

// machineOf returns the machine with the address of a sender.
func (f *fleet) machineOf(from net.Addr) *machine {
	ip, _, _ := net.SplitHostPort(from.String())
	for _, m := range f.machines {
		if m.link.ip == ip {
			return m
		}
	}
	return nil
}

func (l *link) forwardConnections(listen, to string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(conn, to)
		}
	}()
	return nil
}

func (l *link) connect(conn net.Conn, to string) {
	sender := l.fleet.dialer(conn)
	defer func() { _ = conn.Close() }()
	if crosses(sender, l.to) {
		time.Sleep(2 * time.Second) // silent, longer than any connection attempt lasts
		return
	}
	server, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	l.mu.Lock()
	l.conns[conn] = sender
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, server}, {server, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// dropCrossing ends the connections that cross the cut.
func (l *link) dropCrossing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, sender := range l.conns {
		if crosses(sender, l.to) {
			_ = conn.Close()
		}
	}
}

// dialer returns the machine whose node opened a connection. Connections have no source
// address of their own, so it looks for the socket among the files of the nodes.
func (f *fleet) dialer(conn net.Conn) *machine {
	inode := inodeOf(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
	for _, m := range f.machines {
		m.mu.Lock()
		pid := 0
		if m.command != nil && m.command.Process != nil {
			pid = m.command.Process.Pid
		}
		m.mu.Unlock()
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, name := range links {
			if target, err := os.Readlink(name); err == nil && target == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket that is bound to one port and connected to
// another.
func inodeOf(local, remote int) string {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}
