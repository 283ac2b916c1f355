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
// A Detector is a state machine without a clock, goroutines or I/O: the host passes the
// time to each method and carries out the returned Decision. It is not safe for
// concurrent use.
package liveness

import "time"

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
}

// Defaults keep within the limit of 8 s and leave a second of it to notify callers. A
// network outage of a few seconds ends no calls.
var Defaults = Settings{
	ProbeAfter:      4500 * time.Millisecond,
	EarlyProbeAfter: 2 * time.Second,
	EvidenceTimeout: 7 * time.Second,
	MinFailures:     2,
}

// maxDoublings limits SilenceTimeoutFactor to 4.
const maxDoublings = 2

// Detector tracks the evidence for one peer. Create one with New.
type Detector struct {
	settings          Settings
	state             State
	lastEvidence      time.Time
	hasEvidence       bool // lastEvidence is this detector's own
	hasReceived       bool // lastReceived is this detector's own
	inherited         Evidence
	lastReceived      time.Time // when something was last received
	silentConnections int       // connections on which set-ups were sent and nothing was received since
	failedProbes      int       // probes that failed since the last evidence
	wasReset          bool      // the connection was reset since the last evidence
	established       int       // calls
	probeEarlyUntil   time.Time
	draining          bool // according to the list; a draining peer accepts no new connections
	silentReset       bool // a connection that had fallen silent was reset since the last evidence
	suspectReset      suspectReset
}

// suspectReset is a reset that may have come from another process at the peer's address,
// in which case the calls from before it have ended.
type suspectReset struct {
	quietSince time.Time // when something was last received before the reset; zero: no reset is suspect
	at         time.Time
}

// New returns a detector for a peer of which nothing is known yet.
func New(settings Settings, now time.Time) *Detector {
	return &Detector{settings: settings, lastEvidence: now, lastReceived: now}
}

// Evidence is what a process knows of the life of a peer.
type Evidence struct {
	LastEvidence time.Time // the latest sign of life, such as a connection that came up
	LastReceived time.Time // when something was last received
}

// InheritEvidence sets the evidence that a former process had. It applies until this detector has its own:
// its creation is none, and a connection that came up is no message.
func (d *Detector) InheritEvidence(e Evidence) {
	if !d.hasEvidence && e.LastEvidence.After(d.inherited.LastEvidence) {
		d.inherited.LastEvidence, d.lastEvidence = e.LastEvidence, e.LastEvidence
	}
	if !d.hasReceived && e.LastReceived.After(d.inherited.LastReceived) {
		d.inherited.LastReceived, d.lastReceived = e.LastReceived, e.LastReceived
	}
}

// Evidence returns the latest evidence.
func (d *Detector) Evidence() Evidence { return Evidence{d.lastEvidence, d.lastReceived} }

// Decision is what follows from the evidence at a given time.
type Decision struct {
	State State
	// Probe asks the host for a new connection, or another request that only a living
	// peer answers. The host reports success with Connected or Received, failure with
	// ProbeFailed or ConnectionRefused.
	Probe bool
	// CallsEnded reports, once, that the calls established at the peer have ended. From
	// Connected and ReplacedConnectionReset it means the calls from before the new
	// connection.
	CallsEnded bool
	// EstablishedBefore limits CallsEnded to the calls established before this time.
	// Zero: no limit.
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
	d.wasReset, d.silentReset = false, false
}

// ConnectionSilent records a connection on which a set-up was sent and nothing was received
// in time. A process that hangs still accepts connections but sends nothing, so the ends of
// its calls are not reported.
func (d *Detector) ConnectionSilent() { d.silentConnections++ }

// SilenceTimeoutFactor returns the factor by which a new connection's silence timeout is
// extended. Each silent connection in a row doubles it, so that a hanging process does not
// find many dead connections when it resumes.
func (d *Detector) SilenceTimeoutFactor() int { return 1 << min(d.silentConnections, maxDoublings) }

// Connected records that a new connection came up. That is evidence of life, but not always
// of the same machine. Another machine has taken over the address if a connection was reset
// and further connections then failed, or if a connection was reset that had fallen silent.
// The same is true after a reset by a draining peer, since a draining peer accepts no new
// connection. In these cases the calls established before have ended.
func (d *Detector) Connected(now time.Time) Decision {
	replaced := d.silentReset || d.wasReset && (d.draining || d.failedProbes >= d.settings.MinFailures)
	callsEnded := replaced && d.established > 0
	d.markAlive(now)
	if callsEnded {
		d.suspectReset = suspectReset{}
	}
	decision := d.Check(now)
	decision.CallsEnded = decision.CallsEnded || callsEnded
	return decision
}

// ConnectionReset records that a connection was reset by the other side; silent says whether
// it had fallen silent before.
//
// If nothing was received for minQuiet, the reset may come from another process at the
// address, or be a fault of the network. The list of peers shows which, if it is available.
// Until the time set by ProbeEarlyUntil, the calls established before the reset are
// declared ended EvidenceTimeout after the last message before it.
func (d *Detector) ConnectionReset(now time.Time, silent bool) Decision {
	d.wasReset = true
	d.silentReset = d.silentReset || silent
	if now.Sub(d.lastReceived) >= minQuiet && d.suspectReset.quietSince.IsZero() && d.established > 0 {
		d.suspectReset = suspectReset{quietSince: d.lastReceived, at: now}
	}
	return d.Check(now)
}

// minQuiet is how long nothing must have been received before a reset for the reset to be
// suspect.
const minQuiet = time.Second

// SetDraining sets whether the peer drains according to the list.
func (d *Detector) SetDraining(draining bool) { d.draining = draining }

// ReplacedConnectionReset records that a silent connection was reset in answer to its close,
// after a new one came up. The peer does not know the old connection, so it is another
// machine or another process. The calls from before the new connection have ended.
func (d *Detector) ReplacedConnectionReset(now time.Time) Decision {
	callsEnded := d.established > 0
	d.suspectReset = suspectReset{}
	decision := d.Check(now)
	decision.CallsEnded = callsEnded
	return decision
}

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
	callsEnded := d.established > 0
	d.state, d.established = ProcessGone, 0
	return Decision{State: d.state, CallsEnded: callsEnded}
}

// SetEstablished sets the number of calls established at the peer. The answer that
// establishes the first call is itself evidence of life.
func (d *Detector) SetEstablished(calls int) { d.established = calls }

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
	if d.established == 0 {
		d.suspectReset = suspectReset{}
		if d.state == Suspected {
			d.state = Alive // no call depends on it any more
		}
		return Decision{State: d.state}
	}
	evidenceDeadline, receiveDeadline := d.lastEvidence.Add(d.settings.EvidenceTimeout), d.lastReceived.Add(d.settings.EvidenceTimeout)
	unreachable := !now.Before(evidenceDeadline) && d.failedProbes >= d.settings.MinFailures
	hung := !now.Before(receiveDeadline) && d.silentConnections >= d.settings.MinFailures
	if unreachable || hung {
		d.state, d.established = Unreachable, 0
		return Decision{State: d.state, CallsEnded: true}
	}
	resetDeadline := d.suspectReset.quietSince.Add(d.settings.EvidenceTimeout)
	if !d.suspectReset.quietSince.IsZero() && !now.Before(resetDeadline) {
		resetAt := d.suspectReset.at
		d.suspectReset = suspectReset{}
		if now.Before(d.probeEarlyUntil) {
			return Decision{State: d.state, CallsEnded: true, EstablishedBefore: resetAt, NextCheck: now.Add(d.settings.EarlyProbeAfter)}
		}
	}
	probeTime := d.probeTime()
	if now.Before(probeTime) {
		d.state = Alive
		return Decision{State: d.state, NextCheck: earliestAfter(now, probeTime, receiveDeadline, resetDeadline)}
	}
	d.state = Suspected
	return Decision{State: d.state, Probe: true, NextCheck: earliestAfter(now, evidenceDeadline, receiveDeadline, resetDeadline)}
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
