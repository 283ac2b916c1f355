package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

// conn is one connection from callers.
type conn struct {
	front *Server
	net.Conn
	writing sync.Mutex // one message at a time
	born    time.Time

	// Under front.mu:
	open         map[uint64]bool // set-ups taken here and not answered
	answering    int             // answers being written
	standing     map[uint64]bool // calls that were answered here and are not over
	asked        bool            // something usable came
	trusted      bool            // a call was set up for it
	acknowledges bool            // it acknowledged a release
	awaiting     bool            // its reader waits for a message to begin
	closing      bool            // to be closed once what was written to it is answered
	closeBy      time.Time       // ... at this time at the latest
	evicted      bool            // closed to make room
	bad          int             // messages that asked for nothing usable, since a usable one
	last         time.Time       // when something usable came, or it began
}

func newConn(f *Server, nc net.Conn, at time.Time) *conn {
	return &conn{front: f, Conn: nc, born: at, last: at, open: map[uint64]bool{}, standing: map[uint64]bool{}}
}

// read takes in messages until the connection ends. The set-ups still open on it
// are given up then; a caller that sent what can't be read is told so.
func (c *conn) read() {
	f := c.front
	in := bufio.NewReaderSize(c, readBuffer)
	var err error
	for err == nil {
		var m sig.Message
		if err = c.await(in); err == nil {
			m, err = finish(c.Conn, in, c.messageTimeout())
		}
		if err == nil {
			err = c.take(&m, time.Now())
		}
	}
	f.mu.Lock()
	why := c.closedWhy(err)
	f.Metrics.CallerConnsClosed.WithLabelValues(why).Inc()
	if why == metrics.CallerBroken || why == metrics.CallerMalformed {
		f.Log.Warn("connection from a caller broke", "addr", c.RemoteAddr(), "error", err, "open", len(c.open))
	}
	delete(f.conns, c)
	c.closing = true // no release is sent here any more
	for id := range c.standing {
		delete(f.stands, id)
	}
	open := c.open
	c.open = map[uint64]bool{}
	for id := range open {
		f.disown(c, id)
	}
	f.mu.Unlock()
	for id := range open {
		f.Handler.HangUp(id)
		if errors.Is(err, sig.ErrMalformed) {
			failed := sig.WithCause(sig.Release, id, sig.CauseProtocolError)
			_ = c.send(&failed)
		}
	}
	c.Close()
	f.sendElsewhere(c)
}

// messageTimeout is how long a message that has begun may take.
func (c *conn) messageTimeout() time.Duration {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.closing {
		return min(c.front.rest, time.Until(c.closeBy))
	}
	return c.front.rest
}

var errSilent = errors.New("silent for too long")

// closedWhy is the metrics label of a connection's end. The front's lock is held.
func (c *conn) closedWhy(err error) string {
	switch {
	case c.evicted:
		return metrics.CallerEvicted
	case errors.Is(err, errClosedHere):
		return metrics.CallerDrained
	case errors.Is(err, errSilent):
		return metrics.CallerSilent
	case errors.Is(err, sig.ErrMalformed):
		return metrics.CallerMalformed
	case errors.Is(err, io.EOF):
		return metrics.CallerClosed
	}
	return metrics.CallerBroken
}

func (c *conn) hasAsked() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.asked
}

// hasOpen says whether a set-up that came on the connection waits for its answer.
func (c *conn) hasOpen() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return len(c.open) > 0
}

// usable notes that something usable came.
func (c *conn) usable() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.asked, c.bad, c.last = true, 0, time.Now()
}

// unusable notes that nothing usable came; an error ends the connection. One on
// which calls were set up goes on: it carries those of others too.
func (c *conn) unusable(why error) error {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.bad++
	if c.bad == 1 {
		c.front.Log.Warn("message of a caller that can't be used", "addr", c.RemoteAddr(), "error", why)
	}
	if c.bad >= untrustedBad && !c.trusted {
		return fmt.Errorf("%w: %d that can't be used, the last: %w", sig.ErrMalformed, c.bad, why)
	}
	return nil
}

// take acts on one message of a caller, read whole at the given time. An error
// ends the connection.
func (c *conn) take(m *sig.Message, at time.Time) error {
	f := c.front
	defer f.answeredHere(c)
	switch m.Type {
	case sig.SetUp:
		return c.setUp(m, at)
	case sig.Release:
		f.mu.Lock()
		owner := f.owner[m.Call]
		if owner == c {
			f.disown(c, m.Call)
		}
		f.mu.Unlock()
		if owner == nil || owner == c {
			f.Handler.HangUp(m.Call) // what stands may be hung up on any connection
			c.usable()
		}
		_ = c.send(&sig.Message{Type: sig.ReleaseAck, Call: m.Call})
		f.hungUp(m.Call)
		if owner != nil && owner != c {
			return c.unusable(errors.New("a release of a set-up that is open elsewhere"))
		}
	case sig.ReleaseAck:
		if f.acknowledged(c, m.Call) {
			c.usable()
		}
	case sig.Test:
		passed := sig.WithCause(sig.TestResult, m.Call, 1)
		_ = c.send(&passed)
		c.usable()
	case sig.Progress:
	default:
		return fmt.Errorf("%w: type %d of a caller", sig.ErrMalformed, m.Type)
	}
	return nil
}

var (
	errTwice = errors.New("two set-ups under one id")
	errTaken = errors.New("the id of an open set-up")
)

// setUp takes a set-up in, or answers it at once.
func (c *conn) setUp(m *sig.Message, at time.Time) error {
	f := c.front
	s, err := f.Rules.setUp(m, at)
	if err == nil {
		err = f.own(c, s.ID)
	}
	if err == nil {
		c.usable()
		if err = f.Handler.Offer(s, c); err == nil {
			return nil
		}
		f.mu.Lock()
		f.disown(c, s.ID)
		f.mu.Unlock()
	}
	switch {
	case errors.Is(err, errTwice):
		// Which of the two an answer is for can't be told: neither is passed on.
		return fmt.Errorf("%w: %w", sig.ErrMalformed, err)
	case errors.Is(err, core.ErrBusy):
		busy := sig.WithCause(sig.Release, m.Call, sig.CauseCongestion)
		_ = c.send(&busy)
		return nil
	}
	failed := sig.WithCause(sig.Release, m.Call, sig.CauseInvalidContents)
	_ = c.send(&failed)
	return c.unusable(err)
}

// own notes that a set-up is open on a connection, or says why it can't be.
func (f *Server) own(c *conn, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch owner := f.owner[id]; {
	case owner == c:
		return errTwice
	case owner != nil:
		return errTaken
	case c.evicted, len(f.owner) >= f.MaxOpenSetUps:
		return core.ErrBusy
	case !c.trusted && (len(c.open) >= untrustedOpen || f.doubtful >= max(1, f.MaxOpenSetUps/untrustedPart)):
		return core.ErrBusy
	}
	f.owner[id], c.open[id] = c, true
	if !c.trusted {
		f.doubtful++
	}
	return nil
}

// disown notes that a set-up is not open any more; false if it was not open on
// that connection. The lock is held.
func (f *Server) disown(c *conn, id uint64) bool {
	if f.owner[id] != c {
		return false
	}
	delete(f.owner, id)
	delete(c.open, id)
	if !c.trusted {
		f.doubtful--
	}
	return true
}

// Answer implements core.Caller, as do Refuse, Fail and Release.
func (c *conn) Answer(id uint64, description []byte) error {
	err := c.answer(id, true, sig.Message{Type: sig.Answer, Call: id,
		Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
	if err == nil {
		c.trust()
	}
	return err
}

// trust notes that a call was set up for the connection.
func (c *conn) trust() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if !c.trusted {
		c.trusted = true
		c.front.doubtful -= len(c.open)
	}
}

// Refuse turns a call away. The protocol has no word for when to come back.
func (c *conn) Refuse(id uint64, _ time.Duration) {
	_ = c.answer(id, false, sig.WithCause(sig.Release, id, sig.CauseCongestion))
}

// Fail says that a call failed.
func (c *conn) Fail(id uint64) {
	_ = c.answer(id, false, sig.WithCause(sig.Release, id, sig.CauseTemporaryFailure))
}

var errGone = errors.New("the set-up is not open any more")

// answer gives a set-up its final answer, unless it was given up. With stands, the call
// stands from then on.
func (c *conn) answer(id uint64, stands bool, m sig.Message) error {
	f := c.front
	f.mu.Lock()
	open := f.disown(c, id)
	if open {
		c.answering++
	}
	if open && stands {
		f.stands[id], c.standing[id] = c, true // before the write: it may be hung up at once
	}
	f.mu.Unlock()
	if !open {
		return errGone
	}
	err := c.send(&m)
	f.mu.Lock()
	defer f.mu.Unlock()
	c.answering--
	if err != nil {
		f.noLongerStands(id)
	}
	f.closeIfDone(c)
	return err
}

// noLongerStands notes that a call that stood is over. The lock is held.
func (f *Server) noLongerStands(id uint64) {
	c := f.stands[id]
	if c == nil {
		return
	}
	delete(f.stands, id)
	delete(c.standing, id)
	f.closeIfDone(c)
}

// hungUp notes that a caller ended a call, or gave its set-up up.
func (f *Server) hungUp(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noLongerStands(id)
}

// answeredHere closes a connection of a front that drains if nothing is left on it.
func (f *Server) answeredHere(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeIfDone(c)
}

// send writes one message whole, or closes the connection.
func (c *conn) send(m *sig.Message) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	err := write(c.Conn, m, callerWrite)
	if err != nil {
		c.Close()
	}
	return err
}
