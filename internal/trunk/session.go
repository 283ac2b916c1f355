package trunk

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

const (
	// replacedReadPeriod is how long a replaced connection is read for what the switch had sent
	// by then.
	replacedReadPeriod = 3 * time.Second
	// silentReadPeriod replaces it for a connection that was silent when it was replaced: what the
	// switch sends on it may arrive only when the silence ends.
	silentReadPeriod = 30 * time.Second
	// maxReplacedSessions limits the connections that are read after they were replaced.
	maxReplacedSessions = 3
)

// minSilentPeriod is how long a connection must have been silent for its reset to be
// evidence about the switch: a connection in use is also reset by network faults.
const minSilentPeriod = time.Second

// maxUnconfirmed limits the releases that are kept until something is received after them.
const maxUnconfirmed = 1024

// session is one connection of a link, from the dial to its end.
type session struct {
	link *Link
	conn Conn
	// dialedAt is when the dial began. The calls established before that are no newer than what the
	// switch reports on the connection.
	dialedAt time.Time
	writeMu  sync.Mutex // held while a message is written

	// Guarded by the link's lock:
	outstanding        map[uint64]int   // set-ups sent on the connection that are not answered, and their circuits
	unconfirmed        []pendingRelease // releases written since something was last received: they may be lost
	silenceTimer       *time.Timer      // takes the session out of use; runs while a set-up waits for any message
	timerRunning       bool
	lastReceived       time.Time // when something was last received, or the connection came up
	replaced           bool      // another session takes the set-ups
	replacedAt         time.Time
	silentWhenReplaced bool
	resetIsEvidence    bool        // a reset in answer to its close raises the suspicion that the switch was replaced
	halfClosed         atomic.Bool // nothing more can be written; not guarded
	closeReason        string      // metrics label of its end, if this side ended it
}

func newSession(l *Link, conn Conn, dialedAt time.Time) *session {
	s := &session{link: l, conn: conn, dialedAt: dialedAt, outstanding: map[uint64]int{}, lastReceived: time.Now()}
	s.silenceTimer = time.AfterFunc(time.Hour, s.silenceExpired)
	s.silenceTimer.Stop()
	return s
}

// close closes the connection; its reader then ends the session. The first reason is the
// one recorded. The link's lock is held.
func (s *session) close(reason string) {
	if s.closeReason == "" {
		s.closeReason = reason
	}
	s.conn.Close()
}

// silenceExpired takes a session out of use if nothing at all was received on it since a
// set-up was sent: the network has dropped the connection without an error, or the switch
// is unreachable.
func (s *session) silenceExpired() {
	s.link.mu.Lock()
	if !s.timerRunning {
		s.link.mu.Unlock()
		return
	}
	s.markSilent("connection to switch is silent")
}

// messageIncomplete takes the session out of use, if it is in use, because the switch fell silent in
// the middle of a message.
func (s *session) messageIncomplete() {
	s.link.mu.Lock()
	if s.link.current != s {
		s.link.mu.Unlock()
		return
	}
	s.markSilent("connection to switch is silent in the middle of a message")
}

// markSilent takes a silent session out of use and logs the message. The connection stays
// open beside its successor. The link's lock is held on entry; markSilent releases it.
func (s *session) markSilent(message string) {
	link := s.link
	link.log.Warn(message, "open", len(s.outstanding), "standing", link.detector.Established())
	outstanding, releases := link.detach(s)
	link.recordUndelivered(releases)
	superseded := s
	if !s.replaced {
		superseded, link.silentSession = link.silentSession, s
		link.scheduleRenewal()
	}
	if superseded != nil {
		superseded.close(metrics.CloseSilent)
	}
	link.detector.ConnectionSilent()
	link.apply(link.detector.Check(time.Now()), nil)
	// The releases are also written on this connection: a set-up stays in flight until it is
	// released where it was sent or its connection is closed, and this one stays open.
	for _, id := range outstanding {
		_ = s.write(nil, func() error { return s.conn.Release(id) })
	}
	link.releaseAll(releases)
	s.reportReset(outstanding)
	link.handler.SwitchSilent()
}

// reportReset reports set-ups as reset with their connection.
func (s *session) reportReset(outstanding []uint64) {
	for _, id := range outstanding {
		s.link.handler.Ended(id, core.Outcome{Result: routing.Reset})
	}
}

// received records that a message was received.
func (s *session) received() {
	link := s.link
	link.mu.Lock()
	defer link.mu.Unlock()
	s.timerRunning = false
	s.silenceTimer.Stop()
	s.lastReceived = time.Now()
	s.resetIsEvidence = false // the switch knew the connection after it was replaced
	s.unconfirmed = s.unconfirmed[:0]
	link.received()
}

// setUpSent starts the silence timer after a set-up was sent. The link's lock is held.
func (s *session) setUpSent() {
	if !s.timerRunning {
		s.timerRunning = true
		s.silenceTimer.Reset(s.link.timeouts.Silence * time.Duration(s.link.detector.SilenceTimeoutFactor()))
	}
}

// isOutstanding reports whether a set-up was sent on the session and not answered. The link's lock is
// held.
func (s *session) isOutstanding(id uint64) bool {
	_, outstanding := s.outstanding[id]
	return outstanding
}

// setUpDone records that a set-up is no longer outstanding. The link's lock is held.
func (s *session) setUpDone(id uint64) {
	delete(s.outstanding, id)
	s.closeIfReplaced()
}

// replace records that another session takes the set-ups. The link's lock is held.
func (s *session) replace() {
	now := time.Now()
	s.replaced, s.replacedAt = true, now
	s.silentWhenReplaced = now.Sub(s.lastReceived) >= minSilentPeriod
	s.resetIsEvidence = s.silentWhenReplaced
	s.closeIfReplaced()
	s.link.limitReplacedSessions()
}

// closeIfReplaced closes the sending side of a replaced session without outstanding set-ups. It is
// read on for some time: the switch may have sent something before it notices. The link's lock is
// held.
func (s *session) closeIfReplaced() {
	if !s.replaced || len(s.outstanding) > 0 || s.closeReason != "" {
		return
	}
	s.closeReason = metrics.CloseReplaced
	s.halfClosed.Store(true)
	half, ok := s.conn.(HalfCloser)
	if !ok || half.CloseWrite() != nil {
		s.conn.Close()
		return
	}
	time.AfterFunc(replacedReadPeriod, s.replacedReadPeriodOver)
}

// replacedReadPeriodOver closes a replaced session, or if it was silent, some time later.
func (s *session) replacedReadPeriodOver() {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.resetIsEvidence = false // a later reset may be a fault of the network
	if !s.silentWhenReplaced {
		s.conn.Close()
		return
	}
	time.AfterFunc(silentReadPeriod-replacedReadPeriod, func() { s.conn.Close() })
}

// read handles messages from the switch until the connection ends, and then reports the
// outstanding set-ups as reset. Any of them may have been answered and the answer lost, so
// the switch is sent their releases on the next connection.
func (s *session) read() {
	link := s.link
	var err error
	for {
		var ev Event
		ev, err = s.conn.Read()
		if errors.Is(err, ErrIncomplete) {
			s.messageIncomplete()
			continue // what follows is still good if the rest arrives
		}
		if err != nil {
			break
		}
		s.received()
		if ev.Warning != nil {
			link.log.Warn("unknown element in message from switch", "error", ev.Warning)
		}
		s.handle(ev)
	}
	if drainer, ok := s.conn.(Drainer); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of a message that is too long to be continued. The session stays open: how
		// it ends shows whether the next connection reaches the same peer.
		link.mu.Lock()
		s.markSilent("connection to switch is silent in the middle of a message")
		if err = drainer.Drain(); err == nil {
			err = io.EOF
		}
	}
	s.conn.Close()
	s.reportReset(link.sessionEnded(s, err))
	link.wakeMaintain()
}

// logEnd logs and counts why a session ended. The link's lock is held.
func (s *session) logEnd(err error) {
	link := s.link
	reason := s.closeReason
	switch {
	case reason != "" || link.closed:
	case errors.Is(err, io.EOF):
		reason = metrics.CloseByPeer
		link.log.Info("connection closed by switch", "open", len(s.outstanding), "standing", link.detector.Established())
	case errors.Is(err, net.ErrClosed): // after a failed write, which was logged
		reason = metrics.CloseBroken
	default:
		reason = metrics.CloseBroken
		link.log.Warn("connection to switch broke", "error", err, "open", len(s.outstanding), "standing", link.detector.Established())
	}
	if reason != "" {
		link.metrics.SwitchConnsClosed.WithLabelValues(reason).Inc()
	}
}

// handle processes a message from the switch. A lost reply is sent again when the
// switch repeats its message.
func (s *session) handle(ev Event) {
	link := s.link
	switch ev.Kind {
	case Answer:
		switch link.answered(s, ev.Call, ev.Description) {
		case core.Late:
			// The attempt was abandoned: the call is released, and the answer not passed on.
			link.log.Debug("call released after late answer", "call", formatCallID(ev.Call))
			link.Release(ev.Call)
		case core.Duplicate, core.UnknownCall:
			// A release would end an established call, or another caller's call.
			link.log.Debug("answer dropped: duplicate, or of an unknown call", "call", formatCallID(ev.Call))
		}
	case End:
		link.callEnded(s, ev.Call)
		link.handler.Ended(ev.Call, ev.End)
		_ = s.write(nil, func() error { return s.conn.AcknowledgeRelease(ev.Call) })
	case Group:
		link.groupReported(s, ev.Report)
		link.handler.GroupReported(ev.Report)
	case Test:
		_ = s.write(nil, func() error { return s.conn.ReplyToTest(ev.Call) })
	}
}

var errHalfClosed = fmt.Errorf("%w: the connection is no longer written to", core.ErrNotSent)

// write sends one whole message. On an error it closes the connection, and the reader then
// ends what was outstanding on it. If maySend is set and returns false, nothing is written and
// the error is core.ErrNotSent.
func (s *session) write(maySend func() bool, send func() error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.halfClosed.Load() {
		return errHalfClosed // the session is still read
	}
	if maySend != nil && !maySend() {
		return core.ErrNotSent
	}
	err := send()
	if errors.Is(err, core.ErrNotSent) {
		return err // only this message can't be sent; the connection is usable
	}
	if err != nil {
		s.conn.Close()
		return fmt.Errorf("connection broke during a write: %w", err)
	}
	return nil
}
