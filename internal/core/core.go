// Package core runs calls by the decisions of package routing. It knows no wire:
// callers and switches are interfaces that the fronts fill.
//
// One Core owns one Controller, which is not safe for concurrent use, behind
// one lock. Events go in as they arrive; the actions that come back are handed
// to the goroutine of the call they name. Each call has one goroutine, which
// runs Core.serve from its set-up to its end.
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/routing"
)

// SetUp is a call as its caller asked for it.
type SetUp struct {
	ID          uint64
	Class       int // place in the settings
	ClassName   string
	Tenant      string
	Number      string
	Description []byte // passed on unchanged
	Dest        int
	Width       int
	Transit     bool
	AfterCut    bool      // it stood, was cut, and comes again
	Deadline    time.Time // when its caller gives up
}

// MaxNumberDigits is the most digits that a number called has.
const MaxNumberDigits = 64

// IsValidNumber says whether a text can be a number called: decimal or hexadecimal
// digits. A switch may close its connection on anything else, with every call on
// it, so no front lets it pass.
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

// Caller is where a call came from. Its methods may block for no longer than a
// write deadline; each is called by the call's own goroutine.
type Caller interface {
	// Answer says that the call stands. An error means the caller can't know it.
	Answer(id uint64, description []byte) error
	// Refuse turns the call away; again says when it may be tried again.
	Refuse(id uint64, again time.Duration)
	Fail(id uint64)
	// Release says that a call that stood is over.
	Release(id uint64, cut bool)
}

// Link is the way to one listed switch.
type Link interface {
	// SetUp writes a set-up. It asks mayGo just before the first byte, and waits
	// for a connection no longer than the context allows. Its error is one of
	// ErrNotReached and ErrNotSent where the set-up surely never arrived.
	SetUp(ctx context.Context, s *SetUp, until time.Time, mayGo func() bool) error
	CancelSetUp(id uint64)
	Release(id uint64)
	// ProbeEarlyUntil makes the link verify a silent switch sooner until some time.
	ProbeEarlyUntil(until time.Time)
	// ProbeFailing says whether calls that stand there may be over: the switch is silent,
	// and a verification failed.
	ProbeFailing() bool
	// SetDraining says whether the switch drains by the list.
	SetDraining(yes bool)
	// StopDialing says that the switch has gone: nothing new is to be opened to its address.
	StopDialing()
	Close()
}

// Errors of a Link's SetUp.
var (
	ErrNotReached = errors.New("switch not reached")
	ErrNotSent    = errors.New("set-up not sent")
)

// Switch is a switch on the list. Its id is its identity: another switch may
// take the address later.
type Switch struct {
	ID       string
	Addr     string
	Exchange int
	Started  time.Time // zero: long ago
	State    routing.State
}

// Outcome says how a set-up or a standing call ended at its switch.
type Outcome struct {
	Result routing.Result
	Cause  routing.Cause
}

// Options are what a Core is made of.
type Options struct {
	Settings routing.Settings
	Seed     uint64
	Log      *slog.Logger
	// OpenLink makes the link to a member, which tells the peer what it hears. It must
	// not block.
	OpenLink func(m Switch, peer *SwitchHandler) (Link, error)
	// OnUnknownRelease is told of the end of a call that is not known here: it stood
	// through this proxy before its restart, and its caller must hear of it.
	OnUnknownRelease func(id uint64, cut bool)
	MaxCalls         int
	Observer         Observer // nil: nobody counts
	// OnAccepted, if set, is told of each call that is taken from a caller of this exchange.
	// It must not block.
	OnAccepted func(s *SetUp)
}

// Times that are the core's own.
const (
	answerMargin = 40 * time.Millisecond // an answer leaves so long before its caller gives up
	guardMargin  = 15 * time.Millisecond // ... and the core gives one itself so long before
	// A list comes up to 7 s late, and callers hear of an end within 8 s of it.
	removedLinger  = 500 * time.Millisecond // for releases of a removed switch that are on their way
	lastWords      = 200 * time.Millisecond // ... and for ours to it after that
	cautionFor     = 10 * time.Second       // after evidence of some switch was missing
	endedMemory    = 30 * time.Second
	maxEnded       = 1 << 15
	maxUnknownEnds = 1024
	epoch          = 24 * time.Hour // the module's clock at the start: switches may be older
)

// Core runs calls. Make one with New.
type Core struct {
	opt         Options
	log         *slog.Logger
	start       time.Time
	ctx         context.Context
	group       *errgroup.Group // the calls
	side        errgroup.Group  // what nobody waits for but Close; begun under mu, and not once closed
	unknownEnds chan unknownEnd // hang-ups of calls that are not known here

	mu         sync.Mutex // guards all below
	brain      *routing.Controller
	calls      map[uint64]*call
	names      map[string]*call // the same calls, as the module names them
	members    map[string]*member
	ended      map[uint64]time.Time // calls that were answered and are over
	swept      time.Time
	unanswered int              // calls that wait for their final answer
	changed    chan struct{}    // closed when unanswered or len(calls) falls
	draining   map[*member]bool // switches that were removed, whose links are still open
	stopped    bool             // no new calls
	expired    chan struct{}    // closed when the unanswered calls are to be failed
	closed     bool
}

type member struct {
	Switch
	link     Link
	source   string
	graceful bool // it was removed, and its link stays until nothing stands there
}

// unknownEnd is the hang-up of a call that is not known here.
type unknownEnd struct {
	id    uint64
	links []Link
}

// New makes a core that runs until the context ends.
func New(ctx context.Context, opt Options) (*Core, error) {
	b, err := routing.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, err
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Observer == nil {
		opt.Observer = unobserved{}
	}
	if opt.MaxCalls <= 0 {
		opt.MaxCalls = 8192
	}
	g, ctx := errgroup.WithContext(ctx)
	c := &Core{opt: opt, log: opt.Log, start: time.Now(), ctx: ctx, group: g, brain: b,
		calls: map[uint64]*call{}, names: map[string]*call{}, members: map[string]*member{}, draining: map[*member]bool{},
		ended: map[uint64]time.Time{}, changed: make(chan struct{}), expired: make(chan struct{}), unknownEnds: make(chan unknownEnd, maxUnknownEnds)}
	c.side.Go(c.hangUpUnknown)
	return c, nil
}

// clock turns a time into the module's.
func (c *Core) clock(t time.Time) time.Duration { return epoch + t.Sub(c.start) }

// tell hands the module an event and its actions to those they are for.
func (c *Core) tell(ev routing.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellLocked(ev)
}

func (c *Core) tellLocked(ev routing.Event) {
	for _, a := range c.brain.Handle(c.clock(time.Now()), ev) {
		switch a := a.(type) {
		case routing.Send:
			c.hand(a.Call, a)
		case routing.Refuse:
			c.hand(a.Call, a)
		case routing.Fail:
			c.hand(a.Call, a)
		case routing.Cancel:
			c.hand(a.Call, a)
		case routing.SetTimer:
			time.AfterFunc(a.After, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if !c.closed {
					c.tellLocked(routing.TimerFired{})
				}
			})
		case routing.Log:
			c.log.Info("module", "text", a.Text)
		}
	}
}

func (c *Core) hand(name string, a routing.Action) {
	k := c.names[name]
	if k == nil {
		return
	}
	select {
	case k.actions <- a:
	default:
		// A call gets at most a send, a cancel and an answer between two events of
		// its own; more is a fault of the module.
		c.log.Error("too many actions for a call", "call", name, "action", fmt.Sprintf("%T", a))
	}
}

// ApplyPlan tells the module of weights worked out ahead, valid until a time.
func (c *Core) ApplyPlan(e routing.PlanUpdated, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		e.ValidUntil = c.clock(until)
		c.tellLocked(e)
	}
}

// Offer takes a call. It fails if the call is known already or there is no
// room; the caller is then owed its answer by the front.
func (c *Core) Offer(s *SetUp, from Caller) error {
	k := newCall(c, s, from)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.stopped || len(c.calls) >= c.opt.MaxCalls {
		k.leave()
		return ErrBusy
	}
	if c.calls[s.ID] != nil {
		k.leave()
		return ErrDuplicateCall
	}
	c.calls[s.ID], c.names[k.name] = k, k
	delete(c.ended, s.ID)
	c.unanswered++
	if c.opt.OnAccepted != nil && !s.Transit && !s.AfterCut {
		c.opt.OnAccepted(s)
	}
	c.group.Go(func() error {
		c.serve(k)
		return nil
	})
	return nil
}

// Errors of Offer.
var (
	ErrBusy          = errors.New("no room for another call")
	ErrDuplicateCall = errors.New("the call is known already")
)

// HangUp tells that the caller has given its call up or hung up.
func (c *Core) HangUp(id uint64) {
	c.mu.Lock()
	k := c.calls[id]
	_, over := c.ended[id]
	var links []Link
	if k == nil && !over {
		// It may have stood since before a restart: its switch is not known then.
		for _, m := range c.members {
			links = append(links, m.link)
		}
	}
	c.mu.Unlock()
	if k != nil {
		k.leave()
	}
	if len(links) == 0 {
		return
	}
	select {
	case c.unknownEnds <- unknownEnd{id, links}:
	default:
		c.log.Warn("too many hang-ups of calls that are not known here", "call", fmt.Sprintf("%016x", id))
	}
}

// hangUpUnknown tells every switch of such a call's end. It has a goroutine of
// its own, as a switch that does not read would hold up the caller's reader.
func (c *Core) hangUpUnknown() error {
	for {
		select {
		case end := <-c.unknownEnds:
			for _, l := range end.links {
				l.Release(end.id)
			}
		case <-c.ctx.Done():
			return nil
		}
	}
}

// ready says whether a switch takes new set-ups by the list as it is now.
func (c *Core) ready(m *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[m.ID] == m && m.State == routing.Ready
}

// Counts returns how many calls wait for an answer and how many stand.
func (c *Core) Counts() (unanswered, standing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, len(c.calls) - c.unanswered
}

// answeredCaller notes that a call's final answer was given.
func (c *Core) answeredCaller(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredCallerLocked(k)
}

func (c *Core) answeredCallerLocked(k *call) {
	if !k.final {
		k.final = true
		c.unanswered--
		c.wake()
	}
}

func (c *Core) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// drop forgets a call that is over, but for its id: what its switch still
// sends is no news to its caller.
func (c *Core) drop(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredCallerLocked(k)
	close(k.over)
	delete(c.calls, k.ID)
	delete(c.names, k.name)
	now := time.Now()
	if now.Sub(c.swept) > endedMemory/4 || len(c.ended) >= maxEnded {
		c.swept = now
		for id, t := range c.ended {
			if now.Sub(t) > endedMemory {
				delete(c.ended, id)
			}
		}
	}
	if len(c.ended) < maxEnded {
		c.ended[k.ID] = now
	}
	c.wake()
	if len(c.draining) > 0 {
		c.sweepDraining()
	}
}
