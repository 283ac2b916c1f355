package routing

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Settings is what a controller is told once, at its start. Zero values are
// legal wherever a deployment has no such fact.
type Settings struct {
	OwnExchange int  // number of the own exchange; -1 where the controller fronts pools
	FleetSize   int  // how many controllers the network has, this one included
	PoolMode    bool // servers are pools of agents: no own exchange, no transit
	Classes     []Class

	MaxAttempts       int           // sends a call may have in all
	ReleaseDelay      time.Duration // rest after a time-out, reset or cancel before the next send
	ResendInterval    time.Duration // a waiting set-up is repeated after this; 0: never
	WarmUpTime        time.Duration // a started processor is warm after this at the latest
	ColdCapacity      float64       // share of its capacity that it starts with, at least
	OverloadFactor    float64       // a cold processor falls over above this multiple of its capacity
	OverloadWindow    time.Duration // ... held for this long
	AnswerSlack       time.Duration // a final answer still counts this long after a call's time is up
	CancelAllowed     bool          // Cancel may be used
	SubscribeRequired bool          // list changes come only after Subscribe
	RedialsMarked     bool          // callers mark their further tries (Offered.Redial)
}

// Class is one class of call. A call names its class by its place in
// Settings.Classes.
type Class struct {
	GoalTime time.Duration // a call that stands within this earns its full worth
	Deadline time.Duration // callers go on trying for this long
	Hold     time.Duration // mean length of a call
	Worth    float64
	Width    int   // circuits on each trunk group
	Pools    []int // with Settings.Pools: the pools that serve the class
}

// An Event is something that the controller is told. See the types below.
type Event interface{ isEvent() }

// Offered brings a call that the controller now owes one final answer.
type Offered struct {
	Call     string
	Class    int
	Number   string // the number called
	Dest     int    // the exchange (or pool of first choice) it is for
	Width    int
	Expires  time.Duration // clock time at which the caller gives this try up
	Transit  bool          // passed on by another controller: only its last leg is open
	Redial   bool          // the caller marked it as a further try
	AfterCut bool          // it stood before, was cut, and comes again
}

// Established tells that an attempt is through: nothing is owed for its call.
type Established struct {
	Call    string
	Attempt int
	Delay   time.Duration // since the send
}

// AttemptEnded tells how an attempt ended; each Send gets exactly one.
type AttemptEnded struct {
	Call       string
	Attempt    int
	Host       string
	Result     Result
	Cause      Cause
	RetryAfter time.Duration // with CauseProcessor: the wait that the far end names; 0 if none
	CallEnded  bool          // no final answer is owed any more
	Delay      time.Duration // since the send
	Report     Report
}

// Withdrawn tells that the caller left: nothing is owed any more.
type Withdrawn struct{ Call string }

// ListUpdated brings the list of exchanges or changes to it.
type ListUpdated struct {
	Complete bool // Entries is the whole list: what it lacks has left
	Failed   bool // the list could not be had; Entries is empty
	Entries  []ListEntry
}

// ListEntry is one processor on the list.
type ListEntry struct {
	Host     string
	Exchange int           // of its exchange or pool
	Started  time.Duration // clock time of its last start; 0 if long ago
	State    State
}

// Reported brings a report by itself: a trunk group has changed.
type Reported struct {
	Host   string
	Report Report
}

// PlanUpdated brings weights worked out ahead. One with no Weights and no Guards ends
// what was in force; an event whose Version is not above the last one's is ignored.
type PlanUpdated struct {
	Version    uint64
	ValidUntil time.Duration // clock time from which it no longer holds
	Weights    []Weight
	Guards     []Guard
}

// Weight is how well a tandem suits calls to a destination, against others for the
// same destination: what the plan sends that way and what is spare beyond the own
// group. Above 0; a tandem that has none is taken when no other will do.
type Weight struct {
	Dest, Tandem int
	Weight       float64
}

// Guard is what a circuit of the own group toward an exchange is worth to calls that
// go direct, against the dearest call that could hold it: 0 to 1.
type Guard struct {
	Toward int
	Value  float64
}

// TimerFired tells that the time asked for by a Wake has come.
type TimerFired struct{}

func (Offered) isEvent()      {}
func (Established) isEvent()  {}
func (AttemptEnded) isEvent() {}
func (Withdrawn) isEvent()    {}
func (ListUpdated) isEvent()  {}
func (Reported) isEvent()     {}
func (PlanUpdated) isEvent()  {}
func (TimerFired) isEvent()   {}

// Report is what came with an answer: the trunk group's state, true at that
// time, and figures of the far processor, late. A negative value is unknown.
type Report struct {
	Free, Size  int           // circuits (or agents) of the group toward the host
	QueueDelay  time.Duration // the wait at its processor
	QueueLength float64       // set-ups waiting there
	Utilization float64       // share of it that is busy
	AcceptRate  float64       // new set-ups a second that it takes from all senders
	Throttle    float64       // share of set-ups that it asks each sender to hold back
}

// NoReport is a report in which nothing is known.
var NoReport = Report{Free: -1, Size: -1, QueueDelay: -1, QueueLength: -1, Utilization: -1, AcceptRate: -1, Throttle: -1}

// Set fills in a figure by the name that the platform's reports have for it. An
// unknown name is skipped, and a value below 0 means that it is not known.
func (r *Report) Set(name, value string) error {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return fmt.Errorf("%q is not a number", value)
	}
	if x < 0 {
		return nil
	}
	x = min(x, math.MaxInt32)
	switch name {
	case "spare":
		r.Free = int(x)
	case "total":
		r.Size = int(x)
	case "mean_ms":
		r.QueueDelay = time.Duration(x * float64(time.Millisecond))
	case "depth":
		r.QueueLength = x
	case "load_share":
		r.Utilization = x
	case "allowed":
		r.AcceptRate = x
	case "cut_by":
		r.Throttle = x
	}
	return nil
}

// State is a processor's state on the list.
type State uint8

// The states of a listed processor.
const (
	Ready State = iota
	Draining
	Removed
)

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Ended      Result = iota // the call stood and has ended
	Failed                   // a fault, or no line of the number was free
	Refused                  // turned away or turned back; see Cause
	TimedOut                 // no answer in time
	NotReached               // no connection: never seen by the far end
	Reset                    // the set-up or the standing call was cut
	Cancelled                // called off
	NotSent                  // not sent at all
)

// Cause narrows a Result.
type Cause uint8

// The causes that come with a result.
const (
	CauseNone            Cause = iota
	CauseNoCircuit             // no circuit or agent was free
	CauseTurnedBack            // the tandem turned the call back
	CauseProcessorFull         // processor full; with Unused, the own one is down
	CauseNumberBusy            // every line of the number is busy
	CauseDestinationFull       // turned back since the destination's processor was full
)

// Policy is what decides for one exchange: a Controller, or another to compare it
// with. Handle's slice is valid until its next call.
type Policy interface {
	Handle(now time.Duration, ev Event) []Action
}

// Factory makes the decider of an exchange that starts.
type Factory func(s Settings, seed uint64) (Policy, error)

// NewPolicy is the Maker of Controllers.
func NewPolicy(s Settings, seed uint64) (Policy, error) {
	c, err := New(s, seed)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// An Action is something that the controller wants done, in the given order.
type Action interface{ isAction() }

// Send sets a call up toward a host: direct if it is the destination's, else
// with the host as the one tandem.
type Send struct {
	Call    string
	Host    string
	Timeout time.Duration
}

// Refuse is the final answer "turned away". A caller that comes back after the
// time given finds what it was refused for tried again.
type Refuse struct {
	Call       string
	RetryAfter time.Duration
}

// Fail is the final answer "failed".
type Fail struct{ Call string }

// Cancel calls an attempt off.
type Cancel struct {
	Call    string
	Attempt int
}

// SetTimer asks for a Woken after the given time.
type SetTimer struct{ After time.Duration }

// Subscribe asks for the list and its changes.
type Subscribe struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) isAction()      {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (SetTimer) isAction()  {}
func (Subscribe) isAction() {}
func (Log) isAction()       {}
