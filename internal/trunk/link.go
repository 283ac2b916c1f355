package trunk

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/decide/liveness"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

const (
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second
	verifyPause = 50 * time.Millisecond // between verifications of a switch that is suspected
	// A switch may go on for a moment on a connection that broke. What it says of calls that
	// stand there it repeats on the next connection that is opened after that.
	renewAfter = 300 * time.Millisecond
	// formerCalls is how long calls from before a start are reckoned with where none is
	// known to stand.
	formerCalls = 30 * time.Second
	maxPending  = 1024 // releases kept for a switch without a connection
	// A dial that was given up goes on for so many times its limit: a connection that comes
	// up late and is closed at once may take a release with it.
	lateDials = 3
)

// Handler is what a link tells of its switch.
type Handler interface {
	Answered(id uint64, description []byte) core.Verdict
	Ended(id uint64, e core.End)
	Group(r routing.Report)
	// CallsOver says that what has stood at the switch since before a time is over,
	// though the switch did not say so.
	CallsOver(why core.EndReason, before time.Time)
	// EvidenceMissing says that the switch does not answer: others may not either.
	EvidenceMissing()
}

// pendingRelease is a release that the switch has not surely had.
type pendingRelease struct {
	id    uint64
	since time.Time // of the end that it tells of
}

// promptRelease is how soon after an end its release counts as sent with it.
const promptRelease = 50 * time.Millisecond

// Link keeps one connection to one switch: group states and releases come on
// it also when nothing is sent. It implements core.Link.
type Link struct {
	member core.Member
	up     Handler
	log    *slog.Logger
	count  *metrics.Set
	dial   Dial
	times  Timeouts
	ctx    context.Context
	stop   context.CancelFunc
	group  errgroup.Group // the keeper and the readers
	turn   chan struct{}  // held by whoever dials
	wake   chan struct{}  // has a value when the keeper has something to look at
	made   time.Time

	mu      sync.Mutex // guards all below
	closed  bool       // no new session
	leaving bool       // the switch has gone by the list: another may have its address
	current *session   // takes set-ups; nil: no connection
	// released has calls whose release went out late, and when: their set-ups rest from
	// then on, as the switch may have held them until then. At most maxPending.
	released map[uint64]time.Time
	silent   *session // fell silent, and is kept open: whether it is reset once another comes up tells who that is
	sessions map[*session]bool
	pending  []pendingRelease     // to be sent first on the next connection
	standing map[uint64]time.Time // calls that stand there, as far as this side knows, and since when
	detector *liveness.Detector
	state    liveness.State // as logged last
	watch    *time.Timer    // when the detector is to be asked again
	verify   bool           // the detector asks for a verification
	renew    bool           // another connection is to take the place of the present one
	renewUp  bool           // ... of the next one that comes up, some time after that
	lastDial struct {       // how the last dial went
		at  time.Time
		err error
	}
}

// New makes a link and starts to connect.
func New(ctx context.Context, m core.Member, up Handler, times Timeouts, log *slog.Logger, count *metrics.Set, dial Dial) *Link {
	l := &Link{member: m, up: up, log: log.With("switch", m.ID, "addr", m.Addr), count: count, dial: dial, times: times,
		turn: make(chan struct{}, 1), wake: make(chan struct{}, 1), sessions: map[*session]bool{}, released: map[uint64]time.Time{}, standing: map[uint64]time.Time{},
		detector: liveness.New(liveness.Defaults, time.Now())}
	l.made = time.Now()
	l.watch = time.AfterFunc(time.Hour, l.check)
	l.watch.Stop()
	l.ctx, l.stop = context.WithCancel(ctx)
	l.group.Go(l.keep)
	return l
}

// keep holds a connection up until the link closes, and verifies the switch when the
// detector asks for that.
func (l *Link) keep() error {
	gap := redialFirst
	for l.ctx.Err() == nil {
		l.mu.Lock()
		current, verify, leaving := l.current, l.verify || l.renew, l.leaving
		l.renew = l.renew && current == nil
		l.mu.Unlock()
		pause := time.Hour
		switch {
		case leaving:
		case current == nil:
			if _, err := l.connect(l.ctx); err == nil {
				gap = redialFirst
				continue
			}
			pause, gap = gap, min(2*gap, redialMost)
			if verify {
				pause = verifyPause
			}
		case verify:
			if l.verifyBy(current) == nil {
				continue
			}
			pause = verifyPause
		}
		again := time.NewTimer(pause)
		select {
		case <-again.C:
		case <-l.wake:
		case <-l.ctx.Done():
		}
		again.Stop()
	}
	return nil
}

// wakeKeeper makes the keeper look again.
func (l *Link) wakeKeeper() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// verifyBy asks the switch for a sign of life beside a connection that is silent: by a
// ping where the wire has one, else by another connection, which takes its place.
func (l *Link) verifyBy(current *session) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.times.Dial)
	defer cancel()
	if p, ok := current.conn.(Pinger); ok {
		err := p.Ping(ctx)
		l.pinged(err)
		if err != nil {
			l.mu.Lock()
			current.end(metrics.CloseSilent)
			l.mu.Unlock()
		}
		return err
	}
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.turn }()
	_, err := l.dialSession()
	return err
}

// connect returns the session for set-ups, dialling if there is none. Who waits while
// another dials takes that dial's result.
func (l *Link) connect(ctx context.Context) (*session, error) {
	asked := time.Now()
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.turn }()
	l.mu.Lock()
	current, last := l.current, l.lastDial
	l.mu.Unlock()
	if current != nil {
		return current, nil
	}
	if last.err != nil && last.at.After(asked) {
		return nil, last.err
	}
	return l.dialSession()
}

// dialed is what came of a dial.
type dialed struct {
	conn Conn
	err  error
}

// dialSession opens a connection and makes it the one for set-ups. The turn is held.
func (l *Link) dialSession() (*session, error) {
	result := make(chan dialed, 1)
	l.group.Go(func() error {
		ctx, cancel := context.WithTimeout(l.ctx, lateDials*l.times.Dial)
		defer cancel()
		conn, err := l.dial(ctx, l.member.Addr)
		result <- dialed{conn, err}
		return nil
	})
	limit := time.NewTimer(l.times.Dial)
	defer limit.Stop()
	select {
	case r := <-result:
		return l.adopt(r)
	case <-limit.C:
	}
	l.dialled(context.DeadlineExceeded)
	l.group.Go(func() error {
		if r := <-result; r.err == nil {
			_, _ = l.adopt(r) // nobody waits for it any more
		}
		return nil
	})
	return nil, context.DeadlineExceeded
}

// adopt makes a connection that came up the one for set-ups.
func (l *Link) adopt(r dialed) (*session, error) {
	conn, err := r.conn, r.err
	if err == nil {
		err = l.flush(conn)
	}
	l.dialled(err)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.leaving {
		conn.Close()
		return nil, context.Canceled
	}
	s := newSession(l, conn)
	l.sessions[s] = true
	for _, old := range []*session{l.current, l.silent} {
		if old != nil {
			old.replace()
		}
	}
	l.current, l.silent = s, nil
	if l.renewUp {
		l.renewUp = false
		l.renewLater()
	}
	l.group.Go(func() error {
		s.read()
		return nil
	})
	return s, nil
}

// flush writes the releases that wait for a connection, before any set-up goes out on
// it: that may be of the same call. So it does with those that a silent connection may
// have swallowed.
func (l *Link) flush(conn Conn) error {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	if l.current != nil {
		pending = append(pending, l.current.unproven...)
		l.current.unproven = nil
	}
	now := time.Now()
	maps.DeleteFunc(l.released, func(_ uint64, at time.Time) bool { return now.Sub(at) >= l.times.ReleaseBackoff })
	for _, r := range pending {
		if now.Sub(r.since) > promptRelease && len(l.released) < maxPending {
			l.released[r.id] = now
		}
	}
	l.mu.Unlock()
	for i, r := range pending {
		if err := conn.Release(r.id); err != nil {
			conn.Close()
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range pending[i:] {
				l.keepPending(r)
			}
			return fmt.Errorf("connection broke at once: %w", err)
		}
	}
	return nil
}

// dialled notes how a dial went: evidence of the switch's life, or of its lack.
func (l *Link) dialled(err error) {
	if l.ctx.Err() != nil {
		return // this side ended the dial
	}
	l.count.Dials.WithLabelValues(dialResult(err)).Inc()
	l.mu.Lock()
	failedBefore := l.lastDial.err != nil
	l.lastDial.at, l.lastDial.err = time.Now(), err
	if err != nil && !failedBefore { // the first of a series; the others are counted
		l.log.Warn("no connection to a switch", "error", err, "standing", len(l.standing))
	}
	l.mu.Unlock()
	l.verified(err)
}

// verified tells the detector how a verification went.
func (l *Link) verified(err error) {
	l.mu.Lock()
	var v liveness.Decision
	current := l.current
	now := time.Now()
	switch {
	case err == nil:
		v = l.detector.Connected(now)
	case isRefused(err):
		v = l.detector.ConnectionRefused(now, current != nil)
		if v.State == liveness.ProcessGone {
			l.pending = nil // nobody is left to be told
		}
	case isUnanswered(err):
		l.detector.ProbeFailed()
		v = l.detector.Check(now)
		if current == nil {
			l.renewLater() // it may come up late, and carry something
		}
	default:
		l.mu.Unlock()
		return // this machine's trouble says nothing of the switch
	}
	standing := l.anyStanding()
	missing := l.detector.ProbeFailing() || v.CallsEnded
	l.carryOut(v, err, now)
	if missing {
		l.up.EvidenceMissing()
	}
	if isRefused(err) && current != nil && standing != 0 {
		// It drains, or its process ended while it was cut off, and the reset was lost:
		// a message that means nothing brings another.
		_ = current.write(nil, func() error { return current.conn.AcknowledgeRelease(standing) })
	}
}

// pinged tells the detector how a ping went.
func (l *Link) pinged(err error) {
	if err != nil {
		l.verified(err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received()
}

// anyStanding returns a call that stands, or 0. The lock is held.
func (l *Link) anyStanding() uint64 {
	for id := range l.standing {
		return id
	}
	return 0
}

// received notes that the switch said something. The lock is held.
func (l *Link) received() {
	if l.detector.Received(time.Now()) {
		l.renewLater() // what it said meanwhile may have gone to connections that are closed here
	}
	l.verify = false
	l.enter(liveness.Alive)
}

// check asks the detector when its time has come.
func (l *Link) check() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	l.carryOut(l.detector.Check(now), nil, now)
}

// carryOut does what a verdict says; the calls that it may say are over are those from
// before a time. It takes over the lock and lets it go.
func (l *Link) carryOut(v liveness.Decision, cause error, before time.Time) {
	if !v.EstablishedBefore.IsZero() {
		before = v.EstablishedBefore
	}
	l.enter(v.State)
	l.verify = v.Probe
	if !v.NextCheck.IsZero() {
		l.watch.Reset(time.Until(v.NextCheck))
	}
	if v.CallsEnded {
		l.callsOver(v.State, cause, before)
	}
	l.mu.Unlock()
	if v.CallsEnded {
		why := core.EndProcessGone
		if v.State == liveness.Unreachable {
			why = core.EndUnreachable
		}
		l.up.CallsOver(why, before)
	}
	l.wakeKeeper()
}

// callsOver forgets the calls from before a time. The lock is held.
func (l *Link) callsOver(state liveness.State, cause error, before time.Time) {
	had := len(l.standing)
	maps.DeleteFunc(l.standing, func(_ uint64, since time.Time) bool { return since.Before(before) })
	l.detector.SetEstablished(len(l.standing))
	l.log.Warn("calls that stand at a switch are over", "state", state.String(), "calls", had-len(l.standing), "error", cause)
	if state != liveness.Unreachable {
		return
	}
	// What is written on these is lost.
	for _, s := range []*session{l.current, l.silent} {
		if s != nil {
			s.end(metrics.CloseSilent)
		}
	}
}

// enter logs and counts a state that is new. The lock is held.
func (l *Link) enter(s liveness.State) {
	if s == l.state {
		return
	}
	l.state = s
	l.count.SwitchStates.WithLabelValues(s.String()).Inc()
	l.log.Info("state of a switch", "state", s.String(), "standing", len(l.standing))
}

// stands notes that a call stands at the switch, or does not any more. The lock is held.
func (l *Link) stands(id uint64, yes bool) {
	before := len(l.standing)
	if _, already := l.standing[id]; yes && !already {
		l.standing[id] = time.Now()
	} else if !yes {
		delete(l.standing, id)
	}
	if len(l.standing) == before {
		return
	}
	l.detector.SetEstablished(len(l.standing))
	if before == 0 {
		if v := l.detector.Check(time.Now()); !v.NextCheck.IsZero() {
			l.watch.Reset(time.Until(v.NextCheck))
		}
	}
}

// answered passes an answer on. The call counts as standing before: it may be hung up
// at once.
func (l *Link) answered(s *session, id uint64, description []byte) core.Verdict {
	l.mu.Lock()
	s.answered(id)
	_, before := l.standing[id]
	l.stands(id, true)
	l.mu.Unlock()
	verdict := l.up.Answered(id, description)
	if !before && (verdict == core.Unknown || verdict == core.Late) {
		l.mu.Lock()
		l.stands(id, false)
		l.mu.Unlock()
	}
	return verdict
}

// over notes that the switch ended a set-up or a call.
func (l *Link) over(s *session, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.answered(id)
	l.stands(id, false)
}

// ended takes a session out that has ended, and returns the set-ups that were open on it.
func (l *Link) ended(s *session, err error) (open []uint64) {
	l.mu.Lock()
	s.logEnd(err)
	delete(l.sessions, s)
	wasSilent := l.silent == s
	if wasSilent {
		l.silent = nil
	}
	open, releases := l.detach(s)
	if !s.replaced {
		l.renewLater()
	}
	switch reset := errors.Is(err, syscall.ECONNRESET); {
	case reset && s.challenged:
		l.carryOut(l.detector.ReplacedConnectionReset(time.Now()), err, s.replacedAt)
	case reset && !s.replaced:
		now := time.Now()
		l.carryOut(l.detector.ConnectionReset(now, wasSilent), err, now)
	default:
		l.mu.Unlock()
	}
	l.releaseAll(releases)
	return open
}

// mayHaveCalls says whether releases may come from the switch: calls stand there, or may do
// so since before this proxy started. The lock is held.
func (l *Link) mayHaveCalls() bool {
	return len(l.standing) > 0 || time.Since(l.made) < formerCalls
}

// renewLater opens another connection some time after the present one, or the next one that
// comes up. The lock is held.
func (l *Link) renewLater() {
	switch {
	case !l.mayHaveCalls():
	case l.current == nil:
		l.renewUp = true
	default:
		time.AfterFunc(renewAfter, l.renewConnection)
	}
}

// renewConnection opens another connection in the place of the present one.
func (l *Link) renewConnection() {
	l.mu.Lock()
	l.renew = !l.closed && l.mayHaveCalls()
	l.mu.Unlock()
	l.wakeKeeper()
}

// detach takes everything off a session that takes nothing more: the set-ups that are
// open on it, and the releases that the switch is to be sent on another. The lock is held.
func (l *Link) detach(s *session) (open []uint64, releases []pendingRelease) {
	s.waiting = false
	s.silence.Stop()
	if l.current == s {
		l.current = nil
	}
	now := time.Now()
	for id := range s.open {
		open = append(open, id)
		releases = append(releases, pendingRelease{id, now})
	}
	releases = append(releases, s.unproven...)
	s.open, s.unproven = map[uint64]bool{}, nil
	return open, releases
}

// releaseAll tells the switch that calls are over: on the session that took another one's
// place, or first thing on the next.
func (l *Link) releaseAll(releases []pendingRelease) {
	for _, r := range releases {
		l.release(r)
	}
}

// SetUp implements core.Link. It sends on a new connection if there is none.
func (l *Link) SetUp(ctx context.Context, u *core.SetUp, until time.Time, mayGo func() bool) error {
	if _, err := l.connect(ctx); err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotReached, err)
	}
	l.mu.Lock()
	s := l.current
	if s != nil {
		s.open[u.ID] = true // before the write: the answer may be quick
	}
	rests := s != nil && l.restsAfterRelease(s, u.ID)
	if rests {
		delete(s.open, u.ID)
	}
	l.mu.Unlock()
	switch {
	case s == nil:
		return core.ErrNotReached // it ended a moment ago
	case rests:
		l.Release(u.ID) // again: the one before may be lost
		return fmt.Errorf("%w: its last attempt there was released a moment ago", core.ErrNotSent)
	}
	err := s.write(mayGo, func() error { return s.conn.SetUp(u, until) })
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		s.answered(u.ID)
	case s.open[u.ID]:
		s.sent()
	}
	return err
}

// restsAfterRelease says whether a call's earlier attempt there may have lasted until a
// moment ago: its release is not sent yet, may be lost, or went out late. Such a release is
// dropped here, as sent later it would end the new attempt. The lock is held.
func (l *Link) restsAfterRelease(on *session, id uint64) bool {
	drop := func(releases []pendingRelease) []pendingRelease {
		return slices.DeleteFunc(releases, func(r pendingRelease) bool { return r.id == id })
	}
	had := len(l.pending)
	l.pending = drop(l.pending)
	lost := len(l.pending) < had
	for s := range l.sessions {
		had := len(s.unproven)
		s.unproven = drop(s.unproven)
		lost = lost || s != on && len(s.unproven) < had
	}
	now := time.Now()
	if lost {
		l.released[id] = now
	}
	at, late := l.released[id]
	return late && now.Sub(at) < l.times.ReleaseBackoff
}

// GiveUp tells the switch that a set-up is given up.
func (l *Link) GiveUp(id uint64) { l.Release(id) }

// Release tells the switch that a call is over: now, or without a connection,
// first thing on the next one. Past maxPending the switch is told when it speaks
// of the call again.
func (l *Link) Release(id uint64) { l.release(pendingRelease{id, time.Now()}) }

// release sends a release, or keeps it. A set-up is given up where it was sent.
func (l *Link) release(r pendingRelease) {
	l.mu.Lock()
	on := l.current
	for s := range l.sessions {
		if s.open[r.id] {
			on = s
		}
	}
	l.stands(r.id, false)
	switch {
	case on == nil:
		l.keepPending(r)
	case len(on.unproven) < maxUnproven:
		on.unproven = append(on.unproven, r)
	}
	l.mu.Unlock()
	if on == nil {
		return
	}
	if err := on.write(nil, func() error { return on.conn.Release(r.id) }); err != nil {
		l.log.Debug("release not sent", "call", callName(r.id), "error", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	on.answered(r.id) // only now: a replaced session is closed with its last set-up
}

// keepPending keeps a release for the next connection. The lock is held.
func (l *Link) keepPending(r pendingRelease) {
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, r)
	}
}

// Caution makes the link verify its switch sooner until some time.
func (l *Link) Caution(until time.Time) {
	l.mu.Lock()
	l.detector.ProbeEarlyUntil(until)
	if l.closed || len(l.standing) == 0 {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	l.carryOut(l.detector.Check(now), nil, now)
}

// Unproven says whether calls stand there that may be over: nothing was heard of the
// switch for some time, and a verification failed.
func (l *Link) Unproven() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.ProbeFailing()
}

// SetDraining says whether the switch drains by the list.
func (l *Link) SetDraining(yes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.SetDraining(yes)
}

// Leave says that the switch has gone by the list. Nothing is dialled any more: another
// switch may have its address.
func (l *Link) Leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.wakeKeeper()
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	l.watch.Stop()
	for s := range l.sessions {
		s.end(metrics.CloseRemoved)
	}
	l.mu.Unlock()
	_ = l.group.Wait()
}
