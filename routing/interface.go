package routing

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Settings are the constant settings of a controller. The zero value of a field is valid
// unless New returns an error for it.
type Settings struct {
	OwnExchange int     // number of the controller's exchange; -1 in pool mode
	FleetSize   int     // number of controllers in the network, this one included
	PoolMode    bool    // servers are pools of agents: there is no own exchange and no transit
	Classes     []Class // at least one

	MaxAttempts       int           // sends per call, at least 1
	ReleaseDelay      time.Duration // wait after a time-out, reset or cancel before the call's next send
	ResendInterval    time.Duration // an unanswered set-up is repeated after this; 0: never
	WarmUpTime        time.Duration // time after which a started processor is warm at the latest
	ColdCapacity      float64       // share of its capacity that a started processor has, at least
	OverloadFactor    float64       // multiple of its capacity above which a cold processor breaks down ...
	OverloadWindow    time.Duration // ... if the load lasts for this long
	AnswerSlack       time.Duration // a final answer still counts this long after a call's expiry
	CancelAllowed     bool          // Cancel may be used
	SubscribeRequired bool          // changes of the list are sent after Subscribe only
	RedialsMarked     bool          // callers mark their redials (Offered.Redial)
}

// Class is one class of call. Calls refer to a class by its index in Settings.Classes.
type Class struct {
	GoalTime time.Duration // a call established within this time earns its full worth
	Deadline time.Duration // callers redial for this long
	Hold     time.Duration // mean duration of a call
	Worth    float64       // value of a call, relative to other classes
	Width    int           // circuits on each trunk group
	Pools    []int         // in pool mode: the pools that serve the class
}

// Event is an input of a Policy: one of the types below.
type Event interface{ isEvent() }

// Offered reports a new call, which needs exactly one final answer.
type Offered struct {
	Call     string        // id of the call
	Class    int           // index in Settings.Classes
	Number   string        // called number; "": unknown
	Dest     int           // destination exchange, or the pool of first choice
	Width    int           // circuits on each trunk group
	Expires  time.Duration // clock time at which the caller gives up this try
	Transit  bool          // passed on by another controller: only the last leg is left to set up
	Redial   bool          // the caller marked it as a redial
	AfterCut bool          // it was established, was cut off, and is offered again
}

// Established reports that an attempt was answered. Its call no longer needs a final answer.
type Established struct {
	Call    string
	Attempt int           // index of the call's Send, from 0
	Delay   time.Duration // since the send
}

// AttemptEnded reports how an attempt ended; there is exactly one for each Send.
type AttemptEnded struct {
	Call       string
	Attempt    int // index of the call's Send, from 0
	Host       string
	Result     Result
	Cause      Cause
	RetryAfter time.Duration // with CauseProcessorFull: the wait that the processor asks for; 0: none
	CallEnded  bool          // the call no longer needs a final answer
	Delay      time.Duration // since the send
	Report     Report
}

// Withdrawn reports that a call was given up, usually by its caller. The call no longer
// needs a final answer.
type Withdrawn struct{ Call string }

// ListUpdated carries the list of exchanges, or changes to it.
type ListUpdated struct {
	Complete bool // Entries is the whole list: hosts that are not in it were removed
	Failed   bool // the list could not be read; Entries is empty
	Entries  []ListEntry
}

// ListEntry is one processor on the list.
type ListEntry struct {
	Host     string
	Exchange int           // number of its exchange, or of its pool in pool mode
	Started  time.Duration // clock time of its last start; 0: long ago
	State    State
}

// Reported carries a report outside of an answer, after a change of a trunk group.
type Reported struct {
	Host   string
	Report Report
}

// PlanUpdated carries the weights and guards of a plan, computed in advance. One without
// either ends the plan in force. An event is ignored unless its Version is above that of
// the last one.
type PlanUpdated struct {
	Version    uint64
	ValidUntil time.Duration // clock time
	Weights    []Weight
	Guards     []Guard
}

// Weight is the weight of a tandem when a tandem for a call to Dest is drawn at random. It
// grows with the traffic that the plan routes over the tandem and with the spare circuits
// between the tandem and Dest. Only weights above 0 count; a tandem without one is used
// only if no tandem with one is usable.
type Weight struct {
	Dest, Tandem int
	Weight       float64
}

// Guard is the value of a circuit of the own group toward an exchange; package decide/plan
// calls it CircuitValue. The higher it is, the more circuits of the group are reserved for
// direct calls.
type Guard struct {
	Toward int     // exchange
	Value  float64 // relative to the most valuable call that could use the circuit: 0 to 1
}

// TimerFired reports that the time of a SetTimer has passed.
type TimerFired struct{}

func (Offered) isEvent()      {}
func (Established) isEvent()  {}
func (AttemptEnded) isEvent() {}
func (Withdrawn) isEvent()    {}
func (ListUpdated) isEvent()  {}
func (Reported) isEvent()     {}
func (PlanUpdated) isEvent()  {}
func (TimerFired) isEvent()   {}

// Report is the state of a trunk group, exact when sent, and the load of the far processor,
// which lags. A negative value is unknown.
type Report struct {
	Free, Size  int           // circuits (or agents) of the group toward the host
	QueueDelay  time.Duration // mean wait at its processor
	QueueLength float64       // set-ups waiting at its processor
	Utilization float64       // share of its processor that is busy, 0 to 1
	AcceptRate  float64       // new set-ups per second that it accepts from all senders
	Throttle    float64       // share of set-ups that it asks each sender to hold back, 0 to 1
}

// NoReport is a report without any known value.
var NoReport = Report{Free: -1, Size: -1, QueueDelay: -1, QueueLength: -1, Utilization: -1, AcceptRate: -1, Throttle: -1}

// Set sets the field that the platform's reports call by the given name. An unknown name
// is ignored, and a value below 0 leaves the field unchanged. It returns an error if the
// value is not a finite number.
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

// State is the state of a processor on the list.
type State uint8

// The states of a listed processor.
const (
	Ready State = iota
	Draining
	Removed
)

// Result is the outcome of an attempt.
type Result uint8

// The results of an attempt.
const (
	Ended      Result = iota // the call was established and has ended
	Failed                   // signalling fault, or the number was busy; see Cause
	Refused                  // refused by the destination or turned back by a tandem; see Cause
	TimedOut                 // no answer within the send's time-out
	NotReached               // no connection: the far processor never received the set-up
	Reset                    // the connection was lost during set-up, or cut the established call
	Cancelled                // cancelled by the controller, or released by the caller
	NotSent                  // no set-up was sent
)

// Cause gives the reason for a Result.
type Cause uint8

// The causes that come with a result.
const (
	CauseNone            Cause = iota
	CauseNoCircuit             // no free circuit or agent
	CauseTurnedBack            // turned back by the tandem for a reason other than CauseDestinationFull
	CauseProcessorFull         // processor full; with NotSent, the own processor is down
	CauseNumberBusy            // every line of the number is busy
	CauseDestinationFull       // turned back by the tandem, since the destination's processor was full
)

// Policy routes the calls of one exchange: a Controller, or another policy to compare it
// with. Handle processes one event that occurred at clock time now and returns the actions
// to take, in order; the slice is valid until the next call.
type Policy interface {
	Handle(now time.Duration, ev Event) []Action
}

// Factory creates the policy of one exchange. The seed determines its random draws.
type Factory func(s Settings, seed uint64) (Policy, error)

// NewPolicy is the Factory of Controllers.
func NewPolicy(s Settings, seed uint64) (Policy, error) {
	c, err := New(s, seed)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Action is an output of a Policy: one of the types below.
type Action interface{ isAction() }

// Send sends the set-up of a call to a host: directly if it is the destination's, else
// with the host as the only tandem.
type Send struct {
	Call    string
	Host    string
	Timeout time.Duration
}

// Refuse is the final answer "refused". RetryAfter is how long the caller should wait before
// a redial.
type Refuse struct {
	Call       string
	RetryAfter time.Duration
}

// Fail is the final answer "failed".
type Fail struct{ Call string }

// Cancel ends an outstanding attempt.
type Cancel struct {
	Call    string
	Attempt int
}

// SetTimer asks for a TimerFired after the given time.
type SetTimer struct{ After time.Duration }

// Subscribe asks for the list of exchanges and its changes.
type Subscribe struct{}

// Log is a log line for operators.
type Log struct{ Text string }

func (Send) isAction()      {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (SetTimer) isAction()  {}
func (Subscribe) isAction() {}
func (Log) isAction()       {}
