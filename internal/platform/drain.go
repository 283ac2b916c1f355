package platform

import (
	"bufio"
	"errors"
	"os"
	"syscall"
	"time"
)

// The server closes a connection from callers only when it is unused: no set-up has a pending
// final answer, the end of every call was sent, and no message has been received in part.
// Messages that a caller sent before the close are still read and answered.
const (
	// finalReadTimeout is how long the reader waits at least for messages that were sent before
	// the connection is closed.
	finalReadTimeout = 2 * time.Millisecond
	// maxClosingTime bounds the closing of a connection whose caller keeps sending.
	maxClosingTime = 300 * time.Millisecond
)

// Drain closes each connection as soon as it is unused. New connections are still accepted, for
// callers that reconnect; the core, which must be stopped first, refuses their set-ups.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		s.closeIfUnusedLocked(c)
	}
}

// closeIfUnusedLocked closes an unused connection if the server is draining. A connection on
// which no usable message was received yet stays open, as one may be about to arrive. Must be
// called with s.mu held.
func (s *Server) closeIfUnusedLocked(c *callerConn) {
	if s.draining && c.usableSeen && !c.inUse() {
		c.beginClose()
	}
}

// inUse reports whether the connection has open set-ups, established calls, answers or releases
// being written, or unacknowledged releases whose caller acknowledges them. Must be called with
// server.mu held.
func (c *callerConn) inUse() bool {
	if len(c.openSetUps)+len(c.established)+c.answersInFlight > 0 {
		return true
	}
	for _, r := range c.server.pendingReleases {
		if r.sentOn == c && (r.sending || c.acknowledges) {
			return true
		}
	}
	return false
}

// beginClose makes the reader close the connection once the messages already sent on it are
// read and answered. Must be called with server.mu held.
func (c *callerConn) beginClose() {
	if c.closing {
		return
	}
	c.closing, c.closeDeadline = true, time.Now().Add(maxClosingTime)
	if c.awaiting {
		_ = c.SetReadDeadline(time.Now()) // wakes the reader
	}
}

// errClosedLocally ends an unused connection that the server closes.
var errClosedLocally = errors.New("closed by the proxy")

// awaitMessage waits for the first byte of a message. It returns errIdle if firstRequestTimeout
// or idleTimeout has expired, and errClosedLocally if the connection is closing and unused.
func (c *callerConn) awaitMessage(in *bufio.Reader) error {
	if in.Buffered() > 0 {
		return nil
	}
	for {
		closing, usableSeen := c.beginAwait()
		_, err := in.Peek(1)
		nowClosing, closable := c.endAwait()
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case c.hasUnreadBytes():
			continue // the deadline had passed before the read began
		case closing && closable:
			return errClosedLocally
		case nowClosing, c.hasOpenSetUps(), usableSeen != c.hasSentUsable():
			continue
		}
		return errIdle
	}
}

// hasUnreadBytes reports whether the kernel holds bytes of the caller that were not read. A read whose
// deadline has passed fails without looking for them.
func (c *callerConn) hasUnreadBytes() (unread bool) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var first [1]byte
	_ = raw.Control(func(descriptor uintptr) { // an error means that the connection was closed
		n, _, _ := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
	})
	return unread
}

// beginAwait sets the deadline for the first byte of a message.
func (c *callerConn) beginAwait() (closing, usableSeen bool) {
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	now := time.Now()
	deadline := now.Add(server.idleTimeout)
	switch {
	case c.closing:
		deadline = now.Add(finalReadTimeout)
	case !c.usableSeen:
		deadline = c.created.Add(server.firstRequestTimeout)
	}
	if earliest := now.Add(finalReadTimeout); deadline.Before(earliest) {
		deadline = earliest // what has arrived is read also if the timeout has passed
	}
	c.awaiting = true
	// An error is ignored: the connection was closed, and messages read before that are still
	// processed.
	_ = c.SetReadDeadline(deadline)
	return c.closing, c.usableSeen
}

// endAwait reports whether the connection is closing, and whether it may be closed now.
func (c *callerConn) endAwait() (closing, closable bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.awaiting = false
	closable = !c.inUse() || c.server.closed
	if c.closing && !closable {
		c.closing = false // a set-up arrived meanwhile and must be answered first
	}
	return c.closing, closable
}
