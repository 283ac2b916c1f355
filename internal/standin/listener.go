package standin

import (
	"net"
	"sync"
)

// portListener adapts a Port to net.Listener, for use with http.Server.
type portListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPortListener() *portListener {
	return &portListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// notifyConn closes done when it is closed.
type notifyConn struct {
	*PortConn
	done chan struct{}
	once sync.Once
}

// Close closes the connection.
func (c *notifyConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.PortConn.Close()
}

// serve passes a connection to Accept and returns once the server has closed the connection or
// the listener is closed.
func (l *portListener) serve(c *PortConn) {
	n := &notifyConn{PortConn: c, done: make(chan struct{})}
	select {
	case l.conns <- n:
		select {
		case <-n.done:
		case <-l.closed:
		}
	case <-l.closed:
	}
}

// Accept returns the next connection of the port.
func (l *portListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener, but not its port.
func (l *portListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address: the listener does not know its port.
func (l *portListener) Addr() net.Addr { return &net.TCPAddr{} }
