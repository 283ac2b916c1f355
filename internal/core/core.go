// Package core executes the decisions of package routing. It is independent of the
// wire protocols: callers and switches are interfaces that the front ends implement.
//
// A Core owns one routing.Controller, which is not safe for concurrent use, and guards
// it with one lock. Events are passed to the controller as they arrive; the actions that
// it returns are delivered to the goroutine of the call that they name. Each call has one
// goroutine, which runs Core.serve from set-up to end.
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"violetspan.example/violetspan/routing"
)

// SetUp describes a call as requested by its caller.
type SetUp struct {
	ID          uint64
	Class       int // index into Settings.Classes
	ClassName   string
	Tenant      string
	Number      string
	Description []byte    // forwarded unchanged
	Dest        int       // exchange or pool
	Width       int       // circuits on each trunk group
	Transit     bool      // forwarded by another proxy: it may only go to its destination
	AfterCut    bool      // a new set-up of an established call that was cut
	Deadline    time.Time // when the caller gives up
	// Transferable means that another process can notify the caller of the end of the call.
	Transferable bool
	// Source names the origin of the call among those that share what the switches can take: any
	// comparable value; nil: the call is not limited.
	Source any
}

// MaxNumberDigits is the maximum length of a called number, in digits.
const MaxNumberDigits = 64

// IsValidNumber reports whether v can be a called number: 1 to MaxNumberDigits decimal or
// hexadecimal digits. A switch may close its connection on anything else, which ends every
// call on that connection, so the front ends reject other numbers.
func IsValidNumber(v string) bool {
	if v == "" || len(v) > MaxNumberDigits {
		return false
	}
	for _, c := range []byte(v) {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return true
}

// Caller is the origin of a call. Its methods may block for no longer than a write
// deadline. They are called from the goroutine of the call.
type Caller interface {
	// Answer reports that the call is established. An error means that the caller did not
	// receive the answer.
	Answer(id uint64, description []byte) error
	// Refuse reports that the call was refused, and after which time it may be tried again.
	Refuse(id uint64, retryAfter time.Duration)
	// Fail reports that the set-up failed.
	Fail(id uint64)
	// Release reports that an established call has ended; cut is set if it did not end normally.
	Release(id uint64, cut bool)
}

// Link sends set-ups and releases to one listed switch.
type Link interface {
	// SetUp writes a set-up that the switch must answer by the deadline. It waits for a
	// connection until the context ends. It calls maySend just before the first byte, and
	// sends nothing if that returns false. The error is ErrNotReached or ErrNotSent if the
	// set-up certainly did not arrive.
	SetUp(ctx context.Context, setUp *SetUp, deadline time.Time, maySend func() bool) error
	// CancelSetUp withdraws a set-up that is not answered yet.
	CancelSetUp(id uint64)
	// Release ends an established call.
	Release(id uint64)
	// TakeOver records a call that was established at the switch through a former process, with what
	// that knew of the life of the switch. It must not be called with the core's lock held.
	TakeOver(id uint64, establishedAt time.Time, evidence routing.SwitchEvidence)
	// Evidence returns what is known of the life of the switch.
	Evidence() routing.SwitchEvidence
	// ProbeEarlyUntil shortens the silence after which the link probes the switch, until
	// the given time.
	ProbeEarlyUntil(until time.Time)
	// ProbeFailing reports whether the calls established at the switch may have ended: the
	// switch is silent, and a probe failed.
	ProbeFailing() bool
	// ListUnknownUntil records that the list is not available until the given time: it shows no end of
	// the switch's process.
	ListUnknownUntil(until time.Time)
	// StopDialing makes the link open no more connections to the switch's address. It is
	// called when the switch is removed from the list and its process no longer runs, or another
	// switch is listed with its address. When the connection ends, the link reports the calls as ended.
	StopDialing()
	// PrepareExit makes the link open no more connections but for releases. What a switch repeats on its
	// next connection is for the next process, which passes it on.
	PrepareExit()
	// LastBreak returns when the connection to the switch last ended without being replaced, if the next
	// one may have reached another process; else zero.
	LastBreak() time.Time
	// Close closes the link and waits for its goroutines.
	Close()
}

// Errors returned by Link.SetUp.
var (
	ErrNotReached = errors.New("switch not reached")
	ErrNotSent    = errors.New("set-up not sent")
)

// Switch is a switch on the list. It is identified by its ID, as another switch may take
// over its address later.
type Switch struct {
	ID       string
	Addr     string
	Exchange int
	Started  time.Time // zero: long ago
	State    routing.State
	// EndsNotListed means that the switch may stay on its list although its process has ended.
	EndsNotListed bool
}

// Outcome is how a set-up or an established call ended at its switch.
type Outcome struct {
	Result routing.Result
	Cause  routing.Cause
}

// Options configures a Core.
type Options struct {
	Settings routing.Settings
	Seed     uint64
	Log      *slog.Logger
	// OpenLink creates the link to a switch. The link reports the events of the switch to the
	// handler. OpenLink must not block.
	OpenLink func(sw Switch, handler *SwitchHandler) (Link, error)
	// OnUnknownRelease is called when a switch releases a call that this core does not know:
	// it was established through this proxy before a restart, and its caller must be notified.
	OnUnknownRelease func(id uint64, cut bool)
	MaxCalls         int      // concurrent calls; 0: 8192
	Observer         Observer // may be nil
	// OnAccepted, if set, is called for each call accepted from a caller of this exchange,
	// except those in transit and those set up again after a cut. It must not block.
	OnAccepted func(setUp *SetUp)
	// Sharing divides what the switches can take among the sources of calls; nil: no source is limited.
	// It is called with the core's lock held.
	Sharing Sharing
}

// Sharing decides which source may have another call. decide/share implements it.
type Sharing interface {
	// Offer decides on a call that a source offers. If shed is set, waiting calls of each source that has
	// more than WaitingLimit are refused.
	Offer(now time.Time, source any) (admitted, shed bool)
	// WaitingLimit returns how many calls of a source may wait for their final answer.
	WaitingLimit(now time.Time, source any) int
	// Answered records that a call was established.
	Answered(now time.Time)
	// Finished records that an admitted call of a source has its final answer.
	Finished(now time.Time, source any)
}

const (
	// The controller must give the final answer answerMargin before the caller gives up. If it
	// does not, the core fails the call overdueMargin before the caller gives up.
	answerMargin  = 40 * time.Millisecond
	overdueMargin = 15 * time.Millisecond
	// A list may be up to 7 s late, and callers must be notified of an end within 8 s.
	removalGrace      = 500 * time.Millisecond // wait for releases from a removed switch that are in flight
	linkCloseDelay    = 200 * time.Millisecond // then wait for releases sent to it
	probeEarlyFor     = 10 * time.Second       // duration of early probing, see ProbeEarly
	listUnknownFor    = 10 * time.Second       // how long a failure of discovery counts, see DiscoveryFailed
	endedRetention    = 30 * time.Second       // how long the ID of an ended call is kept in endedCalls
	maxEndedCalls     = 1 << 15
	minSweepInterval  = time.Second // a sweep looks at all of endedCalls
	maxUnknownHangUps = 1024
	// Hang-ups of unknown calls that are passed on a second, and at once: after a crash, callers hang up
	// its calls as they do usually.
	maxUnknownHangUpRate = 50
	unknownHangUpBurst   = 100
	takeOverPeriod       = 30 * time.Second // after the start, during which calls of the former process are taken over
	maxEndedUnknown      = 1 << 13
	shedRetryAfter       = time.Second      // before a redial of a call that is refused in favour of other sources
	shedLogInterval      = 10 * time.Second // between log lines about such calls
	clockOffset          = 24 * time.Hour   // controller's time at start; above 0, as switches may have started before
)

// Core runs calls. Create it with New.
type Core struct {
	options        Options
	log            *slog.Logger
	startTime      time.Time
	ctx            context.Context
	callGroup      *errgroup.Group    // goroutines of the calls
	background     errgroup.Group     // waited for by Close only; started under mu while closed is unset
	unknownHangUps chan unknownHangUp // hang-ups of unknown calls, for releaseUnknownCalls

	mu              sync.Mutex // guards the fields below
	controller      *routing.Controller
	calls           map[uint64]*callState
	callsByName     map[string]*callState // the same calls, by their names for the controller
	switches        map[string]*listedSwitch
	endedCalls      map[uint64]endedCall // recently ended calls
	lastSweep       time.Time
	shedLoggedAt    time.Time              // when refused waiting calls were last logged
	callsOfSource   map[any]int            // by SetUp.Source
	hangUpsDropped  int                    // in a row, for want of room in unknownHangUps
	endedUnknown    map[uint64]bool        // calls not known here that ended in takeOverPeriod
	unanswered      int                    // calls whose final answer is pending
	changed         chan struct{}          // closed and replaced when unanswered or len(calls) falls
	removedSwitches map[*listedSwitch]bool // removed switches whose links are still open
	stopped         bool                   // set by StopAccepting
	shutdown        context.Context        // ends with FailUnanswered
	beginShutdown   context.CancelFunc
	closed          bool
}

// listedSwitch is a listed or removed switch with its link.
type listedSwitch struct {
	Switch
	link              Link
	source            string // the SwitchList.Source that lists it
	removedGracefully bool   // the link stays open until no call uses it
	displaced         bool   // removed gracefully, and another switch is listed with its address
}

// endedCall is a call that ended lately.
type endedCall struct {
	at        time.Time
	attempted bool // a set-up of it was sent to a switch
}

// unknownHangUp is the hang-up of a call that this core does not know.
type unknownHangUp struct {
	id    uint64
	links []Link
}

// New returns a core that runs until the context ends.
func New(ctx context.Context, options Options) (*Core, error) {
	controller, err := routing.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Observer == nil {
		options.Observer = discardObserver{}
	}
	if options.MaxCalls <= 0 {
		options.MaxCalls = 8192
	}
	group, ctx := errgroup.WithContext(ctx)
	c := &Core{options: options, log: options.Log, startTime: time.Now(), ctx: ctx, callGroup: group,
		controller: controller, calls: map[uint64]*callState{}, callsByName: map[string]*callState{},
		switches: map[string]*listedSwitch{}, removedSwitches: map[*listedSwitch]bool{},
		callsOfSource: map[any]int{},
		endedCalls:    map[uint64]endedCall{}, endedUnknown: map[uint64]bool{}, changed: make(chan struct{}),
		unknownHangUps: make(chan unknownHangUp, maxUnknownHangUps)}
	c.shutdown, c.beginShutdown = context.WithCancel(ctx)
	c.background.Go(c.releaseUnknownCalls)
	return c, nil
}

// controllerTime converts a time to the controller's clock.
func (c *Core) controllerTime(t time.Time) time.Duration { return clockOffset + t.Sub(c.startTime) }

// handleEvent passes an event to the controller and executes the actions it returns.
func (c *Core) handleEvent(ev routing.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleEventLocked(ev)
}

// handleEventLocked is handleEvent with the lock held.
func (c *Core) handleEventLocked(ev routing.Event) {
	for _, a := range c.controller.Handle(c.controllerTime(time.Now()), ev) {
		switch a := a.(type) {
		case routing.Send:
			c.deliverAction(a.Call, a)
		case routing.Refuse:
			c.deliverAction(a.Call, a)
		case routing.Fail:
			c.deliverAction(a.Call, a)
		case routing.Cancel:
			c.deliverAction(a.Call, a)
		case routing.SetTimer:
			time.AfterFunc(a.After, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if !c.closed {
					c.handleEventLocked(routing.TimerFired{})
				}
			})
		case routing.Log:
			c.log.Info("controller", "text", a.Text)
		}
	}
}

// deliverAction passes an action to the goroutine of its call. It never blocks. The lock is held.
func (c *Core) deliverAction(name string, action routing.Action) {
	call := c.callsByName[name]
	if call == nil {
		return
	}
	select {
	case call.actions <- action:
	default:
		// A call gets at most a send, a cancel and a final answer between two of its
		// events; more is a bug in the controller.
		c.log.Error("action queue of a call is full", "call", name, "action", fmt.Sprintf("%T", action))
	}
}

// ApplyPlan passes precomputed routing weights to the controller, valid until the given time.
func (c *Core) ApplyPlan(e routing.PlanUpdated, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		e.ValidUntil = c.controllerTime(until)
		c.handleEventLocked(e)
	}
}

// Offer accepts a call. It returns ErrDuplicateCall if the call is already known, or has ended lately
// after a set-up of it was sent to a switch, where it would run twice. It returns
// ErrBusy if Options.MaxCalls or the share of the call's source is reached or the core is stopping;
// the front end must then give the final answer itself.
func (c *Core) Offer(setUp *SetUp, caller Caller) error {
	call := newCall(c, setUp, caller)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.stopped || len(c.calls) >= c.options.MaxCalls {
		call.cancel()
		return ErrBusy
	}
	if c.calls[setUp.ID] != nil || c.endedCalls[setUp.ID].attempted {
		call.cancel()
		return ErrDuplicateCall
	}
	if !c.admitSource(setUp.Source) {
		call.cancel()
		return ErrBusy
	}
	c.calls[setUp.ID], c.callsByName[call.name] = call, call
	delete(c.endedCalls, setUp.ID)
	c.unanswered++
	if c.options.OnAccepted != nil && !setUp.Transit && !setUp.AfterCut {
		c.options.OnAccepted(setUp)
	}
	c.callGroup.Go(func() error {
		c.serve(call)
		return nil
	})
	return nil
}

// maxSourceShare is the part of Options.MaxCalls that the calls of one source may take.
const maxSourceShare = 0.5

// admitSource reports whether a source may have another call. The lock is held.
func (c *Core) admitSource(source any) bool {
	if source == nil {
		return true
	}
	limit := max(1, int(maxSourceShare*float64(c.options.MaxCalls)))
	if c.callsOfSource[source] >= limit {
		return false
	}
	if c.options.Sharing != nil {
		admitted, shed := c.options.Sharing.Offer(time.Now(), source)
		if shed {
			c.shedCalls()
		}
		if !admitted {
			return false
		}
	}
	c.callsOfSource[source]++
	return true
}

// shedCalls refuses the latest of the calls that wait for a decision, for each source that has more calls
// without a final answer than its limit. The lock is held.
func (c *Core) shedCalls() {
	unanswered := map[any]int{}
	var waiting []*callState
	for _, call := range c.calls {
		if call.Source == nil || call.finalAnswerGiven || call.isShed {
			continue
		}
		unanswered[call.Source]++
		if call.currentSwitch == nil {
			waiting = append(waiting, call)
		}
	}
	slices.SortFunc(waiting, func(a, b *callState) int { return b.offeredAt.Compare(a.offeredAt) })
	now, shed := time.Now(), 0
	for _, call := range waiting {
		if unanswered[call.Source] > c.options.Sharing.WaitingLimit(now, call.Source) {
			unanswered[call.Source]--
			call.isShed = true
			close(call.shed)
			shed++
		}
	}
	if shed > 0 && now.Sub(c.shedLoggedAt) >= shedLogInterval {
		c.shedLoggedAt = now
		c.log.Warn("waiting calls refused: their source floods", "calls", shed)
	}
}

// removeFromSource removes a call from the count of its source. The lock is held.
func (c *Core) removeFromSource(source any) {
	if c.callsOfSource[source]--; c.callsOfSource[source] <= 0 {
		delete(c.callsOfSource, source)
	}
}

// Errors returned by Offer.
var (
	ErrBusy          = errors.New("no room for another call")
	ErrDuplicateCall = errors.New("the call is known already")
)

// HangUp ends a call for its caller: it withdraws the set-up, or releases an established call.
func (c *Core) HangUp(id uint64) {
	c.mu.Lock()
	call := c.calls[id]
	_, ended := c.endedCalls[id]
	var links []Link
	if call == nil && !ended {
		// The call may have been established before a restart, at a switch that is not known
		// now, so all switches get the release.
		for _, sw := range c.switches {
			links = append(links, sw.link)
		}
		c.noteEndedUnknown(id)
	}
	c.mu.Unlock()
	if call != nil {
		call.cancel()
	}
	if len(links) == 0 {
		return
	}
	select {
	case c.unknownHangUps <- unknownHangUp{id, links}:
		c.noteHangUpQueued(id, true)
	default:
		c.noteHangUpQueued(id, false)
	}
}

// noteHangUpQueued counts the hang-ups of unknown calls that are dropped in a row, and logs the first.
func (c *Core) noteHangUpQueued(id uint64, queued bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if queued {
		c.hangUpsDropped = 0
		return
	}
	c.hangUpsDropped++
	if c.hangUpsDropped == 1 {
		c.log.Warn("queue of hang-ups of unknown calls is full", "call", fmt.Sprintf("%016x", id))
	}
}

// Knows reports whether a call has not ended, or has ended lately.
func (c *Core) Knows(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ended := c.endedCalls[id]
	return ended || c.calls[id] != nil
}

// releaseUnknownCalls sends the release of each unknown call to every switch, at a limited rate: each
// costs every switch work. It runs in its own goroutine, as a switch that does not read would block the
// reader of the caller's connection.
func (c *Core) releaseUnknownCalls() error {
	limiter := rate.NewLimiter(maxUnknownHangUpRate, unknownHangUpBurst)
	for {
		select {
		case hangUp := <-c.unknownHangUps:
			if limiter.Wait(c.ctx) != nil {
				return nil
			}
			for _, l := range hangUp.links {
				l.Release(hangUp.id)
			}
		case <-c.ctx.Done():
			return nil
		}
	}
}

// acceptsSetUps reports whether the current list lets a switch receive new set-ups.
func (c *Core) acceptsSetUps(sw *listedSwitch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.switches[sw.ID] == sw && sw.State == routing.Ready
}

// Counts returns the number of calls whose final answer is pending and of established calls.
func (c *Core) Counts() (unanswered, established int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, len(c.calls) - c.unanswered
}

// markEstablished records that the caller of a call was notified that it is established.
func (c *Core) markEstablished(call *callState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Sharing != nil {
		c.options.Sharing.Answered(time.Now())
	}
	c.markAnsweredLocked(call)
}

// markAnsweredLocked records that the final answer of a call was given. The lock is held.
func (c *Core) markAnsweredLocked(call *callState) {
	if !call.finalAnswerGiven {
		call.finalAnswerGiven = true
		if c.options.Sharing != nil && call.Source != nil {
			c.options.Sharing.Finished(time.Now(), call.Source)
		}
		c.unanswered--
		c.notifyChanged()
	}
}

// notifyChanged wakes the goroutines in WaitForCalls. The lock is held.
func (c *Core) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// removeCall removes a call that has ended. Its ID stays in endedCalls for endedRetention, so
// that later messages of its switch are not taken for those of an unknown call.
func (c *Core) removeCall(call *callState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markAnsweredLocked(call)
	c.removeFromSource(call.Source)
	close(call.done)
	delete(c.calls, call.ID)
	delete(c.callsByName, call.name)
	now := time.Now()
	full := len(c.endedCalls) >= maxEndedCalls
	if now.Sub(c.lastSweep) > endedRetention/4 || full && now.Sub(c.lastSweep) > minSweepInterval {
		c.lastSweep = now
		for id, ended := range c.endedCalls {
			if now.Sub(ended.at) > endedRetention {
				delete(c.endedCalls, id)
			}
		}
	}
	if len(c.endedCalls) < maxEndedCalls {
		c.endedCalls[call.ID] = endedCall{now, call.lastSwitch != nil}
	}
	c.notifyChanged()
	if len(c.removedSwitches) > 0 {
		c.closeUnusedLinks()
	}
}
