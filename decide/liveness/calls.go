package liveness

import "time"

// establishedCall is a call that is established at the peer.
type establishedCall struct {
	since    time.Time
	circuits int // that it holds of the trunk group, at least
}

// establishedCalls holds the calls established at the peer, by their ids. The host bounds their number.
type establishedCalls struct {
	byID     map[uint64]establishedCall
	circuits int // held by all of them
}

// set adds or replaces a call.
func (calls *establishedCalls) set(id uint64, call establishedCall) {
	calls.remove(id)
	calls.byID[id] = call
	calls.circuits += call.circuits
}

// remove removes a call, if it is there.
func (calls *establishedCalls) remove(id uint64) {
	calls.circuits -= calls.byID[id].circuits
	delete(calls.byID, id)
}

// circuitsBefore returns the circuits held by the calls established before the given time.
func (calls *establishedCalls) circuitsBefore(limit time.Time) (circuits int) {
	for _, call := range calls.byID {
		if call.since.Before(limit) {
			circuits += call.circuits
		}
	}
	return circuits
}

// removeBefore removes the calls established before the given time and returns their number.
func (calls *establishedCalls) removeBefore(limit time.Time) (removed int) {
	for id, call := range calls.byID {
		if call.since.Before(limit) {
			calls.remove(id)
			removed++
		}
	}
	return removed
}

// clear removes all calls and returns their number.
func (calls *establishedCalls) clear() (removed int) {
	removed = len(calls.byID)
	clear(calls.byID)
	calls.circuits = 0
	return removed
}

// CallEstablished records a call that is established at the peer since the given time, and how many
// circuits of the trunk group it holds at least. A call that is known already keeps its circuits if
// circuits is less. The answer that establishes a call is itself evidence of life.
func (d *Detector) CallEstablished(id uint64, since time.Time, circuits int) {
	known, isKnown := d.calls.byID[id]
	circuits = max(circuits, known.circuits, 1)
	d.calls.set(id, establishedCall{since, circuits})
	d.replaced.callKnownLate = d.replaced.callKnownLate || since.Before(d.replaced.callsBefore)
	if !isKnown && since.Before(d.connection.dialedAt) {
		d.connection.earlierCallKnown()
	}
	if !since.Before(d.counted.before) {
		return
	}
	if d.counted.used < d.calls.circuits {
		d.counted = countedCalls{} // a call that became known only now was not counted then
		return
	}
	if !d.counted.inherited {
		d.counted.others = max(0, d.counted.others-(circuits-known.circuits)) // counted as another's until now
	}
}

// CallEnded records that a call is no longer established, for whatever reason.
func (d *Detector) CallEnded(id uint64) { d.calls.remove(id) }

// IsEstablished reports whether a call is established at the peer.
func (d *Detector) IsEstablished(id uint64) bool {
	_, established := d.calls.byID[id]
	return established
}

// Established returns the number of calls established at the peer.
func (d *Detector) Established() int { return len(d.calls.byID) }

// AnyCall returns the id of one of the established calls, or false if there is none.
func (d *Detector) AnyCall() (id uint64, ok bool) {
	for id := range d.calls.byID {
		return id, true
	}
	return 0, false
}
