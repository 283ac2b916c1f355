// Package core runs calls by the decisions of package brain. It knows no wire:
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
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/brain"
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
	Again       bool      // it stood, was cut, and comes again
	Deadline    time.Time // when its caller gives up
}

// MaxNumber is the most digits that a number called has.
const MaxNumber = 64

// IsNumber says whether a text can be a number called: decimal or hexadecimal
// digits. A switch may close its connection on anything else, with every call on
// it, so no front lets it pass.
func IsNumber(v string) bool {
	if v == "" || len(v) > MaxNumber {
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
	GiveUp(id uint64)
	Release(id uint64)
	Close()
}

// Errors of a Link's SetUp.
var (
	ErrNotReached = errors.New("switch not reached")
	ErrNotSent    = errors.New("set-up not sent")
)

// Member is a switch on the list. Its id is its identity: another switch may
// take the address later.
type Member struct {
	ID      string
	Addr    string
	Number  int
	Started time.Time // zero: long ago
	State   brain.State
}

// End says how a set-up or a standing call ended at its switch.
type End struct {
	Result brain.Result
	Cause  brain.Cause
}

// Options are what a Core is made of.
type Options struct {
	Settings brain.Settings
	Seed     uint64
	Log      *slog.Logger
	// Open makes the link to a member. It must not block.
	Open func(m Member) (Link, error)
	// Orphan is told of the end of a call that is not known here: it stood
	// through this proxy before its restart, and its caller must hear of it.
	Orphan   func(id uint64, cut bool)
	MaxCalls int
	Observer Observer // nil: nobody counts
	// Seen, if set, is told of each call that is taken from a caller of this exchange.
	// It must not block.
	Seen func(s *SetUp)
}

// Times that are the core's own.
const (
	answerMargin = 40 * time.Millisecond // an answer leaves so long before its caller gives up
	guardMargin  = 15 * time.Millisecond // ... and the core gives one itself so long before
	cutLinger    = 1500 * time.Millisecond
	endedMemory  = 30 * time.Second
	maxEnded     = 1 << 15
	maxStrays    = 1024
	epoch        = 24 * time.Hour // the module's clock at the start: switches may be older
)

// Core runs calls. Make one with New.
type Core struct {
	opt   Options
	log   *slog.Logger
	start time.Time
	ctx   context.Context
	group *errgroup.Group // the calls
	side  errgroup.Group  // what nobody waits for but Close; begun under mu, and not once closed
	stray chan stray      // hang-ups of calls that are not known here

	mu      sync.Mutex // guards all below
	brain   *brain.Controller
	calls   map[uint64]*call
	names   map[string]*call // the same calls, as the module names them
	members map[string]*member
	ended   map[uint64]time.Time // calls that were answered and are over
	swept   time.Time
	owed    int              // calls that wait for their final answer
	changed chan struct{}    // closed when owed or len(calls) falls
	leaving map[*member]bool // switches that left, whose links are still open
	stopped bool             // no new calls
	closed  bool
}

type member struct {
	Member
	link   Link
	source string
	gentle bool // it left, and its link stays until nothing stands there
}

// stray is the hang-up of a call that is not known here.
type stray struct {
	id    uint64
	links []Link
}

// New makes a core that runs until the context ends.
func New(ctx context.Context, opt Options) (*Core, error) {
	b, err := brain.New(opt.Settings, opt.Seed)
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
		calls: map[uint64]*call{}, names: map[string]*call{}, members: map[string]*member{}, leaving: map[*member]bool{},
		ended: map[uint64]time.Time{}, changed: make(chan struct{}), stray: make(chan stray, maxStrays)}
	c.side.Go(c.hangUpStrays)
	return c, nil
}

// clock turns a time into the module's.
func (c *Core) clock(t time.Time) time.Duration { return epoch + t.Sub(c.start) }

// tell hands the module an event and its actions to those they are for.
func (c *Core) tell(ev brain.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellLocked(ev)
}

func (c *Core) tellLocked(ev brain.Event) {
	for _, a := range c.brain.Handle(c.clock(time.Now()), ev) {
		switch a := a.(type) {
		case brain.Send:
			c.hand(a.Call, a)
		case brain.Refuse:
			c.hand(a.Call, a)
		case brain.Fail:
			c.hand(a.Call, a)
		case brain.Cancel:
			c.hand(a.Call, a)
		case brain.Wake:
			time.AfterFunc(a.After, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if !c.closed {
					c.tellLocked(brain.Woken{})
				}
			})
		case brain.Log:
			c.log.Info("module", "text", a.Text)
		}
	}
}

func (c *Core) hand(name string, a brain.Action) {
	k := c.names[name]
	if k == nil {
		return
	}
	select {
	case k.todo <- a:
	default:
		// A call gets at most a send, a cancel and an answer between two events of
		// its own; more is a fault of the module.
		c.log.Error("too many actions for a call", "call", name, "action", fmt.Sprintf("%T", a))
	}
}

// A List is what one source says of its switches.
type List struct {
	Source  string
	Full    bool // Members are all that the source has: those it lacks have left
	Members []Member
	// Gentle: a switch that left may still run, and what stands there goes on.
	// Otherwise it is gone, and its calls with it.
	Gentle bool
}

// List takes a source's whole list of switches or changes to it. The module
// hears of changes only, so that the sources don't undo each other.
func (c *Core) List(l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := l.Members
	if l.Full {
		present := map[string]bool{}
		for _, m := range ms {
			present[m.ID] = true
		}
		for id, m := range c.members {
			if m.source == l.Source && !present[id] {
				left := m.Member
				left.State = brain.Gone
				ms = append(ms[:len(ms):len(ms)], left)
			}
		}
	}
	var ev brain.Listed
	for _, m := range ms {
		if !c.setMember(m, l) {
			continue
		}
		e := brain.Entry{Host: m.ID, Number: m.Number, State: m.State}
		if !m.Started.IsZero() {
			e.Started = max(0, c.clock(m.Started))
		}
		ev.Entries = append(ev.Entries, e)
	}
	c.tellLocked(ev)
}

// setMember takes in one entry of a list; false if it can't be used.
func (c *Core) setMember(m Member, l List) bool {
	old := c.members[m.ID]
	if old != nil && old.source != l.Source {
		c.log.Error("a switch that another list has", "switch", m.ID, "list", l.Source, "other", old.source)
		return false
	}
	if m.State == brain.Gone {
		if old != nil {
			c.retire(old, l.Gentle)
		}
		return true
	}
	if old != nil && old.Addr == m.Addr {
		if !old.Started.Equal(m.Started) {
			c.cutAll(m.ID, EndRestarted) // what stood there before is cut
		}
		old.Member = m
		return true
	}
	link, err := c.opt.Open(m)
	if err != nil {
		c.log.Error("a listed switch can't be used", "switch", m.ID, "addr", m.Addr, "error", err)
		return false
	}
	if old != nil {
		c.retire(old, l.Gentle)
	}
	c.members[m.ID] = &member{Member: m, link: link, source: l.Source}
	return true
}

// retire drops a switch that has left. Its releases may still be on their way,
// so the link stays: until nothing stands there if it may still run, else for a
// moment, after which what stands is cut.
func (c *Core) retire(m *member, gentle bool) {
	delete(c.members, m.ID)
	m.gentle = gentle
	c.leaving[m] = true
	if gentle {
		c.sweepLeaving()
		return
	}
	time.AfterFunc(cutLinger, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.members[m.ID] == nil {
			c.cutAll(m.ID, EndRemoved)
		}
		c.closeLink(m)
	})
}

// sweepLeaving closes the links to switches that left gently and have no call
// any more.
func (c *Core) sweepLeaving() {
	for m := range c.leaving {
		if !m.gentle {
			continue
		}
		inUse := false
		for _, k := range c.calls {
			inUse = inUse || k.out == m.ID
		}
		if !inUse {
			c.closeLink(m)
		}
	}
}

// closeLink closes the link to a switch that left. A Link's Close waits for
// readers that may be about to take the lock, so it is not called under it.
func (c *Core) closeLink(m *member) {
	if c.closed || !c.leaving[m] {
		return // Close does it, or did
	}
	delete(c.leaving, m)
	c.side.Go(func() error {
		m.link.Close()
		return nil
	})
}

// Members returns the switches as they are listed now, by their ids.
func (c *Core) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		ms = append(ms, m.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return ms
}

// Plan tells the module of weights worked out ahead, valid until a time.
func (c *Core) Plan(e brain.Planned, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		e.Until = c.clock(until)
		c.tellLocked(e)
	}
}

// Stop lets no new call in.
func (c *Core) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
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
		return ErrKnown
	}
	c.calls[s.ID], c.names[k.name] = k, k
	delete(c.ended, s.ID)
	c.owed++
	if c.opt.Seen != nil && !s.Transit && !s.Again {
		c.opt.Seen(s)
	}
	c.group.Go(func() error {
		c.serve(k)
		return nil
	})
	return nil
}

// Errors of Offer.
var (
	ErrBusy  = errors.New("no room for another call")
	ErrKnown = errors.New("the call is known already")
)

// Leave tells that the caller has given its call up or hung up.
func (c *Core) Leave(id uint64) {
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
	case c.stray <- stray{id, links}:
	default:
		c.log.Warn("too many hang-ups of calls that are not known here", "call", fmt.Sprintf("%016x", id))
	}
}

// hangUpStrays tells every switch of such a call's end. It has a goroutine of
// its own, as a switch that does not read would hold up the caller's reader.
func (c *Core) hangUpStrays() error {
	for {
		select {
		case s := <-c.stray:
			for _, l := range s.links {
				l.Release(s.id)
			}
		case <-c.ctx.Done():
			return nil
		}
	}
}

// Verdict is what became of a switch's answer.
type Verdict int

// The verdicts. A switch may say more than belongs to it: only a Late answer
// is of something that stands there and that nobody wants.
const (
	Taken   Verdict = iota
	Copy            // the call stands through that switch already: to be dropped
	Late            // the set-up was given up: what it set up is to be released
	Unknown         // no call of that id was here: to be dropped
)

// Answered tells that a switch answered.
func (c *Core) Answered(host string, id uint64, description []byte) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	_, over := c.ended[id]
	switch {
	case k == nil && !over:
		return Unknown
	case k == nil || k.out != host:
		return Late
	case k.answered:
		return Copy
	}
	k.answered = true
	k.push(reply{answer: true, description: description})
	return Taken
}

// Ended tells that a set-up or a standing call has ended at a switch.
func (c *Core) Ended(host string, id uint64, e End) {
	c.mu.Lock()
	k := c.calls[id]
	_, over := c.ended[id]
	known := k != nil || over
	if k != nil && k.out == host {
		why := EndReleased
		if e.Result != brain.Ended {
			why = EndCutBySwitch
		}
		k.push(reply{end: e, why: why})
	}
	c.mu.Unlock()
	if !known && c.opt.Orphan != nil && (e.Result == brain.Ended || e.Result == brain.Reset) {
		c.opt.Orphan(id, e.Result == brain.Reset)
	}
}

// Group tells the state of the group toward a switch.
func (c *Core) Group(host string, r brain.Report) {
	c.tell(brain.Probed{Host: host, Report: r})
}

// Dead tells that a switch's process is gone: what stood there was cut.
func (c *Core) Dead(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutAll(host, EndProcessGone)
}

// cutAll ends the calls that stand through a switch. The lock is held.
func (c *Core) cutAll(host string, why EndReason) {
	n := 0
	for _, k := range c.calls {
		if k.out == host && k.answered {
			k.push(reply{end: End{Result: brain.Reset}, why: why})
			n++
		}
	}
	if n > 0 {
		c.log.Warn("standing calls cut with their switch", "switch", host, "calls", n, "why", why.String())
	}
}

// ready says whether a switch takes new set-ups by the list as it is now.
func (c *Core) ready(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[host]
	return m != nil && m.State == brain.Ready
}

// Counts returns how many calls wait for an answer and how many stand.
func (c *Core) Counts() (owed, standing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owed, len(c.calls) - c.owed
}

// Settle waits until no call waits for its answer, and with standing set, until
// none stands either.
func (c *Core) Settle(ctx context.Context, standing bool) error {
	for {
		c.mu.Lock()
		done, ch := c.owed == 0 && !(standing && len(c.calls) > 0), c.changed
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends the core: its links close and its calls' goroutines return.
func (c *Core) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, k := range c.calls {
		if k.ctx.Err() == nil {
			k.shut = true // nobody hung up: what stands goes on without this proxy
			k.leave()
		}
	}
	c.mu.Unlock()
	err := c.group.Wait() // ends the context too, and hangUpStrays with it
	c.mu.Lock()
	var links []Link
	for _, m := range c.members {
		links = append(links, m.link)
	}
	for m := range c.leaving {
		links = append(links, m.link)
	}
	clear(c.members)
	clear(c.leaving)
	c.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	return errors.Join(err, c.side.Wait())
}

// isShut says whether a call was left by Close and by nobody else.
func (c *Core) isShut(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.shut || c.ctx.Err() != nil
}

// paid notes that a call's final answer was given.
func (c *Core) paid(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paidLocked(k)
}

func (c *Core) paidLocked(k *call) {
	if !k.paid {
		k.paid = true
		c.owed--
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
	c.paidLocked(k)
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
	if len(c.leaving) > 0 {
		c.sweepLeaving()
	}
}
