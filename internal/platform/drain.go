package platform

import (
	"bufio"
	"errors"
	"os"
	"time"
)

// A connection from callers is closed by this side only when nothing is left on it: no
// set-up without an answer, no call whose end is not told, no message that has begun.
// What a caller wrote before the close is still read and answered.
const (
	// lastLook is how long a connection that is to be closed is looked at for what had
	// been written before.
	lastLook = 2 * time.Millisecond
	// closingLimit bounds the closing of a connection whose caller goes on writing.
	closingLimit = 300 * time.Millisecond
)

// Drain closes each connection as soon as nothing is left on it. New ones are still
// taken, for callers that come again: what they ask is refused by the core, which must
// have been stopped.
func (f *Server) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		f.closeIfDone(c)
	}
}

// closeIfDone closes a connection of a front that drains if nothing is left on it. One on
// which nothing was asked yet may be about to. The lock is held.
func (f *Server) closeIfDone(c *conn) {
	if f.draining && c.asked && !c.isUsed() {
		c.beginClose()
	}
}

// isUsed says whether something is left on the connection. The lock is held.
func (c *conn) isUsed() bool {
	if len(c.open)+len(c.standing)+c.answering > 0 {
		return true
	}
	for _, r := range c.front.releases {
		if r.sentOn == c && (r.out || c.acknowledges) {
			return true
		}
	}
	return false
}

// beginClose makes the reader close the connection once what was written before is read
// and answered. The front's lock is held.
func (c *conn) beginClose() {
	if c.closing {
		return
	}
	c.closing, c.closeBy = true, time.Now().Add(closingLimit)
	if c.awaiting {
		_ = c.SetReadDeadline(time.Now()) // wakes the reader
	}
}

// errClosedHere ends a connection that this side closes with nothing left on it.
var errClosedHere = errors.New("closed by this side")

// await waits for the first byte of a message, and closes the connection when its time
// has come: errSilent or errClosedHere.
func (c *conn) await(in *bufio.Reader) error {
	if in.Buffered() > 0 {
		return nil
	}
	for {
		closing, asked := c.beginAwait()
		_, err := in.Peek(1)
		nowClosing, over := c.endAwait()
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case closing && over:
			return errClosedHere
		case nowClosing, c.hasOpen(), asked != c.hasAsked():
			continue
		}
		return errSilent
	}
}

// beginAwait sets the time until which a message may begin.
func (c *conn) beginAwait() (closing, asked bool) {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	until := now.Add(f.idle)
	switch {
	case c.closing:
		until = now.Add(lastLook)
	case !c.asked:
		until = c.born.Add(f.silent)
	}
	c.awaiting = true
	// One that can't be set is no error: the connection has been closed, and what was
	// read before that still counts.
	_ = c.SetReadDeadline(until)
	return c.closing, c.asked
}

// endAwait says whether the connection is to be closed, and whether nothing is left that
// it must stay for.
func (c *conn) endAwait() (closing, over bool) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.awaiting = false
	over = !c.isUsed() || c.front.closed
	if c.closing && !over {
		c.closing = false // a set-up came in meanwhile, and has to be answered first
	}
	return c.closing, over
}
