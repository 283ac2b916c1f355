package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Links are TCP forwarders between numbered parties, one for each direction, each with its own
// address. Cutting a link closes its connections and lets no new one through.
type Links struct {
	mu        sync.Mutex // guards all below
	addrs     map[uint64]string
	cut       map[[2]uint64]bool
	conns     map[[2]uint64][]net.Conn
	listeners []net.Listener
}

// NewLinks returns an empty set of links.
func NewLinks() *Links {
	return &Links{addrs: map[uint64]string{}, cut: map[[2]uint64]bool{}, conns: map[[2]uint64][]net.Conn{}}
}

// SetAddr sets the address to which the links towards a party forward.
func (l *Links) SetAddr(party uint64, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs[party] = addr
}

// Open creates the link from one party to another and returns the address that it listens on.
func (l *Links) Open(from, to uint64) (string, error) {
	k := [2]uint64{from, to}
	ln, err := Serve(func(client net.Conn) {
		l.mu.Lock()
		addr, cut := l.addrs[to], l.cut[k]
		l.mu.Unlock()
		server, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil || cut {
			client.Close()
			if err == nil {
				server.Close()
			}
			return
		}
		l.mu.Lock()
		l.conns[k] = append(l.conns[k], client, server)
		l.mu.Unlock()
		for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1]) // closes both connections, whatever the error
				pair[0].Close()
				pair[1].Close()
			}()
		}
	})
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, ln)
	return ln.Addr().String(), nil
}

// SetCut cuts a link, or restores it.
func (l *Links) SetCut(from, to uint64, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := [2]uint64{from, to}
	if l.cut[k] = cut; cut {
		for _, c := range l.conns[k] {
			c.Close()
		}
		l.conns[k] = nil
	}
}

// Close closes all links and their connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.listeners {
		ln.Close()
	}
	for _, conns := range l.conns {
		for _, c := range conns {
			c.Close()
		}
	}
}
