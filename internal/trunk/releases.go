package trunk

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// pendingRelease is a release that the switch may not have received.
type pendingRelease struct {
	id      uint64
	endedAt time.Time // when the call or set-up ended
}

// maxPromptDelay is how soon after a call's end its release must be sent to count as prompt.
const maxPromptDelay = 50 * time.Millisecond

const (
	maxPendingReleases = 1024 // kept for a switch without a connection
	maxUndelivered     = 4096
	// undeliveredRetention is how long Link.undelivered keeps a call: longer than callers wait.
	undeliveredRetention = 2 * time.Minute
)

// flushReleases writes the pending releases to a new connection, before any set-up is sent on
// it, which may be of the same call. It also writes those that a silent current connection
// may have lost.
func (l *Link) flushReleases(conn Conn) error {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	if l.current != nil {
		l.recordUndelivered(l.current.unconfirmed)
		pending = append(pending, l.current.unconfirmed...)
		l.current.unconfirmed = nil
	}
	now := time.Now()
	maps.DeleteFunc(l.lateReleases, func(_ uint64, at time.Time) bool { return now.Sub(at) >= l.timeouts.ReleaseBackoff })
	for _, r := range pending {
		if now.Sub(r.endedAt) > maxPromptDelay && len(l.lateReleases) < maxPendingReleases {
			l.lateReleases[r.id] = now
		}
	}
	l.mu.Unlock()
	for i, r := range pending {
		if err := conn.Release(r.id); err != nil {
			conn.Close()
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range pending[i:] {
				l.addPending(r)
			}
			return fmt.Errorf("connection broke while pending releases were sent: %w", err)
		}
	}
	return nil
}

// recordUndelivered records the calls of messages that were written on a connection which is no
// longer used, and which the switch may read later. The lock is held.
func (l *Link) recordUndelivered(messages []pendingRelease) {
	now := time.Now()
	maps.DeleteFunc(l.undelivered, func(_ uint64, at time.Time) bool { return now.Sub(at) >= undeliveredRetention })
	for _, m := range messages {
		if len(l.undelivered) < maxUndelivered {
			l.undelivered[m.id] = now
		}
	}
}

// releaseAll sends releases on the current session, or first on the next one.
func (l *Link) releaseAll(releases []pendingRelease) {
	for _, r := range releases {
		l.release(r)
	}
}

// inReleaseBackoff reports whether a call's earlier attempt at the switch may have lasted
// until less than Timeouts.ReleaseBackoff ago: its release is not sent yet, may be lost, or
// was sent late. A release that is not sent or may be lost is dropped here, because sent
// later it would end the new attempt. The lock is held.
func (l *Link) inReleaseBackoff(current *session, id uint64) bool {
	drop := func(releases []pendingRelease) []pendingRelease {
		return slices.DeleteFunc(releases, func(r pendingRelease) bool { return r.id == id })
	}
	count := len(l.pending)
	l.pending = drop(l.pending)
	lost := len(l.pending) < count
	for s := range l.sessions {
		count := len(s.unconfirmed)
		s.unconfirmed = drop(s.unconfirmed)
		lost = lost || s != current && len(s.unconfirmed) < count
	}
	now := time.Now()
	if lost {
		l.lateReleases[id] = now
	}
	at, late := l.lateReleases[id]
	return late && now.Sub(at) < l.timeouts.ReleaseBackoff
}

// CancelSetUp notifies the switch that a set-up is abandoned.
func (l *Link) CancelSetUp(id uint64) { l.Release(id) }

// Release notifies the switch that a call has ended. Without a connection the release is sent
// first on the next one. If maxPendingReleases are already waiting, it is dropped, and the
// switch is notified when it next sends a message about the call.
func (l *Link) Release(id uint64) { l.release(pendingRelease{id, time.Now()}) }

// release sends a release or keeps it as pending. The release of an outstanding set-up goes
// to the session on which the set-up was sent.
func (l *Link) release(r pendingRelease) {
	l.mu.Lock()
	target := l.current
	for s := range l.sessions {
		if s.isOutstanding(r.id) {
			target = s
		}
	}
	l.detector.CallEnded(r.id)
	switch {
	case target == nil:
		l.addPending(r)
	case len(target.unconfirmed) < maxUnconfirmed:
		target.unconfirmed = append(target.unconfirmed, r)
	}
	l.mu.Unlock()
	if target == nil {
		return
	}
	if err := target.write(nil, func() error { return target.conn.Release(r.id) }); err != nil {
		l.log.Debug("release not sent", "call", formatCallID(r.id), "error", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	target.setUpDone(r.id) // after the write: a replaced session is closed with its last set-up
}

// addPending keeps a release for the next connection. The lock is held.
func (l *Link) addPending(r pendingRelease) {
	if len(l.pending) < maxPendingReleases {
		l.pending = append(l.pending, r)
		if l.exiting {
			l.wakeMaintain()
		}
	}
}
