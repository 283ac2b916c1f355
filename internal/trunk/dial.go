package trunk

import (
	"context"
	"time"
)

// probeSwitch probes the switch while the current connection is silent: by a ping if the
// protocol has one, and if that gets no reply in time or there is none, by another connection,
// which replaces the current one. That one may only be slow: its set-ups may still be answered.
func (l *Link) probeSwitch(current *session) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.timeouts.Dial)
	defer cancel()
	if p, ok := current.conn.(Pinger); ok {
		err := p.Ping(ctx)
		l.recordPing(err)
		if err == nil {
			return nil
		}
	}
	select {
	case l.dialing <- struct{}{}:
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
	defer func() { <-l.dialing }()
	_, err := l.dialSession()
	return err
}

// connect returns the session for set-ups and dials if there is none. Concurrent callers
// share the result of one dial, which goes on if the context ends before it.
func (l *Link) connect(ctx context.Context) (*session, error) {
	requested := time.Now()
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	current, last := l.current, l.lastDial
	l.mu.Unlock()
	if current != nil || last.err != nil && last.at.After(requested) {
		<-l.dialing
		if current != nil {
			return current, nil
		}
		return nil, last.err
	}
	type dialedSession struct {
		session *session
		err     error
	}
	dialed := make(chan dialedSession, 1)
	l.group.Go(func() error {
		defer func() { <-l.dialing }()
		s, err := l.dialSession()
		dialed <- dialedSession{s, err}
		return nil
	})
	select {
	case d := <-dialed:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialResult is the outcome of a dial that began at the given time.
type dialResult struct {
	conn     Conn
	err      error
	dialedAt time.Time
}

// dialSession opens a connection and makes it the current session. The dialing semaphore
// is held.
func (l *Link) dialSession() (*session, error) {
	result := make(chan dialResult, 1)
	dialedAt := time.Now()
	l.group.Go(func() error {
		ctx, cancel := context.WithTimeout(l.ctx, lateDialFactor*l.timeouts.Dial)
		defer cancel()
		conn, err := l.dial(ctx, l.peer.Addr)
		result <- dialResult{conn, err, dialedAt}
		return nil
	})
	timeout := time.NewTimer(l.timeouts.Dial)
	defer timeout.Stop()
	select {
	case r := <-result:
		return l.startSession(r)
	case <-timeout.C:
	}
	l.recordDial(dialResult{err: context.DeadlineExceeded, dialedAt: dialedAt})
	l.group.Go(func() error {
		if r := <-result; r.err == nil {
			_, _ = l.startSession(r) // the caller has already returned
		}
		return nil
	})
	return nil, context.DeadlineExceeded
}

// startSession makes a new connection the current session.
func (l *Link) startSession(r dialResult) (*session, error) {
	if r.err == nil {
		r.err = l.flushReleases(r.conn)
	}
	l.recordDial(r)
	if r.err != nil {
		return nil, r.err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.removed {
		r.conn.Close()
		return nil, context.Canceled
	}
	s := newSession(l, r.conn, r.dialedAt)
	l.sessions[s] = true
	for _, old := range []*session{l.current, l.silentSession} {
		if old != nil {
			old.replace()
		}
	}
	l.current, l.silentSession = s, nil
	if l.renewNext {
		l.renewNext = false
		l.scheduleRenewal()
	}
	l.group.Go(func() error {
		s.read()
		return nil
	})
	return s, nil
}

// recordDial records the result of a dial, as evidence for or against the switch being alive.
func (l *Link) recordDial(r dialResult) {
	if l.ctx.Err() != nil {
		return // this side ended the dial
	}
	l.metrics.Dials.WithLabelValues(dialLabel(r.err)).Inc()
	l.mu.Lock()
	failedBefore := l.lastDial.err != nil
	l.lastDial.at, l.lastDial.err = time.Now(), r.err
	if r.err != nil && !failedBefore { // only the first of a series is logged; all are counted
		l.log.Warn("connecting to switch failed", "error", r.err, "standing", l.detector.Established())
	}
	l.mu.Unlock()
	l.recordProbe(r.err, r.dialedAt)
}
