package platform

import (
	"context"
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

const (
	maxPartings = 4096
	partingFor  = 8 * time.Second // a release that finds no connection by then is lost
	unheardFor  = 2 * time.Second // a release is remembered so long for its acknowledgement
	partedEvery = 10 * time.Millisecond
	repeatFirst = 250 * time.Millisecond // one that is not acknowledged goes out again after this, then twice that
)

// parting is the release of a call that stood, until it is acknowledged. It is
// bound to no connection; the one that its call came on is the first choice.
type parting struct {
	id    uint64
	cut   bool
	till  time.Time
	gap   time.Duration
	on    *conn // where it was sent last
	out   bool  // on its way
	timer *time.Timer
}

// Release says that a call that stood is over.
func (c *conn) Release(id uint64, cut bool) {
	f := c.front
	f.mu.Lock()
	send := f.part(id, cut, c)
	f.mu.Unlock()
	send()
}

// Orphan passes on the release of a call that is not known here. It never blocks:
// the readers of switches call it, and a slow caller must not hold them.
func (f *Front) Orphan(id uint64, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if send := f.part(id, cut, nil); !f.closed {
		f.wg.Go(send)
	}
}

// part sends a release on the connection given or another, and again elsewhere if
// it is not acknowledged by callers who otherwise do so: one that a close crosses
// is lost without an error, and a bad caller's connection swallows it. What it
// returns does the writing, without the lock, which is held here.
func (f *Front) part(id uint64, cut bool, on *conn) (send func()) {
	if f.closed || f.partings[id] != nil {
		return func() {}
	}
	if len(f.partings) >= maxPartings {
		f.Log.Error("a release is lost: too many wait", "call", fmt.Sprintf("%016x", id))
		return func() {}
	}
	p := &parting{id: id, cut: cut, till: time.Now().Add(partingFor), gap: repeatFirst}
	f.partings[id] = p
	p.timer = time.AfterFunc(partingFor, func() { f.due(p) })
	if on == nil || !f.conns[on] {
		on = f.pick(nil)
	}
	return f.sendOn(p, on)
}

// sendOn sends a parting on a connection; without one it waits for the next that
// opens. The lock is held.
func (f *Front) sendOn(p *parting, c *conn) (send func()) {
	if c == nil {
		p.on = nil
		p.timer.Reset(time.Until(p.till))
		return func() {}
	}
	p.on, p.out = c, true
	return func() {
		m := releaseOf(p.id, p.cut)
		err := c.send(&m)
		f.Count.Releases.WithLabelValues(metrics.ReleaseSent).Inc()
		f.mu.Lock()
		defer f.mu.Unlock()
		if p.out = false; f.partings[p.id] != p {
			return // acknowledged already
		}
		if other := f.pick(c); err != nil && other != c {
			f.again(p)
			return
		} else if err != nil {
			// Its reader has not found out yet: no use to try it again at once.
			p.timer.Reset(repeatFirst)
			return
		}
		wait := unheardFor
		if f.hears {
			wait, p.gap = p.gap, 2*p.gap
		}
		p.timer.Reset(min(wait, time.Until(p.till)))
	}
}

// again sends a parting elsewhere. The lock is held.
func (f *Front) again(p *parting) {
	if f.closed || !time.Now().Before(p.till) {
		f.drop(p)
		return
	}
	f.Count.Releases.WithLabelValues(metrics.ReleaseRepeated).Inc()
	f.wg.Go(f.sendOn(p, f.pick(p.on)))
}

// due is called when a parting has waited long enough.
func (f *Front) due(p *parting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.partings[p.id] != p || p.out:
	case p.on != nil && !f.hears:
		delete(f.partings, p.id) // these callers acknowledge nothing
	default:
		f.again(p)
	}
}

// drop forgets a parting that nobody acknowledged. The lock is held.
func (f *Front) drop(p *parting) {
	delete(f.partings, p.id)
	p.timer.Stop()
	switch {
	case f.closed:
	case p.on == nil:
		f.Count.Releases.WithLabelValues(metrics.ReleaseNoConnection).Inc()
		f.Log.Error("a release is lost: no connection from callers", "call", fmt.Sprintf("%016x", p.id))
	default:
		f.Count.Releases.WithLabelValues(metrics.ReleaseUnacknowledged).Inc()
		f.Log.Warn("a release was not acknowledged", "call", fmt.Sprintf("%016x", p.id))
	}
}

// heard takes in an acknowledgement; false if nothing was to be acknowledged.
func (f *Front) heard(c *conn, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.partings[id]
	if p == nil {
		return false
	}
	f.hears, c.hears = true, true
	f.Count.Releases.WithLabelValues(metrics.ReleaseAcknowledged).Inc()
	delete(f.partings, id)
	p.timer.Stop()
	return true
}

// ended sends the partings that a closed connection may have swallowed elsewhere,
// if its caller acknowledges what it gets.
func (f *Front) ended(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.partings {
		if p.on == c && !p.out && c.hears {
			f.again(p)
		}
	}
}

// Parted waits until no release is on its way, or owed an acknowledgement by
// callers who give one.
func (f *Front) Parted(ctx context.Context) {
	look := time.NewTicker(partedEvery)
	defer look.Stop()
	for {
		f.mu.Lock()
		wait := f.hears && len(f.partings) > 0
		for _, p := range f.partings {
			wait = wait || p.out
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
func (f *Front) flush() {
	for _, p := range f.partings {
		if p.on == nil && !p.out {
			f.wg.Go(f.sendOn(p, f.pick(nil)))
		}
	}
}

// pick chooses a connection for a release, another than the one given if there
// is any: best one whose caller acknowledges, then one with calls, then one that
// asked for something, and the one that was used last. The lock is held.
func (f *Front) pick(not *conn) *conn {
	rank := func(c *conn) int {
		switch {
		case c == not:
			return 0
		case c.hears:
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
		if r := rank(c); r > most || r == most && c.last.After(best.last) {
			best, most = c, r
		}
	}
	return best
}

func releaseOf(id uint64, cut bool) sig.Message {
	cause := sig.CauseNormal
	if cut {
		cause = sig.CauseTemporary
	}
	return sig.WithCause(sig.Release, id, cause)
}
