// Package routing decides, for the proxy of one exchange, how each call is set up, when
// it waits and when it is refused. Its types, events and actions are declared in
// interface.go; controller.go holds all decisions.
//
// The basic algorithm is Eisenberg's throttle as revised in the discussion of his
// paper (A.3), applied to the processors that calls go to. Each far processor has a
// credit counter that starts at its cap. An originating set-up, one whose call no other
// proxy passed on, spends a credit of the first processor that it loads, or waits in the
// Input Buffer of its destination, first come first served. Every tick tests each far
// processor: 'processor full', a time-out, or a delay or report above the limit fails
// the tick; without evidence it passes. A passed tick adds K credits up to the cap, a
// failed tick adds none; K is the number of waiting calls or the recent peak of set-ups
// sent in a passed tick, whichever is larger. A call that waits in the buffer for too long
// is refused. Calls go direct first, else over the tandem remembered for the destination,
// which is drawn again at random after a block. Each deviation from this algorithm is
// marked "Departure" where it is implemented, with what it guards against; docs/design.md
// lists them.
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

// Parameters of the algorithm. All other values are derived from the settings or learned.
const (
	minCreditCap           = 10   // credits; lower bound of every credit cap
	ticksPerGoal           = 8    // initial number of ticks per shortest goal time
	delayLimitPerGoal      = 0.5  // delay limit, as a share of the shortest goal time
	bufferTimePerGoal      = 0.4  // longest wait in the Input Buffer, as a share of the call's goal time
	tickStep               = 1.03 // factor by which a tick changes, until half of the tests pass
	maxTickFactor          = 3    // bound of the tick length, as a factor of the initial one, both ways
	rateTimeConstant       = 10 * time.Second
	priorityValueRatio     = 2.0 // value per circuit-second, relative to another class's, that gives priority
	minWindow              = 2   // lower bound of a processor's window, in outstanding attempts
	alternateBudgetPerCall = 0.5 // blocks allowed per established call; also refunded without a direct group
	maxTrafficSkew         = 4.0 // upper bound of the usual traffic to an exchange, in equal shares
	maxGuardFactor         = 4.0 // factor of a group's reserve where its guard is 1
)

// Controller is the routing policy of one exchange, or of one front of pools. It is not
// safe for concurrent use.
type Controller struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action
	minGoalTime  time.Duration // shortest goal time of all classes
	delayLimit   time.Duration // longer delays fail a tick
	mayClaim     []bool        // by class: wider, or of much more value per circuit, than another class
	initialTick  time.Duration // length of a tick before it is adjusted
	timerAt      time.Duration // expiry of the timer asked for; 0: none
	nextDeadline time.Duration // earliest end of a tick or of a wait in an Input Buffer
	subscribeAt  time.Duration // time of the next Subscribe; 0: none

	byHost          map[string]*farProcessor
	processors      []*farProcessor       // all known, sorted by exchange and host; loops use this order
	readyByExchange map[int]*farProcessor // the ready processor of each exchange
	groups          map[int]*trunkGroup   // by exchange
	calls           map[string]*callState // by call id
	awaitingRelease []*callState          // calls that wait for the release delay, by its end
	numbers         map[string]*calledNumber
	sendRate        agedRate // originating set-ups to all processors
	alternateBudget float64  // blocks still allowed on alternate routes
	nextSweep       time.Duration

	planVersion uint64 // of the last plan received
	planUntil   time.Duration
	planActive  bool                    // a plan is in force
	weights     map[int]map[int]float64 // by destination and tandem
	guards      map[int]float64         // by the exchange that the group leads to
}

// trunkGroup is the trunk group (or the free agents) toward one exchange.
type trunkGroup struct {
	free, size     int // circuits; -1: not known
	tandem         int // the tandem remembered for calls to this exchange; -1: none
	claimWidth     int // circuits that other classes leave to a blocked call
	claimUntil     time.Duration
	firstOfferRate agedRate        // calls to this exchange that are no redials
	tandemBackoffs map[int]backoff // of tandems that blocked calls to this exchange
}

// farProcessor is the state of one far processor.
type farProcessor struct {
	host     string
	exchange int
	state    State
	started  time.Duration

	credit         float64
	creditCap      float64
	tickLength     time.Duration // adjusted under pressure
	nextTick       time.Duration
	tickFailed     bool         // the current tick has failed
	lastTickFailed bool         // the last complete tick failed: the processor is under pressure
	sentThisTick   int          // originating set-ups in this tick
	sendRate       agedRate     // originating set-ups to this processor
	peakSent       float64      // most originating set-ups in one passed tick, slowly decaying
	inputBuffer    []*callState // first come first served
	outstanding    []*callState // calls with an attempt outstanding here, in the order of their sends

	trialBackoff backoff // between trial calls; zero in ordinary service

	coldBudget  float64 // set-ups left of this controller's share while the processor is cold
	coldUpdated time.Duration
	loggedAt    time.Duration
}

// callState is the state of a call that has a pending final answer or an outstanding attempt.
type callState struct {
	id             string
	class          int
	dest           int
	width          int
	number         string
	arrived        time.Duration
	firstOfferedAt time.Duration // arrival of the caller's first try, as far as it is known
	expires        time.Duration
	transit        bool
	answerPending  bool          // the controller has yet to give the final answer
	attempts       int           // sends so far
	blockedBy      []int         // exchanges that blocked it
	processor      *farProcessor // has its outstanding attempt; nil: none is outstanding
	sentAt         time.Duration
	bufferedAt     *farProcessor // the processor whose Input Buffer it waits in; nil: none
	notBefore      time.Duration // end of the release delay
	established    bool
}

// calledNumber is the state of one number called from this exchange.
type calledNumber struct {
	firstOfferedAt time.Duration // first try of the calls to it that were not established yet
	lastCallAt     time.Duration // 0: the next call to it is no redial
	busyBackoff    backoff       // between calls that are let through while the number is busy
}

// backoff is an exponential backoff: each wait is twice as long as the one before,
// until it is cleared.
type backoff struct{ interval, until time.Duration }

// extend doubles the interval, between initial and limit, and starts it now.
func (b *backoff) extend(now, initial, limit time.Duration) {
	b.interval = min(max(2*b.interval, initial), limit)
	b.until = now + b.interval
}

// agedRate is an exponentially decaying rate of events per second.
type agedRate struct {
	perSecond float64
	updated   time.Duration
}

func (r *agedRate) add(now time.Duration) {
	r.perSecond = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updated = now
}

func (r *agedRate) at(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.updated)/float64(rateTimeConstant))
}

// New returns a controller whose random draws follow from the seed. The error names the
// setting that is missing: a class, an attempt, or the goal time or deadline of a class.
func New(settings Settings, seed uint64) (*Controller, error) {
	if len(settings.Classes) == 0 {
		return nil, errors.New("settings: no class of call")
	}
	if settings.MaxAttempts < 1 {
		return nil, errors.New("settings: no attempt is allowed for a call")
	}
	goal := time.Duration(math.MaxInt64)
	for i, class := range settings.Classes {
		if class.GoalTime <= 0 || class.Deadline <= 0 {
			return nil, fmt.Errorf("settings: class %d has no goal time or no deadline", i)
		}
		goal = min(goal, class.GoalTime)
	}
	mayClaim := make([]bool, len(settings.Classes))
	for i, class := range settings.Classes {
		for _, other := range settings.Classes {
			mayClaim[i] = mayClaim[i] || class.Width > other.Width ||
				class.valuePerCircuit() > priorityValueRatio*other.valuePerCircuit()
		}
	}
	delayLimit := time.Duration(delayLimitPerGoal * float64(goal))
	if settings.ResendInterval > 0 {
		delayLimit = min(delayLimit, settings.ResendInterval) // after it each waiting set-up is sent again
	}
	return &Controller{
		settings:    settings,
		rng:         rand.New(rand.NewPCG(seed, 0x7665746368)),
		minGoalTime: goal, delayLimit: delayLimit, mayClaim: mayClaim, initialTick: goal / ticksPerGoal,
		byHost: map[string]*farProcessor{}, readyByExchange: map[int]*farProcessor{},
		groups: map[int]*trunkGroup{}, calls: map[string]*callState{}, numbers: map[string]*calledNumber{},
		alternateBudget: minCreditCap,
	}, nil
}

// valuePerCircuit returns the worth of a call of the class per circuit and second.
func (c Class) valuePerCircuit() float64 {
	return c.Worth / float64(max(c.Width, 1)) / max(c.Hold.Seconds(), 1)
}

// Handle processes one event that occurred at clock time now and returns the resulting
// actions, in order. The slice is valid until the next call.
func (c *Controller) Handle(now time.Duration, ev Event) []Action {
	c.now = max(now, c.now)
	c.actions = c.actions[:0]
	c.expirePlan()
	switch e := ev.(type) {
	case ListUpdated:
		c.updateList(e)
	case Offered:
		c.handleOffered(e)
	case Established:
		c.handleEstablished(c.calls[e.Call], e.Attempt, e.Delay)
	case AttemptEnded:
		c.handleAttemptEnded(e)
	case Withdrawn:
		if call := c.calls[e.Call]; call != nil {
			c.finish(call)
		}
	case Reported:
		c.applyReport(c.byHost[e.Host], e.Report)
	case PlanUpdated:
		c.applyPlan(e)
	}
	c.runTimers()
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// applyPlan replaces the weights and guards by those of a newer plan.
func (c *Controller) applyPlan(e PlanUpdated) {
	if e.Version <= c.planVersion {
		return
	}
	c.planVersion, c.planUntil, c.planActive = e.Version, e.ValidUntil, len(e.Weights)+len(e.Guards) > 0
	c.weights, c.guards = map[int]map[int]float64{}, map[int]float64{}
	for _, w := range e.Weights {
		if c.weights[w.Dest] == nil {
			c.weights[w.Dest] = map[int]float64{}
		}
		if w.Weight > 0 && !math.IsInf(w.Weight, 1) {
			c.weights[w.Dest][w.Tandem] = w.Weight
		}
	}
	for _, guard := range e.Guards {
		c.guards[guard.Toward] = min(max(guard.Value, 0), 1)
	}
	for _, group := range c.groups {
		group.tandem = -1 // drawn without the new plan
	}
}

// expirePlan drops a plan at the end of its validity, since its loads are out of date.
func (c *Controller) expirePlan() {
	if c.planActive && c.now >= c.planUntil {
		c.planActive = false
		c.emit(Log{fmt.Sprintf("plan %d is past its time: dropped", c.planVersion)})
	}
}

// runTimers does all work that is due and asks for a timer for the next.
func (c *Controller) runTimers() {
	for len(c.awaitingRelease) > 0 && c.awaitingRelease[0].notBefore <= c.now {
		call := c.awaitingRelease[0]
		c.awaitingRelease = c.awaitingRelease[1:]
		if call.answerPending {
			c.route(call)
		}
	}
	if c.nextDeadline <= c.now {
		c.nextDeadline = math.MaxInt64
		for _, proc := range c.processors {
			if proc.state != Ready {
				continue
			}
			c.nextDeadline = min(c.nextDeadline, c.refuseExpired(proc))
			if proc.nextTick <= c.now {
				c.endTick(proc)
			}
			c.nextDeadline = min(c.nextDeadline, proc.nextTick)
		}
	}
	next := c.nextDeadline
	if len(c.awaitingRelease) > 0 {
		next = min(next, c.awaitingRelease[0].notBefore)
	}
	if c.subscribeAt > c.now {
		next = min(next, c.subscribeAt)
	} else if c.subscribeAt > 0 {
		c.subscribeAt = 0
		c.emit(Subscribe{})
	}
	c.dropIdleNumbers()
	if next != math.MaxInt64 && (c.timerAt == 0 || next < c.timerAt || c.timerAt <= c.now) {
		c.timerAt = max(next, c.now+time.Millisecond)
		c.emit(SetTimer{c.timerAt - c.now})
	}
}

// dropIdleNumbers forgets numbers without a recent call or backoff.
func (c *Controller) dropIdleNumbers() {
	if c.now < c.nextSweep {
		return
	}
	c.nextSweep = c.now + rateTimeConstant
	for key, number := range c.numbers {
		if c.now > number.busyBackoff.until+rateTimeConstant && c.now > number.lastCallAt+rateTimeConstant {
			delete(c.numbers, key)
		}
	}
}

// ---- the list

// updateList applies a full list or changes to it.
func (c *Controller) updateList(e ListUpdated) {
	if e.Failed {
		if c.settings.SubscribeRequired {
			c.subscribeAt = c.now + c.minGoalTime
		}
		return
	}
	if c.settings.SubscribeRequired && len(c.processors) == 0 {
		c.emit(Subscribe{})
	}
	present := map[string]bool{}
	for _, entry := range e.Entries {
		present[entry.Host] = true
		proc := c.byHost[entry.Host]
		if proc == nil {
			proc = &farProcessor{host: entry.Host, creditCap: minCreditCap, credit: minCreditCap,
				tickLength: c.initialTick, nextTick: c.now + c.initialTick}
			c.byHost[entry.Host] = proc
			c.processors = append(c.processors, proc)
		} else if entry.Started > proc.started {
			c.endTrials(proc) // it was restarted: earlier failures no longer count
		}
		if entry.Started > proc.started {
			// Random, since all controllers would send at once with a budget of 1 each.
			proc.coldBudget, proc.coldUpdated = c.rng.Float64(), c.now
		}
		proc.exchange, proc.state = entry.Exchange, entry.State
		proc.started = max(proc.started, entry.Started)
		c.groupOf(proc.exchange)
	}
	if e.Complete {
		for _, proc := range c.processors {
			if !present[proc.host] {
				proc.state = Removed
			}
		}
	}
	c.processors = slices.DeleteFunc(c.processors, func(proc *farProcessor) bool {
		unused := proc.state == Removed && len(proc.outstanding)+len(proc.inputBuffer) == 0
		if unused {
			delete(c.byHost, proc.host)
		}
		return unused
	})
	slices.SortFunc(c.processors, func(a, b *farProcessor) int {
		return cmp.Or(cmp.Compare(a.exchange, b.exchange), cmp.Compare(a.host, b.host))
	})
	clear(c.readyByExchange)
	c.nextDeadline = 0
	for _, proc := range c.processors {
		if proc.state != Ready || !c.settings.PoolMode && proc.exchange == c.settings.OwnExchange {
			continue
		}
		if current := c.readyByExchange[proc.exchange]; current == nil || proc.started > current.started {
			c.readyByExchange[proc.exchange] = proc
		}
	}
	for _, proc := range c.processors {
		if c.readyByExchange[proc.exchange] == proc {
			continue
		}
		buffered := proc.inputBuffer // the processor takes no new calls: waiting ones are rerouted or refused
		proc.inputBuffer = nil
		for _, call := range buffered {
			call.bufferedAt = nil
			c.route(call)
		}
	}
}

func (c *Controller) groupOf(exchange int) *trunkGroup {
	group := c.groups[exchange]
	if group == nil {
		group = &trunkGroup{free: -1, size: -1, tandem: -1, tandemBackoffs: map[int]backoff{}}
		c.groups[exchange] = group
	}
	return group
}

// applyReport updates the trunk group's state and fails the tick of an overloaded processor.
func (c *Controller) applyReport(proc *farProcessor, report Report) {
	if proc == nil {
		return
	}
	if report.Size >= 0 {
		group := c.groupOf(proc.exchange)
		group.free, group.size = report.Free, report.Size
	}
	// The queue counts set-ups; an exchange handles about two for each that it originates.
	perSec := 2 * max(c.sendRate.at(c.now), 1)
	delayed := report.QueueDelay > c.delayLimit || report.QueueLength/perSec > c.delayLimit.Seconds()
	proc.tickFailed = proc.tickFailed || delayed || report.Utilization >= 1 || report.Throttle > 0
}

// ---- the throttle

// endTick ends a tick of one far processor; it is the test job of the reference algorithm.
func (c *Controller) endTick(proc *farProcessor) {
	if len(proc.outstanding) > 0 && c.now-proc.outstanding[0].sentAt > c.delayLimit {
		proc.tickFailed = true
	}
	passed := !proc.tickFailed && !proc.onTrial()
	if passed {
		proc.peakSent = max(float64(proc.sentThisTick), proc.peakSent*0.98)
		proc.creditCap = max(minCreditCap, 2*proc.peakSent)
		proc.credit = min(proc.creditCap, proc.credit+max(float64(len(proc.inputBuffer)), 1, proc.peakSent))
	}
	c.adjustTick(proc, passed)
	proc.lastTickFailed, proc.tickFailed, proc.sentThisTick = !passed, false, 0
	proc.nextTick = c.now + proc.tickLength
	c.serveBuffer(proc)
}

// adjustTick adjusts the tick length so that at very high load, with calls waiting or
// ticks failing, about half of the tests pass: a shorter tick adds credit faster.
// Without pressure the length returns to its initial value.
func (c *Controller) adjustTick(proc *farProcessor, passed bool) {
	switch {
	case !passed:
		proc.tickLength = time.Duration(float64(proc.tickLength) * tickStep)
	case len(proc.inputBuffer) > 0 || proc.lastTickFailed || proc.tickLength > c.initialTick:
		proc.tickLength = time.Duration(float64(proc.tickLength) / tickStep)
	case proc.tickLength < c.initialTick:
		proc.tickLength = min(c.initialTick, time.Duration(float64(proc.tickLength)*tickStep))
	}
	proc.tickLength = min(max(proc.tickLength, c.initialTick/maxTickFactor), c.initialTick*maxTickFactor)
}

// refuseExpired refuses the buffered calls whose deadline has passed and returns the next
// deadline. It doesn't wait for the end of a tick, which may come later than a call
// must be answered.
func (c *Controller) refuseExpired(proc *farProcessor) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, call := range slices.Clone(proc.inputBuffer) {
		if end := c.bufferDeadline(call); end > c.now {
			next = min(next, end)
		} else {
			c.refuse(call) // removes it from the buffer
		}
	}
	return next
}

// serveBuffer routes buffered calls, first come first served, while the processor admits them.
func (c *Controller) serveBuffer(proc *farProcessor) {
	buffered := proc.inputBuffer
	proc.inputBuffer = nil
	for _, call := range buffered {
		if c.admits(proc) {
			call.bufferedAt = nil
			c.route(call)
		} else {
			proc.inputBuffer = append(proc.inputBuffer, call)
		}
	}
}

// bufferDeadline returns the time at which a buffered call is refused: the end of its longest
// wait, or earlier if the call expires.
func (c *Controller) bufferDeadline(call *callState) time.Duration {
	maxWait := time.Duration(bufferTimePerGoal * float64(c.classOf(call).GoalTime))
	return min(call.arrived+maxWait, call.expires-c.initialTick-c.settings.ReleaseDelay)
}

func (c *Controller) classOf(call *callState) Class { return c.settings.Classes[call.class] }

// admits reports whether an originating set-up may be sent to this processor now.
//
// Departure: passing a tick without evidence would send K calls a tick to a silent or
// overloaded processor. While a processor is on trial (see recordFailure) it gets one call at a
// time, with exponential backoff, until one is established within the delay limit. This also
// guards against a broken link and a list entry of an exited process; a chance failure costs
// one backoff interval.
func (c *Controller) admits(proc *farProcessor) bool {
	if proc.onTrial() {
		return len(proc.outstanding) == 0 && c.now >= proc.trialBackoff.until && c.withinColdBudget(proc)
	}
	return proc.credit >= 1 && len(proc.outstanding) < c.windowSize(proc) && c.withinColdBudget(proc)
}

// windowSize returns how many attempts may be outstanding at a far processor.
//
// Departure: idle credit counters are at their cap, so a crowd could put ten set-ups from
// each exchange on one processor before the first test fails, and a test lags by a round trip.
// The window is twice what a processor that keeps the delay limit answers within it;
// further calls wait as if without credit. This guards against any sudden rise in load or
// slowdown; it costs calls where traffic to an exchange rises suddenly from a low level.
func (c *Controller) windowSize(proc *farProcessor) int {
	floor := minWindow
	if !proc.lastTickFailed {
		floor++
	}
	return max(floor, int(math.Ceil(2*proc.sendRate.at(c.now)*c.delayLimit.Seconds())))
}

// withinColdBudget reports whether a set-up may be sent to a processor that may be cold.
// Each controller keeps to its share of what a cold processor can take, so that all
// together don't overload it; transit calls count too.
func (c *Controller) withinColdBudget(proc *farProcessor) bool {
	age := c.now - proc.started
	if proc.started <= 0 || age >= c.settings.WarmUpTime || c.settings.WarmUpTime <= 0 {
		return true
	}
	window := c.settings.OverloadWindow.Seconds()
	capacity := c.settings.ColdCapacity +
		(1-c.settings.ColdCapacity)*float64(max(age, 0))/float64(c.settings.WarmUpTime)
	// A processor handles two set-ups for each call that its exchange originates, and is
	// about fully loaded then: see expectedRate.
	perSec := c.settings.OverloadFactor * capacity * c.expectedRate(proc)
	burst := max(1, perSec*window/2)
	proc.coldBudget = min(burst, proc.coldBudget+perSec*(c.now-proc.coldUpdated).Seconds())
	proc.coldUpdated = c.now
	return proc.coldBudget >= 1
}

// recordFailure notes that an attempt at a processor failed and puts it on trial. Its backoff
// starts at the given interval, or at the mean time between calls to it if that is longer.
func (c *Controller) recordFailure(proc *farProcessor, initial time.Duration) {
	proc.tickFailed = true
	if !proc.onTrial() {
		c.logf(proc, "exchange %d sets up no call: one trial call at a time", proc.exchange)
	}
	meanInterval := time.Duration(float64(time.Second) / c.expectedRate(proc))
	proc.trialBackoff.extend(c.now, max(initial, meanInterval), 2*max(c.minGoalTime, meanInterval))
}

// onTrial reports whether the processor gets one trial call at a time.
func (proc *farProcessor) onTrial() bool { return proc.trialBackoff.interval > 0 }

// expectedRate returns the originating set-ups per second that one controller may expect to
// send to a processor: an equal share for each controller, plus the usual demand of this
// exchange's callers, up to maxTrafficSkew equal shares. A processor originates about as many
// calls as end at it, so the rate of this exchange is an estimate for the others.
func (c *Controller) expectedRate(proc *farProcessor) float64 {
	equalShare := max(c.sendRate.at(c.now), 1) / float64(max(c.settings.FleetSize, 1))
	return equalShare + min(c.groupOf(proc.exchange).firstOfferRate.at(c.now), maxTrafficSkew*equalShare)
}

// endTrials returns a processor to ordinary service.
func (c *Controller) endTrials(proc *farProcessor) {
	if proc.onTrial() {
		c.logf(proc, "exchange %d sets up calls again", proc.exchange)
		proc.credit = min(proc.credit, 1)
	}
	proc.trialBackoff = backoff{}
}

// logf emits a line on a processor, at most one per half rateTimeConstant.
func (c *Controller) logf(proc *farProcessor, format string, args ...any) {
	if proc.loggedAt > 0 && c.now-proc.loggedAt < rateTimeConstant/2 {
		return
	}
	proc.loggedAt = c.now
	c.emit(Log{fmt.Sprintf(format, args...)})
}

// ---- calls and routes

func (c *Controller) handleOffered(e Offered) {
	if c.calls[e.Call] != nil {
		return
	}
	call := &callState{id: e.Call, class: min(max(e.Class, 0), len(c.settings.Classes)-1), dest: e.Dest,
		width: max(e.Width, 1), number: e.Number, arrived: c.now, firstOfferedAt: c.now, expires: e.Expires,
		transit: e.Transit, answerPending: true}
	c.calls[call.id] = call
	if number := c.numberOf(call); number != nil && !e.Transit {
		again := e.Redial || !c.settings.RedialsMarked && c.now < number.lastCallAt+c.classOf(call).Deadline
		if again && number.lastCallAt > 0 && !e.AfterCut {
			call.firstOfferedAt = number.firstOfferedAt
		}
		if call.firstOfferedAt == c.now {
			c.groupOf(call.dest).firstOfferRate.add(c.now)
		}
		number.firstOfferedAt, number.lastCallAt = call.firstOfferedAt, c.now
		if c.now < number.busyBackoff.until {
			c.refuse(call) // the number was busy a moment ago: see recordBusy
			return
		}
	}
	c.route(call)
}

func (c *Controller) numberOf(call *callState) *calledNumber {
	if call.number == "" {
		return nil
	}
	number := c.numbers[call.number]
	if number == nil {
		number = &calledNumber{}
		c.numbers[call.number] = number
	}
	return number
}

// pastGoalTime reports whether the goal time of a call has passed, counted from the caller's
// first try.
func (c *Controller) pastGoalTime(call *callState) bool {
	return !call.transit && c.now >= call.firstOfferedAt+c.classOf(call).GoalTime
}

// route takes the next step for a call with a pending final answer and no outstanding attempt:
// a send, a place in an Input Buffer, or a refusal.
func (c *Controller) route(call *callState) {
	dest := c.readyByExchange[call.dest]
	if call.transit {
		// A call over two groups must not displace two direct calls: it is turned back
		// unless circuits beyond the reserve are free.
		available := dest != nil && call.attempts == 0 && !dest.onTrial() && c.withinColdBudget(dest)
		if available && c.hasCircuits(call.dest, call.width, c.trunkReserve(call.dest)) {
			c.send(call, dest)
		} else {
			c.refuse(call)
		}
		return
	}
	unroutable := call.attempts >= c.settings.MaxAttempts || c.now >= call.expires-c.settings.AnswerSlack ||
		dest == nil && !c.settings.PoolMode || dest != nil && dest.onTrial() && !c.admits(dest)
	if unroutable || c.pastGoalTime(call) && !c.hasSpareCapacity(call, dest) {
		c.refuse(call)
		return
	}
	if dest != nil && c.hasCircuits(call.dest, call.width, 0) &&
		!slices.Contains(call.blockedBy, call.dest) && !c.barredByClaim(call) {
		c.admitOrBuffer(call, dest, dest)
		return
	}
	c.claimCircuits(call)
	if tandem := c.chooseTandem(call); tandem != nil && (c.settings.PoolMode || !dest.onTrial()) {
		c.admitOrBuffer(call, tandem, dest)
		return
	}
	c.refuse(call)
}

// claimCircuits claims circuits for a blocked call of a class with priority.
//
// Departure: a wide call finds enough free circuits less often than a narrow one, and a call of
// high value is lost as easily as one of low value. For a goal time after such a call was
// blocked, the other classes leave its circuits free and use alternate routes. This guards any
// class that is blocked more than others; it wastes circuits where callers don't redial.
func (c *Controller) claimCircuits(call *callState) {
	if c.mayClaim[call.class] && !c.pastGoalTime(call) && len(call.blockedBy) == 0 {
		group := c.groupOf(call.dest)
		group.claimWidth, group.claimUntil = call.width, c.now+c.classOf(call).GoalTime
	}
}

// barredByClaim reports whether the group's last circuits are claimed for a blocked call. A
// call of a class that may claim ends the claim.
func (c *Controller) barredByClaim(call *callState) bool {
	group := c.groupOf(call.dest)
	if c.mayClaim[call.class] {
		group.claimUntil = 0
	}
	return c.now < group.claimUntil && !c.hasCircuits(call.dest, call.width, group.claimWidth)
}

// hasSpareCapacity reports whether a call past its goal time may be sent.
//
// Departure: the reference algorithm treats redials as new calls, which spend credit twice. A
// call whose first try is past its goal time earns little and would take credit and
// circuits from calls still in time, so it goes direct on capacity that they leave, or is
// refused. This guards against any crowd of redials; it costs where a late call is worth
// nearly as much.
func (c *Controller) hasSpareCapacity(call *callState, dest *farProcessor) bool {
	return dest != nil && !dest.lastTickFailed && len(dest.inputBuffer) == 0 &&
		c.hasCircuits(call.dest, call.width, c.trunkReserve(call.dest))
}

// admitOrBuffer sends an originating set-up if the processor admits it, else buffers the call.
func (c *Controller) admitOrBuffer(call *callState, proc, buffer *farProcessor) {
	// Departure: under pressure the last slot of the window is reserved for classes that may claim
	// circuits, which also pass the calls that wait, since a queue delays calls of high value
	// first. It makes the other classes wait where such calls are most of the traffic.
	slotReserved := proc.lastTickFailed && !c.mayClaim[call.class] &&
		len(proc.outstanding) >= c.windowSize(proc)-1
	inTurn := len(proc.inputBuffer) == 0 || call.arrived < proc.inputBuffer[0].arrived ||
		proc.lastTickFailed && c.mayClaim[call.class]
	if inTurn && !slotReserved && c.admits(proc) {
		proc.credit = max(0, proc.credit-1)
		proc.sentThisTick++
		c.sendRate.add(c.now)
		proc.sendRate.add(c.now)
		c.send(call, proc)
		return
	}
	if c.now >= c.bufferDeadline(call) {
		c.refuse(call)
		return
	}
	if buffer == nil {
		buffer = proc
	}
	call.bufferedAt = buffer
	buffer.inputBuffer = append(buffer.inputBuffer, call)
	c.nextDeadline = min(c.nextDeadline, c.bufferDeadline(call))
}

// hasCircuits reports whether the group toward an exchange has width free circuits beyond the
// reserve; a group of unknown state counts as free.
func (c *Controller) hasCircuits(exchange, width, reserve int) bool {
	group := c.groupOf(exchange)
	return group.free < 0 || group.free >= width+reserve
}

// trunkReserve returns the number of circuits of a group that are reserved for direct calls.
func (c *Controller) trunkReserve(exchange int) int {
	if c.settings.PoolMode {
		return 0
	}
	size := max(c.groupOf(exchange).size, 0)
	reserve := math.Sqrt(float64(size)) / 2
	if c.planActive && len(c.guards) > 0 {
		reserve *= 1 + (maxGuardFactor-1)*c.guards[exchange] // more where direct calls need the circuits
	}
	return min(int(math.Ceil(reserve)), size/4)
}

// chooseTandem returns the tandem for a call whose direct group is full: the one remembered for
// the destination, else another drawn at random; nil if none is usable. An exchange to which this
// one has many free circuits is likely large and has free circuits to the destination too, where
// others have few or no group at all, so the draw is weighted by the cube of the free
// circuits. This overloads a tandem that all exchanges draw.
//
// Departure: with a plan the draw is weighted by the plan's weight, which accounts for the second
// leg and the traffic of other exchanges, times the free circuits of the own group; exchanges
// that are no longer listed are left out. Tandems without a weight are drawn as above if no other
// is usable. This is right while loads are near the plan's, and wrong once they have changed.
func (c *Controller) chooseTandem(call *callState) *farProcessor {
	group := c.groupOf(call.dest)
	var pick, weighted *farProcessor
	cubeSum, weightSum := 0, 0.0
	for _, proc := range c.processors {
		if c.alternateBudget < 1 || c.readyByExchange[proc.exchange] != proc || proc.exchange == call.dest ||
			slices.Contains(call.blockedBy, proc.exchange) ||
			proc.onTrial() || proc.lastTickFailed || !c.admits(proc) ||
			c.now < group.tandemBackoffs[proc.exchange].until ||
			c.settings.PoolMode && !slices.Contains(c.classOf(call).Pools, proc.exchange) ||
			!c.hasCircuits(proc.exchange, call.width, c.trunkReserve(proc.exchange)) {
			continue
		}
		if proc.exchange == group.tandem {
			return proc
		}
		free := max(1, c.groupOf(proc.exchange).free)
		if weight := c.weights[call.dest][proc.exchange]; c.planActive && weight > 0 {
			if weight *= float64(free); c.rng.Float64()*(weightSum+weight) >= weightSum {
				weighted = proc
			}
			weightSum += weight
			continue
		}
		if cubeSum += free * free * free; c.rng.IntN(cubeSum) < free*free*free {
			pick = proc
		}
	}
	if weighted != nil {
		pick = weighted
	}
	if pick != nil {
		group.tandem = pick.exchange
	}
	return pick
}

// send sends an attempt, with a time-out at the end of the goal time if that is still ahead,
// else when the call expires.
func (c *Controller) send(call *callState, proc *farProcessor) {
	proc.coldBudget--
	group := c.groupOf(proc.exchange)
	if group.free >= 0 {
		group.free = max(0, group.free-call.width)
	}
	timeout := call.expires - c.now
	if goal := call.firstOfferedAt + c.classOf(call).GoalTime - c.now; !call.transit && goal > 0 {
		timeout = min(timeout, goal)
	}
	call.processor, call.sentAt = proc, c.now
	call.attempts++
	proc.outstanding = append(proc.outstanding, call)
	c.emit(Send{Call: call.id, Host: proc.host, Timeout: timeout})
}

// ---- answers

// handleEstablished processes the answer to an attempt.
func (c *Controller) handleEstablished(call *callState, attempt int, delay time.Duration) {
	if call == nil || call.processor == nil || attempt != call.attempts-1 || call.established {
		return
	}
	proc := call.processor
	c.removeOutstanding(proc, call)
	call.established, call.answerPending = true, false
	if delay > c.delayLimit {
		proc.tickFailed = true
	} else {
		c.endTrials(proc) // only an answer within the delay limit ends them
		if !call.transit {
			c.alternateBudget = min(minCreditCap, c.alternateBudget+alternateBudgetPerCall)
		}
	}
	c.cancelOvertaken(proc, call)
	if proc.exchange != call.dest {
		group := c.groupOf(call.dest)
		group.tandem = proc.exchange
		delete(group.tandemBackoffs, proc.exchange)
		if dest := c.readyByExchange[call.dest]; dest != nil {
			c.endTrials(dest)
		}
	}
	if number := c.numbers[call.number]; number != nil {
		number.busyBackoff, number.lastCallAt = backoff{}, 0 // the next call to it is no redial
	}
}

// cancelOvertaken cancels direct attempts that were sent more than an initial tick before one
// that is answered now.
//
// Departure: a processor serves set-ups in order, so the earlier ones were lost on the way;
// their calls are retried after the release delay. This guards against links that lose set-ups; it
// cancels good attempts where set-ups are not served in order.
func (c *Controller) cancelOvertaken(proc *farProcessor, answered *callState) {
	for _, earlier := range proc.outstanding {
		if c.settings.CancelAllowed && earlier.answerPending && !earlier.transit &&
			earlier.dest == answered.dest && proc.exchange == answered.dest &&
			earlier.sentAt+c.initialTick < answered.sentAt {
			earlier.sentAt = c.now // cancel it once only; its age no longer counts as evidence
			c.emit(Cancel{Call: earlier.id, Attempt: earlier.attempts - 1})
		}
	}
}

func (c *Controller) removeOutstanding(proc *farProcessor, call *callState) {
	proc.outstanding = slices.DeleteFunc(proc.outstanding, func(o *callState) bool { return o == call })
}

// handleAttemptEnded processes the end of an attempt and takes the next step for its call.
func (c *Controller) handleAttemptEnded(e AttemptEnded) {
	c.applyReport(c.byHost[e.Host], e.Report)
	call := c.calls[e.Call]
	if call == nil || call.processor == nil || e.Attempt != call.attempts-1 {
		return
	}
	proc := call.processor
	c.removeOutstanding(proc, call)
	call.processor = nil
	call.answerPending = call.answerPending && !e.CallEnded
	if !call.established {
		c.recordOutcome(call, proc, e)
	}
	if !call.answerPending {
		delete(c.calls, call.id)
		return
	}
	c.continueCall(call, proc, e)
}

// recordOutcome updates the state of the processors after an attempt that was not established.
func (c *Controller) recordOutcome(call *callState, proc *farProcessor, e AttemptEnded) {
	direct := proc.exchange == call.dest
	switch e.Result {
	case TimedOut:
		proc.tickFailed = true
		if direct && e.Delay > c.delayLimit {
			c.recordFailure(proc, c.minGoalTime/2)
		}
	case NotReached:
		c.recordFailure(proc, c.minGoalTime/2)
	case Refused:
		switch e.Cause {
		case CauseProcessorFull:
			c.recordFailure(proc, max(c.initialTick, min(e.RetryAfter, c.minGoalTime)))
		case CauseDestinationFull:
			if dest := c.readyByExchange[call.dest]; dest != nil {
				c.recordFailure(dest, c.initialTick)
			}
		default:
			c.endTrials(proc)
		}
	case Failed:
		c.endTrials(proc)
		if e.Cause == CauseNumberBusy {
			c.recordBusy(call)
		}
	}
	if !direct && e.Result != Ended && e.Result != Failed && e.Result != NotSent {
		c.recordBlock(c.groupOf(call.dest), proc.exchange)
	}
}

// recordBlock notes that a call over a tandem was blocked: the tandem is forgotten for the
// destination and not used for it again until its backoff ends.
//
// Departure: alternate routes have a budget of their own. A block spends one of it, or half
// where there is no direct group and a tandem is the ordinary route; a call established
// within the delay limit adds to it, up to the cap. When trunk groups are full nearly all
// alternate routes are blocked, and each block is work for two processors without establishing a
// call. This also guards against a region that is cut off and a slow destination; it costs
// calls where many groups are full and processors are idle.
func (c *Controller) recordBlock(group *trunkGroup, tandem int) {
	if group.tandem == tandem {
		group.tandem = -1
	}
	tandemBackoff := group.tandemBackoffs[tandem]
	tandemBackoff.extend(c.now, c.initialTick, 2*c.minGoalTime)
	group.tandemBackoffs[tandem] = tandemBackoff
	if c.alternateBudget--; group.size == 0 {
		c.alternateBudget += alternateBudgetPerCall // a tandem is the ordinary route
	}
}

// recordBusy notes that every line of a number was busy.
//
// Departure: calls to a number that was busy are refused before they spend credit, except for
// one after each backoff interval, so that a crowd on one number does not queue ahead of
// ordinary calls. This guards against any number that can't take its calls; a number whose
// line was just freed waits for up to one interval.
func (c *Controller) recordBusy(call *callState) {
	if number := c.numberOf(call); number != nil {
		number.busyBackoff.extend(c.now, c.minGoalTime/2, 4*c.minGoalTime)
	}
}

// continueCall retries, refuses or fails a call whose attempt was not established.
//
// A signalling fault says nothing about the next set-up, so the call is retried on credit.
// This guards against an exchange that answers a share of its set-ups with faults; where all
// fail it wastes set-ups, up to the attempts allowed.
func (c *Controller) continueCall(call *callState, proc *farProcessor, e AttemptEnded) {
	mayRetry := !call.transit && !c.pastGoalTime(call) && call.attempts < c.settings.MaxAttempts
	switch e.Result {
	case TimedOut, Reset, Cancelled:
		if mayRetry && c.now+c.settings.ReleaseDelay < call.expires-c.initialTick {
			call.notBefore = c.now + c.settings.ReleaseDelay
			c.awaitingRelease = append(c.awaitingRelease, call)
			return
		}
	default:
		fault := e.Result == Failed && e.Cause != CauseNumberBusy
		blocked := e.Cause == CauseNoCircuit || e.Cause == CauseTurnedBack
		viaTandem := proc.exchange != call.dest && e.Result != NotSent &&
			e.Cause != CauseDestinationFull && e.Cause != CauseNumberBusy
		if mayRetry && (fault || blocked || viaTandem) {
			if !fault || viaTandem {
				call.blockedBy = append(call.blockedBy, proc.exchange)
			}
			c.route(call)
			return
		}
	}
	if e.Result == Refused || e.Result == NotSent || call.transit {
		c.refuse(call)
		return
	}
	c.emit(Fail{Call: call.id})
	c.finish(call)
}

// refuse gives the final answer "refused" if one is pending.
func (c *Controller) refuse(call *callState) {
	if call.answerPending {
		c.emit(Refuse{Call: call.id, RetryAfter: c.retryAfter(call)})
	}
	c.finish(call)
}

// retryAfter returns the time after which a call that is refused now may be redialled: after the
// backoffs of its number and its exchange, and not before circuits may be free.
func (c *Controller) retryAfter(call *callState) time.Duration {
	after := c.minGoalTime / 2
	if number := c.numbers[call.number]; number != nil {
		after = max(after, number.busyBackoff.until-c.now)
	}
	if dest := c.readyByExchange[call.dest]; dest != nil && dest.onTrial() {
		after = max(after, dest.trialBackoff.until-c.now)
	}
	return after
}

// finish marks the final answer as given; the call is kept while an attempt is outstanding.
func (c *Controller) finish(call *callState) {
	call.answerPending = false
	if proc := call.bufferedAt; proc != nil {
		proc.inputBuffer = slices.DeleteFunc(proc.inputBuffer, func(o *callState) bool { return o == call })
		call.bufferedAt = nil
	}
	if call.processor == nil {
		delete(c.calls, call.id)
	}
}
