package callapi

import (
	"errors"
	"time"

	"violetspan.example/violetspan/internal/tenant"
)

// callKey identifies a call: each tenant chooses the IDs of its own calls.
type callKey struct {
	tenant tenant.Account
	id     string
}

// request is the content of a set-up. A repeated set-up must have the same content.
type request struct {
	class, number, description string
	dest, width                int
}

// The states of a call.
type state int

const (
	pending state = iota // no final answer yet
	established
	ended
)

// call is one call of a tenant. It is stored for Server.AnswerRetention after its end, even
// if its sockets are closed, so that a client that reconnects receives the same answer.
type call struct {
	server *Server
	key    callKey
	coreID uint64
	request

	// Guarded by server.mu:
	state      state
	bytes      int              // counted in the stored usage
	counted    bool             // counted in the tenant's quota
	watchers   map[*socket]bool // open sockets that have sent its set-up
	answer     message          // the final answer, unless pending
	released   message          // its end, if it was established
	endsQueued int              // sockets on which released is queued and not written yet
	endWritten bool             // a client has been sent released
}

// addUsage changes the stored usage of the call, of its tenant and of the server. The
// arguments may be negative. server.mu must be held.
func (c *call) addUsage(calls, bytes int) {
	c.bytes += bytes
	c.server.stored.add(calls, bytes)
	c.server.stateOf(c.key.tenant).used.add(calls, bytes)
}

func (c *call) refusedMessage(reason string, retryAfter time.Duration) message {
	return message{Type: typeRefused, Call: c.key.id, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}

// setFinalAnswer stores the final answer of the call and queues it. It returns false if the
// call already has one. server.mu must be held.
func (c *call) setFinalAnswer(m message) bool {
	if c.state != pending {
		return false
	}
	m.Call = c.key.id
	c.answer = m
	c.addUsage(0, len(m.Description)+len(m.DescriptionB64)-maxDescription)
	c.state = ended
	if m.Type == typeAnswer {
		c.state = established
	} else {
		c.scheduleRemoval()
	}
	for s := range c.watchers {
		s.enqueue(m)
	}
	c.server.stateOf(c.key.tenant).closeIfRemoved()
	return true
}

// end ends an established call and notifies its sockets; if it has none, all sockets of the
// tenant, or else the next one that connects. server.mu must be held.
func (c *call) end(reason string) {
	if c.state != established {
		return
	}
	c.state = ended
	c.released = message{Type: typeReleased, Call: c.key.id, Reason: reason}
	c.announceEnd()
	c.scheduleRemoval()
	c.server.stateOf(c.key.tenant).closeIfRemoved()
}

// announceEnd queues the end of the call on its sockets or, if there are none, on all sockets of the
// tenant. If none has room for it, the end is pending. server.mu must be held.
func (c *call) announceEnd() {
	ts := c.server.stateOf(c.key.tenant)
	recipients := c.watchers
	if len(recipients) == 0 {
		recipients = ts.sockets
	}
	for s := range recipients {
		if s.hasRoomForEnds() {
			s.enqueueEnd(c)
		}
	}
	if c.endsQueued == 0 {
		ts.pendingEnds[c.key.id] = c
	}
}

// scheduleRemoval removes an ended call from the tenant's quota now, and from the storage
// after AnswerRetention. server.mu must be held.
func (c *call) scheduleRemoval() {
	if c.counted {
		c.server.Tenants.EndCall(c.key.tenant)
	}
	time.AfterFunc(c.server.AnswerRetention, func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.addUsage(-1, -c.bytes)
		ts := c.server.stateOf(c.key.tenant)
		delete(ts.calls, c.key.id)
		delete(ts.pendingEnds, c.key.id)
		c.server.dropIfEmpty(c.key.tenant)
	})
}

// errGivenUp reports to the core that the answer can't be delivered.
var errGivenUp = errors.New("the call was given up")

// Answer implements core.Caller, as do Refuse, Fail and Release.
func (c *call) Answer(_ uint64, description []byte) error {
	m := message{Type: typeAnswer}
	m.setDescription(description)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.setFinalAnswer(m) {
		return errGivenUp // for example, its last connection has just closed
	}
	return nil
}

// Refuse ends a pending call with the reason no_route.
func (c *call) Refuse(_ uint64, retryAfter time.Duration) {
	c.conclude(c.refusedMessage(reasonNoRoute, retryAfter))
}

// Fail ends a pending call with the reason fault.
func (c *call) Fail(uint64) { c.conclude(message{Type: typeFailed, Reason: reasonFault}) }

// conclude locks the server and sets the final answer.
func (c *call) conclude(m message) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.setFinalAnswer(m)
}

// Release ends an established call with the reason cut or ended.
func (c *call) Release(_ uint64, cut bool) {
	reason := reasonEnded
	if cut {
		reason = reasonCut
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.end(reason)
}
