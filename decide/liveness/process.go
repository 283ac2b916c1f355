package liveness

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// The evidence on whether the process that has the peer's address is the one that has the calls. A
// firewall that has dropped a connection and another machine at the address both answer data on the
// connection, or its close, with a reset, so a reset only raises the suspicion that the process was replaced.

// GroupState is the state of the trunk group to a peer, in circuits, as the peer reports it.
type GroupState struct {
	Free, Size int
}

func (g GroupState) used() int { return g.Size - g.Free }

// newestConnection is what the newest connection to the peer has shown of the process behind it.
type newestConnection struct {
	dialedAt           time.Time // when its dial began, which identifies it
	upAt               time.Time
	quietSince         time.Time  // when something was last received before it came up
	reported           bool       // the group's state was received on it
	first              GroupState // the first of these states
	evaluateAt         time.Time  // when first is compared with the calls; zero: it isn't, or was
	knowsEarlierCall   bool       // it carried the end of a call that was established before its dial
	coversEarlierCalls bool       // first has room for the calls that were established before its dial
}

// confirmsProcess reports whether the connection leads to the process that has the earlier calls.
func (c *newestConnection) confirmsProcess() bool { return c.knowsEarlierCall || c.coversEarlierCalls }

// earlierCallKnown records that a call became known that was established before the dial, through a former
// process: the first state of the group is compared with the calls again.
func (c *newestConnection) earlierCallKnown() {
	c.coversEarlierCalls = false
	if c.first != (GroupState{}) && c.evaluateAt.IsZero() {
		c.evaluateAt = c.upAt.Add(groupSettleTime)
	}
}

func (c *newestConnection) exists() bool { return !c.dialedAt.IsZero() }

// countedCalls is the last state of the group that had room for all calls which were established then.
type countedCalls struct {
	used   int       // circuits, of others' calls too
	others int       // of these, circuits of others' calls
	before time.Time // the calls established before this were counted
	// inherited means that a former process counted. It knew all calls, while this one gets to know them
	// one by one, and takes them for others' until then.
	inherited bool
}

// suspectedReplacement is evidence that another process may have the peer's address, such as a reset. In that
// case the calls from before it have ended.
type suspectedReplacement struct {
	cause        EndCause
	quietSince   time.Time // when something was last received before the evidence; zero: there is no suspicion
	callsBefore  time.Time // the calls established before this would have ended
	afterSilence bool      // the connection had fallen silent, or further connections failed
}

// replacement is the latest replacement of the process by which calls were declared ended.
type replacement struct {
	cause         EndCause
	callsBefore   time.Time // the calls established before this have ended
	callKnownLate bool      // one of them became known after that
}

const (
	// minQuiet is how long nothing must have been received before a reset for a reset to be
	// suspect: a connection in use is also reset by network faults.
	minQuiet = time.Second
	// firstReportWindow is how soon after a connection has come up the first state of the group must
	// arrive to show what the peer had when it accepted the connection.
	firstReportWindow = time.Second
	// groupSettleTime is how long after the first state of the group the releases of calls that ended
	// before the connection came up may arrive on it.
	groupSettleTime = 500 * time.Millisecond
	// minUsedDivisor divides the circuits that were in use into the least that still are if the process is
	// the same and only some calls have ended since.
	minUsedDivisor = 2
)

// Connected records that a new connection came up, and when its dial began, which identifies it. That is
// evidence of life, but not always of the same process: a reset and further connections
// that failed are suspect.
func (d *Detector) Connected(now, dialedAt time.Time) Decision {
	if d.wasReset && d.failedProbes >= d.settings.MinFailures {
		d.raiseSuspicion(suspectedReplacement{EndUnexplainedReset, d.lastReceived, dialedAt, true})
	}
	d.connection = newestConnection{dialedAt: dialedAt, upAt: now, quietSince: d.lastReceived}
	d.markAlive(now)
	return d.Check(now)
}

// ConnectionReset records that the newest connection was reset by the other side; silent says whether
// it had fallen silent before. That is suspect if it had, or if nothing was received for minQuiet.
func (d *Detector) ConnectionReset(now time.Time, silent bool) Decision {
	d.wasReset = true
	d.connection = newestConnection{}
	if silent || now.Sub(d.lastReceived) >= minQuiet {
		d.raiseSuspicion(suspectedReplacement{EndUnexplainedReset, d.lastReceived, now, silent})
	}
	return d.Check(now)
}

// ReplacedConnectionReset records that a silent connection was reset in answer to its close, after
// another had come up at the time of replacedAt. Nothing was received on it since quietSince. Whoever
// has the address now does not know the connection, or a firewall between.
func (d *Detector) ReplacedConnectionReset(now, quietSince, replacedAt time.Time) Decision {
	d.raiseSuspicion(suspectedReplacement{EndUnexplainedReset, quietSince, replacedAt, true})
	return d.Check(now)
}

// GroupReported records a state of the group that was received on the connection with the given dial
// time. The first one on a connection is compared with the calls established before the dial, as the
// peer had them when it accepted the connection.
func (d *Detector) GroupReported(now, dialedAt time.Time, state GroupState) Decision {
	connection := &d.connection
	if !dialedAt.Equal(connection.dialedAt) || state.Free < 0 || state.Size < state.Free {
		return d.Check(now) // of a former connection, or not known
	}
	first := !connection.reported
	connection.reported = true
	complete := state.used() >= d.calls.circuits && !(first && d.othersDropped(state.used()-d.calls.circuits))
	if first && now.Sub(connection.upAt) <= firstReportWindow {
		connection.first, connection.evaluateAt = state, now.Add(groupSettleTime)
		if !complete && !d.uncounted.exists() {
			d.uncounted = *connection
		}
	}
	if complete && !d.uncounted.exists() && d.Established() > 0 {
		others := state.used() - d.calls.circuits
		d.counted = countedCalls{used: state.used(), others: others, before: now.Add(time.Nanosecond)} // those of this moment too
	}
	return d.Check(now)
}

// othersDropped reports whether most of the circuits that others' calls had when all calls were last
// counted are free now.
func (d *Detector) othersDropped(others int) bool {
	return others < d.counted.others/minUsedDivisor
}

// EarlierCallReleased records that the peer released a call on the connection with the given dial time. If
// the call was established before a replacement was suspected, the process is the one that had it: a new
// one knows none.
func (d *Detector) EarlierCallReleased(id uint64, dialedAt time.Time) {
	call, established := d.calls.byID[id]
	before := d.earlierCallsBefore()
	if d.ReplacementSuspected() {
		before = earliest(before, d.suspicion.callsBefore)
	}
	if established && call.since.Before(before) && dialedAt.Equal(d.connection.dialedAt) {
		d.connection.knowsEarlierCall = true
		d.clearSuspicion()
	}
}

// earlierCallsBefore returns the time before which calls were established at the former process, if there is
// another one: the first connection since the calls were last counted may have led to it already.
func (d *Detector) earlierCallsBefore() time.Time {
	if d.uncounted.exists() {
		return d.uncounted.dialedAt
	}
	return d.connection.dialedAt
}

// ListUnknownUntil records that the list of peers is not available until the given time.
func (d *Detector) ListUnknownUntil(until time.Time) {
	if until.After(d.listUnknownUntil) {
		d.listUnknownUntil = until
	}
}

// ReplacementSuspected reports whether another process may have the peer's address.
func (d *Detector) ReplacementSuspected() bool { return !d.suspicion.quietSince.IsZero() }

// ConfirmedSince reports whether a connection that was dialed after the given time has shown that the
// process is the one that had the calls established before.
func (d *Detector) ConfirmedSince(t time.Time) bool {
	return d.connection.confirmsProcess() && d.connection.dialedAt.After(t)
}

// raiseSuspicion records a suspicion, beside one that exists, unless the newest connection has shown that the
// process is the same.
func (d *Detector) raiseSuspicion(suspicion suspectedReplacement) {
	if len(d.calls.byID) == 0 || d.connection.confirmsProcess() && d.connection.dialedAt.After(suspicion.quietSince) {
		return
	}
	if d.ReplacementSuspected() {
		suspicion.quietSince = earliest(suspicion.quietSince, d.suspicion.quietSince)
		suspicion.cause = max(suspicion.cause, d.suspicion.cause)
		suspicion.afterSilence = suspicion.afterSilence || d.suspicion.afterSilence
	}
	d.suspicion = suspicion
}

// undecided returns the suspicion, or what may become one once the state of the group is evaluated.
func (d *Detector) undecided() suspectedReplacement {
	if !d.ReplacementSuspected() && d.uncounted.exists() {
		return suspectedReplacement{EndGroupState, d.uncounted.quietSince, d.uncounted.dialedAt, true}
	}
	return d.suspicion
}

// inheritSuspicion raises the suspicion of a former process.
func (d *Detector) inheritSuspicion(e routing.SwitchEvidence) {
	if e.SuspectedSince.IsZero() || d.ReplacementSuspected() && !e.SuspectedSince.Before(d.suspicion.quietSince) {
		return
	}
	d.raiseSuspicion(suspectedReplacement{EndUnexplainedReset, e.SuspectedSince, e.CallsBefore, e.AfterSilence})
}

// clearSuspicion ends a suspicion from before the newest connection, which leads to the same process.
func (d *Detector) clearSuspicion() {
	d.uncounted = newestConnection{}
	if d.connection.dialedAt.After(d.suspicion.quietSince) {
		d.suspicion = suspectedReplacement{}
	}
}

// suspicionDeadline returns when the calls are decided on, but not before a state of the group that
// has arrived is evaluated; zero: there is no suspicion.
func (d *Detector) suspicionDeadline() time.Time {
	if !d.ReplacementSuspected() {
		return time.Time{}
	}
	deadline := d.suspicion.quietSince.Add(d.settings.EvidenceTimeout)
	if d.connection.evaluateAt.After(deadline) {
		return d.connection.evaluateAt
	}
	return deadline
}

// checkProcess returns whether another process has the address, by what evidence, and since when.
func (d *Detector) checkProcess(now time.Time) (EndCause, time.Time) {
	cause, before := d.findReplacement(now)
	if cause != NotEnded {
		d.replaced = replacement{cause: cause, callsBefore: before}
	} else if d.replaced.callKnownLate {
		d.replaced.callKnownLate = false
		return d.replaced.cause, d.replaced.callsBefore
	}
	return cause, before
}

// findReplacement returns what shows now that another process has the address, and since when.
func (d *Detector) findReplacement(now time.Time) (EndCause, time.Time) {
	if at := d.connection.evaluateAt; !at.IsZero() && !now.Before(at) {
		before := d.earlierCallsBefore()
		if d.evaluateGroup() {
			d.suspicion, d.uncounted = suspectedReplacement{}, newestConnection{}
			return EndGroupState, before
		}
	}
	if deadline := d.suspicionDeadline(); !deadline.IsZero() && !now.Before(deadline) {
		suspicion := d.suspicion
		d.suspicion, d.uncounted = suspectedReplacement{}, newestConnection{}
		// The list would show by now that the process has ended.
		listTrusted := !now.Before(d.listUnknownUntil) && (d.settings.ListShowsEnds || !suspicion.afterSilence)
		if !listTrusted {
			return suspicion.cause, suspicion.callsBefore
		}
	}
	return NotEnded, time.Time{}
}

// evaluateGroup compares the first state of the group on the newest connection with the earlier calls, and
// reports whether they are gone: they hold far more circuits than are in use. If they hold a few more, their
// releases may have been lost with a connection. If they hold less, but most of the circuits of others'
// calls are free now, those may have ended, or the process is new and others have set up calls. A peer
// whose states never counted the calls proves nothing.
func (d *Detector) evaluateGroup() (gone bool) {
	connection := &d.connection
	connection.evaluateAt = time.Time{}
	before := d.earlierCallsBefore()
	earlierCircuits := d.calls.circuitsBefore(before)
	used := connection.first.used() - (d.calls.circuitsBefore(connection.dialedAt) - earlierCircuits)
	countedCircuits := d.calls.circuitsBefore(earliest(before, d.counted.before))
	switch {
	case earlierCircuits == 0 || connection.knowsEarlierCall || countedCircuits == 0 && used < earlierCircuits:
		d.uncounted = newestConnection{}
	case used >= earlierCircuits && !d.othersDropped(used-earlierCircuits):
		connection.coversEarlierCalls = true
		d.clearSuspicion()
	case used <= countedCircuits/minUsedDivisor:
		return true
	default:
		quietSince := connection.quietSince
		if d.uncounted.exists() {
			quietSince = d.uncounted.quietSince
		}
		d.reconnect = d.suspicion.cause != EndGroupState
		d.raiseSuspicion(suspectedReplacement{EndGroupState, quietSince, before, true})
	}
	return false
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
