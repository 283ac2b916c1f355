package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Links are one-way roads between numbered parties, each with an address of its own, that
// can be cut and mended: what runs over a cut one is closed, and nothing new comes up.
type Links struct {
	mu   sync.Mutex // guards all below
	to   map[uint64]string
	cut  map[[2]uint64]bool
	open map[[2]uint64][]net.Conn
	lns  []net.Listener
}

// NewLinks returns no link yet.
func NewLinks() *Links {
	return &Links{to: map[uint64]string{}, cut: map[[2]uint64]bool{}, open: map[[2]uint64][]net.Conn{}}
}

// SetAddr says where a party listens now.
func (l *Links) SetAddr(party uint64, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to[party] = addr
}

// Open makes the link from one party to another and returns its address.
func (l *Links) Open(from, to uint64) (string, error) {
	k := [2]uint64{from, to}
	ln, err := Serve(func(a net.Conn) {
		l.mu.Lock()
		addr, cut := l.to[to], l.cut[k]
		l.mu.Unlock()
		b, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil || cut {
			a.Close()
			if err == nil {
				b.Close()
			}
			return
		}
		l.mu.Lock()
		l.open[k] = append(l.open[k], a, b)
		l.mu.Unlock()
		for _, p := range [][2]net.Conn{{a, b}, {b, a}} {
			go func() {
				_, _ = io.Copy(p[0], p[1]) // however it ends, both do
				p[0].Close()
				p[1].Close()
			}()
		}
	})
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lns = append(l.lns, ln)
	return ln.Addr().String(), nil
}

// SetCut cuts a link, or mends it.
func (l *Links) SetCut(from, to uint64, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := [2]uint64{from, to}
	if l.cut[k] = cut; cut {
		for _, c := range l.open[k] {
			c.Close()
		}
		l.open[k] = nil
	}
}

// Close ends all of them.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.lns {
		ln.Close()
	}
	for _, cs := range l.open {
		for _, c := range cs {
			c.Close()
		}
	}
}
