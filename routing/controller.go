// Package routing decides for one exchange's call controller where each call is
// set up, when it waits and when it is turned away. Its types, events and
// actions stand in routing/interface.go; everything that is decided stands here.
//
// The ordinary path is Eisenberg's throttle as revised in the discussion of
// his paper (A.3), turned outward. Each far processor has a count of credits
// which starts at its cap. A first set-up spends a credit of the processor
// that it loads first, or waits first-come in that destination's Input Buffer.
// Each tick tests every far processor: 'processor full', a time-out, or
// delays and reports above the mark fail the tick, no evidence passes it. A
// pass adds K credits up to the cap, a fail adds none. What waits past the
// hold is refused. Routes are direct first, else the destination's remembered
// tandem, which is redrawn at random after a block. What departs from this is
// named a departure where it stands, with what it guards against; docs/design.md
// has the list.
package routing

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuned values. All else is derived from the settings or learned.
const (
	minCap       = 10   // credits: the least cap of a count
	ticksPerGoal = 8    // ticks in the shortest goal time
	markPerGoal  = 0.5  // the delay mark, as a share of the shortest goal time
	holdPerGoal  = 0.4  // the hold in the Input Buffer, as a share of the call's goal time
	tickStretch  = 1.03 // step of the tick's length toward half of the tests passing
	tickRange    = 3    // the tick's length stays within this factor of its start
	rateMemory   = 10 * time.Second
	muchDearer   = 2.0 // worth a circuit and second, against another class's: it comes first
	minWindow    = 2   // attempts out at a processor, at least
	waysPerCall  = 0.5 // ways round that may be turned back, for each call that stands; half a block too
	usualSkew    = 4.0 // usual traffic between two exchanges, against an equal share, at most
	guardMost    = 4.0 // reserve of a group whose circuits are worth a call's worth, against the usual
)

// Controller decides for one exchange (or one front of pools). It is not safe
// for use by several goroutines at once.
type Controller struct {
	set    Settings
	rng    *rand.Rand
	now    time.Duration
	out    []Action
	goal   time.Duration // shortest goal time of all classes
	mark   time.Duration // delays above it fail a tick
	claims []bool        // by class: wider or much dearer than another
	tick0  time.Duration // length of a tick before it is learned
	wakeAt time.Duration // when the next Woken is due; 0: none asked for
	due    time.Duration // when the next tick or hold ends
	nextUp time.Duration // when the list is asked for again; 0: not

	hosts   map[string]*far
	fars    []*far       // every processor known, by number and host: the order of all walks
	byNum   map[int]*far // the ready processor of each exchange
	groups  map[int]*group
	calls   map[string]*call
	resting []*call // calls that wait for their release, by time
	numbers map[string]*number
	rate    rate    // first set-ups sent to all
	ways    float64 // ways round that may still be turned back
	sweep   time.Duration

	version uint64 // of the last plan heard of
	until   time.Duration
	planned bool                    // a plan is in force
	weights map[int]map[int]float64 // by destination and tandem
	guards  map[int]float64         // by the exchange that the group leads to
}

// group is the trunk group (or the free agents) toward one exchange.
type group struct {
	free, size int // -1: not known
	tandem     int // the remembered tandem for calls to this exchange; -1: none
	claim      int // circuits left to a blocked call of a wide or dear class
	claimTill  time.Duration
	usual      rate          // first tries of callers to this exchange
	blocks     map[int]pause // of tandems that blocked calls to this exchange
}

// far is the state of one far processor.
type far struct {
	host    string
	number  int
	state   State
	started time.Duration

	credit   float64
	cap      float64
	tick     time.Duration // this processor's tick length, learned under pressure
	nextTick time.Duration
	failed   bool    // evidence against it in this tick
	pressed  bool    // its last tick failed
	sent     int     // first set-ups of this tick
	rate     rate    // first set-ups sent there
	recent   float64 // most first set-ups of a recent passed tick
	waiting  []*call // the Input Buffer, first come first served
	pending  []*call // attempts out, in the order of their sends

	trial pause // between trial calls while it is shut

	coldLeft float64 // set-ups left of this controller's share of the cold budget
	coldAt   time.Duration
	loggedAt time.Duration
}

// call is the state of one call that is owed an answer or has an attempt out.
type call struct {
	id       string
	class    int
	dest     int
	width    int
	number   string
	arrived  time.Duration
	began    time.Duration // arrival of the caller's first try, as far as it is known
	expires  time.Duration
	transit  bool
	owed     bool // the final answer is still ours to give
	sends    int
	tried    []int // exchanges that blocked it
	at       *far  // where an attempt is out
	sentAt   time.Duration
	heldBy   *far // whose Input Buffer it waits in
	restTill time.Duration
	stood    bool
}

// number is what is known of a number called from here.
type number struct {
	began time.Duration // first try of the calls to it that have not stood
	seen  time.Duration // last call to it
	busy  pause         // between calls let through while no line is free
}

// pause is a wait that doubles each time until it is cleared.
type pause struct{ gap, until time.Duration }

func (p *pause) grow(now, first, most time.Duration) {
	p.gap = min(max(2*p.gap, first), most)
	p.until = now + p.gap
}

// rate is an exponentially aged rate per second.
type rate struct {
	v    float64
	last time.Duration
}

func (r *rate) add(now time.Duration) {
	r.v = r.at(now) + 1/rateMemory.Seconds()
	r.last = now
}

func (r *rate) at(now time.Duration) float64 {
	return r.v * math.Exp(-float64(now-r.last)/float64(rateMemory))
}

// New returns a controller, or an error that says which setting it can't serve.
func New(s Settings, seed uint64) (*Controller, error) {
	if len(s.Classes) == 0 {
		return nil, errors.New("settings: no class of call")
	}
	if s.MaxAttempts < 1 {
		return nil, errors.New("settings: no attempt is allowed for a call")
	}
	goal := time.Duration(math.MaxInt64)
	for i, k := range s.Classes {
		if k.GoalTime <= 0 || k.Deadline <= 0 {
			return nil, fmt.Errorf("settings: class %d has no goal time or no deadline", i)
		}
		goal = min(goal, k.GoalTime)
	}
	claims := make([]bool, len(s.Classes))
	for i, k := range s.Classes {
		for _, o := range s.Classes {
			claims[i] = claims[i] || k.Width > o.Width || k.density() > muchDearer*o.density()
		}
	}
	mark := time.Duration(markPerGoal * float64(goal))
	if s.ResendInterval > 0 {
		mark = min(mark, s.ResendInterval) // beyond it every waiting set-up is work again
	}
	return &Controller{
		set:  s,
		rng:  rand.New(rand.NewPCG(seed, 0x7665746368)),
		goal: goal, mark: mark, claims: claims, tick0: goal / ticksPerGoal,
		hosts: map[string]*far{}, byNum: map[int]*far{}, groups: map[int]*group{},
		calls: map[string]*call{}, numbers: map[string]*number{}, ways: minCap,
	}, nil
}

// density is what a class is worth for each circuit and unit of time.
func (k Class) density() float64 {
	return k.Worth / float64(max(k.Width, 1)) / max(k.Hold.Seconds(), 1)
}

// Handle takes one event and returns what is to be done, in order. The slice
// is valid until the next call.
func (c *Controller) Handle(now time.Duration, ev Event) []Action {
	c.now = max(now, c.now)
	c.out = c.out[:0]
	c.lapse()
	switch e := ev.(type) {
	case ListUpdated:
		c.listed(e)
	case Offered:
		c.offered(e)
	case Established:
		c.answered(c.calls[e.Call], e.Attempt, e.Delay)
	case AttemptEnded:
		c.settled(e)
	case Withdrawn:
		if k := c.calls[e.Call]; k != nil {
			c.close(k)
		}
	case Reported:
		c.report(c.hosts[e.Host], e.Report)
	case PlanUpdated:
		c.plan(e)
	}
	c.runDue()
	return c.out
}

func (c *Controller) act(a Action) { c.out = append(c.out, a) }

// plan takes weights worked out ahead into force.
func (c *Controller) plan(e PlanUpdated) {
	if e.Version <= c.version {
		return
	}
	c.version, c.until, c.planned = e.Version, e.ValidUntil, len(e.Weights)+len(e.Guards) > 0
	c.weights, c.guards = map[int]map[int]float64{}, map[int]float64{}
	for _, w := range e.Weights {
		if c.weights[w.Dest] == nil {
			c.weights[w.Dest] = map[int]float64{}
		}
		if w.Weight > 0 && !math.IsInf(w.Weight, 1) {
			c.weights[w.Dest][w.Tandem] = w.Weight
		}
	}
	for _, g := range e.Guards {
		c.guards[g.Toward] = min(max(g.Value, 0), 1)
	}
	for _, g := range c.groups {
		g.tandem = -1 // drawn before the plan was known
	}
}

// lapse ends a plan that is past its time: its loads are another day's.
func (c *Controller) lapse() {
	if c.planned && c.now >= c.until {
		c.planned = false
		c.act(Log{fmt.Sprintf("plan %d is past its time: dropped", c.version)})
	}
}

// runDue does what the clock alone makes due, and asks to be woken for the rest.
func (c *Controller) runDue() {
	for len(c.resting) > 0 && c.resting[0].restTill <= c.now {
		k := c.resting[0]
		c.resting = c.resting[1:]
		if k.owed {
			c.place(k)
		}
	}
	if c.due <= c.now {
		c.due = math.MaxInt64
		for _, f := range c.fars {
			if f.state != Ready {
				continue
			}
			c.due = min(c.due, c.expire(f))
			if f.nextTick <= c.now {
				c.test(f)
			}
			c.due = min(c.due, f.nextTick)
		}
	}
	next := c.due
	if len(c.resting) > 0 {
		next = min(next, c.resting[0].restTill)
	}
	if c.nextUp > c.now {
		next = min(next, c.nextUp)
	} else if c.nextUp > 0 {
		c.nextUp = 0
		c.act(Subscribe{})
	}
	c.forget()
	if next != math.MaxInt64 && (c.wakeAt == 0 || next < c.wakeAt || c.wakeAt <= c.now) {
		c.wakeAt = max(next, c.now+time.Millisecond)
		c.act(SetTimer{c.wakeAt - c.now})
	}
}

// forget drops numbers that were not called for a good while.
func (c *Controller) forget() {
	if c.now < c.sweep {
		return
	}
	c.sweep = c.now + rateMemory
	for key, n := range c.numbers {
		if c.now > n.busy.until+rateMemory && c.now > n.seen+rateMemory {
			delete(c.numbers, key)
		}
	}
}

// ---- the list

func (c *Controller) listed(e ListUpdated) {
	if e.Failed {
		if c.set.SubscribeRequired {
			c.nextUp = c.now + c.goal
		}
		return
	}
	if c.set.SubscribeRequired && len(c.fars) == 0 {
		c.act(Subscribe{})
	}
	present := map[string]bool{}
	for _, en := range e.Entries {
		present[en.Host] = true
		f := c.hosts[en.Host]
		if f == nil {
			f = &far{host: en.Host, cap: minCap, credit: minCap, tick: c.tick0, nextTick: c.now + c.tick0}
			c.hosts[en.Host] = f
			c.fars = append(c.fars, f)
		} else if en.Started > f.started {
			c.open(f) // it was started anew since: what was seen of it no longer counts
		}
		if en.Started > f.started {
			f.coldLeft, f.coldAt = c.rng.Float64(), c.now // one each would be the fleet at once
		}
		f.number, f.state = en.Exchange, en.State
		f.started = max(f.started, en.Started)
		c.groupOf(f.number)
	}
	if e.Complete {
		for _, f := range c.fars {
			if !present[f.host] {
				f.state = Removed
			}
		}
	}
	c.fars = slices.DeleteFunc(c.fars, func(f *far) bool {
		left := f.state == Removed && len(f.pending)+len(f.waiting) == 0
		if left {
			delete(c.hosts, f.host)
		}
		return left
	})
	slices.SortFunc(c.fars, func(a, b *far) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.host, b.host))
	})
	clear(c.byNum)
	c.due = 0
	for _, f := range c.fars {
		if f.state != Ready || !c.set.PoolMode && f.number == c.set.OwnExchange {
			continue
		}
		if o := c.byNum[f.number]; o == nil || f.started > o.started {
			c.byNum[f.number] = f
		}
	}
	for _, f := range c.fars {
		if c.byNum[f.number] == f {
			continue
		}
		held := f.waiting // nothing new goes there: whoever waits is placed anew or refused
		f.waiting = nil
		for _, k := range held {
			k.heldBy = nil
			c.place(k)
		}
	}
}

func (c *Controller) groupOf(n int) *group {
	g := c.groups[n]
	if g == nil {
		g = &group{free: -1, size: -1, tandem: -1, blocks: map[int]pause{}}
		c.groups[n] = g
	}
	return g
}

// report takes in what came with an answer.
func (c *Controller) report(f *far, r Report) {
	if f == nil {
		return
	}
	if r.Size >= 0 {
		g := c.groupOf(f.number)
		g.free, g.size = r.Free, r.Size
	}
	// A queue counts set-ups; an exchange does about two for each that it starts.
	perSec := 2 * max(c.rate.at(c.now), 1)
	wait := r.QueueDelay > c.mark || r.QueueLength/perSec > c.mark.Seconds()
	f.failed = f.failed || wait || r.Utilization >= 1 || r.Throttle > 0 // quite busy, or it asks for less
}

// ---- the throttle

// test ends a tick of one far processor: the design's test job.
func (c *Controller) test(f *far) {
	if len(f.pending) > 0 && c.now-f.pending[0].sentAt > c.mark {
		f.failed = true
	}
	pass := !f.failed && !f.shut()
	if pass {
		f.recent = max(float64(f.sent), f.recent*0.98)
		f.cap = max(minCap, 2*f.recent)
		f.credit = min(f.cap, f.credit+max(float64(len(f.waiting)), 1, f.recent))
	}
	c.stretch(f, pass)
	f.pressed, f.failed, f.sent = !pass, false, 0
	f.nextTick = c.now + f.tick
	c.drain(f)
}

// stretch sets the tick's length so that at very high load, with calls waiting
// or ticks failing, about half of the tests pass: a shorter tick adds credit
// faster. Without pressure it goes back to where it started.
func (c *Controller) stretch(f *far, pass bool) {
	switch {
	case !pass:
		f.tick = time.Duration(float64(f.tick) * tickStretch)
	case len(f.waiting) > 0 || f.pressed || f.tick > c.tick0:
		f.tick = time.Duration(float64(f.tick) / tickStretch)
	case f.tick < c.tick0:
		f.tick = min(c.tick0, time.Duration(float64(f.tick)*tickStretch))
	}
	f.tick = min(max(f.tick, c.tick0/tickRange), c.tick0*tickRange)
}

// expire refuses the held calls that are past their hold and says when the
// next one will be. A tick may last longer than a call has left: the hold has
// a clock of its own, so that every held call is answered in its time.
func (c *Controller) expire(f *far) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, k := range slices.Clone(f.waiting) {
		if end := c.holdEnd(k); end > c.now {
			next = min(next, end)
		} else {
			c.refuse(k) // takes it out of the buffer
		}
	}
	return next
}

// drain lets held calls go, first come first served, while credit lasts.
func (c *Controller) drain(f *far) {
	held := f.waiting
	f.waiting = nil
	for _, k := range held {
		if c.mayLoad(f) {
			k.heldBy = nil
			c.place(k)
		} else {
			f.waiting = append(f.waiting, k)
		}
	}
}

// holdEnd is when a held call is refused: its hold is over or its time nearly up.
func (c *Controller) holdEnd(k *call) time.Duration {
	hold := time.Duration(holdPerGoal * float64(c.class(k).GoalTime))
	return min(k.arrived+hold, k.expires-c.tick0-c.set.ReleaseDelay)
}

func (c *Controller) class(k *call) Class { return c.set.Classes[k.class] }

// mayLoad says whether a first set-up may load this processor now.
//
// Departure: 'no evidence passes' would send K calls a tick into a silent or
// crowded processor. While one is shut (see strike) one call at a time is the test
// job, at growing gaps, until one stands within the mark. It should also hold
// against a cut link or a dead entry of the list; chance failures cost one gap.
func (c *Controller) mayLoad(f *far) bool {
	if f.shut() {
		return len(f.pending) == 0 && c.now >= f.trial.until && c.coldRoom(f)
	}
	return f.credit >= 1 && len(f.pending) < c.window(f) && c.coldRoom(f)
}

// window is how many attempts may be out at a far processor.
//
// Departure: counts rest at their cap, so a crowd could put ten set-ups from
// each exchange on one processor before the first test fails, and tests lag a
// round trip. What is out is what a processor within the mark answers in time,
// twice over; the rest wait as if short of credit. It should hold against any
// sudden rise or slowing; it hurts where traffic to an exchange jumps from little.
func (c *Controller) window(f *far) int {
	least := minWindow
	if !f.pressed {
		least++
	}
	return max(least, int(math.Ceil(2*f.rate.at(c.now)*c.mark.Seconds())))
}

// coldRoom says whether a set-up may be sent to a processor that may be cold.
// Each controller keeps to its own share of what a cold processor stands, so
// that all together do; every kind of send counts.
func (c *Controller) coldRoom(f *far) bool {
	age := c.now - f.started
	if f.started <= 0 || age >= c.set.WarmUpTime || c.set.WarmUpTime <= 0 {
		return true
	}
	window := c.set.OverloadWindow.Seconds()
	warm := c.set.ColdCapacity + (1-c.set.ColdCapacity)*float64(max(age, 0))/float64(c.set.WarmUpTime)
	// A processor does two set-ups for each call that its exchange starts, and is
	// about full then: see share.
	perSec := c.set.OverloadFactor * warm * c.share(f)
	burst := max(1, perSec*window/2)
	f.coldLeft = min(burst, f.coldLeft+perSec*(c.now-f.coldAt).Seconds())
	f.coldAt = c.now
	return f.coldLeft >= 1
}

// strike notes that a processor let an attempt fail. It is shut for a pause
// that grows from the one given, or from the usual time between calls to it.
func (c *Controller) strike(f *far, first time.Duration) {
	f.failed = true
	if !f.shut() {
		c.log(f, "exchange %d sets up no call: one trial call at a time", f.number)
	}
	each := time.Duration(float64(time.Second) / c.share(f))
	f.trial.grow(c.now, max(first, each), 2*max(c.goal, each))
}

func (f *far) shut() bool { return f.trial.gap > 0 }

// share is how many first set-ups a second one controller may expect to send
// there: half of it is alike for all of the fleet, half goes by what callers of
// this exchange usually want there. A processor starts about as many calls as
// end at it, so what this exchange starts is the guide to the others.
func (c *Controller) share(f *far) float64 {
	fair := max(c.rate.at(c.now), 1) / float64(max(c.set.FleetSize, 1))
	return fair + min(c.groupOf(f.number).usual.at(c.now), usualSkew*fair)
}

// open takes a processor back into ordinary service.
func (c *Controller) open(f *far) {
	if f.shut() {
		c.log(f, "exchange %d sets up calls again", f.number)
		f.credit = min(f.credit, 1)
	}
	f.trial = pause{}
}

func (c *Controller) log(f *far, format string, args ...any) {
	if f.loggedAt > 0 && c.now-f.loggedAt < rateMemory/2 {
		return
	}
	f.loggedAt = c.now
	c.act(Log{fmt.Sprintf(format, args...)})
}

// ---- calls and routes

func (c *Controller) offered(e Offered) {
	if c.calls[e.Call] != nil {
		return
	}
	k := &call{id: e.Call, class: min(max(e.Class, 0), len(c.set.Classes)-1), dest: e.Dest,
		width: max(e.Width, 1), number: e.Number, arrived: c.now, began: c.now, expires: e.Expires,
		transit: e.Transit, owed: true}
	c.calls[k.id] = k
	if n := c.numberOf(k); n != nil && !e.Transit {
		again := e.Redial || !c.set.RedialsMarked && c.now < n.seen+c.class(k).Deadline
		if again && n.seen > 0 && !e.AfterCut {
			k.began = n.began
		}
		if k.began == c.now {
			c.groupOf(k.dest).usual.add(c.now)
		}
		n.began, n.seen = k.began, c.now
		if c.now < n.busy.until {
			c.refuse(k) // no line was free there a moment ago: see busy
			return
		}
	}
	c.place(k)
}

func (c *Controller) numberOf(k *call) *number {
	if k.number == "" {
		return nil
	}
	n := c.numbers[k.number]
	if n == nil {
		n = &number{}
		c.numbers[k.number] = n
	}
	return n
}

// late says whether a call can't stand within its goal time any more.
func (c *Controller) late(k *call) bool {
	return !k.transit && c.now >= k.began+c.class(k).GoalTime
}

// place gives an owed call with no attempt out its next step: a send, a place
// in an Input Buffer, or its final answer.
func (c *Controller) place(k *call) {
	d := c.byNum[k.dest]
	if k.transit {
		// A call over two groups must not crowd out two: few free circuits turn it back.
		open := d != nil && k.sends == 0 && !d.shut() && c.coldRoom(d)
		if open && c.room(k.dest, k.width, c.reserve(k.dest)) {
			c.send(k, d)
		} else {
			c.refuse(k)
		}
		return
	}
	down := k.sends >= c.set.MaxAttempts || c.now >= k.expires-c.set.AnswerSlack ||
		d == nil && !c.set.PoolMode || d != nil && d.shut() && !c.mayLoad(d)
	if down || c.late(k) && !c.spare(k, d) {
		c.refuse(k)
		return
	}
	if d != nil && c.room(k.dest, k.width, 0) && !slices.Contains(k.tried, k.dest) && !c.claimed(k) {
		c.load(k, d, d)
		return
	}
	c.claim(k)
	if t := c.tandem(k); t != nil && (c.set.PoolMode || !d.shut()) {
		c.load(k, t, d)
		return
	}
	c.refuse(k)
}

// claim notes that a call of a wide or dear class found no room.
//
// Departure: wide calls find their circuits together less often than narrow
// ones, and a dear call is lost like a cheap one. For a goal time after one was
// blocked, the other classes leave it room on that group and go round. It should
// hold for any class blocked more than others; it hurts where callers don't come again.
func (c *Controller) claim(k *call) {
	if c.claims[k.class] && !c.late(k) && len(k.tried) == 0 {
		g := c.groupOf(k.dest)
		g.claim, g.claimTill = k.width, c.now+c.class(k).GoalTime
	}
}

// claimed says whether the last circuits are left to a call that was blocked;
// one of a class that may claim ends the claim.
func (c *Controller) claimed(k *call) bool {
	g := c.groupOf(k.dest)
	if c.claims[k.class] {
		g.claimTill = 0
	}
	return c.now < g.claimTill && !c.room(k.dest, k.width, g.claim)
}

// spare says whether there is more than enough for a late call.
//
// Departure: to the design redials are fresh calls and spend credit twice. One
// whose first try is past its goal time earns little and would take the
// credit and the circuits of calls still in time, so it goes direct on what
// they leave, or is refused. It should hold against any crowd that returns;
// it hurts where a late call is worth nearly as much.
func (c *Controller) spare(k *call, d *far) bool {
	return d != nil && !d.pressed && len(d.waiting) == 0 && c.room(k.dest, k.width, c.reserve(k.dest))
}

// load sends a first set-up on credit or puts it behind those that wait.
func (c *Controller) load(k *call, f, buffer *far) {
	// Departure: under pressure the last place in the window is for classes that may
	// claim circuits, before those that wait: a queue makes dear calls late first. It
	// hurts where such calls are most of the traffic, and the others wait.
	scarce := f.pressed && !c.claims[k.class] && len(f.pending) >= c.window(f)-1
	turn := len(f.waiting) == 0 || k.arrived < f.waiting[0].arrived || f.pressed && c.claims[k.class]
	if turn && !scarce && c.mayLoad(f) {
		f.credit = max(0, f.credit-1)
		f.sent++
		c.rate.add(c.now)
		f.rate.add(c.now)
		c.send(k, f)
		return
	}
	if c.now >= c.holdEnd(k) {
		c.refuse(k)
		return
	}
	if buffer == nil {
		buffer = f
	}
	k.heldBy = buffer
	buffer.waiting = append(buffer.waiting, k)
	c.due = min(c.due, c.holdEnd(k))
}

// room says whether the group toward an exchange has so many free circuits left.
func (c *Controller) room(n, width, reserve int) bool {
	g := c.groupOf(n)
	return g.free < 0 || g.free >= width+reserve
}

// reserve is the number of circuits of a group that are kept for direct calls.
func (c *Controller) reserve(n int) int {
	if c.set.PoolMode {
		return 0
	}
	size := max(c.groupOf(n).size, 0)
	keep := math.Sqrt(float64(size)) / 2
	if c.planned && len(c.guards) > 0 {
		keep *= 1 + (guardMost-1)*c.guards[n] // what is dear to direct calls is kept for them
	}
	return min(int(math.Ceil(keep)), size/4)
}

// tandem is the way round for a call whose direct group is full: the tandem
// remembered for the destination, else another drawn at random. An exchange to
// which this one has many free circuits is likely large, with room to the
// destination too, where others have few circuits there or no group at all: the
// draw goes by the cube of the free circuits. It hurts where all draw the same one.
//
// Departure: with a plan the draw goes by its weight, which knows the second leg and
// what others send there, times the room of the own group; those that left have no
// part in it. Tandems without a weight are drawn as above when no other will do. It
// should hold while loads are near the plan's; it hurts when they have moved on.
func (c *Controller) tandem(k *call) *far {
	g := c.groupOf(k.dest)
	var pick, best *far
	sum, heavy := 0, 0.0
	for _, f := range c.fars {
		if c.ways < 1 || c.byNum[f.number] != f || f.number == k.dest || slices.Contains(k.tried, f.number) ||
			f.shut() || f.pressed || !c.mayLoad(f) || c.now < g.blocks[f.number].until ||
			c.set.PoolMode && !slices.Contains(c.class(k).Pools, f.number) ||
			!c.room(f.number, k.width, c.reserve(f.number)) {
			continue
		}
		if f.number == g.tandem {
			return f
		}
		n := max(1, c.groupOf(f.number).free)
		if w := c.weights[k.dest][f.number]; c.planned && w > 0 {
			if w *= float64(n); c.rng.Float64()*(heavy+w) >= heavy {
				best = f
			}
			heavy += w
			continue
		}
		if sum += n * n * n; c.rng.IntN(sum) < n*n*n {
			pick = f
		}
	}
	if best != nil {
		pick = best
	}
	if pick != nil {
		g.tandem = pick.number
	}
	return pick
}

// send puts an attempt out, with a time-out at the end of the call's use.
func (c *Controller) send(k *call, f *far) {
	f.coldLeft--
	g := c.groupOf(f.number)
	if g.free >= 0 {
		g.free = max(0, g.free-k.width)
	}
	left := k.expires - c.now
	if goal := k.began + c.class(k).GoalTime - c.now; !k.transit && goal > 0 {
		left = min(left, goal)
	}
	k.at, k.sentAt = f, c.now
	k.sends++
	f.pending = append(f.pending, k)
	c.act(Send{Call: k.id, Host: f.host, Timeout: left})
}

// ---- answers

// answered takes in that an attempt is through.
func (c *Controller) answered(k *call, attempt int, delay time.Duration) {
	if k == nil || k.at == nil || attempt != k.sends-1 || k.stood {
		return
	}
	f := k.at
	c.unpend(f, k)
	k.stood, k.owed = true, false
	if delay > c.mark {
		f.failed = true
	} else {
		c.open(f) // a late answer does not end the trials
		if !k.transit {
			c.ways = min(minCap, c.ways+waysPerCall)
		}
	}
	c.overtaken(f, k)
	if f.number != k.dest {
		g := c.groupOf(k.dest)
		g.tandem = f.number
		delete(g.blocks, f.number)
		if d := c.byNum[k.dest]; d != nil {
			c.open(d)
		}
	}
	if n := c.numbers[k.number]; n != nil {
		n.busy, n.seen = pause{}, 0 // the next call to it is a first try
	}
}

// overtaken calls off direct attempts that one sent clearly later has passed.
//
// Departure: a processor serves in order, so they were lost on the way; their
// calls are tried again after the release. This guards against links that lose
// set-ups; it hurts where set-ups are not served in order.
func (c *Controller) overtaken(f *far, k *call) {
	for _, p := range f.pending {
		if c.set.CancelAllowed && p.owed && !p.transit && p.dest == k.dest && f.number == k.dest &&
			p.sentAt+c.tick0 < k.sentAt {
			p.sentAt = c.now // called off once; its age is no evidence any more
			c.act(Cancel{Call: p.id, Attempt: p.sends - 1})
		}
	}
}

func (c *Controller) unpend(f *far, k *call) {
	f.pending = slices.DeleteFunc(f.pending, func(p *call) bool { return p == k })
}

// settled takes in how an attempt ended and gives its call the next step.
func (c *Controller) settled(e AttemptEnded) {
	c.report(c.hosts[e.Host], e.Report)
	k := c.calls[e.Call]
	if k == nil || k.at == nil || e.Attempt != k.sends-1 {
		return
	}
	f := k.at
	c.unpend(f, k)
	k.at = nil
	k.owed = k.owed && !e.CallEnded
	if !k.stood {
		c.learn(k, f, e)
	}
	if !k.owed {
		delete(c.calls, k.id)
		return
	}
	c.goOn(k, f, e)
}

// learn takes the evidence of an attempt that did not stand.
func (c *Controller) learn(k *call, f *far, e AttemptEnded) {
	direct := f.number == k.dest
	switch e.Result {
	case TimedOut:
		f.failed = true
		if direct && e.Delay > c.mark {
			c.strike(f, c.goal/2)
		}
	case NotReached:
		c.strike(f, c.goal/2)
	case Refused:
		switch e.Cause {
		case CauseProcessorFull:
			c.strike(f, max(c.tick0, min(e.RetryAfter, c.goal)))
		case CauseDestinationFull:
			if d := c.byNum[k.dest]; d != nil {
				c.strike(d, c.tick0)
			}
		default:
			c.open(f)
		}
	case Failed:
		c.open(f)
		if e.Cause == CauseNumberBusy {
			c.busy(k)
		}
	}
	if !direct && e.Result != Ended && e.Result != Failed && e.Result != NotSent {
		c.blocked(c.groupOf(k.dest), f.number)
	}
}

// blocked notes that a way round to an exchange did not work: its tandem is
// forgotten, and rests for calls there for growing gaps.
//
// Departure: ways round have a count of their own. A block spends one of it, or
// half where no group leads there and a tandem is the ordinary way; a call that
// stands within the mark adds to it up to the cap. At full trunk groups nearly
// all ways round are blocked, and each block is work for two processors and
// stands no call. It should also hold against a cut region and a slow
// destination; it hurts where full groups are many and processors idle.
func (c *Controller) blocked(g *group, tandem int) {
	if g.tandem == tandem {
		g.tandem = -1
	}
	p := g.blocks[tandem]
	p.grow(c.now, c.tick0, 2*c.goal)
	g.blocks[tandem] = p
	if c.ways--; g.size == 0 {
		c.ways += waysPerCall // a tandem is the ordinary way there
	}
}

// busy notes that no line of a number was free.
//
// Departure: calls to a number that was busy are refused before they spend
// credit, but for one at growing gaps, so that a crowd on one number does not
// queue before ordinary calls. It should hold against any number that can't
// take its calls; it hurts a number with a line just freed, by one gap.
func (c *Controller) busy(k *call) {
	if n := c.numberOf(k); n != nil {
		n.busy.grow(c.now, c.goal/2, 4*c.goal)
	}
}

// goOn decides what becomes of a call whose attempt ended without standing.
//
// A fault in signalling says nothing of the next set-up: such a call is tried
// again on credit. This guards against an exchange that answers a share of its
// set-ups with faults; it is waste where all fail, up to the attempts allowed.
func (c *Controller) goOn(k *call, f *far, e AttemptEnded) {
	again := !k.transit && !c.late(k) && k.sends < c.set.MaxAttempts
	switch e.Result {
	case TimedOut, Reset, Cancelled:
		if again && c.now+c.set.ReleaseDelay < k.expires-c.tick0 {
			k.restTill = c.now + c.set.ReleaseDelay
			c.resting = append(c.resting, k)
			return
		}
	default:
		fault := e.Result == Failed && e.Cause != CauseNumberBusy
		blocked := e.Cause == CauseNoCircuit || e.Cause == CauseTurnedBack
		round := f.number != k.dest && e.Result != NotSent &&
			e.Cause != CauseDestinationFull && e.Cause != CauseNumberBusy
		if again && (fault || blocked || round) {
			if !fault || round {
				k.tried = append(k.tried, f.number)
			}
			c.place(k)
			return
		}
	}
	if e.Result == Refused || e.Result == NotSent || k.transit {
		c.refuse(k)
		return
	}
	c.act(Fail{Call: k.id})
	c.close(k)
}

// refuse turns a call away for good.
func (c *Controller) refuse(k *call) {
	if k.owed {
		c.act(Refuse{Call: k.id, RetryAfter: c.comeBack(k)})
	}
	c.close(k)
}

// comeBack says when a call that is refused now may be tried again: past the
// pauses of its number and its exchange, and not before circuits may be free.
func (c *Controller) comeBack(k *call) time.Duration {
	after := c.goal / 2
	if n := c.numbers[k.number]; n != nil {
		after = max(after, n.busy.until-c.now)
	}
	if d := c.byNum[k.dest]; d != nil && d.shut() {
		after = max(after, d.trial.until-c.now)
	}
	return after
}

// close ends what is owed; the call is kept while an attempt of it is out.
func (c *Controller) close(k *call) {
	k.owed = false
	if f := k.heldBy; f != nil {
		f.waiting = slices.DeleteFunc(f.waiting, func(w *call) bool { return w == k })
		k.heldBy = nil
	}
	if k.at == nil {
		delete(c.calls, k.id)
	}
}
