package trunk

import (
	"errors"
	"net"
	"syscall"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
)

// sessionEnded removes a session that has ended, and returns its outstanding set-ups.
func (l *Link) sessionEnded(s *session, err error) (outstanding []uint64) {
	l.mu.Lock()
	s.logEnd(err)
	delete(l.sessions, s)
	wasSilent := l.silentSession == s
	if wasSilent {
		l.silentSession = nil
	}
	outstanding, releases := l.detach(s)
	if s.closeReason == metrics.CloseSilent || errors.Is(err, net.ErrClosed) {
		l.recordUndelivered(releases) // what was written may still be on its way
	}
	if !s.replaced {
		l.lastBreak = time.Now()
		l.scheduleRenewal()
	}
	if l.removed && !l.closed && l.current == nil {
		defer l.handler.CallsEnded(core.EndRemoved, time.Now()) // nothing more will arrive
	}
	switch reset := errors.Is(err, syscall.ECONNRESET); {
	case reset && s.resetIsEvidence:
		l.apply(l.detector.ReplacedConnectionReset(time.Now(), s.lastReceived, s.replacedAt), err)
	case reset && !s.replaced:
		l.apply(l.detector.ConnectionReset(time.Now(), wasSilent), err)
	default:
		l.mu.Unlock()
	}
	l.releaseAll(releases)
	return outstanding
}

// limitReplacedSessions closes the oldest of the replaced sessions that are still read, if there
// are more than maxReplacedSessions. The lock is held.
func (l *Link) limitReplacedSessions() {
	var oldest *session
	count := 0
	for s := range l.sessions {
		if s.closeReason != metrics.CloseReplaced {
			continue
		}
		count++
		if oldest == nil || s.replacedAt.Before(oldest.replacedAt) {
			oldest = s
		}
	}
	if count > maxReplacedSessions {
		oldest.conn.Close()
	}
}

// mayHaveCalls reports whether the switch may still send releases: calls are established
// there, or may be since before this proxy started. The lock is held.
func (l *Link) mayHaveCalls() bool {
	return l.detector.Established() > 0 || time.Since(l.created) < formerCallsPeriod
}

// scheduleRenewal replaces the current connection after renewalDelay, or without one the
// next connection that comes up, the same time after that. The lock is held.
func (l *Link) scheduleRenewal() {
	switch {
	case !l.mayHaveCalls():
	case l.current == nil:
		l.renewNext = true
	default:
		time.AfterFunc(renewalDelay, l.renewConnection)
	}
}

// renewConnection opens another connection that replaces the current one.
func (l *Link) renewConnection() {
	l.mu.Lock()
	l.renew = !l.closed && l.mayHaveCalls()
	l.mu.Unlock()
	l.wakeMaintain()
}

// detach takes a session out of use. It returns the session's outstanding set-ups, and the
// releases that the switch must be sent on another session. The lock is held.
func (l *Link) detach(s *session) (outstanding []uint64, releases []pendingRelease) {
	s.timerRunning = false
	s.silenceTimer.Stop()
	if l.current == s {
		l.current = nil
	}
	now := time.Now()
	for id := range s.outstanding {
		outstanding = append(outstanding, id)
		releases = append(releases, pendingRelease{id, now})
	}
	releases = append(releases, s.unconfirmed...)
	s.outstanding, s.unconfirmed = map[uint64]int{}, nil
	return outstanding, releases
}
