package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

// callerConn is one connection from callers. Several callers may share it.
type callerConn struct {
	server *Server
	net.Conn
	writeMu sync.Mutex // held while a message is written
	created time.Time

	// Guarded by server.mu:
	openSetUps      map[uint64]bool // set-ups received here that have no final answer
	answersInFlight int             // answers being written
	established     map[uint64]bool // established calls that were answered here
	usableSeen      bool            // a usable message was received
	trusted         bool            // a call was set up on it
	acknowledges    bool            // it acknowledged a release
	awaiting        bool            // its reader waits for the first byte of a message
	closing         bool            // to be closed once the messages already sent on it are answered
	closeDeadline   time.Time       // latest time at which a closing connection is closed
	evicted         bool            // closed in favour of another connection
	unusableCount   int             // unusable messages since the last usable one
	lastUsable      time.Time       // when the last usable message was received; initially created

	inMessage       bool          // a message has begun; used by the reader only
	unknownReleases *rate.Limiter // releases of unknown calls; used by the reader only
}

func newCallerConn(s *Server, netConn net.Conn, at time.Time) *callerConn {
	return &callerConn{server: s, Conn: netConn, unknownReleases: rate.NewLimiter(maxUnknownReleaseRate, unknownReleaseBurst), created: at, lastUsable: at, openSetUps: map[uint64]bool{}, established: map[uint64]bool{}}
}

// serve reads and handles messages until the connection ends. It then hangs up the set-ups
// still open on it; after a malformed message it also releases them with CauseProtocolError.
func (c *callerConn) serve() {
	server := c.server
	in := bufio.NewReaderSize(callerReader{c}, readBufferSize)
	var err error
	for err == nil {
		var m sig.Message
		if err = c.awaitMessage(in); err == nil {
			c.inMessage = true
			m, err = readMessage(c.Conn, in, c.messageTimeout())
			c.inMessage = false
		}
		if err == nil {
			err = c.handle(&m, time.Now())
		}
	}
	server.mu.Lock()
	reason := c.closeReason(err)
	server.Metrics.CallerConnsClosed.WithLabelValues(reason).Inc()
	if reason == metrics.CallerBroken || reason == metrics.CallerMalformed {
		server.Log.Warn("connection from a caller broke", "addr", c.RemoteAddr(), "error", err, "open", len(c.openSetUps))
	}
	delete(server.conns, c)
	c.closing = true // so that no release is sent here
	for id := range c.established {
		delete(server.established, id)
	}
	cancelled := c.openSetUps
	c.openSetUps = map[uint64]bool{}
	for id := range cancelled {
		server.removeSetUp(c, id)
	}
	server.mu.Unlock()
	for id := range cancelled {
		server.Handler.HangUp(id)
		if errors.Is(err, sig.ErrMalformed) {
			failed := sig.WithCause(sig.Release, id, sig.CauseProtocolError)
			_ = c.send(&failed)
		}
	}
	c.Close()
	server.resendAfterClose(c)
}

// messageTimeout returns how long a message may take from its first byte to its last.
func (c *callerConn) messageTimeout() time.Duration {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closing {
		return min(c.server.messageTimeout, time.Until(c.closeDeadline))
	}
	return c.server.messageTimeout
}

// callerReader reads from a caller's connection. It waits for the rest of a message for as long as a
// set-up is open on the connection, as its answer is due there.
type callerReader struct{ c *callerConn }

// Read implements io.Reader.
func (r callerReader) Read(b []byte) (int, error) {
	for {
		n, err := r.c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.c.extendMessage() {
			return n, err
		}
	}
}

// extendMessage gives a message another messageTimeout if a set-up is open on the connection. It
// returns false if the connection is to be closed instead.
func (c *callerConn) extendMessage() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.inMessage || c.closing || len(c.openSetUps)+c.answersInFlight == 0 {
		return false
	}
	return c.SetReadDeadline(time.Now().Add(c.server.messageTimeout)) == nil
}

var errIdle = errors.New("idle for too long")

// closeReason returns the metrics label for the end of the connection. Must be called with
// server.mu held.
func (c *callerConn) closeReason(err error) string {
	switch {
	case c.evicted:
		return metrics.CallerEvicted
	case errors.Is(err, errClosedLocally):
		return metrics.CallerDrained
	case errors.Is(err, errIdle):
		return metrics.CallerSilent
	case errors.Is(err, sig.ErrMalformed):
		return metrics.CallerMalformed
	case errors.Is(err, io.EOF):
		return metrics.CallerClosed
	}
	return metrics.CallerBroken
}

// hasSentUsable reports whether a usable message was received on the connection.
func (c *callerConn) hasSentUsable() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.usableSeen
}

// hasOpenSetUps reports whether a set-up received on the connection has a pending final answer.
func (c *callerConn) hasOpenSetUps() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return len(c.openSetUps) > 0
}

// noteUsable records a usable message.
func (c *callerConn) noteUsable() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.usableSeen, c.unusableCount, c.lastUsable = true, 0, time.Now()
}

// noteUnusable records an unusable message. It returns an error, which ends the connection,
// at maxUnusableMessages of them in a row. A trusted connection is not ended, because it also
// carries calls of other callers.
func (c *callerConn) noteUnusable(err error) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.unusableCount++
	if c.unusableCount == 1 {
		c.server.Log.Warn("unusable message from a caller", "addr", c.RemoteAddr(), "error", err)
	}
	if c.unusableCount >= maxUnusableMessages && !c.trusted {
		return fmt.Errorf("%w: %d unusable messages in a row, the last: %w", sig.ErrMalformed, c.unusableCount, err)
	}
	return nil
}

// handle processes a message that was received at the given time. An error ends the
// connection.
func (c *callerConn) handle(m *sig.Message, receivedAt time.Time) error {
	server := c.server
	defer server.closeIfUnused(c)
	switch m.Type {
	case sig.SetUp:
		return c.handleSetUp(m, receivedAt)
	case sig.Release:
		return c.handleRelease(m)
	case sig.ReleaseAck:
		if server.handleAcknowledgement(c, m.Call) {
			c.noteUsable()
		}
	case sig.Test:
		c.noteUsable() // before the reply, after which the caller may count on it
		passed := sig.WithCause(sig.TestResult, m.Call, 1)
		_ = c.send(&passed)
	case sig.Progress:
	default:
		return fmt.Errorf("%w: message type %d from a caller", sig.ErrMalformed, m.Type)
	}
	return nil
}

var (
	errForeignRelease  = errors.New("release of a set-up that is open on another connection")
	errUnknownReleases = errors.New("too many releases of unknown calls")
)

// handleRelease cancels a set-up or hangs up an established call. An established call may be hung up on any
// connection. The release of an unknown call is passed on to every switch, as the call may be from before a
// restart; a connection that sends too many of them gets no acknowledgement for the rest, which are dropped.
func (c *callerConn) handleRelease(m *sig.Message) error {
	server := c.server
	server.mu.Lock()
	owner := server.openSetUps[m.Call]
	if owner == c {
		server.removeSetUp(c, m.Call)
	}
	server.mu.Unlock()
	if owner == nil && !server.Handler.Knows(m.Call) && !c.unknownReleases.Allow() {
		return c.noteUnusable(errUnknownReleases)
	}
	if owner == nil || owner == c {
		server.Handler.HangUp(m.Call)
		c.noteUsable()
	}
	_ = c.send(&sig.Message{Type: sig.ReleaseAck, Call: m.Call})
	server.callEnded(m.Call)
	if owner != nil && owner != c {
		return c.noteUnusable(errForeignRelease)
	}
	return nil
}

var (
	errDuplicateID = errors.New("two open set-ups with the same id on a connection")
	errIDInUse     = errors.New("id of a set-up that is open on another connection")
)

// handleSetUp passes a valid set-up to the server's Handler and refuses any other.
func (c *callerConn) handleSetUp(m *sig.Message, receivedAt time.Time) error {
	server := c.server
	setUp, err := server.Rules.parse(m, receivedAt)
	if err == nil {
		err = server.addSetUp(c, setUp.ID)
	}
	if err == nil {
		c.noteUsable()
		setUp.Source = c
		if err = server.Handler.Offer(setUp, c); err == nil {
			return nil
		}
		server.mu.Lock()
		server.removeSetUp(c, setUp.ID)
		server.mu.Unlock()
	}
	switch {
	case errors.Is(err, errDuplicateID):
		// It is impossible to tell which of the two an answer is for, so neither is passed on.
		return fmt.Errorf("%w: %w", sig.ErrMalformed, err)
	case errors.Is(err, core.ErrBusy):
		busy := sig.WithCause(sig.Release, m.Call, sig.CauseCongestion)
		_ = c.send(&busy)
		return nil
	}
	failed := sig.WithCause(sig.Release, m.Call, sig.CauseInvalidContents)
	_ = c.send(&failed)
	return c.noteUnusable(err)
}

// addSetUp registers an open set-up of a connection, or returns an error if the id is in use
// (errDuplicateID, errIDInUse) or a limit is reached (core.ErrBusy).
func (s *Server) addSetUp(c *callerConn, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch owner := s.openSetUps[id]; {
	case owner == c:
		return errDuplicateID
	case owner != nil:
		return errIDInUse
	case c.evicted, len(s.openSetUps) >= s.MaxOpenSetUps, len(c.openSetUps) >= s.MaxOpenSetUps-s.MaxOpenSetUps/reservedDivisor:
		return core.ErrBusy
	case !c.trusted && (len(c.openSetUps) >= maxUntrustedSetUps || s.untrustedSetUps >= max(1, s.MaxOpenSetUps/untrustedDivisor)):
		return core.ErrBusy
	}
	s.openSetUps[id], c.openSetUps[id] = c, true
	if !c.trusted {
		s.untrustedSetUps++
	}
	return nil
}

// removeSetUp removes an open set-up. It returns false if the set-up was not open on that
// connection. Must be called with s.mu held.
func (s *Server) removeSetUp(c *callerConn, id uint64) bool {
	if s.openSetUps[id] != c {
		return false
	}
	delete(s.openSetUps, id)
	delete(c.openSetUps, id)
	if !c.trusted {
		s.untrustedSetUps--
	}
	return true
}

// Answer sends the answer to a set-up. It implements core.Caller, as do Refuse, Fail and
// Release.
func (c *callerConn) Answer(id uint64, description []byte) error {
	err := c.answer(id, true, sig.Message{Type: sig.Answer, Call: id,
		Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
	if err == nil {
		c.markTrusted()
	}
	return err
}

// markTrusted records that a call was set up on the connection.
func (c *callerConn) markTrusted() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.trusted {
		c.trusted = true
		c.server.untrustedSetUps -= len(c.openSetUps)
	}
}

// Refuse refuses a call. The protocol has no parameter for the retry time.
func (c *callerConn) Refuse(id uint64, _ time.Duration) {
	_ = c.answer(id, false, sig.WithCause(sig.Release, id, sig.CauseCongestion))
}

// Fail releases a call that failed.
func (c *callerConn) Fail(id uint64) {
	_ = c.answer(id, false, sig.WithCause(sig.Release, id, sig.CauseTemporaryFailure))
}

var errNotOpen = errors.New("set-up is no longer open")

// answer sends the final answer to a set-up, or returns errNotOpen if its caller has cancelled
// it. With establish, the call is established from then on.
func (c *callerConn) answer(id uint64, establish bool, m sig.Message) error {
	server := c.server
	server.mu.Lock()
	open := server.removeSetUp(c, id)
	if open {
		c.answersInFlight++
	}
	if open && establish {
		server.established[id], c.established[id] = c, true // before the write, because the caller may hang up at once
	}
	server.mu.Unlock()
	if !open {
		return errNotOpen
	}
	err := c.send(&m)
	server.mu.Lock()
	defer server.mu.Unlock()
	c.answersInFlight--
	if err != nil {
		server.removeEstablished(id)
	}
	server.closeIfUnusedLocked(c)
	return err
}

// removeEstablished removes a call that ended, if it was established. Must be called with
// s.mu held.
func (s *Server) removeEstablished(id uint64) {
	c := s.established[id]
	if c == nil {
		return
	}
	delete(s.established, id)
	delete(c.established, id)
	s.closeIfUnusedLocked(c)
}

// callEnded records that a caller hung up a call or cancelled its set-up.
func (s *Server) callEnded(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEstablished(id)
}

// closeIfUnused calls closeIfUnusedLocked with s.mu held.
func (s *Server) closeIfUnused(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIfUnusedLocked(c)
}

// send writes a message, and closes the connection if that fails.
func (c *callerConn) send(m *sig.Message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := writeMessage(c.Conn, m, callerWriteTimeout)
	if err != nil {
		c.Close()
	}
	return err
}
