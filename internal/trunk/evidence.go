package trunk

import (
	"time"

	"violetspan.example/violetspan/decide/liveness"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// recordProbe passes the result of a probe to the detector. A probe that succeeded is a dial that began
// at the given time.
func (l *Link) recordProbe(err error, dialedAt time.Time) {
	l.mu.Lock()
	var d liveness.Decision
	current := l.current
	now := time.Now()
	switch {
	case err == nil:
		d = l.detector.Connected(now, dialedAt)
	case isRefused(err):
		d = l.detector.ConnectionRefused(now, current != nil)
		if d.State == liveness.ProcessGone {
			l.pending = nil // the process that held these calls has exited
		}
	case isUnanswered(err):
		l.detector.ProbeFailed()
		d = l.detector.Check(now)
		if current == nil {
			l.scheduleRenewal() // the connection may come up late, and messages on it be lost
		}
	default:
		l.mu.Unlock()
		return // an error of the local machine is no evidence about the switch
	}
	id, anyCall := l.detector.AnyCall()
	silent := l.detector.ProbeFailing() || d.Ended != liveness.NotEnded
	l.apply(d, err)
	if silent {
		l.handler.SwitchSilent()
	}
	if isRefused(err) && current != nil && anyCall {
		// The switch drains, or its process exited during a network outage and the reset was
		// lost. A message without effect provokes another reset.
		_ = current.write(nil, func() error { return current.conn.AcknowledgeRelease(id) })
	}
}

// recordPing passes the result of a ping to the detector.
func (l *Link) recordPing(err error) {
	if err != nil {
		l.recordProbe(err, time.Time{})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received()
}

// received records that the switch sent something. The lock is held.
func (l *Link) received() {
	if l.detector.Received(time.Now()) {
		l.scheduleRenewal() // messages sent meanwhile may have gone to connections closed on this side
	}
	l.probe = false
	l.setState(liveness.Alive)
}

// check runs the detector's check when checkTimer fires.
func (l *Link) check() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.apply(l.detector.Check(time.Now()), nil)
}

// apply carries out a decision of the detector; cause is the error that led to it, if any. The lock is
// held on entry; apply releases it.
func (l *Link) apply(d liveness.Decision, cause error) {
	before := d.EstablishedBefore
	if before.IsZero() {
		before = time.Now()
	}
	l.setState(d.State)
	l.logSuspicion()
	l.probe = d.Probe
	if d.Reconnect {
		l.scheduleRenewal()
	}
	if !d.NextCheck.IsZero() {
		l.checkTimer.Reset(time.Until(d.NextCheck))
	}
	ended := d.Ended != liveness.NotEnded
	if ended {
		l.log.Warn("established calls declared ended by liveness detection", "state", d.State.String(), "evidence", d.Ended.String(), "calls", d.EndedCalls, "error", cause)
		if d.State == liveness.Unreachable {
			l.closeSessions()
		}
	}
	l.mu.Unlock()
	if ended {
		reason := core.EndProcessGone
		if d.State == liveness.Unreachable {
			reason = core.EndUnreachable
		}
		l.handler.CallsEnded(reason, before)
	}
	l.wakeMaintain()
}

// closeSessions closes the connections to an unreachable switch, on which anything written would be
// lost. The lock is held.
func (l *Link) closeSessions() {
	for _, s := range []*session{l.current, l.silentSession} {
		if s != nil {
			s.close(metrics.CloseSilent)
		}
	}
}

// logSuspicion logs that another process is suspected behind the switch's address, or no longer is. The
// lock is held.
func (l *Link) logSuspicion() {
	suspected := l.detector.ReplacementSuspected()
	if suspected == l.suspected {
		return
	}
	l.suspected = suspected
	message := "switch may have been replaced"
	if !suspected {
		message = "switch no longer suspected to be replaced"
	}
	l.log.Info(message, "standing", l.detector.Established())
}

// setState logs and counts a change of the switch's state. The lock is held.
func (l *Link) setState(s liveness.State) {
	if s == l.state {
		return
	}
	l.state = s
	l.metrics.SwitchStates.WithLabelValues(s.String()).Inc()
	l.log.Info("switch state changed", "state", s.String(), "standing", l.detector.Established())
}

// callEstablished records that a call is established at the switch, and how many circuits it holds at
// least. The lock is held.
func (l *Link) callEstablished(id uint64, since time.Time, circuits int) {
	first := l.detector.Established() == 0
	l.detector.CallEstablished(id, since, circuits)
	if !first {
		return
	}
	if d := l.detector.Check(time.Now()); !d.NextCheck.IsZero() {
		l.checkTimer.Reset(time.Until(d.NextCheck))
	}
}

// TakeOver implements core.Link.
func (l *Link) TakeOver(id uint64, establishedAt time.Time, evidence routing.SwitchEvidence) {
	l.mu.Lock()
	l.callEstablished(id, establishedAt, 1)
	l.detector.InheritEvidence(evidence)
	l.apply(l.detector.Check(time.Now()), nil)
}

// Evidence implements core.Link.
func (l *Link) Evidence() routing.SwitchEvidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Evidence()
}

// answered passes an answer on. The call is recorded as established first, because it may
// be hung up at once.
func (l *Link) answered(s *session, id uint64, description []byte) core.AnswerStatus {
	l.mu.Lock()
	circuits := s.outstanding[id]
	s.setUpDone(id)
	wasEstablished := l.detector.IsEstablished(id)
	if !wasEstablished {
		l.callEstablished(id, time.Now(), circuits)
	}
	l.mu.Unlock()
	status := l.handler.Answered(id, description)
	if !wasEstablished && (status == core.UnknownCall || status == core.Late) {
		l.mu.Lock()
		l.detector.CallEnded(id)
		l.mu.Unlock()
	}
	return status
}

// callEnded records that the switch ended a set-up or a call.
func (l *Link) callEnded(s *session, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.setUpDone(id)
	l.detector.EarlierCallReleased(id, s.dialedAt)
	l.detector.CallEnded(id)
	l.logSuspicion()
}

// groupReported passes a state of the trunk group to the detector.
func (l *Link) groupReported(s *session, report routing.Report) {
	l.mu.Lock()
	l.apply(l.detector.GroupReported(time.Now(), s.dialedAt, liveness.GroupState{Free: report.Free, Size: report.Size}), nil)
}

// ProbeEarlyUntil makes the link probe a silent switch sooner until the given time.
func (l *Link) ProbeEarlyUntil(until time.Time) {
	l.mu.Lock()
	l.detector.ProbeEarlyUntil(until)
	if l.closed || l.detector.Established() == 0 {
		l.mu.Unlock()
		return
	}
	l.apply(l.detector.Check(time.Now()), nil)
}

// ListUnknownUntil records that the list of switches is not available until the given time.
func (l *Link) ListUnknownUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.ListUnknownUntil(until)
}

// ProbeFailing reports whether calls established at the switch may have ended: the switch
// has been silent for some time, and a probe failed.
func (l *Link) ProbeFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.ProbeFailing()
}
