// Package liveness judges whether the calls that stand at one peer are still there, from
// the evidence that a proxy has itself: what it receives, and whether connections come up.
//
// A peer that vanishes gives no sign, and the service that lists peers may be down or
// late. The rule is that the callers of calls that are over hear of it within 8 s of the
// end. The end can't be seen, but it is no earlier than the last evidence of life. So a
// Detector bounds the time since that evidence: a peer with standing calls that is silent
// is verified, and if no verification comes up its calls are over OverAfter the last
// evidence, whether or not anybody says so.
//
// A Detector is a state machine without a clock, a goroutine or I/O: times are passed in,
// and a host carries out what its Verdicts say. It is not safe for concurrent use.
package liveness

import "time"

// State is what is held to be true of a peer.
type State int

// The states.
const (
	Alive       State = iota // there is recent evidence of life, or nothing stands there
	Suspected                // calls stand there, and the last evidence is too old
	Unreachable              // its calls were declared over, as nothing was heard of it; no evidence of life since
	ProcessGone              // it refused a connection; no evidence of life since
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "unreachable", "process_gone"}[s]
}

// Settings are the times of a Detector.
type Settings struct {
	// ProbeAfter is how long a peer with standing calls may be silent until it is
	// verified. A verification costs the peer a connection, so it is no routine.
	ProbeAfter time.Duration
	// EarlyProbeAfter takes its place while other evidence is missing; see Caution.
	EarlyProbeAfter time.Duration
	// EvidenceTimeout is the age of the last evidence at which the calls are over, if
	// verifications were tried and none came up.
	EvidenceTimeout time.Duration
	// MinFailures is how many verifications in a row must have failed by then, or how
	// many connections have been ignored: one may never come up though the peer lives.
	MinFailures int
}

// Defaults keep the limit of 8 s with a second to spare for telling callers. A cut that
// ends within some seconds is outlasted.
var Defaults = Settings{
	ProbeAfter:     4500 * time.Millisecond,
	EarlyProbeAfter:   2 * time.Second,
	EvidenceTimeout:       7 * time.Second,
	MinFailures: 2,
}

// mostDoublings bounds Patience.
const mostDoublings = 2

// Detector judges one peer. Make one with New.
type Detector struct {
	set           Settings
	state         State
	lastEvidence  time.Time
	lastReceived  time.Time // when something was received last
	ignored       int       // connections on which set-ups went out and nothing came back since then
	unanswered    int       // verifications without an answer since the last evidence
	reset         bool      // the connection was reset since the last evidence
	standing      int
	cautiousUntil time.Time
	draining      bool // by the list, it takes no new connections
	silentReset   bool // a connection that had fallen silent was reset since the last evidence
	doubt         doubt
}

// doubt is about the calls from before a reset that may have come from another process.
type doubt struct {
	since time.Time // the last that was received before it; zero: no doubt
	reset time.Time
}

// New makes a detector for a peer that nothing is known of.
func New(set Settings, now time.Time) *Detector {
	return &Detector{set: set, lastEvidence: now, lastReceived: now}
}

// Decision is what follows from the evidence at some time.
type Decision struct {
	State State
	// Probe asks for a new connection, or another question that only a living peer
	// answers; the host reports Alive or Unanswered.
	Probe bool
	// CallsEnded says, once, that the calls that stood there are over. After Connected and
	// ReplacedReset it speaks of those from before the new connection.
	CallsEnded bool
	// EstablishedBefore bounds these: calls that have stood since then are not meant. Zero: all are.
	EstablishedBefore time.Time
	// NextCheck is when to ask again if nothing happens; zero: not needed.
	NextCheck time.Time
}

// Received notes that the peer said something, or answered a ping. It says whether the
// peer had been in doubt before that.
func (d *Detector) Received(now time.Time) (recovered bool) {
	recovered = d.ignored+d.unanswered > 0
	d.lastReceived, d.ignored = now, 0
	d.alive(now)
	return recovered
}

// alive notes evidence of life of the machine.
func (d *Detector) alive(now time.Time) {
	d.state, d.lastEvidence, d.unanswered = Alive, now, 0
	d.reset, d.silentReset = false, false
}

// ConnectionSilent notes a connection on which a set-up went out and nothing came back in time. A
// process that hangs lets connections come up and says nothing: what ends there meanwhile
// nobody tells.
func (d *Detector) ConnectionSilent() { d.ignored++ }

// SilenceTimeoutFactor is how many times its usual wait for an answer a new connection deserves: one
// after the other that is ignored is given longer, so that a process that hangs does not
// find many dead ones when it goes on.
func (d *Detector) SilenceTimeoutFactor() int { return 1 << min(d.ignored, mostDoublings) }

// Connected notes that a new connection came up. It is evidence of life, but not always
// of the same one: a connection that was reset and then others that did not come up are
// what a machine leaves whose address another takes, and so is the reset of one that had
// fallen silent. One that drains takes no new connection itself. The calls from before are
// over then.
func (d *Detector) Connected(now time.Time) Decision {
	gone := d.silentReset || d.reset && (d.draining || d.unanswered >= d.set.MinFailures)
	other := gone && d.standing > 0
	d.alive(now)
	if other {
		d.doubt = doubt{}
	}
	v := d.Check(now)
	v.CallsEnded = v.CallsEnded || other
	return v
}

// ConnectionReset notes that a connection was reset, and not by this side; silent says that it had
// fallen silent before.
// A reset of one on which nothing came for some time may come from another process at the
// address, or be a fault of the network. The list tells which, if it can be had; while
// evidence is missing, the calls are over OverAfter the last word of before.
func (d *Detector) ConnectionReset(now time.Time, silent bool) Decision {
	d.reset = true
	d.silentReset = d.silentReset || silent
	if now.Sub(d.lastReceived) >= quiet && d.doubt.since.IsZero() && d.standing > 0 {
		d.doubt = doubt{since: d.lastReceived, reset: now}
	}
	return d.Check(now)
}

// quiet is how long nothing came on a connection whose reset may be another's.
const quiet = time.Second

// SetDraining notes whether the list says that the peer drains.
func (d *Detector) SetDraining(yes bool) { d.draining = yes }

// ReplacedConnectionReset notes that a silent connection was reset in answer to its close, after a
// new one came up: whoever answers there does not know the old connection, so it is
// another machine or another process. The calls from before the new one are over.
func (d *Detector) ReplacedConnectionReset(now time.Time) Decision {
	over := d.standing > 0
	d.doubt = doubt{}
	v := d.Check(now)
	v.CallsEnded = over
	return v
}

// ProbeFailed notes that a verification, or any other connection, did not come up.
func (d *Detector) ProbeFailed() { d.unanswered++ }

// ConnectionRefused notes that a connection was refused. Without a connection the process is gone,
// and with it all that stood there. While another connection is open the machine lives
// and the process may: one that drains takes no new connections.
func (d *Detector) ConnectionRefused(now time.Time, connected bool) Decision {
	if connected {
		d.alive(now)
		return d.Check(now)
	}
	over := d.standing > 0
	d.state, d.standing = ProcessGone, 0
	return Decision{State: d.state, CallsEnded: over}
}

// SetEstablished notes how many calls stand there. The first one that does is told by its
// answer, which is evidence of life.
func (d *Detector) SetEstablished(calls int) { d.standing = calls }

// ProbeEarlyUntil notes that other evidence is missing until some time: the list of peers is out
// of reach, other peers have become silent, or this proxy is about to stop.
func (d *Detector) ProbeEarlyUntil(until time.Time) {
	if until.After(d.cautiousUntil) {
		d.cautiousUntil = until
	}
}

// ProbeFailing says whether the peer is suspected and a verification has failed since.
func (d *Detector) ProbeFailing() bool { return d.state == Suspected && d.unanswered > 0 }

// Check returns what follows at a time.
func (d *Detector) Check(now time.Time) Decision {
	if d.standing == 0 {
		d.doubt = doubt{}
		if d.state == Suspected {
			d.state = Alive // nothing depends on it any more
		}
		return Decision{State: d.state}
	}
	over, hung := d.lastEvidence.Add(d.set.EvidenceTimeout), d.lastReceived.Add(d.set.EvidenceTimeout)
	isOver := !now.Before(over) && d.unanswered >= d.set.MinFailures
	isHung := !now.Before(hung) && d.ignored >= d.set.MinFailures
	if isOver || isHung {
		d.state, d.standing = Unreachable, 0
		return Decision{State: d.state, CallsEnded: true}
	}
	doubted := d.doubt.since.Add(d.set.EvidenceTimeout)
	if !d.doubt.since.IsZero() && !now.Before(doubted) {
		before := d.doubt.reset
		d.doubt = doubt{}
		if now.Before(d.cautiousUntil) {
			return Decision{State: d.state, CallsEnded: true, EstablishedBefore: before, NextCheck: now.Add(d.set.EarlyProbeAfter)}
		}
	}
	verify := d.verifyAt()
	if now.Before(verify) {
		d.state = Alive
		return Decision{State: d.state, NextCheck: soonest(now, verify, hung, doubted)}
	}
	d.state = Suspected
	return Decision{State: d.state, Probe: true, NextCheck: soonest(now, over, hung, doubted)}
}

// soonest is the first of some times that is still to come; zero if there is none, and the
// next evidence decides.
func soonest(now time.Time, times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// verifyAt is when the peer is to be verified.
func (d *Detector) verifyAt() time.Time {
	usual := d.lastEvidence.Add(d.set.ProbeAfter)
	cautious := d.lastEvidence.Add(d.set.EarlyProbeAfter)
	if cautious.Before(usual) && cautious.Before(d.cautiousUntil) {
		return cautious
	}
	return usual
}
