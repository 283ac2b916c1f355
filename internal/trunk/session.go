package trunk

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// replacedFor is how long a connection that another has replaced is read on for what the
// switch had said by then.
const replacedFor = 3 * time.Second

// challengeAfter is how long a connection must have been silent for a reset of it to say
// something of the switch: one in use is reset by faults of the network.
const challengeAfter = time.Second

// maxUnproven bounds the releases that are kept until something is received after them.
const maxUnproven = 1024

// session is one connection of a link, from the dial to its end.
type session struct {
	link    *Link
	conn    Conn
	writing sync.Mutex // one message at a time

	// Under the link's lock:
	open       map[uint64]bool  // set-ups out on it that have no answer
	unproven   []pendingRelease // releases written since something was received: they may be lost
	silence    *time.Timer      // ends the session; runs while a set-up waits for any word
	waiting    bool             // the timer runs
	heard      time.Time        // when something was received last, or it came up
	replaced   bool             // another session takes the set-ups
	replacedAt time.Time        // ... since then
	challenged bool             // it was silent by then: a reset in answer to its close tells of another peer
	why        string           // metrics label of its end, where this side ended it
}

func newSession(l *Link, conn Conn) *session {
	s := &session{link: l, conn: conn, open: map[uint64]bool{}, heard: time.Now()}
	s.silence = time.AfterFunc(time.Hour, s.silent)
	s.silence.Stop()
	return s
}

// end closes the connection; its reader does the rest. The first reason counts. The
// link's lock is held.
func (s *session) end(why string) {
	if s.why == "" {
		s.why = why
	}
	s.conn.Close()
}

// silent takes a session out of use on which a set-up went out and nothing at all came
// since: the connection was forgotten on its way, or the switch can't be reached.
func (s *session) silent() {
	s.link.mu.Lock()
	if !s.waiting {
		s.link.mu.Unlock()
		return
	}
	s.retire("connection to a switch is silent")
}

// retire takes a silent session out of use. It is kept open beside its successor. The
// link's lock is held, and let go.
func (s *session) retire(why string) {
	l := s.link
	l.log.Warn(why, "open", len(s.open), "standing", len(l.standing))
	open, releases := l.detach(s)
	out := s
	if !s.replaced {
		out, l.silent = l.silent, s
		l.renewLater()
	}
	if out != nil {
		out.end(metrics.CloseSilent)
	}
	l.detector.ConnectionSilent()
	now := time.Now()
	l.carryOut(l.detector.Check(now), nil, now)
	// Here too: a set-up is out until it is given up where it was sent, or the connection
	// is closed, and this one stays open.
	for _, id := range open {
		_ = s.write(nil, func() error { return s.conn.Release(id) })
	}
	l.releaseAll(releases)
	s.reset(open)
	l.up.EvidenceMissing()
}

// reset says that set-ups were reset with their connection.
func (s *session) reset(open []uint64) {
	for _, id := range open {
		s.link.up.Ended(id, core.End{Result: routing.Reset})
	}
}

// received notes that something came.
func (s *session) received() {
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	s.waiting = false
	s.silence.Stop()
	s.heard = time.Now()
	s.unproven = s.unproven[:0]
	l.received()
}

// sent notes that a set-up went out. The link's lock is held.
func (s *session) sent() {
	if !s.waiting {
		s.waiting = true
		s.silence.Reset(s.link.times.Silence * time.Duration(s.link.detector.SilenceTimeoutFactor()))
	}
}

// answered notes that a set-up is open no more. The link's lock is held.
func (s *session) answered(id uint64) {
	delete(s.open, id)
	s.closeReplaced()
}

// replace lets another session take the set-ups. The link's lock is held.
func (s *session) replace() {
	now := time.Now()
	s.replaced, s.replacedAt = true, now
	s.challenged = now.Sub(s.heard) >= challengeAfter
	s.closeReplaced()
}

// closeReplaced ends a replaced session on which no set-up is open: what the switch had
// said by then is still read. The link's lock is held.
func (s *session) closeReplaced() {
	if !s.replaced || len(s.open) > 0 || s.why != "" {
		return
	}
	s.why = metrics.CloseReplaced
	half, ok := s.conn.(HalfCloser)
	if !ok || half.CloseWrite() != nil {
		s.conn.Close()
		return
	}
	time.AfterFunc(replacedFor, func() { s.conn.Close() })
}

// read takes in what the switch says until the connection ends. Then the
// set-ups that were open on it are over. Any of them may have run, and its answer
// may be what was lost: the switch is told of their end on the next connection.
func (s *session) read() {
	l := s.link
	var err error
	for {
		var ev Event
		if ev, err = s.conn.Read(); err != nil {
			break
		}
		s.received()
		if ev.Warning != nil {
			l.log.Warn("message of a switch with something unknown", "error", ev.Warning)
		}
		s.take(ev)
	}
	if drainer, ok := s.conn.(Drainer); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		// Silent in the middle of a message: how it ends tells who comes up after it.
		l.mu.Lock()
		s.retire("connection to a switch is silent in a message")
		if err = drainer.Drain(); err == nil {
			err = io.EOF
		}
	}
	s.conn.Close()
	s.reset(l.ended(s, err))
	l.wakeKeeper()
}

// logEnd logs and counts why a session ended. The link's lock is held.
func (s *session) logEnd(err error) {
	l := s.link
	why := s.why
	switch {
	case why != "" || l.closed:
	case errors.Is(err, io.EOF):
		why = metrics.CloseByPeer
		l.log.Info("connection to a switch closed by it", "open", len(s.open), "standing", len(l.standing))
	case errors.Is(err, net.ErrClosed): // after a write that failed, which was logged
		why = metrics.CloseBroken
	default:
		why = metrics.CloseBroken
		l.log.Warn("connection to a switch broke", "error", err, "open", len(s.open), "standing", len(l.standing))
	}
	if why != "" {
		l.count.SwitchConnsClosed.WithLabelValues(why).Inc()
	}
}

// take acts on what the switch said. A lost reply is made good by its repeat.
func (s *session) take(ev Event) {
	l := s.link
	switch ev.Kind {
	case Answer:
		switch l.answered(s, ev.Call, ev.Description) {
		case core.Late:
			// The attempt was given up: what it set up is released, not passed on.
			l.log.Debug("late answer released", "call", callName(ev.Call))
			l.Release(ev.Call)
		case core.Copy, core.Unknown:
			// A release would end a call that stands, or one of somebody else.
			l.log.Debug("answer dropped: a copy, or of an unknown call", "call", callName(ev.Call))
		}
	case End:
		l.over(s, ev.Call)
		l.up.Ended(ev.Call, ev.End)
		_ = s.write(nil, func() error { return s.conn.AcknowledgeRelease(ev.Call) })
	case Group:
		l.up.Group(ev.Report)
	case Test:
		_ = s.write(nil, func() error { return s.conn.ReplyToTest(ev.Call) })
	}
}

// write sends one message whole, or closes the connection: its reader then
// ends what was open on it.
func (s *session) write(mayGo func() bool, send func() error) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if mayGo != nil && !mayGo() {
		return core.ErrNotSent
	}
	err := send()
	if errors.Is(err, core.ErrNotSent) {
		return err // this message can't be sent; the connection is sound
	}
	if err != nil {
		s.conn.Close()
		return fmt.Errorf("connection broke during a write: %w", err)
	}
	return nil
}
