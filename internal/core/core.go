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
	// Caution makes the link verify a silent switch sooner until some time.
	Caution(until time.Time)
	// Unproven says whether calls that stand there may be over: the switch is silent,
	// and a verification failed.
	Unproven() bool
	// Leave says that the switch has gone: nothing new is to be opened to its address.
	Leave()
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
	// Open makes the link to a member, which tells the peer what it hears. It must
	// not block.
	Open func(m Member, peer *Peer) (Link, error)
	// UnknownRelease is told of the end of a call that is not known here: it stood
	// through this proxy before its restart, and its caller must hear of it.
	UnknownRelease func(id uint64, cut bool)
	MaxCalls       int
	Observer       Observer // nil: nobody counts
	// Seen, if set, is told of each call that is taken from a caller of this exchange.
	// It must not block.
	Seen func(s *SetUp)
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
	brain      *brain.Controller
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
	Member
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
		calls: map[uint64]*call{}, names: map[string]*call{}, members: map[string]*member{}, draining: map[*member]bool{},
		ended: map[uint64]time.Time{}, changed: make(chan struct{}), expired: make(chan struct{}), unknownEnds: make(chan unknownEnd, maxUnknownEnds)}
	c.side.Go(c.hangUpUnknown)
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
	case k.actions <- a:
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
	// Graceful: a switch that was removed may still run, and what stands there goes
	// on. Otherwise it is gone, and its calls with it.
	Graceful bool
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
	if !l.Graceful {
		ms = c.withDisplaced(ms, l.Source)
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

// withDisplaced puts before entries those switches as gone whose address another switch
// has by them: it can only have it after they had gone.
func (c *Core) withDisplaced(entries []Member, source string) []Member {
	var gone []Member
	for _, e := range entries {
		if e.State == brain.Gone {
			continue
		}
		for _, m := range c.members {
			if m.Addr == e.Addr && m.ID != e.ID && m.source == source && !listedElsewhere(entries, m.Member) {
				displaced := m.Member
				displaced.State = brain.Gone
				gone = append(gone, displaced)
			}
		}
	}
	return append(gone, entries...)
}

// listedElsewhere says whether entries give a switch another address, or say that it has
// gone themselves.
func listedElsewhere(entries []Member, m Member) bool {
	return slices.ContainsFunc(entries, func(e Member) bool {
		return e.ID == m.ID && (e.Addr != m.Addr || e.State == brain.Gone)
	})
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
			c.remove(old, l.Graceful)
		}
		return true
	}
	if old != nil && old.Addr == m.Addr {
		if !old.Started.Equal(m.Started) {
			c.cutAll(old, EndRestarted, m.Started) // what stood there before is cut
		}
		old.Member = m
		return true
	}
	added := &member{Member: m, source: l.Source}
	link, err := c.opt.Open(m, &Peer{c, added})
	if err != nil {
		c.log.Error("a listed switch can't be used", "switch", m.ID, "addr", m.Addr, "error", err)
		return false
	}
	added.link = link
	if old != nil {
		c.remove(old, l.Graceful)
	}
	c.members[m.ID] = added
	return true
}

// remove drops a switch that has left. Its releases may still be on their way, so the link
// stays: until nothing stands there if it may still run, else for a moment, after which
// what stands is cut.
func (c *Core) remove(m *member, graceful bool) {
	delete(c.members, m.ID)
	m.graceful = graceful
	c.draining[m] = true
	if graceful {
		c.sweepDraining()
		return
	}
	m.link.Leave()
	time.AfterFunc(removedLinger, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cutAll(m, EndRemoved, time.Now())
		time.AfterFunc(lastWords, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.closeLink(m)
		})
	})
}

// sweepDraining closes the links to switches that were removed gracefully and have no
// call any more.
func (c *Core) sweepDraining() {
	for m := range c.draining {
		if !m.graceful {
			continue
		}
		inUse := false
		for _, k := range c.calls {
			inUse = inUse || k.out == m
		}
		if !inUse {
			c.closeLink(m)
		}
	}
}

// closeLink closes the link to a switch that was removed. A Link's Close waits for
// readers that may be about to take the lock, so it is not called under it.
func (c *Core) closeLink(m *member) {
	if c.closed || !c.draining[m] {
		return // Close does it, or did
	}
	delete(c.draining, m)
	c.side.Go(func() error {
		m.link.Close()
		return nil
	})
}

// Caution says that evidence is missing, as when the list of switches can't be had: the
// links verify silent switches sooner for some time.
func (c *Core) Caution() { c.caution(time.Now().Add(cautionFor)) }

func (c *Core) caution(until time.Time) {
	for _, m := range c.allMembers() {
		m.link.Caution(until)
	}
}

// allMembers returns the switches that are listed or draining.
func (c *Core) allMembers() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := make([]*member, 0, len(c.members)+len(c.draining))
	for _, m := range c.members {
		ms = append(ms, m)
	}
	for m := range c.draining {
		ms = append(ms, m)
	}
	return ms
}

// EndUnproven ends the calls that stand at switches of which nothing was heard for some
// time, and returns once their callers were told. A proxy does so before it stops: nobody
// else knows of these calls, and if they are over no release will say so.
func (c *Core) EndUnproven(ctx context.Context) {
	var cut []*call
	for _, m := range c.allMembers() {
		if m.link.Unproven() {
			c.mu.Lock()
			cut = append(cut, c.cutAll(m, EndShutdown, time.Now())...)
			c.mu.Unlock()
		}
	}
	for _, k := range cut {
		select {
		case <-k.over:
		case <-ctx.Done():
			return
		}
	}
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

// FailUnanswered gives every call that waits for its final answer that it failed. A proxy
// that is about to be killed does so: its callers would wait in vain.
func (c *Core) FailUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.expired:
	default:
		close(c.expired)
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
		return ErrKnown
	}
	c.calls[s.ID], c.names[k.name] = k, k
	delete(c.ended, s.ID)
	c.unanswered++
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
	return c.members[m.ID] == m && m.State == brain.Ready
}

// Counts returns how many calls wait for an answer and how many stand.
func (c *Core) Counts() (unanswered, standing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, len(c.calls) - c.unanswered
}

// Settle waits until no call waits for its answer, and with standing set, until
// none stands either.
func (c *Core) Settle(ctx context.Context, standing bool) error {
	for {
		c.mu.Lock()
		done, ch := c.unanswered == 0 && !(standing && len(c.calls) > 0), c.changed
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
	err := c.group.Wait() // ends the context too, and hangUpUnknown with it
	c.mu.Lock()
	var links []Link
	for _, m := range c.members {
		links = append(links, m.link)
	}
	for m := range c.draining {
		links = append(links, m.link)
	}
	clear(c.members)
	clear(c.draining)
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
