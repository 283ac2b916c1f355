package core

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// AnswerStatus is how the core treated an answer of a switch.
type AnswerStatus int

// The answer statuses. A switch may answer a call twice, or one that it was not offered. Only Late
// means that it has a call that nobody waits for: a release after a Duplicate or an UnknownCall
// would end an established call, or another caller's call.
const (
	Accepted    AnswerStatus = iota // the first answer to the outstanding set-up
	Duplicate                       // the call is already established through this switch: ignore
	Late                            // the set-up was given up: release the call at the switch
	UnknownCall                     // no call with this ID is known: ignore
)

// SwitchHandler receives the events of one listed switch from its link. A switch that is
// listed again under its ID, with another link, gets another SwitchHandler: the events of one
// link do not affect the calls of the other.
type SwitchHandler struct {
	core   *Core
	listed *listedSwitch
	id     string
}

// Answered handles an answer of the switch to a set-up.
func (h *SwitchHandler) Answered(id uint64, description []byte) AnswerStatus {
	c := h.core
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	_, ended := c.endedCalls[id]
	switch {
	case call == nil && !ended:
		return UnknownCall
	case call == nil || call.currentSwitch != h.listed:
		return Late
	case call.answered:
		return Duplicate
	}
	call.answered, call.establishedAt = true, time.Now()
	call.deliverReply(switchReply{isAnswer: true, description: description})
	return Accepted
}

// Ended handles the end of a set-up or an established call at the switch.
func (h *SwitchHandler) Ended(id uint64, outcome Outcome) {
	c := h.core
	c.mu.Lock()
	call := c.calls[id]
	_, ended := c.endedCalls[id]
	known := call != nil || ended
	if call != nil && h.mayEnd(call) {
		reason := EndReleased
		if outcome.Result != routing.Ended {
			reason = EndCutBySwitch
		}
		call.deliverReply(switchReply{outcome: outcome, reason: reason})
	}
	if !known {
		c.noteEndedUnknown(id)
	}
	c.mu.Unlock()
	if !known && c.options.OnUnknownRelease != nil &&
		(outcome.Result == routing.Ended || outcome.Result == routing.Reset) {
		c.options.OnUnknownRelease(id, outcome.Result == routing.Reset)
	}
}

// mayEnd reports whether the switch may end a call: it has the call, or the call is established at a switch
// that was listed with the same address under another name. The core's lock is held.
func (h *SwitchHandler) mayEnd(call *callState) bool {
	sw := call.currentSwitch
	return sw == h.listed || sw != nil && call.answered && sw.displaced && sw.Addr == h.listed.Addr
}

// GroupReported handles a report on the trunk group toward the switch.
func (h *SwitchHandler) GroupReported(report routing.Report) {
	h.core.handleEvent(routing.Reported{Host: h.id, Report: report})
}

// CallsEnded cuts the calls that were established at the switch before the given time. The
// link calls it when they must have ended without a release.
func (h *SwitchHandler) CallsEnded(reason EndReason, before time.Time) {
	h.core.mu.Lock()
	defer h.core.mu.Unlock()
	h.core.cutCalls(h.listed, reason, before)
}

// SwitchSilent handles a switch that does not respond. It makes all links probe early, because
// other switches may not respond either.
func (h *SwitchHandler) SwitchSilent() { h.core.ProbeEarly() }

// cutCalls ends the calls that were established through a switch before the given time, and
// returns them. The lock is held.
func (c *Core) cutCalls(sw *listedSwitch, reason EndReason, before time.Time) (cut []*callState) {
	for _, call := range c.calls {
		if call.currentSwitch == sw && call.answered && call.establishedAt.Before(before) {
			call.deliverReply(switchReply{outcome: Outcome{Result: routing.Reset}, reason: reason})
			cut = append(cut, call)
		}
	}
	if len(cut) > 0 {
		c.log.Warn("established calls of a switch cut", "switch", sw.ID, "calls", len(cut), "why", reason.String())
	}
	return cut
}
