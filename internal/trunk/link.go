package trunk

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/decide/liveness"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

const (
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = time.Second
	probeInterval    = 50 * time.Millisecond // between probes of a suspected switch
	// A switch may use a connection for a moment after it broke. It repeats its messages about
	// established calls on the next connection that is opened after that.
	renewalDelay = 300 * time.Millisecond
	// formerCallsPeriod is how long after the link's creation the switch is assumed to have calls
	// from before a restart of this proxy, although none is known.
	formerCallsPeriod = 30 * time.Second
	// An abandoned dial is cancelled only after this many times its timeout: a connection that
	// comes up late and is closed at once may lose a release that the switch sent on it.
	lateDialFactor = 3
)

// Handler receives what a link learns about its switch.
type Handler interface {
	// Answered reports that the switch answered a set-up.
	Answered(id uint64, description []byte) core.AnswerStatus
	// Ended reports that a set-up or an established call has ended.
	Ended(id uint64, outcome core.Outcome)
	// GroupReported reports the state of the trunk group toward the switch.
	GroupReported(r routing.Report)
	// CallsEnded reports that the calls established at the switch before the given time have
	// ended, although the switch did not release them.
	CallsEnded(reason core.EndReason, before time.Time)
	// SwitchSilent reports that the switch does not answer. Others may not either.
	SwitchSilent()
}

// Link keeps one connection to one switch open, also when there is nothing to send, because
// group states and releases arrive on it. It implements core.Link.
type Link struct {
	peer     core.Switch
	handler  Handler
	log      *slog.Logger
	metrics  *metrics.Set
	dial     Dial
	timeouts Timeouts
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group // the goroutines of maintain, dials and readers
	dialing  chan struct{}  // a semaphore held while dialing
	wake     chan struct{}  // wakes maintain
	created  time.Time

	mu      sync.Mutex // guards all below
	closed  bool       // no new session
	removed bool       // the switch is no longer listed; another may have its address
	exiting bool       // this process is about to exit: connections are opened for releases only
	current *session   // takes set-ups; nil: no connection
	// lateReleases holds calls whose release was sent late, and when. Their set-ups are held
	// back for Timeouts.ReleaseBackoff from then on, as the switch may have held the calls
	// until then. At most maxPendingReleases.
	lateReleases map[uint64]time.Time
	// undelivered holds calls of which a set-up or a release may still arrive at the switch on a
	// connection that fell silent, and when that was noticed. As all attempts of a call have the
	// same id, a late release would end a later attempt, so none is sent. At most maxUndelivered.
	undelivered map[uint64]time.Time
	// silentSession is kept open although it fell silent: if it is reset once another connection
	// comes up, that connection has reached another peer.
	silentSession *session
	sessions      map[*session]bool
	pending       []pendingRelease // to be sent first on the next connection
	detector      *liveness.Detector
	state         liveness.State // as last logged
	suspected     bool           // as last logged: another process may have the switch's address
	checkTimer    *time.Timer    // runs until the detector's next check
	probe         bool           // the detector asks for a probe
	renew         bool           // the current connection is to be replaced
	renewNext     bool           // the next connection that comes up is to be replaced after renewalDelay
	lastBreak     time.Time      // when a session last ended that was not replaced; zero: never
	lastDial      struct {
		at  time.Time
		err error
	}
}

// New creates a link and starts to connect.
func New(ctx context.Context, peer core.Switch, handler Handler, timeouts Timeouts, log *slog.Logger, metricSet *metrics.Set, dial Dial) *Link {
	settings := liveness.Defaults
	settings.ListShowsEnds = !peer.EndsNotListed
	l := &Link{peer: peer, handler: handler, log: log.With("switch", peer.ID, "addr", peer.Addr), metrics: metricSet, dial: dial, timeouts: timeouts,
		dialing: make(chan struct{}, 1), wake: make(chan struct{}, 1), sessions: map[*session]bool{}, lateReleases: map[uint64]time.Time{}, undelivered: map[uint64]time.Time{},
		detector: liveness.New(settings, time.Now())}
	l.created = time.Now()
	l.checkTimer = time.AfterFunc(time.Hour, l.check)
	l.checkTimer.Stop()
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.group.Go(l.maintain)
	return l
}

// maintain keeps a connection open until the link closes, and probes the switch when the
// detector asks for it.
func (l *Link) maintain() error {
	backoff := minRedialBackoff
	for l.ctx.Err() == nil {
		l.mu.Lock()
		current, probe := l.current, l.probe || l.renew
		needsNone := l.removed || l.exiting && len(l.pending) == 0
		l.renew = l.renew && current == nil
		l.mu.Unlock()
		pause := time.Hour
		switch {
		case needsNone:
		case current == nil:
			if _, err := l.connect(l.ctx); err == nil {
				backoff = minRedialBackoff
				continue
			}
			pause, backoff = backoff, min(2*backoff, maxRedialBackoff)
			if probe {
				pause = probeInterval
			}
		case probe:
			if l.probeSwitch(current) == nil {
				continue
			}
			pause = probeInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-l.wake:
		case <-l.ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// wakeMaintain makes maintain check the link's state again.
func (l *Link) wakeMaintain() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// StopDialing records that the switch is no longer listed. The link then opens no further
// connection, because another switch may take the address.
func (l *Link) StopDialing() {
	l.mu.Lock()
	l.removed = true
	l.mu.Unlock()
	l.wakeMaintain()
}

// PrepareExit implements core.Link.
func (l *Link) PrepareExit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exiting = true
}

// LastBreak implements core.Link.
func (l *Link) LastBreak() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detector.ConfirmedSince(l.lastBreak) {
		return time.Time{} // it has not reached another process
	}
	return l.lastBreak
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	l.checkTimer.Stop()
	for s := range l.sessions {
		s.close(metrics.CloseRemoved)
	}
	l.mu.Unlock()
	_ = l.group.Wait()
}
