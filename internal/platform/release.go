package platform

import (
	"context"
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

const (
	maxPendingReleases          = 4096
	pendingReleaseTimeout       = 8 * time.Second        // a release that gets no connection within this time is lost
	acknowledgementTimeout      = 2 * time.Second        // how long a release is kept for its acknowledgement
	releaseRetryInterval        = 250 * time.Millisecond // until an unacknowledged release is first sent again; doubles each time
	acknowledgementPollInterval = 10 * time.Millisecond
)

// pendingRelease is the release of a call that ended, until it is acknowledged. It may be
// sent on any connection; the one on which the call was set up is preferred.
type pendingRelease struct {
	id            uint64
	cut           bool
	deadline      time.Time
	retryInterval time.Duration
	sentOn        *callerConn // connection on which it was last sent; nil: none
	sending       bool        // being written
	timer         *time.Timer
}

// Release releases an established call that ended; cut says that it was cut off.
func (c *callerConn) Release(id uint64, cut bool) {
	server := c.server
	server.mu.Lock()
	send := server.startRelease(id, cut, c)
	server.removeEstablished(id)
	server.mu.Unlock()
	send()
}

// ForwardUnknownRelease forwards the release of an unknown call to a caller. It never blocks:
// it is called by the readers of switch connections, which a slow caller must not delay.
func (s *Server) ForwardUnknownRelease(id uint64, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if send := s.startRelease(id, cut, nil); !s.closed {
		s.wg.Go(send)
	}
}

// FormerCaller returns the caller of calls that a former process of this proxy answered. Their ends are
// sent to callers as ForwardUnknownRelease does.
func (s *Server) FormerCaller() core.Caller { return formerCaller{s} }

// formerCaller implements core.Caller for calls that have their final answer already.
type formerCaller struct{ server *Server }

func (c formerCaller) Release(id uint64, cut bool) { c.server.ForwardUnknownRelease(id, cut) }
func (formerCaller) Answer(uint64, []byte) error   { return errNotOpen }
func (formerCaller) Refuse(uint64, time.Duration)  {}
func (formerCaller) Fail(uint64)                   {}

// startRelease registers a release and returns a function that sends it, on the preferred
// connection if possible. The release is sent again on another connection if callers that
// acknowledge releases do not acknowledge it: a release that crosses a close is lost without
// an error, and a connection that belongs to no real caller, such as that of a faulty client or
// of the readiness test after a start, discards it. Must be called with s.mu held; the returned function
// without.
func (s *Server) startRelease(id uint64, cut bool, preferred *callerConn) (send func()) {
	if s.closed || s.pendingReleases[id] != nil {
		return func() {}
	}
	if len(s.pendingReleases) >= maxPendingReleases {
		s.Metrics.Releases.WithLabelValues(metrics.ReleaseNoRoom).Inc()
		s.Log.Error("release lost: too many pending releases", "call", formatCallID(id))
		return func() {}
	}
	r := &pendingRelease{id: id, cut: cut, deadline: time.Now().Add(pendingReleaseTimeout), retryInterval: releaseRetryInterval}
	s.pendingReleases[id] = r
	r.timer = time.AfterFunc(pendingReleaseTimeout, func() { s.handleTimeout(r) })
	if preferred == nil || !s.conns[preferred] || preferred.closing {
		preferred = s.pickConn(nil)
	}
	return s.sendOn(r, preferred)
}

// sendOn returns a function that sends a release on c. If c is nil, the release waits for the
// next connection that opens. Must be called with s.mu held; the returned function without.
func (s *Server) sendOn(r *pendingRelease, c *callerConn) (send func()) {
	if c == nil {
		r.sentOn = nil
		r.timer.Reset(time.Until(r.deadline))
		return func() {}
	}
	r.sentOn, r.sending = c, true
	return func() {
		m := releaseMessage(r.id, r.cut)
		err := c.send(&m)
		s.Metrics.Releases.WithLabelValues(metrics.ReleaseSent).Inc()
		s.mu.Lock()
		defer s.mu.Unlock()
		r.sending = false
		defer s.closeIfUnusedLocked(c)
		if s.pendingReleases[r.id] != r {
			return // acknowledged already
		}
		if other := s.pickConn(c); err != nil && other != c {
			s.resend(r)
			return
		} else if err != nil {
			// The reader of c has not noticed the failure yet, and there is no other connection:
			// retrying at once is useless.
			r.timer.Reset(releaseRetryInterval)
			return
		}
		wait := acknowledgementTimeout
		if s.callersAcknowledge || !c.trusted {
			wait, r.retryInterval = r.retryInterval, 2*r.retryInterval
		}
		r.timer.Reset(min(wait, time.Until(r.deadline)))
	}
}

// resend sends a release on another connection if there is one, or abandons it after its
// deadline. Must be called with s.mu held.
func (s *Server) resend(r *pendingRelease) {
	if s.closed || !time.Now().Before(r.deadline) {
		s.abandonRelease(r)
		return
	}
	s.Metrics.Releases.WithLabelValues(metrics.ReleaseRepeated).Inc()
	s.wg.Go(s.sendOn(r, s.pickConn(r.sentOn)))
}

// handleTimeout runs when a release's timer fires.
func (s *Server) handleTimeout(r *pendingRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.pendingReleases[r.id] != r || r.sending:
	case r.sentOn != nil && r.sentOn.trusted && !s.callersAcknowledge:
		s.removeRelease(r) // these callers acknowledge no releases
	default:
		s.resend(r)
	}
}

// removeRelease removes a release that needs no further action. Must be called with s.mu held.
func (s *Server) removeRelease(r *pendingRelease) {
	delete(s.pendingReleases, r.id)
	r.timer.Stop()
	if r.sentOn != nil {
		s.closeIfUnusedLocked(r.sentOn)
	}
}

// abandonRelease removes and counts a release that was not acknowledged. Must be called with
// s.mu held.
func (s *Server) abandonRelease(r *pendingRelease) {
	s.removeRelease(r)
	switch {
	case s.closed:
	case r.sentOn == nil:
		s.Metrics.Releases.WithLabelValues(metrics.ReleaseNoConnection).Inc()
		s.Log.Error("release lost: no connection from callers", "call", formatCallID(r.id))
	default:
		s.Metrics.Releases.WithLabelValues(metrics.ReleaseUnacknowledged).Inc()
		s.Log.Warn("release not acknowledged", "call", formatCallID(r.id))
	}
}

// handleAcknowledgement processes an acknowledgement received on c. It returns false if no
// release of the call is pending.
func (s *Server) handleAcknowledgement(c *callerConn, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.pendingReleases[id]
	if r == nil {
		return false
	}
	s.callersAcknowledge, c.acknowledges = true, true
	s.Metrics.Releases.WithLabelValues(metrics.ReleaseAcknowledged).Inc()
	s.removeRelease(r)
	return true
}

// resendAfterClose resends the releases that a closed connection may have lost, if its caller
// acknowledges releases.
func (s *Server) resendAfterClose(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.pendingReleases {
		if r.sentOn == c && !r.sending && c.acknowledges {
			s.resend(r)
		}
	}
}

// WaitForReleases waits until no release is being written and, if callers acknowledge
// releases, none is pending. It returns early if the context is cancelled.
func (s *Server) WaitForReleases(ctx context.Context) {
	ticker := time.NewTicker(acknowledgementPollInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		wait := s.callersAcknowledge && len(s.pendingReleases) > 0
		for _, r := range s.pendingReleases {
			wait = wait || r.sending
		}
		s.mu.Unlock()
		if !wait {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendUnsent sends the releases that wait for a connection. Must be called with s.mu held.
func (s *Server) sendUnsent() {
	for _, r := range s.pendingReleases {
		if r.sentOn == nil && !r.sending {
			s.wg.Go(s.sendOn(r, s.pickConn(nil)))
		}
	}
}

// pickConn returns a connection for a release, or nil if there is none. It returns exclude only
// if there is no other. It prefers connections that acknowledged a release, then trusted ones,
// then ones on which a usable message was received, and among equals the one that was used last.
// Must be called with s.mu held.
func (s *Server) pickConn(exclude *callerConn) *callerConn {
	rank := func(c *callerConn) int {
		switch {
		case c == exclude:
			return 0
		case c.acknowledges:
			return 4
		case c.trusted:
			return 3
		case c.usableSeen:
			return 2
		}
		return 1
	}
	var best *callerConn
	bestRank := -1
	for c := range s.conns {
		if c.closing {
			continue
		}
		if r := rank(c); r > bestRank || r == bestRank && c.lastUsable.After(best.lastUsable) {
			best, bestRank = c, r
		}
	}
	return best
}

// releaseMessage returns the release of a call; cut says that it was cut off.
func releaseMessage(id uint64, cut bool) sig.Message {
	cause := sig.CauseNormal
	if cut {
		cause = sig.CauseTemporaryFailure
	}
	return sig.WithCause(sig.Release, id, cause)
}

// formatCallID formats the id of a call for the log.
func formatCallID(id uint64) string { return fmt.Sprintf("%016x", id) }
