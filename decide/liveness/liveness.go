// Package liveness decides whether the calls established at one peer still exist, from
// the evidence that the proxy has itself: what it receives, and whether its connections
// come up.
//
// A peer that vanishes sends nothing, and the service that lists peers may be down or
// late. Callers must be notified within 8 s of the end of their calls. The end can't be
// observed, but it is no earlier than the last evidence of life, so a Detector limits the
// time since that evidence: it has a silent peer with established calls probed, and if no
// probe succeeds, it declares the calls ended EvidenceTimeout after the last evidence,
// whether or not the list of peers confirms it.
//
// A connection that comes up shows that a machine has the address, not that it is the one that
// has the calls. The state of the trunk group that the peer reports on the connection shows that,
// or the end of an earlier call; see process.go.
//
// A Detector is a state machine without a clock, goroutines or I/O: the host passes the
// time to each method and carries out the returned Decision. It is not safe for
// concurrent use.
package liveness

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// State is the detector's current assessment of a peer.
type State int

// The states of a peer.
const (
	Alive       State = iota // there is recent evidence of life, or no call is established
	Suspected                // calls are established, and the last evidence is too old
	Unreachable              // its calls were declared ended for lack of evidence; none has come since
	ProcessGone              // it refused a connection; no evidence of life since
)

// String returns the metric label of a state.
func (s State) String() string {
	return [...]string{"alive", "suspected", "unreachable", "process_gone"}[s]
}

// Settings are the time limits and thresholds of a Detector.
type Settings struct {
	// ProbeAfter is how long a peer with established calls may be silent before it is
	// probed. A probe costs the peer a connection, so probes are not sent routinely.
	ProbeAfter time.Duration
	// EarlyProbeAfter replaces ProbeAfter while other evidence is missing; see
	// Detector.ProbeEarlyUntil.
	EarlyProbeAfter time.Duration
	// EvidenceTimeout is the age of the last evidence at which the calls are declared
	// ended, if probes were tried and none succeeded.
	EvidenceTimeout time.Duration
	// MinFailures is how many probes in a row must have failed by then, or how many
	// connections must have stayed silent: a single connection may fail to come up
	// although the peer is alive.
	MinFailures int
	// ListShowsEnds is whether the list of peers shows, at the latest EvidenceTimeout later, that a
	// peer's process has ended.
	ListShowsEnds bool
}

// EndCause is the evidence on which calls are declared ended.
type EndCause int

// The causes of ends.
const (
	NotEnded            EndCause = iota
	EndUnreachable               // no connection came up for EvidenceTimeout
	EndHung                      // nothing was received for EvidenceTimeout on several connections
	EndRefused                   // a connection was refused: the process has exited
	EndUnexplainedReset          // a reset, and nothing that shows that the process is the same
	EndGroupState                // the group has more free circuits than the calls leave: another process
)

// String returns the cause as it is logged.
func (c EndCause) String() string {
	return [...]string{"not_ended", "unreachable", "hung", "refused", "unexplained_reset", "group_state"}[c]
}

// Defaults keep within the limit of 8 s and leave a second of it to notify callers. A
// network outage of a few seconds ends no calls.
var Defaults = Settings{
	ProbeAfter:      4500 * time.Millisecond,
	EarlyProbeAfter: 2 * time.Second,
	EvidenceTimeout: 7 * time.Second,
	MinFailures:     2,
	ListShowsEnds:   true,
}

// maxDoublings limits SilenceTimeoutFactor to 4.
const maxDoublings = 2

// Detector tracks the evidence for one peer. Create one with New.
type Detector struct {
	settings          Settings
	state             State
	calls             establishedCalls
	lastEvidence      time.Time
	hasEvidence       bool // lastEvidence is this detector's own
	hasReceived       bool // lastReceived is this detector's own
	inherited         routing.SwitchEvidence
	lastReceived      time.Time // when something was last received
	silentConnections int       // connections on which set-ups were sent and nothing was received since
	failedProbes      int       // probes that failed since the last evidence
	wasReset          bool      // the connection was reset since the last evidence
	probeEarlyUntil   time.Time
	listUnknownUntil  time.Time // the list of peers is not available until then
	connection        newestConnection
	suspicion         suspectedReplacement
	reconnect         bool // the next decision asks for another connection
	counted           countedCalls
	replaced          replacement
	uncounted         newestConnection // the first one since then whose first state did not count all calls
}

// New returns a detector for a peer of which nothing is known yet.
func New(settings Settings, now time.Time) *Detector {
	return &Detector{settings: settings, calls: establishedCalls{byID: map[uint64]establishedCall{}}, lastEvidence: now, lastReceived: now}
}

// InheritEvidence sets the evidence that a former process had of a peer. What it last heard applies until this
// detector has its own: its creation is none, and a connection that came up is no message. What it suspected
// applies to the calls that are known here already.
func (d *Detector) InheritEvidence(e routing.SwitchEvidence) {
	if !d.hasEvidence && e.LastEvidence.After(d.inherited.LastEvidence) {
		d.inherited.LastEvidence, d.lastEvidence = e.LastEvidence, e.LastEvidence
	}
	if !d.hasReceived && e.LastReceived.After(d.inherited.LastReceived) {
		d.inherited.LastReceived, d.lastReceived = e.LastReceived, e.LastReceived
	}
	if d.counted == (countedCalls{}) {
		d.counted = countedCalls{used: e.CountedUsed, others: e.CountedOthers, before: e.CountedBefore, inherited: true}
	}
	d.inheritSuspicion(e)
}

// Evidence returns the latest evidence, and what is undecided.
func (d *Detector) Evidence() routing.SwitchEvidence {
	suspicion := d.undecided()
	return routing.SwitchEvidence{LastEvidence: d.lastEvidence, LastReceived: d.lastReceived,
		SuspectedSince: suspicion.quietSince, CallsBefore: suspicion.callsBefore, AfterSilence: suspicion.afterSilence,
		CountedBefore: d.counted.before, CountedUsed: d.counted.used, CountedOthers: d.counted.others}
}

// Decision is what follows from the evidence at a given time.
type Decision struct {
	State State
	// Probe asks the host for a new connection, or another request that only a living
	// peer answers. The host reports success with Connected or Received, failure with
	// ProbeFailed or ConnectionRefused.
	Probe bool
	// Reconnect asks, once, for another connection to a peer that is alive: the releases of calls that
	// have ended may come on it.
	Reconnect bool
	// Ended reports, once, that calls established at the peer have ended, and why. The detector
	// has removed them.
	Ended EndCause
	// EndedCalls is the number of these calls.
	EndedCalls int
	// EstablishedBefore limits Ended to the calls established before this time. Zero: no limit.
	EstablishedBefore time.Time
	// NextCheck is when to call Check if nothing else happens; zero: not needed.
	NextCheck time.Time
}

// Received records that the peer sent something or answered a ping. It reports whether
// a probe had failed or a connection had fallen silent before that.
func (d *Detector) Received(now time.Time) (recovered bool) {
	recovered = d.silentConnections+d.failedProbes > 0
	d.lastReceived, d.silentConnections = now, 0
	d.hasReceived = true
	d.markAlive(now)
	return recovered
}

// markAlive records evidence that the machine is alive.
func (d *Detector) markAlive(now time.Time) {
	d.state, d.lastEvidence, d.failedProbes = Alive, now, 0
	d.hasEvidence = true
	d.wasReset = false
}

// ConnectionSilent records a connection on which a set-up was sent and nothing was received
// in time. A process that hangs still accepts connections but sends nothing, so the ends of
// its calls are not reported.
func (d *Detector) ConnectionSilent() { d.silentConnections++ }

// SilenceTimeoutFactor returns the factor by which a new connection's silence timeout is
// extended. Each silent connection in a row doubles it, so that a hanging process does not
// find many dead connections when it resumes.
func (d *Detector) SilenceTimeoutFactor() int { return 1 << min(d.silentConnections, maxDoublings) }

// ProbeFailed records that a probe, or any other connection attempt, got no answer.
func (d *Detector) ProbeFailed() { d.failedProbes++ }

// ConnectionRefused records that a connection was refused. If no other connection is open,
// the process has exited and its calls have ended. If one is open, the machine is alive and
// the process may be: a draining peer accepts no new connections.
func (d *Detector) ConnectionRefused(now time.Time, connected bool) Decision {
	if connected {
		d.markAlive(now)
		return d.Check(now)
	}
	return d.endAll(ProcessGone, EndRefused)
}

// ProbeEarlyUntil makes the detector probe a silent peer after EarlyProbeAfter until the
// given time. It is for times when other evidence is missing: the list of peers is
// unavailable, other peers have fallen silent, or this proxy is about to stop.
func (d *Detector) ProbeEarlyUntil(until time.Time) {
	if until.After(d.probeEarlyUntil) {
		d.probeEarlyUntil = until
	}
}

// ProbeFailing reports whether the peer is suspected and a probe has failed since the last
// evidence.
func (d *Detector) ProbeFailing() bool { return d.state == Suspected && d.failedProbes > 0 }

// Check returns the decision at the given time.
func (d *Detector) Check(now time.Time) Decision {
	if len(d.calls.byID) == 0 {
		d.suspicion, d.uncounted, d.connection.evaluateAt = suspectedReplacement{}, newestConnection{}, time.Time{}
		if d.state == Suspected {
			d.state = Alive // no call depends on it any more
		}
		return Decision{State: d.state}
	}
	evidenceDeadline, receiveDeadline := d.lastEvidence.Add(d.settings.EvidenceTimeout), d.lastReceived.Add(d.settings.EvidenceTimeout)
	switch {
	case !now.Before(evidenceDeadline) && d.failedProbes >= d.settings.MinFailures:
		return d.endAll(Unreachable, EndUnreachable)
	case !now.Before(receiveDeadline) && d.silentConnections >= d.settings.MinFailures:
		return d.endAll(Unreachable, EndHung)
	}
	if cause, before := d.checkProcess(now); cause != NotEnded {
		ended := d.calls.removeBefore(before)
		return Decision{State: d.state, Ended: cause, EndedCalls: ended, EstablishedBefore: before, NextCheck: now.Add(d.settings.EarlyProbeAfter)}
	}
	reconnect := d.reconnect
	d.reconnect = false
	probeTime := d.probeTime()
	if now.Before(probeTime) {
		d.state = Alive
		return Decision{State: d.state, Reconnect: reconnect, NextCheck: earliestAfter(now, probeTime, receiveDeadline, d.suspicionDeadline(), d.connection.evaluateAt)}
	}
	d.state = Suspected
	return Decision{State: d.state, Probe: true, Reconnect: reconnect, NextCheck: earliestAfter(now, evidenceDeadline, receiveDeadline, d.suspicionDeadline(), d.connection.evaluateAt)}
}

// endAll declares all calls ended, because the peer is in the given state.
func (d *Detector) endAll(state State, cause EndCause) Decision {
	decision := Decision{State: state, EndedCalls: d.calls.clear()}
	if decision.EndedCalls > 0 {
		decision.Ended = cause
	}
	d.state = state
	return decision
}

// earliestAfter returns the earliest of the times that is after now. It returns zero if
// there is none; then only new evidence changes the decision.
func earliestAfter(now time.Time, times ...time.Time) time.Time {
	var earliest time.Time
	for _, t := range times {
		if t.After(now) && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	return earliest
}

// probeTime returns when to probe the peer.
func (d *Detector) probeTime() time.Time {
	usual := d.lastEvidence.Add(d.settings.ProbeAfter)
	early := d.lastEvidence.Add(d.settings.EarlyProbeAfter)
	if early.Before(usual) && early.Before(d.probeEarlyUntil) {
		return early
	}
	return usual
}
