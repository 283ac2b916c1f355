package platform

import (
	"context"
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

const (
	maxPendingReleases    = 4096
	pendingReleaseLife    = 8 * time.Second        // one that finds no connection by then is lost
	acknowledgementWait   = 2 * time.Second        // a release is remembered so long for its acknowledgement
	releaseRetryInterval  = 250 * time.Millisecond // one that is not acknowledged goes out again after this, then twice that
	acknowledgementsCheck = 10 * time.Millisecond
)

// pendingRelease is the release of a call that stood, until it is acknowledged. It is
// bound to no connection; the one that its call came on is the first choice.
type pendingRelease struct {
	id     uint64
	cut    bool
	until  time.Time
	retry  time.Duration
	sentOn *conn // where it was sent last
	out    bool  // being written
	timer  *time.Timer
}

// Release says that a call that stood is over.
func (c *conn) Release(id uint64, cut bool) {
	f := c.front
	f.mu.Lock()
	send := f.release(id, cut, c)
	f.noLongerStands(id)
	f.mu.Unlock()
	send()
}

// ForwardUnknownRelease passes on the release of a call that is not known here. It never blocks:
// the readers of switches call it, and a slow caller must not hold them.
func (f *Server) ForwardUnknownRelease(id uint64, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if send := f.release(id, cut, nil); !f.closed {
		f.wg.Go(send)
	}
}

// release sends a release on the connection given or another, and again elsewhere if
// it is not acknowledged by callers who otherwise do so: one that a close crosses
// is lost without an error, and a connection that is no caller's swallows it, such as a
// bad client's or that of the test after a start. What it
// returns does the writing, without the lock, which is held here.
func (f *Server) release(id uint64, cut bool, on *conn) (send func()) {
	if f.closed || f.releases[id] != nil {
		return func() {}
	}
	if len(f.releases) >= maxPendingReleases {
		f.Metrics.Releases.WithLabelValues(metrics.ReleaseNoRoom).Inc()
		f.Log.Error("a release is lost: too many wait", "call", callName(id))
		return func() {}
	}
	r := &pendingRelease{id: id, cut: cut, until: time.Now().Add(pendingReleaseLife), retry: releaseRetryInterval}
	f.releases[id] = r
	r.timer = time.AfterFunc(pendingReleaseLife, func() { f.due(r) })
	if on == nil || !f.conns[on] || on.closing {
		on = f.pick(nil)
	}
	return f.sendOn(r, on)
}

// sendOn sends a release on a connection; without one it waits for the next that
// opens. The lock is held.
func (f *Server) sendOn(r *pendingRelease, c *conn) (send func()) {
	if c == nil {
		r.sentOn = nil
		r.timer.Reset(time.Until(r.until))
		return func() {}
	}
	r.sentOn, r.out = c, true
	return func() {
		m := releaseOf(r.id, r.cut)
		err := c.send(&m)
		f.Metrics.Releases.WithLabelValues(metrics.ReleaseSent).Inc()
		f.mu.Lock()
		defer f.mu.Unlock()
		r.out = false
		defer f.closeIfDone(c)
		if f.releases[r.id] != r {
			return // acknowledged already
		}
		if other := f.pick(c); err != nil && other != c {
			f.again(r)
			return
		} else if err != nil {
			// Its reader has not found out yet: no use to try it again at once.
			r.timer.Reset(releaseRetryInterval)
			return
		}
		wait := acknowledgementWait
		if f.acknowledges || !c.trusted {
			wait, r.retry = r.retry, 2*r.retry
		}
		r.timer.Reset(min(wait, time.Until(r.until)))
	}
}

// again sends a release elsewhere. The lock is held.
func (f *Server) again(r *pendingRelease) {
	if f.closed || !time.Now().Before(r.until) {
		f.drop(r)
		return
	}
	f.Metrics.Releases.WithLabelValues(metrics.ReleaseRepeated).Inc()
	f.wg.Go(f.sendOn(r, f.pick(r.sentOn)))
}

// due is called when a release has waited long enough.
func (f *Server) due(r *pendingRelease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.releases[r.id] != r || r.out:
	case r.sentOn != nil && r.sentOn.trusted && !f.acknowledges:
		f.forget(r) // these callers acknowledge nothing
	default:
		f.again(r)
	}
}

// forget drops a release that nothing more is to be done for. The lock is held.
func (f *Server) forget(r *pendingRelease) {
	delete(f.releases, r.id)
	r.timer.Stop()
	if r.sentOn != nil {
		f.closeIfDone(r.sentOn)
	}
}

// drop forgets a release that nobody acknowledged. The lock is held.
func (f *Server) drop(r *pendingRelease) {
	f.forget(r)
	switch {
	case f.closed:
	case r.sentOn == nil:
		f.Metrics.Releases.WithLabelValues(metrics.ReleaseNoConnection).Inc()
		f.Log.Error("a release is lost: no connection from callers", "call", callName(r.id))
	default:
		f.Metrics.Releases.WithLabelValues(metrics.ReleaseUnacknowledged).Inc()
		f.Log.Warn("a release was not acknowledged", "call", callName(r.id))
	}
}

// acknowledged takes in an acknowledgement; false if nothing was to be acknowledged.
func (f *Server) acknowledged(c *conn, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.releases[id]
	if r == nil {
		return false
	}
	f.acknowledges, c.acknowledges = true, true
	f.Metrics.Releases.WithLabelValues(metrics.ReleaseAcknowledged).Inc()
	f.forget(r)
	return true
}

// sendElsewhere sends the releases that a closed connection may have swallowed elsewhere,
// if its caller acknowledges what it gets.
func (f *Server) sendElsewhere(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.releases {
		if r.sentOn == c && !r.out && c.acknowledges {
			f.again(r)
		}
	}
}

// WaitForReleases waits until no release is being written, or waits for its
// acknowledgement by callers who give one.
func (f *Server) WaitForReleases(ctx context.Context) {
	look := time.NewTicker(acknowledgementsCheck)
	defer look.Stop()
	for {
		f.mu.Lock()
		wait := f.acknowledges && len(f.releases) > 0
		for _, r := range f.releases {
			wait = wait || r.out
		}
		f.mu.Unlock()
		if !wait {
			return
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// flush sends what waits for a connection. The lock is held.
func (f *Server) flush() {
	for _, r := range f.releases {
		if r.sentOn == nil && !r.out {
			f.wg.Go(f.sendOn(r, f.pick(nil)))
		}
	}
}

// pick chooses a connection for a release, another than the one given if there
// is any: best one whose caller acknowledges, then one with calls, then one that
// asked for something, and the one that was used last. The lock is held.
func (f *Server) pick(not *conn) *conn {
	rank := func(c *conn) int {
		switch {
		case c == not:
			return 0
		case c.acknowledges:
			return 4
		case c.trusted:
			return 3
		case c.asked:
			return 2
		}
		return 1
	}
	var best *conn
	most := -1
	for c := range f.conns {
		if c.closing {
			continue
		}
		if r := rank(c); r > most || r == most && c.last.After(best.last) {
			best, most = c, r
		}
	}
	return best
}

func releaseOf(id uint64, cut bool) sig.Message {
	cause := sig.CauseNormal
	if cut {
		cause = sig.CauseTemporaryFailure
	}
	return sig.WithCause(sig.Release, id, cause)
}

// callName is a call's id as logs have it.
func callName(id uint64) string { return fmt.Sprintf("%016x", id) }
