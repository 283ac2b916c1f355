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

// Port is where one party listens for another, on an address of its own. It can play
// what a network and a machine do to connections: refuse them, reset them, let none come
// up, or leave the open ones silent. What is written while it is silent goes out once it
// is not.
type Port struct {
	addr string
	do   func(c *PortConn)

	mu        sync.Mutex // guards all below
	ln        *net.TCPListener
	conns     map[*PortConn]bool
	silent    chan struct{}   // closed when the port is not silent
	filler    []net.Conn      // what fills the backlog of a port that is cut off
	filled    map[string]bool // the addresses of what filled it before
	mended    time.Time       // when the port was last silent
	closed    bool
	abandoned bool // another machine has the address
}

// openGate is the gate of a port that is not silent.
func openGate() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// NewPort makes a port that is shut at first. do serves a connection until it ends.
func NewPort(addr string, do func(c *PortConn)) *Port {
	return &Port{addr: addr, do: do, conns: map[*PortConn]bool{}, filled: map[string]bool{}, silent: openGate()}
}

// Addr is where the port listens.
func (p *Port) Addr() string { return p.addr }

const (
	backlog      = 128
	fillPatience = 30 * time.Millisecond // a dial on loopback that takes longer does not come up
	maxFillers   = 8
	staleAccept  = 100 * time.Millisecond // what is accepted so soon after a silence came up during it
)

// Open starts to accept connections.
func (p *Port) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln.(*net.TCPListener)
	p.addr = ln.Addr().String()
	go p.accept(p.ln)
	return nil
}

func (p *Port) accept(ln *net.TCPListener) {
	for {
		p.wait() // a machine that is silent accepts nothing itself
		nc, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		c := &PortConn{TCPConn: nc.(*net.TCPConn), port: p}
		p.mu.Lock()
		if p.isFiller(nc.RemoteAddr()) {
			p.mu.Unlock()
			nc.Close()
			continue
		}
		c.firstStale = time.Since(p.mended) < staleAccept
		if p.closed || p.ln != ln {
			p.mu.Unlock()
			nc.Close()
			continue
		}
		p.conns[c] = true
		p.mu.Unlock()
		go func() {
			p.do(c)
			c.Close()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
		}()
	}
}

// wait returns once the port is not silent.
func (p *Port) wait() {
	p.mu.Lock()
	gate := p.silent
	p.mu.Unlock()
	<-gate
}

// isSilent says whether the port is silent.
func (p *Port) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.silent:
		return false
	default:
		return true
	}
}

// Hang makes the port silent: open connections say and take nothing, new ones come up
// in the kernel and are not served.
func (p *Port) Hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.silent:
		p.silent = make(chan struct{})
	default:
	}
	if p.ln != nil {
		_ = p.ln.SetDeadline(time.Now()) // wakes Accept
	}
}

// Partition makes the port silent and lets no new connection come up.
func (p *Port) Partition() error {
	p.Hang()
	p.mu.Lock()
	ln := p.ln
	p.mu.Unlock()
	if ln == nil {
		return nil
	}
	if err := setBacklog(ln, 0); err != nil {
		return err
	}
	// A backlog of 0 takes one connection or two; what fills it is nobody's.
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.addr, fillPatience)
		if err != nil {
			return nil
		}
		p.mu.Lock()
		p.filler = append(p.filler, c)
		p.mu.Unlock()
	}
	return errors.New("the backlog does not fill")
}

// Restore ends what Hang and CutOff began.
func (p *Port) Restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.ln != nil {
		err = errors.Join(setBacklog(p.ln, backlog), p.ln.SetDeadline(time.Time{}))
	}
	p.dropFiller()
	select {
	case <-p.silent:
	default:
		close(p.silent)
		p.mended = time.Now()
	}
	return err
}

func (p *Port) dropFiller() {
	for _, c := range p.filler {
		p.filled[c.LocalAddr().String()] = true
		c.Close()
	}
	p.filler = nil
}

// isFiller says whether a connection is one that filled the backlog. The lock is held.
func (p *Port) isFiller(remote net.Addr) bool {
	for _, c := range p.filler {
		if c.LocalAddr().String() == remote.String() {
			return true
		}
	}
	return p.filled[remote.String()]
}

func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var listen error
	err = raw.Control(func(fd uintptr) { listen = syscall.Listen(int(fd), n) })
	return errors.Join(err, listen)
}

// StopListening stops to listen; open connections stay.
func (p *Port) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
	p.dropFiller()
}

// ResetConns resets the open connections.
func (p *Port) ResetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.TCPConn.Close()
	}
}

// ReassignAddress leaves the address to another machine, which knows none of the connections:
// what is sent on them from now on, or was sent in vain before, is answered by a reset.
func (p *Port) ReassignAddress() {
	p.StopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	select {
	case <-p.silent:
	default:
		close(p.silent)
	}
}

// wasSilent says whether the port is silent or was so a moment ago: what is noticed now may
// have happened long before.
func (p *Port) wasSilent() bool {
	if p.isSilent() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.mended) < staleAccept
}

// isAbandoned says whether another machine has the address.
func (p *Port) isAbandoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.abandoned
}

// Close ends the port and its connections.
func (p *Port) Close() {
	p.StopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.TCPConn.Close()
	}
	select {
	case <-p.silent:
	default:
		close(p.silent)
	}
}

// PortConn is a connection to a Port. What is written while its port is silent waits.
type PortConn struct {
	*net.TCPConn
	port       *Port
	writing    sync.Mutex  // one write at a time
	message    sync.Mutex  // one message at a time, for those that are written in pieces
	stale      bool        // what was read last was written while the port was silent; the reader's own
	firstStale bool        // ... as is what is read first
	ended      atomic.Bool // the other side has closed it
}

// Read reads, and holds what it read for as long as the port is silent.
func (c *PortConn) Read(b []byte) (int, error) {
	before := c.port.isSilent()
	c.port.wait()
	n, err := c.TCPConn.Read(b)
	after := c.port.isSilent()
	c.port.wait()
	c.stale = before || after || c.firstStale
	c.firstStale = false
	if err != nil {
		c.ended.Store(true)
	}
	if c.port.isAbandoned() {
		_ = c.SetLinger(0)
		c.TCPConn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes once the port is not silent.
func (c *PortConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.port.wait()
	if c.port.isAbandoned() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}
