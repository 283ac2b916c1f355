// Package mesh emulates, on a virtual clock, a mesh of exchanges served by call
// controllers: trunk groups seized from both ends, single-server processors, callers that
// redial, and a list of exchanges that arrives seconds late. Each exchange runs its own
// routing.Controller or any other routing.Policy. The seed determines a run completely:
// the same Config gives the same trace hash.
//
// The model simplifies reality: all links have the same distribution of delays, a called
// number always has a free line, callers give up a try after a fixed share of the class's
// deadline, no caller receives advice on when to redial, controllers don't communicate
// with each other, a connection breaks only when its exchange goes down, and a call that
// was cut is not offered again. docs/plan.md says what the model was checked against.
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

// Class describes a class of calls.
type Class struct {
	Name      string
	Width     int           // circuits on each trunk group
	Hold      time.Duration // mean of the exponentially distributed duration of a call
	GoalTime  time.Duration // a call established within this time earns its full worth
	Deadline  time.Duration // a call established after this time earns nothing
	Worth     float64
	LateShare float64 // share of the worth that a call established after its goal time earns
}

// Group is a trunk group between exchanges A and B.
type Group struct{ A, B, Circuits int }

// Flow is the traffic of a class offered from one exchange to another.
type Flow struct {
	Class, From, To int
	Rate            float64 // mean number of first tries per second
}

// Work gives the processor load of each kind of job, in units of one set-up.
type Work struct{ Lookup, Answer, Release, Reject, Repeat float64 }

// Fault is an injected fault or overload that lasts from From until To.
type Fault struct {
	From, To  time.Duration
	Exchanges []int   // nil: all
	Slowdown  float64 // multiplies the service times of processors; 0: unchanged
	Burst     float64 // multiplies the rate of calls; 0: unchanged
	Down      bool    // the processors are down, and start cold afterwards
}

// Config describes one run. A pair of durations is the range of a uniform distribution.
type Config struct {
	Seed          uint64
	Length        time.Duration // calls arrive for this long; then the run continues until the last calls are answered
	CountFrom     time.Duration // first tries before this time are not counted
	Exchanges     int
	Classes       []Class
	Groups        []Group
	Flows         []Flow
	SetUpWork     []time.Duration // by exchange: processing time of a set-up at full speed
	Work          Work
	MaxWait       []time.Duration // by exchange: set-ups that would wait longer are refused
	LinkDelay     [2]time.Duration
	WaveAmplitude float64          // rates vary sinusoidally by this share of their mean ...
	WavePeriod    time.Duration    // ... with this period; 0: constant rates
	DriftCV       float64          // each pair's rate is redrawn with this coefficient of variation ...
	DriftInterval [2]time.Duration // ... after this interval
	TryShare      float64          // share of the deadline after which a caller gives a try up
	MaxRedials    int
	Backoff       [2]time.Duration // delay before a redial
	ListDelay     [2]time.Duration // delay of list updates
	ColdCapacity  float64          // share of its speed that a processor has right after its start
	WarmUpTime    time.Duration    // time from a processor's start until it has full speed
	Faults        []Fault
	NewPolicy     routing.Factory
	// ExtraEvents returns events that a policy receives from other sources than the mesh.
	// It is called for each exchange after the policy has received the list, also after a
	// restart.
	ExtraEvents func(exchange int, now time.Duration) []routing.Event
	// ExtraEventsInterval is the interval at which ExtraEvents is called again for all
	// exchanges; 0: never.
	ExtraEventsInterval time.Duration
	// CheckCircuits recounts the circuits of every group after every event.
	CheckCircuits bool
	// OnFirstTry, if set, is called for each first try.
	OnFirstTry func(now time.Duration, class, from, to int)
}

// Values of the routing settings that are the same in all runs.
const (
	releaseDelay   = 500 * time.Millisecond
	resendInterval = 800 * time.Millisecond
	answerSlack    = 20 * time.Millisecond
	overloadFactor = 4.0
	overloadWindow = 2 * time.Second
	maxAttempts    = 5
)

// check returns an error that names the first invalid value.
func (c *Config) check() error {
	for _, bound := range []struct {
		key string
		ok  bool
	}{{"exchanges: 2 to 256", c.Exchanges >= 2 && c.Exchanges <= maxExchanges}, {"classes: at least one", len(c.Classes) > 0},
		{"set_up: one per exchange required", len(c.SetUpWork) == c.Exchanges}, {"max_wait: one per exchange required", len(c.MaxWait) == c.Exchanges},
		{"length: above 0 and at most an hour", c.Length > 0 && c.Length <= time.Hour}, {"policy factory: missing", c.NewPolicy != nil},
		{"redials: 0 to 16", c.MaxRedials >= 0 && c.MaxRedials <= 16}, {"try_share: above 0 and at most 1", c.TryShare > 0 && c.TryShare <= 1}} {
		if !bound.ok {
			return fmt.Errorf("mesh: %s", bound.key)
		}
	}
	for i, w := range c.SetUpWork {
		if w <= 0 {
			return fmt.Errorf("mesh: set_up[%d]: must be above 0", i)
		}
	}
	for i, g := range c.Groups {
		if g.A < 0 || g.B < 0 || g.A >= c.Exchanges || g.B >= c.Exchanges || g.A == g.B || g.Circuits < 0 {
			return fmt.Errorf("mesh: groups[%d]: invalid group %+v", i, g)
		}
	}
	for i, flow := range c.Flows {
		if flow.Class < 0 || flow.Class >= len(c.Classes) || flow.From < 0 || flow.To < 0 || flow.From >= c.Exchanges ||
			flow.To >= c.Exchanges || flow.From == flow.To || !(flow.Rate >= 0) || flow.Rate > 1e6 {
			return fmt.Errorf("mesh: flows[%d]: invalid flow %+v", i, flow)
		}
	}
	return nil
}

// groupState holds the ends, size and free circuits of a trunk group.
type groupState struct {
	a, b, size, free int
}

// exchangeState holds an exchange's processor, policy and calls.
type exchangeState struct {
	number        int
	proc          processor
	policy        routing.Policy
	groups        []*groupState        // by far exchange; nil: none
	tries         map[string]*tryState // by key
	up            bool
	epoch         int           // incremented at each start
	started       time.Duration // time of the last start; 0: long ago
	wakeAt        time.Duration
	reportPending []bool                 // by far exchange: a report on the group is scheduled
	holding       map[*attemptState]bool // attempts and calls from here that hold circuits
	coldBudget    float64                // set-ups that a cold processor can still take without an overload
	coldBudgetAt  time.Duration          // time at which coldBudget was updated
	state         routing.State          // state that the list shows, after its delay
}

// callerState holds what a caller requests, and its progress over all tries.
type callerState struct {
	index       int
	class       int
	from, to    int
	firstTryAt  time.Duration
	hold        time.Duration
	tries       int
	counted     bool // first tried at Config.CountFrom or later
	established bool
	redialDelay time.Duration
	number      string
	setUpTime   time.Duration // from the first try to the answer
}

// tryState is a call as offered to a policy, by a caller or by another exchange.
type tryState struct {
	key           string
	exchange      *exchangeState
	caller        *callerState
	expires       time.Duration
	parent        *attemptState // the attempt of the exchange that passed it on; nil: offered by a caller
	pending       bool          // the final answer is pending
	sends         int
	lastAttempt   *attemptState
	processorFull bool          // the last attempt ended at a full processor
	notBefore     time.Duration // earliest time of the next attempt
}

// attemptState is one set-up toward another exchange, or the call that it established.
type attemptState struct {
	try           *tryState
	index         int
	to            int
	group         *groupState
	sentAt        time.Duration
	phase         phase
	holdsCircuits bool
	child         *tryState // the try at the tandem; nil: none
	answered      bool      // by the far end
}

// phase is the state of an attempt.
type phase uint8

const (
	outstanding phase = iota // waits for an answer
	established              // established until the call ends
	givenUp                  // timed out or cancelled, or its exchange went down: no answer is expected
	ended
)

// Mesh is the state of one run.
type Mesh struct {
	*engine
	cfg        Config
	settings   routing.Settings
	exchanges  []*exchangeState
	groups     []*groupState
	linkRand   *rand.Rand // draws the delays of links and of list updates
	result     Result
	keyCount   int // keys assigned to tries
	err        error
	drift      []float64 // by flow: factor on its mean rate
	peakFactor float64   // upper bound of all rate factors
}

// Run emulates a mesh until all its calls are answered. It returns an error if the Config is
// invalid, if a policy returned an action that no exchange can execute, or if the free and
// held circuits of a group don't add up to its size.
func Run(cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Mesh{engine: newEngine(), cfg: cfg, linkRand: rand.New(rand.NewPCG(cfg.Seed, 2))}
	m.result.initialize(&cfg)
	m.settings = routing.Settings{FleetSize: cfg.Exchanges, MaxAttempts: maxAttempts, ReleaseDelay: releaseDelay, ResendInterval: resendInterval,
		WarmUpTime: cfg.WarmUpTime, ColdCapacity: cfg.ColdCapacity, OverloadFactor: overloadFactor, OverloadWindow: overloadWindow,
		AnswerSlack: answerSlack, CancelAllowed: true}
	for _, class := range cfg.Classes {
		m.settings.Classes = append(m.settings.Classes, routing.Class{GoalTime: class.GoalTime, Deadline: class.Deadline,
			Hold: class.Hold, Worth: class.Worth, Width: class.Width})
	}
	for i := range cfg.Exchanges {
		exchange := &exchangeState{number: i, groups: make([]*groupState, cfg.Exchanges),
			reportPending: make([]bool, cfg.Exchanges), holding: map[*attemptState]bool{}}
		exchange.proc = processor{engine: m.engine, id: uint32(i), speed: func(now time.Duration) float64 { return m.processorSpeed(exchange, now) }}
		m.exchanges = append(m.exchanges, exchange)
	}
	for _, g := range cfg.Groups {
		group := &groupState{a: g.A, b: g.B, size: g.Circuits, free: g.Circuits}
		if m.exchanges[g.A].groups[g.B] != nil {
			return nil, fmt.Errorf("mesh: two groups between exchanges %d and %d", g.A, g.B)
		}
		m.exchanges[g.A].groups[g.B], m.exchanges[g.B].groups[g.A] = group, group
		m.groups = append(m.groups, group)
	}
	for _, exchange := range m.exchanges {
		m.start(exchange, 0)
	}
	m.scheduleFaults()
	m.startTraffic()
	if cfg.ExtraEventsInterval > 0 {
		m.scheduleExtraEvents()
	}
	end := cfg.Length + m.playOutTime()
	for m.err == nil && m.step(end) {
		if cfg.CheckCircuits {
			m.checkCircuits()
		}
	}
	if m.err == nil {
		m.checkCircuits()
	}
	if m.err != nil {
		return nil, fmt.Errorf("mesh: seed %d at %v, event %d: %w", cfg.Seed, m.now, m.steps, m.err)
	}
	m.result.finish(m)
	return &m.result, nil
}

// playOutTime returns the maximum time that the last calls take until their final answers.
func (m *Mesh) playOutTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range m.cfg.Classes {
		longest = max(longest, time.Duration(float64(class.Deadline)*m.cfg.TryShare))
	}
	return time.Duration(m.cfg.MaxRedials+1) * (longest + m.cfg.Backoff[1])
}

// fail ends the run with an error. Only the first error is kept.
func (m *Mesh) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// processorSpeed returns a processor's speed at a time, relative to its full speed.
func (m *Mesh) processorSpeed(exchange *exchangeState, now time.Duration) float64 {
	speed := 1.0
	for _, fault := range m.cfg.Faults {
		if fault.Slowdown > 0 && now >= fault.From && now < fault.To && (fault.Exchanges == nil || slices.Contains(fault.Exchanges, exchange.number)) {
			speed /= fault.Slowdown
		}
	}
	if age := now - exchange.started; exchange.started > 0 && age < m.cfg.WarmUpTime {
		speed *= m.cfg.ColdCapacity + (1-m.cfg.ColdCapacity)*float64(age)/float64(m.cfg.WarmUpTime)
	}
	return speed
}

func hostName(number int) string { return hostNames[number] }

// maxExchanges is the largest supported number of exchanges.
const maxExchanges = 256

var hostNames = func() (names [maxExchanges]string) {
	for i := range names {
		names[i] = fmt.Sprintf("x%03d", i)
	}
	return names
}()

// start starts an exchange with a new policy that knows only the list and the reports on its
// groups. startedAt is the time from which it warms up; 0: warm already.
func (m *Mesh) start(exchange *exchangeState, startedAt time.Duration) {
	exchange.up, exchange.started, exchange.epoch, exchange.wakeAt = true, startedAt, exchange.epoch+1, 0
	exchange.tries = map[string]*tryState{}
	settings := m.settings
	settings.OwnExchange = exchange.number
	var err error
	if exchange.policy, err = m.cfg.NewPolicy(settings, m.cfg.Seed*1009+uint64(exchange.number)*31+uint64(exchange.epoch)); err != nil {
		m.fail("exchange %d: %w", exchange.number, err)
		return
	}
	list := routing.ListUpdated{Complete: true}
	for _, other := range m.exchanges {
		list.Entries = append(list.Entries, routing.ListEntry{Host: hostName(other.number), Exchange: other.number,
			Started: other.started, State: other.state})
	}
	m.notify(exchange, list)
	for farEnd := range m.exchanges {
		m.scheduleReport(exchange, farEnd)
	}
	if m.cfg.ExtraEvents != nil {
		for _, ev := range m.cfg.ExtraEvents(exchange.number, m.now) {
			m.notify(exchange, ev)
		}
	}
}

// scheduleExtraEvents delivers Config.ExtraEvents to all exchanges at each interval.
func (m *Mesh) scheduleExtraEvents() {
	m.scheduleAfter(m.cfg.ExtraEventsInterval, 'A', 0, func() {
		for _, exchange := range m.exchanges {
			for _, ev := range m.cfg.ExtraEvents(exchange.number, m.now) {
				if exchange.up {
					m.notify(exchange, ev)
				}
			}
		}
		m.scheduleExtraEvents()
	})
}

// notify schedules the delivery of an event to an exchange's policy at the current time.
func (m *Mesh) notify(exchange *exchangeState, ev routing.Event) {
	epoch := exchange.epoch
	m.scheduleAfter(0, 'E', uint32(exchange.number), func() {
		if exchange.epoch == epoch && exchange.up {
			m.handle(exchange, ev)
		}
	})
}

// handle passes an event to the policy and executes the actions that it returns. Their
// effects reach the policy through the event queue only, never during this call.
func (m *Mesh) handle(exchange *exchangeState, ev routing.Event) {
	if o, ok := ev.(routing.Offered); ok && exchange.tries[o.Call] == nil {
		return // the caller has given up meanwhile
	}
	for _, a := range exchange.policy.Handle(m.now, ev) {
		switch a := a.(type) {
		case routing.Send:
			m.send(exchange, a)
		case routing.Refuse:
			m.refuse(exchange, a.Call)
		case routing.Fail:
			m.refuse(exchange, a.Call)
		case routing.Cancel:
			if try := exchange.tries[a.Call]; try != nil && try.lastAttempt != nil &&
				try.lastAttempt.index == a.Attempt && try.lastAttempt.phase == outstanding {
				m.giveUp(try.lastAttempt, routing.Cancelled)
			}
		case routing.SetTimer:
			at := m.now + a.After
			epoch := exchange.epoch
			m.scheduleAt(at, 'W', uint32(exchange.number), func() {
				if exchange.epoch == epoch && exchange.up {
					m.handle(exchange, routing.TimerFired{})
				}
			})
		}
	}
}

// scheduleReport sends a policy the state of a group, once for all changes at the same time.
func (m *Mesh) scheduleReport(exchange *exchangeState, farEnd int) {
	if exchange.reportPending[farEnd] || farEnd == exchange.number {
		return
	}
	exchange.reportPending[farEnd] = true
	m.scheduleAfter(0, 'N', uint32(exchange.number), func() {
		exchange.reportPending[farEnd] = false
		if exchange.up {
			m.handle(exchange, routing.Reported{Host: hostName(farEnd), Report: m.report(exchange, farEnd)})
		}
	})
}

// report returns the free circuits and size of the group to an exchange, both 0 without a
// group.
func (m *Mesh) report(exchange *exchangeState, farEnd int) routing.Report {
	report := routing.NoReport
	report.Free, report.Size = 0, 0
	if g := exchange.groups[farEnd]; g != nil {
		report.Free, report.Size = g.free, g.size
	}
	return report
}

// takeCircuits seizes the circuits of an attempt and reports to both ends.
func (m *Mesh) takeCircuits(attempt *attemptState) {
	attempt.holdsCircuits = true
	attempt.group.free -= m.width(attempt)
	attempt.try.exchange.holding[attempt] = true
	m.scheduleReport(m.exchanges[attempt.group.a], attempt.group.b)
	m.scheduleReport(m.exchanges[attempt.group.b], attempt.group.a)
}

// freeCircuits frees the circuits of an attempt, if it holds any, and reports to both ends.
func (m *Mesh) freeCircuits(attempt *attemptState) {
	if !attempt.holdsCircuits {
		return
	}
	attempt.holdsCircuits = false
	attempt.group.free += m.width(attempt)
	delete(attempt.try.exchange.holding, attempt)
	m.scheduleReport(m.exchanges[attempt.group.a], attempt.group.b)
	m.scheduleReport(m.exchanges[attempt.group.b], attempt.group.a)
}

func (m *Mesh) width(attempt *attemptState) int { return m.cfg.Classes[attempt.try.caller.class].Width }

// checkCircuits fails the run unless the free and held circuits of every group add up to its
// size.
func (m *Mesh) checkCircuits() {
	held := map[*groupState]int{}
	for _, exchange := range m.exchanges {
		for attempt := range exchange.holding {
			if !attempt.holdsCircuits {
				m.fail("an attempt without circuits is listed as holding some")
			}
			held[attempt.group] += m.width(attempt)
		}
	}
	for _, g := range m.groups {
		if g.free < 0 || g.free+held[g] != g.size {
			m.fail("group %d-%d: %d free and %d held of %d", g.a, g.b, g.free, held[g], g.size)
		}
	}
}

func (m *Mesh) linkDelay() time.Duration { return uniform(m.linkRand, m.cfg.LinkDelay) }

// uniform draws from a uniform distribution, without a draw if the range is empty.
func uniform(rng *rand.Rand, span [2]time.Duration) time.Duration {
	if span[1] <= span[0] {
		return span[0]
	}
	return span[0] + time.Duration(rng.Float64()*float64(span[1]-span[0]))
}

// workTime returns the time that an exchange needs, at full speed, for work in units of one
// set-up.
func (m *Mesh) workTime(exchange *exchangeState, setUps float64) time.Duration {
	return time.Duration(setUps * float64(m.cfg.SetUpWork[exchange.number]))
}

// ---- traffic

// startTraffic schedules the first arrival of each flow. Each flow has its own random number
// generator, so that what callers request doesn't depend on the policy.
func (m *Mesh) startTraffic() {
	m.peakFactor = m.maxRateFactor()
	m.drift = make([]float64, len(m.cfg.Flows))
	for i := range m.drift {
		m.drift[i] = 1
	}
	if m.cfg.DriftCV > 0 && m.cfg.DriftInterval[0] > 0 {
		m.redrawDrift(rand.New(rand.NewPCG(m.cfg.Seed, 3)))
	}
	for i, flow := range m.cfg.Flows {
		if flow.Rate > 0 {
			m.scheduleArrival(i, rand.New(rand.NewPCG(m.cfg.Seed, 1000+uint64(i))), 0)
		}
	}
}

// redrawDrift redraws the rate factor of every pair of exchanges, scaled so that the sum of
// all rates stays the same.
func (m *Mesh) redrawDrift(rng *rand.Rand) {
	sigma := math.Sqrt(math.Log(1 + m.cfg.DriftCV*m.cfg.DriftCV))
	pairs := map[[2]int]float64{}
	meanRate, drawnRate := 0.0, 0.0
	for i, flow := range m.cfg.Flows {
		pair := [2]int{flow.From, flow.To}
		if _, ok := pairs[pair]; !ok {
			pairs[pair] = math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
		}
		m.drift[i] = pairs[pair]
		meanRate += flow.Rate
		drawnRate += flow.Rate * pairs[pair]
	}
	for i := range m.drift {
		m.drift[i] *= meanRate / drawnRate
	}
	m.scheduleAfter(uniform(rng, m.cfg.DriftInterval), 'D', 0, func() { m.redrawDrift(rng) })
}

// maxDrift bounds the factor by which drift alone raises a flow's rate above its mean.
const maxDrift = 6

// maxRateFactor returns an upper bound of the rate factor. Arrivals are drawn at the
// corresponding rate and thinned.
func (m *Mesh) maxRateFactor() float64 {
	factor := 1.0
	if m.cfg.DriftCV > 0 {
		factor = maxDrift
	}
	if m.cfg.WavePeriod > 0 {
		factor *= 1 + math.Abs(m.cfg.WaveAmplitude)
	}
	burst := 1.0
	for _, fault := range m.cfg.Faults {
		burst = max(burst, fault.Burst)
	}
	return factor * burst
}

// rateFactor returns a flow's current rate relative to its mean.
func (m *Mesh) rateFactor(flow int) float64 {
	factor := min(m.drift[flow], maxDrift)
	if m.cfg.WavePeriod > 0 {
		factor *= 1 + m.cfg.WaveAmplitude*math.Sin(2*math.Pi*float64(m.now)/float64(m.cfg.WavePeriod))
	}
	for _, fault := range m.cfg.Faults {
		if fault.Burst > 0 && m.now >= fault.From && m.now < fault.To &&
			(fault.Exchanges == nil || slices.Contains(fault.Exchanges, m.cfg.Flows[flow].From)) {
			factor *= fault.Burst
		}
	}
	return min(factor, m.peakFactor)
}

// scheduleArrival schedules the next candidate arrival of a flow, and with it those that
// follow. nextCaller numbers the flow's callers.
func (m *Mesh) scheduleArrival(flowIndex int, rng *rand.Rand, nextCaller int) {
	flow := m.cfg.Flows[flowIndex]
	wait := time.Duration(rng.ExpFloat64() / (flow.Rate * m.peakFactor) * float64(time.Second))
	m.scheduleAfter(wait, 'C', uint32(flowIndex), func() {
		if m.now >= m.cfg.Length {
			return
		}
		// All values are drawn even if the arrival is rejected, so that later draws don't
		// depend on it.
		accepted, hold, redialDelay := rng.Float64()*m.peakFactor < m.rateFactor(flowIndex), rng.ExpFloat64(), uniform(rng, m.cfg.Backoff)
		if accepted {
			class := m.cfg.Classes[flow.Class]
			caller := &callerState{index: nextCaller, class: flow.Class, from: flow.From, to: flow.To, firstTryAt: m.now,
				counted: m.now >= m.cfg.CountFrom, redialDelay: redialDelay,
				hold: time.Duration(hold * float64(class.Hold)), number: strconv.Itoa(flowIndex) + "00" + strconv.Itoa(nextCaller)}
			nextCaller++
			if m.cfg.OnFirstTry != nil {
				m.cfg.OnFirstTry(m.now, caller.class, caller.from, caller.to)
			}
			m.result.recordOffered(caller, class)
			m.dial(caller)
		}
		m.scheduleArrival(flowIndex, rng, nextCaller)
	})
}

// dial makes one try of a caller.
func (m *Mesh) dial(caller *callerState) {
	exchange := m.exchanges[caller.from]
	caller.tries++
	m.result.Tries++
	if !exchange.up {
		m.redial(caller)
		return
	}
	try := &tryState{exchange: exchange, caller: caller, pending: true,
		expires: m.now + time.Duration(m.cfg.TryShare*float64(m.cfg.Classes[caller.class].Deadline))}
	m.offer(try, false)
	m.scheduleAt(try.expires, 'X', uint32(caller.index), func() {
		if try.pending {
			m.result.GivenUp++
			m.withdraw(try)
			m.redial(caller)
		}
	})
}

// offer offers a try to its exchange's policy. The lookup takes processor time.
func (m *Mesh) offer(try *tryState, transit bool) {
	m.keyCount++
	try.key = "t/" + strconv.Itoa(m.keyCount)
	try.exchange.tries[try.key] = try
	try.exchange.proc.enqueue(m.workTime(try.exchange, m.cfg.Work.Lookup), false, nil)
	caller := try.caller
	m.notify(try.exchange, routing.Offered{Call: try.key, Class: caller.class, Number: caller.number, Dest: caller.to,
		Width: m.cfg.Classes[caller.class].Width, Expires: try.expires, Transit: transit})
}

// redial schedules the caller's next try, unless the redials are used up.
func (m *Mesh) redial(caller *callerState) {
	if caller.tries > m.cfg.MaxRedials || caller.established {
		return
	}
	m.scheduleAfter(caller.redialDelay, 'R', uint32(caller.index), func() { m.dial(caller) })
}

// withdraw cancels a try whose caller, or whose previous exchange, has given up.
func (m *Mesh) withdraw(try *tryState) {
	if !try.pending {
		return
	}
	try.pending = false
	m.notify(try.exchange, routing.Withdrawn{Call: try.key})
	if try.lastAttempt != nil && try.lastAttempt.phase == outstanding {
		m.giveUp(try.lastAttempt, routing.Cancelled)
	}
	m.dropIfDone(try)
}

// dropIfDone removes a try that has its final answer and no attempt or call in progress.
func (m *Mesh) dropIfDone(try *tryState) {
	if !try.pending && (try.lastAttempt == nil || try.lastAttempt.phase == givenUp || try.lastAttempt.phase == ended) {
		delete(try.exchange.tries, try.key)
	}
}

// refuse executes Refuse and Fail: the final answer to a call that was not established.
func (m *Mesh) refuse(exchange *exchangeState, key string) {
	try := exchange.tries[key]
	if try == nil || !try.pending {
		return // the caller gave up at the same time
	}
	if try.lastAttempt != nil && try.lastAttempt.phase == outstanding {
		m.fail("exchange %d: final answer for %s with an attempt outstanding", exchange.number, key)
		return
	}
	if m.now > try.expires+answerSlack {
		m.fail("exchange %d: final answer for %s too late", exchange.number, key)
	}
	try.pending = false
	m.dropIfDone(try)
	if attempt := try.parent; attempt != nil {
		cause := routing.CauseTurnedBack
		if try.processorFull {
			cause = routing.CauseDestinationFull
		}
		m.result.TurnedBack++
		m.scheduleAfter(m.linkDelay(), 'B', uint32(exchange.number), func() { m.endAttempt(attempt, routing.Refused, cause) })
		return
	}
	m.result.Refused++
	m.redial(try.caller)
}

// ---- set-ups

// send starts an attempt. An action that breaks the rules fails the run.
func (m *Mesh) send(exchange *exchangeState, action routing.Send) {
	try := exchange.tries[action.Call]
	to := slices.IndexFunc(m.exchanges, func(other *exchangeState) bool { return hostName(other.number) == action.Host })
	if try == nil || !try.pending {
		return // ended at the same time
	}
	switch {
	case to < 0 || to == exchange.number:
		m.fail("exchange %d sends to %q", exchange.number, action.Host)
	case try.parent != nil && to != try.caller.to:
		m.fail("exchange %d sends a call in transit to exchange %d", exchange.number, to)
	case try.lastAttempt != nil && try.lastAttempt.phase == outstanding:
		m.fail("exchange %d: two attempts outstanding for %s", exchange.number, action.Call)
	case m.now < try.notBefore:
		m.fail("exchange %d: %s sent before its retry time", exchange.number, action.Call)
	}
	if m.err != nil {
		return
	}
	attempt := &attemptState{try: try, index: try.sends, to: to, group: exchange.groups[to], sentAt: m.now}
	try.sends++
	try.lastAttempt = attempt
	m.result.Sends++
	width := m.width(attempt)
	if try.sends > maxAttempts || attempt.group == nil || attempt.group.free < width {
		m.scheduleAfter(0, 'U', uint32(exchange.number), func() { m.endAttempt(attempt, routing.NotSent, routing.CauseNoCircuit) })
		return
	}
	if to != try.caller.to {
		m.result.TandemSends++
	}
	m.takeCircuits(attempt)
	limit := try.expires - m.now
	if action.Timeout > 0 {
		limit = min(limit, action.Timeout)
	}
	m.scheduleAfter(limit, 'T', uint32(exchange.number), func() { m.giveUp(attempt, routing.TimedOut) })
	m.scheduleRepeat(attempt, resendInterval)
	exchange.proc.enqueue(m.workTime(exchange, 1), false, func() {
		if attempt.phase == outstanding {
			m.scheduleAfter(m.linkDelay(), 'S', uint32(to), func() { m.receiveSetUp(attempt) })
		}
	})
}

// scheduleRepeat repeats an unanswered set-up at doubling intervals. A repeat only loads the
// far end's processor.
func (m *Mesh) scheduleRepeat(attempt *attemptState, interval time.Duration) {
	m.scheduleAfter(interval, 'G', uint32(attempt.to), func() {
		if attempt.phase != outstanding || attempt.answered {
			return
		}
		if farEnd := m.exchanges[attempt.to]; farEnd.up {
			m.result.Repeats++
			farEnd.proc.enqueue(m.workTime(farEnd, m.cfg.Work.Repeat), false, nil)
		}
		m.scheduleRepeat(attempt, 2*interval)
	})
}

// receiveSetUp handles a set-up's arrival at the far end.
func (m *Mesh) receiveSetUp(attempt *attemptState) {
	if attempt.phase != outstanding {
		return
	}
	exchange := m.exchanges[attempt.to]
	if !exchange.up {
		m.scheduleAfter(m.linkDelay(), 'B', uint32(attempt.to), func() { m.endAttempt(attempt, routing.NotReached, routing.CauseNone) })
		return
	}
	m.countColdLoad(exchange)
	if exchange.proc.expectedWait() > m.cfg.MaxWait[exchange.number] {
		m.result.ProcessorFull++
		exchange.proc.enqueue(m.workTime(exchange, m.cfg.Work.Reject), false, nil)
		m.scheduleAfter(m.linkDelay(), 'B', uint32(attempt.to), func() { m.endAttempt(attempt, routing.Refused, routing.CauseProcessorFull) })
		return
	}
	exchange.proc.enqueue(m.workTime(exchange, 1), false, func() {
		if attempt.phase != outstanding { // given up meanwhile: the work was wasted
			m.result.Wasted++
			return
		}
		if attempt.to != attempt.try.caller.to {
			attempt.child = &tryState{exchange: exchange, caller: attempt.try.caller, pending: true, expires: attempt.try.expires, parent: attempt}
			m.offer(attempt.child, true)
			return
		}
		attempt.answered = true
		exchange.proc.enqueue(m.workTime(exchange, m.cfg.Work.Answer), true, func() { m.returnAnswer(attempt) })
	})
}

// returnAnswer sends an answer one leg back toward the caller.
func (m *Mesh) returnAnswer(attempt *attemptState) {
	m.scheduleAfter(m.linkDelay(), 'K', uint32(attempt.try.exchange.number), func() {
		if attempt.phase != outstanding || !attempt.try.exchange.up {
			return
		}
		attempt.try.exchange.proc.enqueue(m.workTime(attempt.try.exchange, m.cfg.Work.Answer), true, func() { m.establish(attempt) })
	})
}

// establish handles an answer's arrival at the exchange that sent the set-up.
func (m *Mesh) establish(attempt *attemptState) {
	if attempt.phase != outstanding {
		return
	}
	try := attempt.try
	attempt.phase = established
	try.pending = false
	m.notify(try.exchange, routing.Established{Call: try.key, Attempt: attempt.index, Delay: m.now - attempt.sentAt})
	if parent := try.parent; parent != nil {
		parent.answered = true
		m.returnAnswer(parent)
		return
	}
	caller := try.caller
	caller.established = true
	m.result.recordEstablished(caller, m.cfg.Classes[caller.class], m.now, attempt.to != caller.to)
	m.scheduleAfter(caller.hold, 'H', uint32(caller.index), func() { m.hangUp(attempt) })
}

// hangUp ends an established call leg by leg. Each exchange on the path processes the
// release, after its waiting set-ups, and only then frees the circuits of the next leg.
func (m *Mesh) hangUp(attempt *attemptState) {
	if attempt.phase != established {
		return
	}
	attempt.phase = ended
	if last := m.exchanges[attempt.to]; attempt.child == nil && last.up {
		last.proc.enqueue(m.workTime(last, m.cfg.Work.Release), true, nil)
	}
	attempt.try.exchange.proc.enqueue(m.workTime(attempt.try.exchange, m.cfg.Work.Release), true, func() {
		m.freeCircuits(attempt)
		m.notify(attempt.try.exchange, routing.AttemptEnded{Call: attempt.try.key, Attempt: attempt.index, Host: hostName(attempt.to),
			Result: routing.Ended, CallEnded: true,
			Delay: m.now - attempt.sentAt, Report: m.report(attempt.try.exchange, attempt.to)})
		delete(attempt.try.exchange.tries, attempt.try.key)
	})
	if attempt.child != nil && attempt.child.lastAttempt != nil {
		m.hangUp(attempt.child.lastAttempt)
	}
}

// endAttempt ends an attempt that the far end, or the own exchange, refused.
func (m *Mesh) endAttempt(attempt *attemptState, result routing.Result, cause routing.Cause) {
	if attempt.phase != outstanding {
		return
	}
	attempt.phase = ended
	m.freeCircuits(attempt)
	m.notifyEnded(attempt, result, cause)
}

// notifyEnded notifies the policy of the end of an attempt.
func (m *Mesh) notifyEnded(attempt *attemptState, result routing.Result, cause routing.Cause) {
	try := attempt.try
	try.processorFull = cause == routing.CauseProcessorFull
	m.notify(try.exchange, routing.AttemptEnded{Call: try.key, Attempt: attempt.index, Host: hostName(attempt.to),
		Result: result, Cause: cause, CallEnded: !try.pending,
		Delay: m.now - attempt.sentAt, Report: m.report(try.exchange, attempt.to)})
	m.dropIfDone(try)
}

// giveUp ends an attempt at the sending end. The far end is notified after the link delay;
// the circuits stay in use until the release.
func (m *Mesh) giveUp(attempt *attemptState, result routing.Result) {
	if attempt.phase != outstanding {
		return
	}
	attempt.phase = givenUp
	attempt.try.notBefore = m.now + releaseDelay
	if result == routing.TimedOut {
		m.result.TimedOut++
	}
	m.scheduleAfter(releaseDelay, 'L', uint32(attempt.to), func() { m.freeCircuits(attempt) })
	if try := attempt.child; try != nil {
		m.scheduleAfter(m.linkDelay(), 'V', uint32(attempt.to), func() {
			m.withdraw(try)
			if try.lastAttempt != nil && try.lastAttempt.phase == established { // its answer was in flight
				m.hangUp(try.lastAttempt)
			}
		})
	}
	m.notifyEnded(attempt, result, routing.CauseNone)
}

// ---- faults

// scheduleFaults schedules the crashes and restarts of exchanges.
func (m *Mesh) scheduleFaults() {
	for _, fault := range m.cfg.Faults {
		if !fault.Down {
			continue
		}
		for _, number := range fault.Exchanges {
			if number < 0 || number >= len(m.exchanges) {
				m.fail("faults: no exchange %d", number)
				return
			}
			exchange := m.exchanges[number]
			m.scheduleAt(fault.From, 'd', uint32(number), func() { m.crash(exchange) })
			m.scheduleAt(fault.To, 'u', uint32(number), func() {
				exchange.state = routing.Ready
				m.start(exchange, m.now)
				m.sendListUpdate(exchange)
			})
		}
	}
}

// crash takes an exchange down and ends all attempts and calls through it.
func (m *Mesh) crash(exchange *exchangeState) {
	exchange.up, exchange.state = false, routing.Removed
	exchange.proc.discardAll()
	for _, other := range m.exchanges {
		var attempts []*attemptState // sorted, because the order of a map would make runs differ
		for attempt := range other.holding {
			attempts = append(attempts, attempt)
		}
		slices.SortFunc(attempts, func(a, b *attemptState) int {
			return cmp.Or(cmp.Compare(a.try.key, b.try.key), a.index-b.index)
		})
		for _, attempt := range attempts {
			onwardFails := attempt.child != nil && attempt.child.lastAttempt != nil && attempt.child.lastAttempt.holdsCircuits &&
				(attempt.child.lastAttempt.try.exchange == exchange || attempt.child.lastAttempt.to == exchange.number)
			parentFails := attempt.try.parent != nil && attempt.try.parent.try.exchange == exchange
			if attempt.try.exchange != exchange && attempt.to != exchange.number && !onwardFails && !parentFails {
				continue
			}
			switch attempt.phase {
			case outstanding:
				if attempt.to == exchange.number {
					m.endAttempt(attempt, routing.Reset, routing.CauseNone)
					attempt.try.notBefore = m.now + releaseDelay
				} else if attempt.try.exchange == exchange {
					attempt.phase = givenUp
					m.freeCircuits(attempt)
					if try := attempt.child; try != nil {
						m.withdraw(try)
					}
				}
			case established:
				attempt.phase = ended
				m.freeCircuits(attempt)
				if attempt.try.parent == nil {
					m.result.recordCut(attempt.try.caller, m.cfg.Classes[attempt.try.caller.class])
				}
				m.notify(attempt.try.exchange, routing.AttemptEnded{Call: attempt.try.key, Attempt: attempt.index, Host: hostName(attempt.to),
					Result: routing.Reset, CallEnded: true, Report: routing.NoReport})
				delete(attempt.try.exchange.tries, attempt.try.key)
			default:
				m.freeCircuits(attempt)
			}
		}
	}
	var keys []string
	for k := range exchange.tries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		try := exchange.tries[k]
		if !try.pending {
			continue
		}
		try.pending = false
		if parent := try.parent; parent != nil {
			m.endAttempt(parent, routing.Reset, routing.CauseNone)
			parent.try.notBefore = m.now + releaseDelay
		} else {
			m.redial(try.caller) // the caller detects that the connection is lost
		}
	}
	exchange.tries = map[string]*tryState{}
	m.sendListUpdate(exchange)
}

// sendListUpdate sends an exchange's state to the policies of all others, after the delay of
// the list.
func (m *Mesh) sendListUpdate(exchange *exchangeState) {
	entry := routing.ListEntry{Host: hostName(exchange.number), Exchange: exchange.number, Started: exchange.started, State: exchange.state}
	for _, other := range m.exchanges {
		if other != exchange {
			m.scheduleAfter(uniform(m.linkRand, m.cfg.ListDelay), 'I', uint32(other.number), func() {
				if other.up {
					m.handle(other, routing.ListUpdated{Entries: []routing.ListEntry{entry}})
				}
			})
		}
	}
}

// countColdLoad counts a set-up at a processor that is still warming up, and counts an
// overload if the processor receives more than overloadFactor times its capacity over
// overloadWindow.
func (m *Mesh) countColdLoad(exchange *exchangeState) {
	if exchange.started == 0 || m.now-exchange.started >= m.cfg.WarmUpTime {
		return
	}
	setUpsPerSecond := overloadFactor * m.processorSpeed(exchange, m.now) * float64(time.Second) / float64(m.cfg.SetUpWork[exchange.number])
	maxBudget := setUpsPerSecond * overloadWindow.Seconds()
	exchange.coldBudget = min(maxBudget, exchange.coldBudget+setUpsPerSecond*(m.now-exchange.coldBudgetAt).Seconds())
	exchange.coldBudgetAt = m.now
	if exchange.coldBudget--; exchange.coldBudget < 0 {
		m.result.ColdOverloads++
		exchange.coldBudget = maxBudget
	}
}
