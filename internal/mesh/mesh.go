// Package mesh emulates, on a virtual clock, a mesh of exchanges that call
// controllers serve: trunk groups used from both ends, processors with one line,
// callers that dial again, a list that is seconds late. It hosts the real
// routing.Controller, one an exchange, or any other decider. One seed decides a run:
// the same Config gives the same trace hash.
//
// It is a model, and simpler than the world: every link has the same delay law, a
// number always has a free line, a caller's patience is a set share of the class's
// deadline, nobody hears advice on when to dial again, controllers don't talk to
// each other, no connection breaks without its exchange, and a call that was cut
// does not come again. docs/plan.md says what it was checked against.
package mesh

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"violetspan.example/violetspan/routing"
)

// Class is a class of call.
type Class struct {
	Name      string
	Width     int
	Hold      time.Duration // mean, exponential
	GoalTime  time.Duration
	Deadline  time.Duration
	Worth     float64
	LateShare float64 // of the worth, for a call that stands past its goal
}

// Group is a trunk group between exchanges A and B.
type Group struct{ A, B, Circuits int }

// Flow is what is offered of a class from one exchange to another.
type Flow struct {
	Class, From, To int
	Rate            float64 // first tries a second
}

// Work is what a processor has to do, in set-ups.
type Work struct{ Lookup, Answer, Release, Reject, Repeat float64 }

// Fault is a stretch in which something is wrong.
type Fault struct {
	From, To  time.Duration
	Exchanges []int   // nil: all
	Slowdown  float64 // processors take so many times as long; 0: as usual
	Burst     float64 // calls come so many times as often; 0: as usual
	Down      bool    // processors are down, and start cold afterwards
}

// Config is one run.
type Config struct {
	Seed          uint64
	Length        time.Duration // calls arrive for so long; then the run plays out
	CountFrom     time.Duration // first tries before this are not counted
	Exchanges     int
	Classes       []Class
	Groups        []Group
	Flows         []Flow
	SetUpWork     []time.Duration // by exchange: a set-up's work at full speed
	Work          Work
	MaxWait       []time.Duration // by exchange: set-ups are turned away beyond this wait
	LinkDelay     [2]time.Duration
	WaveAmplitude float64       // calls wave by this share ...
	WavePeriod    time.Duration // ... over this; 0: steady
	DriftCV       float64       // each pair's rate is redrawn with this coefficient of variation ...
	DriftInterval [2]time.Duration
	TryShare      float64 // of the deadline, after which a caller gives a try up
	MaxRedials    int
	Backoff       [2]time.Duration
	ListDelay     [2]time.Duration // the list is late by so much
	ColdCapacity  float64
	WarmUpTime    time.Duration
	Faults        []Fault
	NewPolicy     routing.Factory
	// ExtraEvents is called for each exchange once its decider has been told of the list,
	// also after a restart: for what reaches a decider by other ways.
	ExtraEvents func(exchange int, now time.Duration) []routing.Event
	// ExtraEventsInterval calls Tell for all exchanges each time it has passed; 0: never.
	ExtraEventsInterval time.Duration
	// CheckCircuits counts the circuits of every group anew after every event.
	CheckCircuits bool
	// OnFirstTry is told of each first try, if set.
	OnFirstTry func(now time.Duration, class, from, to int)
}

// Rest and other times that the rules give.
const (
	release     = 500 * time.Millisecond
	resend      = 800 * time.Millisecond
	answerSlack = 20 * time.Millisecond
	fallFactor  = 4.0
	fallWindow  = 2 * time.Second
	mostTries   = 5
)

func (c *Config) check() error {
	for _, n := range []struct {
		key string
		ok  bool
	}{{"exchanges: 2 to 256", c.Exchanges >= 2 && c.Exchanges <= maxExchanges}, {"classes: at least one", len(c.Classes) > 0},
		{"set_up: one an exchange", len(c.SetUpWork) == c.Exchanges}, {"max_wait: one an exchange", len(c.MaxWait) == c.Exchanges},
		{"length: above 0 and at most an hour", c.Length > 0 && c.Length <= time.Hour}, {"make: missing", c.NewPolicy != nil},
		{"redials: 0 to 16", c.MaxRedials >= 0 && c.MaxRedials <= 16}, {"try_share: above 0 and at most 1", c.TryShare > 0 && c.TryShare <= 1}} {
		if !n.ok {
			return fmt.Errorf("mesh: %s", n.key)
		}
	}
	for i, w := range c.SetUpWork {
		if w <= 0 {
			return fmt.Errorf("mesh: set_up[%d]: not above 0", i)
		}
	}
	for i, g := range c.Groups {
		if g.A < 0 || g.B < 0 || g.A >= c.Exchanges || g.B >= c.Exchanges || g.A == g.B || g.Circuits < 0 {
			return fmt.Errorf("mesh: groups[%d]: %+v can't be", i, g)
		}
	}
	for i, f := range c.Flows {
		if f.Class < 0 || f.Class >= len(c.Classes) || f.From < 0 || f.To < 0 || f.From >= c.Exchanges ||
			f.To >= c.Exchanges || f.From == f.To || !(f.Rate >= 0) || f.Rate > 1e6 {
			return fmt.Errorf("mesh: flows[%d]: %+v can't be", i, f)
		}
	}
	return nil
}

// group is one trunk group's state.
type group struct {
	a, b, size, free int
}

// exchange is one exchange: its processor, its decider and what that one owes.
type exchange struct {
	no      int
	proc    processor
	d       routing.Policy
	groups  []*group // by far exchange; nil: none
	tries   map[string]*try
	up      bool
	epoch   int           // raised at each start
	started time.Duration // of the last start; 0: long ago
	wakeAt  time.Duration
	told    []bool // by far exchange: news of the group is on its way
	legs    map[*attempt]bool
	budget  float64 // of the cold rule
	budgAt  time.Duration
	state   routing.State // as the list will say
}

// caller is a caller's wish, over all his tries.
type caller struct {
	no       int
	class    int
	from, to int
	first    time.Duration
	hold     time.Duration
	tries    int
	counted  bool // from Warm on
	stood    bool
	pause    time.Duration
	number   string
	took     time.Duration // from the first try to the answer
}

// try is a call as a decider is offered it, by a caller or by another exchange.
type try struct {
	key     string
	x       *exchange
	c       *caller
	expires time.Duration
	parent  *attempt // of the exchange that passed it on; nil: a caller's
	owed    bool     // the final answer
	sent    int
	out     *attempt
	beyond  bool // the last attempt met a full processor
	rest    time.Duration
}

// attempt is one set-up toward another exchange, with the circuits it holds.
type attempt struct {
	t        *try
	no       int
	to       int
	g        *group
	sentAt   time.Duration
	phase    phase
	holds    bool // its circuits
	child    *try // at the tandem
	answered bool // at the far end
}

type phase uint8

const (
	out     phase = iota // waits for its answer
	stands               // holds until its end
	givenUp              // timed out, called off or left: nothing is due
	ended
)

// Mesh is one run.
type Mesh struct {
	*engine
	cfg    Config
	set    routing.Settings
	xs     []*exchange
	groups []*group
	wire   *rand.Rand // link delays
	res    Result
	keys   int
	err    error
	drift  []float64 // by flow
	peak   float64
}

// Run plays a run out. An error is a bad Config, a decider that did what no
// exchange can carry out, or circuits that did not add up.
func Run(cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Mesh{engine: newEngine(), cfg: cfg, wire: rand.New(rand.NewPCG(cfg.Seed, 2))}
	m.res.begin(&cfg)
	m.set = routing.Settings{FleetSize: cfg.Exchanges, MaxAttempts: mostTries, ReleaseDelay: release, ResendInterval: resend,
		WarmUpTime: cfg.WarmUpTime, ColdCapacity: cfg.ColdCapacity, OverloadFactor: fallFactor, OverloadWindow: fallWindow,
		AnswerSlack: answerSlack, CancelAllowed: true}
	for _, k := range cfg.Classes {
		m.set.Classes = append(m.set.Classes, routing.Class{GoalTime: k.GoalTime, Deadline: k.Deadline, Hold: k.Hold, Worth: k.Worth, Width: k.Width})
	}
	for i := range cfg.Exchanges {
		x := &exchange{no: i, groups: make([]*group, cfg.Exchanges), told: make([]bool, cfg.Exchanges), legs: map[*attempt]bool{}}
		x.proc = processor{e: m.engine, id: uint32(i), speed: func(now time.Duration) float64 { return m.speed(x, now) }}
		m.xs = append(m.xs, x)
	}
	for _, g := range cfg.Groups {
		h := &group{a: g.A, b: g.B, size: g.Circuits, free: g.Circuits}
		if m.xs[g.A].groups[g.B] != nil {
			return nil, fmt.Errorf("mesh: exchanges %d and %d have two groups", g.A, g.B)
		}
		m.xs[g.A].groups[g.B], m.xs[g.B].groups[g.A] = h, h
		m.groups = append(m.groups, h)
	}
	for _, x := range m.xs {
		m.start(x, 0)
	}
	m.troubles()
	m.traffic()
	if cfg.ExtraEventsInterval > 0 {
		m.again()
	}
	end := cfg.Length + m.playOut()
	for m.err == nil && m.step(end) {
		if cfg.CheckCircuits {
			m.conserve()
		}
	}
	if m.err == nil {
		m.conserve()
	}
	if m.err != nil {
		return nil, fmt.Errorf("mesh: seed %d at %v, event %d: %w", cfg.Seed, m.now, m.steps, m.err)
	}
	m.res.finish(m)
	return &m.res, nil
}

// playOut is how long the last calls may take to be answered.
func (m *Mesh) playOut() time.Duration {
	d := time.Duration(0)
	for _, k := range m.cfg.Classes {
		d = max(d, time.Duration(float64(k.Deadline)*m.cfg.TryShare))
	}
	return time.Duration(m.cfg.MaxRedials+1) * (d + m.cfg.Backoff[1])
}

func (m *Mesh) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// speed is how fast a processor works now.
func (m *Mesh) speed(x *exchange, now time.Duration) float64 {
	v := 1.0
	for _, t := range m.cfg.Faults {
		if t.Slowdown > 0 && now >= t.From && now < t.To && (t.Exchanges == nil || slices.Contains(t.Exchanges, x.no)) {
			v /= t.Slowdown
		}
	}
	if age := now - x.started; x.started > 0 && age < m.cfg.WarmUpTime {
		v *= m.cfg.ColdCapacity + (1-m.cfg.ColdCapacity)*float64(age)/float64(m.cfg.WarmUpTime)
	}
	return v
}

func host(no int) string { return hosts[no] }

// maxExchanges bounds a mesh.
const maxExchanges = 256

var hosts = func() (names [maxExchanges]string) {
	for i := range names {
		names[i] = fmt.Sprintf("x%03d", i)
	}
	return names
}()

// start brings an exchange up with a decider that knows nothing but its list.
func (m *Mesh) start(x *exchange, cold time.Duration) {
	x.up, x.started, x.epoch, x.wakeAt = true, cold, x.epoch+1, 0
	x.tries = map[string]*try{}
	s := m.set
	s.OwnExchange = x.no
	var err error
	if x.d, err = m.cfg.NewPolicy(s, m.cfg.Seed*1009+uint64(x.no)*31+uint64(x.epoch)); err != nil {
		m.fail("exchange %d: %w", x.no, err)
		return
	}
	list := routing.ListUpdated{Complete: true}
	for _, o := range m.xs {
		list.Entries = append(list.Entries, routing.ListEntry{Host: host(o.no), Exchange: o.no, Started: o.started, State: o.state})
	}
	m.tell(x, list)
	for far := range m.xs {
		m.news(x, far)
	}
	if m.cfg.ExtraEvents != nil {
		for _, ev := range m.cfg.ExtraEvents(x.no, m.now) {
			m.tell(x, ev)
		}
	}
}

func (m *Mesh) again() {
	m.after(m.cfg.ExtraEventsInterval, 'A', 0, func() {
		for _, x := range m.xs {
			for _, ev := range m.cfg.ExtraEvents(x.no, m.now) {
				if x.up {
					m.tell(x, ev)
				}
			}
		}
		m.again()
	})
}

// tell brings an event to an exchange's decider as the next thing that happens.
func (m *Mesh) tell(x *exchange, ev routing.Event) {
	epoch := x.epoch
	m.after(0, 'E', uint32(x.no), func() {
		if x.epoch == epoch && x.up {
			m.handle(x, ev)
		}
	})
}

// handle lets the decider act. Nothing that it orders comes back to it before it
// is done: all goes by the queue of events.
func (m *Mesh) handle(x *exchange, ev routing.Event) {
	if o, ok := ev.(routing.Offered); ok && x.tries[o.Call] == nil {
		return // the caller has left meanwhile
	}
	for _, a := range x.d.Handle(m.now, ev) {
		switch a := a.(type) {
		case routing.Send:
			m.send(x, a)
		case routing.Refuse:
			m.answer(x, a.Call)
		case routing.Fail:
			m.answer(x, a.Call)
		case routing.Cancel:
			if t := x.tries[a.Call]; t != nil && t.out != nil && t.out.no == a.Attempt && t.out.phase == out {
				m.giveUp(t.out, routing.Cancelled)
			}
		case routing.SetTimer:
			at := m.now + a.After
			epoch := x.epoch
			m.at(at, 'W', uint32(x.no), func() {
				if x.epoch == epoch && x.up {
					m.handle(x, routing.TimerFired{})
				}
			})
		}
	}
}

// news tells a decider the state of a group, once for all changes of a moment.
func (m *Mesh) news(x *exchange, far int) {
	if x.told[far] || far == x.no {
		return
	}
	x.told[far] = true
	m.after(0, 'N', uint32(x.no), func() {
		x.told[far] = false
		if x.up {
			m.handle(x, routing.Reported{Host: host(far), Report: m.report(x, far)})
		}
	})
}

func (m *Mesh) report(x *exchange, far int) routing.Report {
	r := routing.NoReport
	r.Free, r.Size = 0, 0
	if g := x.groups[far]; g != nil {
		r.Free, r.Size = g.free, g.size
	}
	return r
}

// take and give move circuits; both ends hear of it.
func (m *Mesh) take(a *attempt) {
	a.holds = true
	a.g.free -= m.width(a)
	a.t.x.legs[a] = true
	m.news(m.xs[a.g.a], a.g.b)
	m.news(m.xs[a.g.b], a.g.a)
}

func (m *Mesh) give(a *attempt) {
	if !a.holds {
		return
	}
	a.holds = false
	a.g.free += m.width(a)
	delete(a.t.x.legs, a)
	m.news(m.xs[a.g.a], a.g.b)
	m.news(m.xs[a.g.b], a.g.a)
}

func (m *Mesh) width(a *attempt) int { return m.cfg.Classes[a.t.c.class].Width }

// conserve counts the circuits of every group anew.
func (m *Mesh) conserve() {
	held := map[*group]int{}
	for _, x := range m.xs {
		for a := range x.legs {
			if !a.holds {
				m.fail("an attempt is listed and holds nothing")
			}
			held[a.g] += m.width(a)
		}
	}
	for _, g := range m.groups {
		if g.free < 0 || g.free+held[g] != g.size {
			m.fail("group %d-%d: %d free and %d held of %d", g.a, g.b, g.free, held[g], g.size)
		}
	}
}

func (m *Mesh) delay() time.Duration { return between(m.wire, m.cfg.LinkDelay) }

func between(r *rand.Rand, span [2]time.Duration) time.Duration {
	if span[1] <= span[0] {
		return span[0]
	}
	return span[0] + time.Duration(r.Float64()*float64(span[1]-span[0]))
}

func (m *Mesh) work(x *exchange, share float64) time.Duration {
	return time.Duration(share * float64(m.cfg.SetUpWork[x.no]))
}

// ---- traffic

// traffic plans the arrivals of each flow. Each flow has random numbers of its own,
// so that what callers want is the same whatever a decider does.
func (m *Mesh) traffic() {
	m.peak = m.most()
	m.drift = make([]float64, len(m.cfg.Flows))
	for i := range m.drift {
		m.drift[i] = 1
	}
	if m.cfg.DriftCV > 0 && m.cfg.DriftInterval[0] > 0 {
		m.redrift(rand.New(rand.NewPCG(m.cfg.Seed, 3)))
	}
	for i, f := range m.cfg.Flows {
		if f.Rate > 0 {
			m.arrive(i, rand.New(rand.NewPCG(m.cfg.Seed, 1000+uint64(i))), 0)
		}
	}
}

// redrift redraws where calls go; the sum of all rates stays.
func (m *Mesh) redrift(r *rand.Rand) {
	sigma := math.Sqrt(math.Log(1 + m.cfg.DriftCV*m.cfg.DriftCV))
	pairs := map[[2]int]float64{}
	was, is := 0.0, 0.0
	for i, f := range m.cfg.Flows {
		k := [2]int{f.From, f.To}
		if _, ok := pairs[k]; !ok {
			pairs[k] = math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
		}
		m.drift[i] = pairs[k]
		was += f.Rate
		is += f.Rate * pairs[k]
	}
	for i := range m.drift {
		m.drift[i] *= was / is
	}
	m.after(between(r, m.cfg.DriftInterval), 'D', 0, func() { m.redrift(r) })
}

// driftMost bounds how far drift alone may lift a flow above its mean.
const driftMost = 6

// most is the highest factor that a run may have: arrivals are drawn at that rate
// and thinned.
func (m *Mesh) most() float64 {
	v := 1.0
	if m.cfg.DriftCV > 0 {
		v = driftMost
	}
	if m.cfg.WavePeriod > 0 {
		v *= 1 + math.Abs(m.cfg.WaveAmplitude)
	}
	burst := 1.0
	for _, t := range m.cfg.Faults {
		burst = max(burst, t.Burst)
	}
	return v * burst
}

// factor is how many times its mean a flow has now.
func (m *Mesh) factor(i int) float64 {
	v := min(m.drift[i], driftMost)
	if m.cfg.WavePeriod > 0 {
		v *= 1 + m.cfg.WaveAmplitude*math.Sin(2*math.Pi*float64(m.now)/float64(m.cfg.WavePeriod))
	}
	for _, t := range m.cfg.Faults {
		if t.Burst > 0 && m.now >= t.From && m.now < t.To && (t.Exchanges == nil || slices.Contains(t.Exchanges, m.cfg.Flows[i].From)) {
			v *= t.Burst
		}
	}
	return min(v, m.peak)
}

func (m *Mesh) arrive(i int, r *rand.Rand, n int) {
	f := m.cfg.Flows[i]
	wait := time.Duration(r.ExpFloat64() / (f.Rate * m.peak) * float64(time.Second))
	m.after(wait, 'C', uint32(i), func() {
		if m.now >= m.cfg.Length {
			return
		}
		// All draws of a caller are made here, wanted or not.
		keep, hold, pause := r.Float64()*m.peak < m.factor(i), r.ExpFloat64(), between(r, m.cfg.Backoff)
		if keep {
			k := m.cfg.Classes[f.Class]
			c := &caller{no: n, class: f.Class, from: f.From, to: f.To, first: m.now, counted: m.now >= m.cfg.CountFrom, pause: pause,
				hold: time.Duration(hold * float64(k.Hold)), number: strconv.Itoa(i) + "00" + strconv.Itoa(n)}
			n++
			if m.cfg.OnFirstTry != nil {
				m.cfg.OnFirstTry(m.now, c.class, c.from, c.to)
			}
			m.res.offer(c, k)
			m.dial(c)
		}
		m.arrive(i, r, n)
	})
}

// dial is one try of a caller.
func (m *Mesh) dial(c *caller) {
	x := m.xs[c.from]
	c.tries++
	m.res.Tries++
	if !x.up {
		m.redial(c)
		return
	}
	t := &try{x: x, c: c, owed: true, expires: m.now + time.Duration(m.cfg.TryShare*float64(m.cfg.Classes[c.class].Deadline))}
	m.offer(t, false)
	m.at(t.expires, 'X', uint32(c.no), func() {
		if t.owed {
			m.res.GivenUp++
			m.withdraw(t)
			m.redial(c)
		}
	})
}

// offer brings a try to its decider; a look costs the processor work.
func (m *Mesh) offer(t *try, transit bool) {
	m.keys++
	t.key = "t/" + strconv.Itoa(m.keys)
	t.x.tries[t.key] = t
	t.x.proc.add(m.work(t.x, m.cfg.Work.Lookup), false, nil)
	c := t.c
	m.tell(t.x, routing.Offered{Call: t.key, Class: c.class, Number: c.number, Dest: c.to,
		Width: m.cfg.Classes[c.class].Width, Expires: t.expires, Transit: transit})
}

func (m *Mesh) redial(c *caller) {
	if c.tries > m.cfg.MaxRedials || c.stood {
		return
	}
	m.after(c.pause, 'R', uint32(c.no), func() { m.dial(c) })
}

// withdraw takes a try back: its caller left, or the exchange before gave it up.
func (m *Mesh) withdraw(t *try) {
	if !t.owed {
		return
	}
	t.owed = false
	m.tell(t.x, routing.Withdrawn{Call: t.key})
	if t.out != nil && t.out.phase == out {
		m.giveUp(t.out, routing.Cancelled)
	}
	m.forget(t)
}

func (m *Mesh) forget(t *try) {
	if !t.owed && (t.out == nil || t.out.phase == givenUp || t.out.phase == ended) {
		delete(t.x.tries, t.key)
	}
}

// answer is a decider's final answer: turned away or failed.
func (m *Mesh) answer(x *exchange, key string) {
	t := x.tries[key]
	if t == nil || !t.owed {
		return // the caller left in the same moment
	}
	if t.out != nil && t.out.phase == out {
		m.fail("exchange %d: final answer for %s with an attempt out", x.no, key)
		return
	}
	if m.now > t.expires+answerSlack {
		m.fail("exchange %d: final answer for %s too late", x.no, key)
	}
	t.owed = false
	m.forget(t)
	if a := t.parent; a != nil {
		cause := routing.CauseTurnedBack
		if t.beyond {
			cause = routing.CauseDestinationFull
		}
		m.res.TurnedBack++
		m.after(m.delay(), 'B', uint32(x.no), func() { m.settle(a, routing.Refused, cause) })
		return
	}
	m.res.Refused++
	m.redial(t.c)
}

// ---- set-ups

// send starts an attempt. What the rules forbid ends the run with an error.
func (m *Mesh) send(x *exchange, s routing.Send) {
	t := x.tries[s.Call]
	to := slices.IndexFunc(m.xs, func(o *exchange) bool { return host(o.no) == s.Host })
	if t == nil || !t.owed {
		return // over in the same moment
	}
	switch {
	case to < 0 || to == x.no:
		m.fail("exchange %d sends to %q", x.no, s.Host)
	case t.parent != nil && to != t.c.to:
		m.fail("exchange %d sends a call in transit to exchange %d", x.no, to)
	case t.out != nil && t.out.phase == out:
		m.fail("exchange %d: two attempts out for %s", x.no, s.Call)
	case m.now < t.rest:
		m.fail("exchange %d: %s sent within the rest", x.no, s.Call)
	}
	if m.err != nil {
		return
	}
	a := &attempt{t: t, no: t.sent, to: to, g: x.groups[to], sentAt: m.now}
	t.sent++
	t.out = a
	m.res.Sends++
	k := m.width(a)
	if t.sent > mostTries || a.g == nil || a.g.free < k {
		m.after(0, 'U', uint32(x.no), func() { m.settle(a, routing.NotSent, routing.CauseNoCircuit) })
		return
	}
	if to != t.c.to {
		m.res.TandemSends++
	}
	m.take(a)
	limit := t.expires - m.now
	if s.Timeout > 0 {
		limit = min(limit, s.Timeout)
	}
	m.after(limit, 'T', uint32(x.no), func() { m.giveUp(a, routing.TimedOut) })
	m.repeat(a, resend)
	x.proc.add(m.work(x, 1), false, func() {
		if a.phase == out {
			m.after(m.delay(), 'S', uint32(to), func() { m.reach(a) })
		}
	})
}

// repeat sends a waiting set-up again, at doubling gaps, as work for the far end.
func (m *Mesh) repeat(a *attempt, gap time.Duration) {
	m.after(gap, 'G', uint32(a.to), func() {
		if a.phase != out || a.answered {
			return
		}
		if far := m.xs[a.to]; far.up {
			m.res.Repeats++
			far.proc.add(m.work(far, m.cfg.Work.Repeat), false, nil)
		}
		m.repeat(a, 2*gap)
	})
}

// reach is a set-up's arrival at the far end.
func (m *Mesh) reach(a *attempt) {
	if a.phase != out {
		return
	}
	x := m.xs[a.to]
	if !x.up {
		m.after(m.delay(), 'B', uint32(a.to), func() { m.settle(a, routing.NotReached, routing.CauseNone) })
		return
	}
	m.cold(x)
	if x.proc.wait() > m.cfg.MaxWait[x.no] {
		m.res.ProcessorFull++
		x.proc.add(m.work(x, m.cfg.Work.Reject), false, nil)
		m.after(m.delay(), 'B', uint32(a.to), func() { m.settle(a, routing.Refused, routing.CauseProcessorFull) })
		return
	}
	x.proc.add(m.work(x, 1), false, func() {
		if a.phase != out { // given up meanwhile: the work was for nothing
			m.res.Wasted++
			return
		}
		if a.to != a.t.c.to {
			a.child = &try{x: x, c: a.t.c, owed: true, expires: a.t.expires, parent: a}
			m.offer(a.child, true)
			return
		}
		a.answered = true
		x.proc.add(m.work(x, m.cfg.Work.Answer), true, func() { m.back(a) })
	})
}

// back takes an answer one leg back toward the caller.
func (m *Mesh) back(a *attempt) {
	m.after(m.delay(), 'K', uint32(a.t.x.no), func() {
		if a.phase != out || !a.t.x.up {
			return
		}
		a.t.x.proc.add(m.work(a.t.x, m.cfg.Work.Answer), true, func() { m.stand(a) })
	})
}

// stand is the answer's arrival at the exchange that sent the set-up.
func (m *Mesh) stand(a *attempt) {
	if a.phase != out {
		return
	}
	t := a.t
	a.phase = stands
	t.owed = false
	m.tell(t.x, routing.Established{Call: t.key, Attempt: a.no, Delay: m.now - a.sentAt})
	if p := t.parent; p != nil {
		p.answered = true
		m.back(p)
		return
	}
	c := t.c
	c.stood = true
	m.res.stood(c, m.cfg.Classes[c.class], m.now, a.to != c.to)
	m.after(c.hold, 'H', uint32(c.no), func() { m.hangUp(a) })
}

// hangUp ends a standing call leg by leg; each exchange on the way has work with
// it, behind its set-ups, and the circuits toward the next are free after that.
func (m *Mesh) hangUp(a *attempt) {
	if a.phase != stands {
		return
	}
	a.phase = ended
	if last := m.xs[a.to]; a.child == nil && last.up {
		last.proc.add(m.work(last, m.cfg.Work.Release), true, nil)
	}
	a.t.x.proc.add(m.work(a.t.x, m.cfg.Work.Release), true, func() {
		m.give(a)
		m.tell(a.t.x, routing.AttemptEnded{Call: a.t.key, Attempt: a.no, Host: host(a.to), Result: routing.Ended, CallEnded: true,
			Delay: m.now - a.sentAt, Report: m.report(a.t.x, a.to)})
		delete(a.t.x.tries, a.t.key)
	})
	if a.child != nil && a.child.out != nil {
		m.hangUp(a.child.out)
	}
}

// settle ends an attempt that the far end, or the own exchange, sent back.
func (m *Mesh) settle(a *attempt, r routing.Result, cause routing.Cause) {
	if a.phase != out {
		return
	}
	a.phase = ended
	m.give(a)
	m.settled(a, r, cause)
}

func (m *Mesh) settled(a *attempt, r routing.Result, cause routing.Cause) {
	t := a.t
	t.beyond = cause == routing.CauseProcessorFull
	m.tell(t.x, routing.AttemptEnded{Call: t.key, Attempt: a.no, Host: host(a.to), Result: r, Cause: cause, CallEnded: !t.owed,
		Delay: m.now - a.sentAt, Report: m.report(t.x, a.to)})
	m.forget(t)
}

// giveUp ends an attempt from the sending end. The far end hears of it a link's
// delay later; the circuits stay taken until the release.
func (m *Mesh) giveUp(a *attempt, r routing.Result) {
	if a.phase != out {
		return
	}
	a.phase = givenUp
	a.t.rest = m.now + release
	if r == routing.TimedOut {
		m.res.TimedOut++
	}
	m.after(release, 'L', uint32(a.to), func() { m.give(a) })
	if t := a.child; t != nil {
		m.after(m.delay(), 'V', uint32(a.to), func() {
			m.withdraw(t)
			if t.out != nil && t.out.phase == stands { // its answer was on the way
				m.hangUp(t.out)
			}
		})
	}
	m.settled(a, r, routing.CauseNone)
}

// ---- troubles

func (m *Mesh) troubles() {
	for _, t := range m.cfg.Faults {
		if !t.Down {
			continue
		}
		for _, no := range t.Exchanges {
			if no < 0 || no >= len(m.xs) {
				m.fail("troubles: no exchange %d", no)
				return
			}
			x := m.xs[no]
			m.at(t.From, 'd', uint32(no), func() { m.down(x) })
			m.at(t.To, 'u', uint32(no), func() {
				x.state = routing.Ready
				m.start(x, m.now)
				m.list(x)
			})
		}
	}
}

// down crashes an exchange: all that touches it is cut.
func (m *Mesh) down(x *exchange) {
	x.up, x.state = false, routing.Removed
	x.proc.clear()
	for _, o := range m.xs {
		var legs []*attempt // a map's order must not decide
		for a := range o.legs {
			legs = append(legs, a)
		}
		slices.SortFunc(legs, func(a, b *attempt) int {
			return cmp.Or(cmp.Compare(a.t.key, b.t.key), a.no-b.no)
		})
		for _, a := range legs {
			through := a.child != nil && a.child.out != nil && a.child.out.holds && (a.child.out.t.x == x || a.child.out.to == x.no)
			after := a.t.parent != nil && a.t.parent.t.x == x
			if a.t.x != x && a.to != x.no && !through && !after {
				continue
			}
			switch a.phase {
			case out:
				if a.to == x.no {
					m.settle(a, routing.Reset, routing.CauseNone)
					a.t.rest = m.now + release
				} else if a.t.x == x {
					a.phase = givenUp
					m.give(a)
					if t := a.child; t != nil {
						m.withdraw(t)
					}
				}
			case stands:
				a.phase = ended
				m.give(a)
				if a.t.parent == nil {
					m.res.cut(a.t.c, m.cfg.Classes[a.t.c.class])
				}
				m.tell(a.t.x, routing.AttemptEnded{Call: a.t.key, Attempt: a.no, Host: host(a.to), Result: routing.Reset, CallEnded: true, Report: routing.NoReport})
				delete(a.t.x.tries, a.t.key)
			default:
				m.give(a)
			}
		}
	}
	var keys []string
	for k := range x.tries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		t := x.tries[k]
		if !t.owed {
			continue
		}
		t.owed = false
		if p := t.parent; p != nil {
			m.settle(p, routing.Reset, routing.CauseNone)
			p.t.rest = m.now + release
		} else {
			m.redial(t.c) // its caller sees the line go dead
		}
	}
	x.tries = map[string]*try{}
	m.list(x)
}

// list tells every other decider of an exchange's state, late.
func (m *Mesh) list(x *exchange) {
	e := routing.ListEntry{Host: host(x.no), Exchange: x.no, Started: x.started, State: x.state}
	for _, o := range m.xs {
		if o != x {
			m.after(between(m.wire, m.cfg.ListDelay), 'I', uint32(o.no), func() {
				if o.up {
					m.handle(o, routing.ListUpdated{Entries: []routing.ListEntry{e}})
				}
			})
		}
	}
}

// cold keeps the account of the rule that no cold processor is pushed over.
func (m *Mesh) cold(x *exchange) {
	if x.started == 0 || m.now-x.started >= m.cfg.WarmUpTime {
		return
	}
	perSec := fallFactor * m.speed(x, m.now) * float64(time.Second) / float64(m.cfg.SetUpWork[x.no])
	window := perSec * fallWindow.Seconds()
	x.budget = min(window, x.budget+perSec*(m.now-x.budgAt).Seconds())
	x.budgAt = m.now
	if x.budget--; x.budget < 0 {
		m.res.ColdOverloads++
		x.budget = window
	}
}
