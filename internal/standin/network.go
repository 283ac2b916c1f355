package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Port is a TCP listener through which one party serves another, at its own address. It
// can simulate faults of the network and of the machine: connections are refused, reset, not
// established, or silent. Data written during a silence is sent when the silence ends.
type Port struct {
	addr   string
	handle func(c *PortConn)

	mu          sync.Mutex // guards all below
	listener    *net.TCPListener
	conns       map[*PortConn]bool
	gate        chan struct{}   // closed while the port is not silent
	fillers     []net.Conn      // connections that fill the backlog during a partition
	pastFillers map[string]bool // local addresses of the closed fillers
	restoredAt  time.Time       // when the last silence ended
	closed      bool
	reassigned  bool          // another machine now has the address
	idleLimit   time.Duration // see ForgetIdleConns
}

// openGate returns the closed channel of a port that is not silent.
func openGate() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// NewPort returns a port that does not listen yet. handle serves one connection until its end.
func NewPort(addr string, handle func(c *PortConn)) *Port {
	return &Port{addr: addr, handle: handle, conns: map[*PortConn]bool{}, pastFillers: map[string]bool{}, gate: openGate()}
}

// Addr returns the address on which the port listens.
func (p *Port) Addr() string { return p.addr }

const (
	backlog         = 128
	fillDialTimeout = 30 * time.Millisecond // a dial on loopback that takes longer won't succeed
	// On a busy machine a dial may take longer although the backlog has room; it then leaves the room free.
	// The backlog counts as full after dials with these timeouts, in a row, have failed.
	confirmDialTimeout = 200 * time.Millisecond
	maxFillers         = 8
	listenTimeout      = time.Second // for an address to become free
	listenInterval     = time.Millisecond
	staleWindow        = 100 * time.Millisecond // a connection accepted this soon after a silence was established during it
)

// Open starts listening. It does nothing if the port is listening or closed.
func (p *Port) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	listener, err := listenAgain(p.addr)
	if err != nil {
		return err
	}
	p.listener = listener.(*net.TCPListener)
	p.addr = listener.Addr().String()
	go p.accept(p.listener)
	return nil
}

// listenAgain listens on an address whose listener may have been closed just now. A process that is being
// started by this one holds copies of all its descriptors until it runs its own program.
func listenAgain(addr string) (listener net.Listener, err error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenInterval) {
		listener, err = net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

func (p *Port) accept(listener *net.TCPListener) {
	for {
		p.waitWhileSilent() // a silent machine accepts no connection
		conn, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		c := &PortConn{TCPConn: conn.(*net.TCPConn), port: p, lastTraffic: time.Now()}
		p.mu.Lock()
		if p.isFiller(conn.RemoteAddr()) {
			p.mu.Unlock()
			conn.Close()
			continue
		}
		c.firstStale = time.Since(p.restoredAt) < staleWindow
		if p.closed || p.listener != listener {
			p.mu.Unlock()
			conn.Close()
			continue
		}
		p.conns[c] = true
		p.mu.Unlock()
		go func() {
			p.handle(c)
			c.Close()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
		}()
	}
}

// waitWhileSilent blocks while the port is silent.
func (p *Port) waitWhileSilent() {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	<-gate
}

// isSilent reports whether the port is silent.
func (p *Port) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gate:
		return false
	default:
		return true
	}
}

// Hang makes the port silent: open connections neither send nor receive; the kernel establishes
// new ones, but they are not served.
func (p *Port) Hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gate:
		p.gate = make(chan struct{})
	default:
	}
	if p.listener != nil {
		_ = p.listener.SetDeadline(time.Now()) // wakes Accept
	}
}

// Partition makes the port silent and lets no new connection be established.
func (p *Port) Partition() error {
	p.Hang()
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	if listener == nil {
		return nil
	}
	if err := setBacklog(listener, 0); err != nil {
		return err
	}
	// A backlog of 0 still admits one or two connections: unused connections fill it.
	timeout := fillDialTimeout
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.addr, timeout)
		switch {
		case err == nil:
			timeout = fillDialTimeout
		case timeout == confirmDialTimeout:
			return nil
		default:
			timeout = confirmDialTimeout
			continue
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
	return errors.New("the listener's backlog does not fill up")
}

// Restore ends the effect of Hang or Partition.
func (p *Port) Restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.listener != nil {
		err = errors.Join(setBacklog(p.listener, backlog), p.listener.SetDeadline(time.Time{}))
	}
	p.closeFillers()
	select {
	case <-p.gate:
	default:
		close(p.gate)
		p.restoredAt = time.Now()
	}
	return err
}

func (p *Port) closeFillers() {
	for _, c := range p.fillers {
		p.pastFillers[c.LocalAddr().String()] = true
		c.Close()
	}
	p.fillers = nil
}

// isFiller reports whether a connection was opened to fill the backlog. p.mu must be held.
func (p *Port) isFiller(remote net.Addr) bool {
	for _, c := range p.fillers {
		if c.LocalAddr().String() == remote.String() {
			return true
		}
	}
	return p.pastFillers[remote.String()]
}

func setBacklog(listener *net.TCPListener, size int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), size) })
	return errors.Join(err, listenErr)
}

// StopListening closes the listener, so that new connections are refused; open ones stay.
func (p *Port) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.closeFillers()
}

// ResetConns resets the open connections.
func (p *Port) ResetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// ReassignAddress frees the address for another machine. As that machine knows none of the
// connections, it answers data on them, including retransmissions of earlier data, with a reset.
func (p *Port) ReassignAddress() {
	p.StopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reassigned = true
	select {
	case <-p.gate:
	default:
		close(p.gate)
	}
}

// ForgetIdleConns simulates a network that drops connections which carried nothing for the given time: it
// resets one when something is sent on it, or its close, later. Zero: it drops none.
func (p *Port) ForgetIdleConns(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = after
}

// recentlySilent reports whether the port is silent or was within the last staleWindow: an event
// that is noticed now may have happened long before, during the silence.
func (p *Port) recentlySilent() bool {
	if p.isSilent() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.restoredAt) < staleWindow
}

// isReassigned reports whether another machine has the address.
func (p *Port) isReassigned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reassigned
}

// Close closes the port and its connections.
func (p *Port) Close() {
	p.StopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resumeConns()
	for c := range p.conns {
		c.TCPConn.Close()
	}
	select {
	case <-p.gate:
	default:
		close(p.gate)
	}
}

// HangConns makes the connections that are open now silent, as a fault on one path of the network
// does. New connections are served.
func (p *Port) HangConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.hung == nil {
			c.hung = make(chan struct{})
		}
	}
}

// ResumeConns ends the effect of HangConns: what was written meanwhile arrives.
func (p *Port) ResumeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumeConns()
}

// resumeConns is ResumeConns with p.mu held.
func (p *Port) resumeConns() {
	for c := range p.conns {
		if c.hung != nil {
			close(c.hung)
			c.hung, c.resumedAt = nil, time.Now()
		}
	}
}

// PortConn is a connection to a Port. Reads and writes block while the port or the connection is
// silent.
type PortConn struct {
	*net.TCPConn
	port        *Port
	hung        chan struct{} // guarded by port.mu; closed when the silence of HangConns ends; nil: none
	resumedAt   time.Time     // guarded by port.mu; when that silence ended
	lastTraffic time.Time     // guarded by port.mu; when something was last sent on the connection
	writeMu     sync.Mutex    // serializes writes
	messageMu   sync.Mutex    // serializes messages, which may take several writes
	stale       bool          // the data of the last Read was written during a silence; used by the reader only
	firstStale  bool          // the data of the first Read counts as stale
	peerClosed  atomic.Bool   // a Read has failed: the peer has closed the connection
}

// isSilent reports whether the port or the connection is silent.
func (c *PortConn) isSilent() bool {
	if c.port.isSilent() {
		return true
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.hung != nil
}

// waitWhileSilent blocks while the port or the connection is silent.
func (c *PortConn) waitWhileSilent() {
	c.port.waitWhileSilent()
	c.port.mu.Lock()
	hung := c.hung
	c.port.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// recentlyResumed reports whether what is read now may have been written during the silence of
// HangConns.
func (c *PortConn) recentlyResumed() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return time.Since(c.resumedAt) < staleWindow
}

// Read reads, but returns only while neither the port nor the connection is silent.
func (c *PortConn) Read(b []byte) (int, error) {
	before := c.isSilent()
	c.waitWhileSilent()
	n, err := c.TCPConn.Read(b)
	after := c.isSilent()
	c.waitWhileSilent()
	c.stale = before || after || c.firstStale || c.recentlyResumed()
	c.firstStale = false
	if err != nil {
		c.peerClosed.Store(true)
	}
	if c.port.isReassigned() || c.isForgotten() {
		c.reset()
		return 0, net.ErrClosed
	}
	return n, err
}

// isForgotten reports whether the network has dropped the connection, and records that something is sent
// on it.
func (c *PortConn) isForgotten() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	idle := time.Since(c.lastTraffic)
	c.lastTraffic = time.Now()
	return c.port.idleLimit > 0 && idle >= c.port.idleLimit
}

// reset resets the connection.
func (c *PortConn) reset() {
	_ = c.SetLinger(0)
	c.TCPConn.Close()
}

// Write blocks while the port or the connection is silent, then writes.
func (c *PortConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.waitWhileSilent()
	if c.port.isReassigned() {
		return 0, net.ErrClosed
	}
	if c.isForgotten() {
		c.reset()
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}
