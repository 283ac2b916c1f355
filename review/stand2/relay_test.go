//go:build review2

package stand2

import (
	"net"
	"sync"
	"time"
)

// relay is the network between the proxy and one switch: it passes connections on. The first one
// can fall silent, both ways, while it stays open, and can be reset; the others are sound.
type relay struct {
	r    *rig
	addr string

	mu    sync.Mutex
	count int
	first [2]net.Conn   // of the first connection: the proxy's side and the switch's
	held  chan struct{} // closed when the silence ends; nil: none
	idle  time.Duration // a connection that carried nothing for that long is reset at the next thing sent on it; 0: none is
	last  map[int]time.Time
}

func (r *rig) startRelay(to string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("%v", err)
	}
	y := &relay{r: r, addr: ln.Addr().String(), last: map[int]time.Time{}}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			y.mu.Lock()
			y.count++
			number := y.count
			y.last[number] = time.Now()
			if number == 1 {
				y.first = [2]net.Conn{in, out}
			}
			y.mu.Unlock()
			go y.pass(number, in, out, "the proxy", "the switch")
			go y.pass(number, out, in, "the switch", "the proxy")
		}
	}()
	return y
}

// pass passes on what is read on one side of a connection, and its end.
func (y *relay) pass(number int, from, to net.Conn, sender, receiver string) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if y.wasIdle(number) {
			y.r.note("network: connection %d carried nothing for %v: it is reset (%s sent %d bytes, end: %v)", number, y.idle, sender, n, err)
			resetBoth(from, to)
			return
		}
		if held := y.hold(number); held != nil {
			y.r.note("network: connection %d: %d bytes of %s are late (end: %v)", number, n, sender, err)
			<-held
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				y.r.note("network: connection %d: %d bytes of %s can't be delivered: %v", number, n, sender, err)
				from.Close()
				return
			}
		}
		if err != nil {
			y.r.note("network: connection %d: %s has ended it: %v", number, sender, err)
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// hold returns a channel that is closed when the connection is no longer silent; nil: it is not.
func (y *relay) hold(number int) chan struct{} {
	y.mu.Lock()
	defer y.mu.Unlock()
	if number != 1 {
		return nil
	}
	return y.held
}

// holdFor makes the first connection silent for a time.
func (y *relay) holdFor(d time.Duration) {
	held := make(chan struct{})
	y.mu.Lock()
	y.held = held
	y.mu.Unlock()
	y.r.note("network: connection 1 is silent from now on, both ways")
	time.AfterFunc(d, func() {
		y.mu.Lock()
		y.held = nil
		y.mu.Unlock()
		y.r.note("network: connection 1 is no longer silent, after %v", d)
		close(held)
	})
}

// reset resets the first connection, on both sides.
func (y *relay) reset() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.r.note("network: connection 1 is reset")
	resetBoth(y.first[0], y.first[1])
}

func resetBoth(a, b net.Conn) {
	for _, c := range []net.Conn{a, b} {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// wasIdle reports whether a connection is to be reset, as it carried nothing for the time of idle,
// and notes that something is sent on it now.
func (y *relay) wasIdle(number int) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	last := y.last[number]
	y.last[number] = time.Now()
	return y.idle > 0 && time.Since(last) >= y.idle
}
