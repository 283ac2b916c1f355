package core

import (
	"context"
	"time"

	"violetspan.example/violetspan/routing"
)

// EstablishedCall is an established call as one process of a proxy leaves it to the next.
type EstablishedCall struct {
	ID            uint64
	SwitchID      string
	EstablishedAt time.Time
	Evidence      routing.SwitchEvidence // of the life of the switch
}

// TransferableCalls returns the established calls that another process can take over.
func (c *Core) TransferableCalls() []EstablishedCall {
	evidence := map[*listedSwitch]routing.SwitchEvidence{}
	for _, sw := range c.openSwitches() {
		evidence[sw] = sw.link.Evidence()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var transferable []EstablishedCall
	for _, call := range c.calls {
		sw := call.currentSwitch
		known, open := evidence[sw]
		if call.Transferable && call.isEstablished() && open {
			transferable = append(transferable, EstablishedCall{ID: call.ID, SwitchID: sw.ID, EstablishedAt: call.establishedAt, Evidence: known})
		}
	}
	return transferable
}

// isEstablished reports whether the call's caller has the answer and neither side has ended the call.
// The core's lock is held.
func (call *callState) isEstablished() bool {
	return call.finalAnswerGiven && call.answered && call.currentSwitch != nil && call.ctx.Err() == nil
}

// TakeOver takes over a call that a former process of this proxy established. The caller receives its
// end only. A call that has ended meanwhile is released towards the caller at once. One that is known,
// or of which this process has heard that it ended, is ignored. TakeOver does not block.
func (c *Core) TakeOver(established EstablishedCall, caller Caller) TakeOverResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ended := c.endedCalls[established.ID]
	sw := c.switches[established.SwitchID]
	switch {
	case c.closed, ended, c.endedUnknown[established.ID], c.calls[established.ID] != nil:
		return TakeOverIgnored
	case sw == nil, established.EstablishedAt.Before(sw.Started):
		// The process that had the call no longer runs.
		c.endFormerCall(established.ID, caller, nil)
		return TakeOverEnded
	case len(c.calls) >= c.options.MaxCalls:
		c.endFormerCall(established.ID, caller, sw.link)
		return TakeOverEnded
	}
	call := newCall(c, &SetUp{ID: established.ID, Transferable: true}, caller)
	call.currentSwitch, call.lastSwitch = sw, sw
	call.answered, call.finalAnswerGiven, call.establishedAt = true, true, established.EstablishedAt
	c.calls[call.ID] = call
	c.callGroup.Go(func() error {
		c.serveTakenOver(call, established.Evidence)
		return nil
	})
	return TakeOverDone
}

// endFormerCall releases a call that is not taken over towards its caller and, if the link is not nil,
// its switch. The lock is held.
func (c *Core) endFormerCall(id uint64, caller Caller, link Link) {
	c.endedCalls[id] = endedCall{time.Now(), true}
	c.background.Go(func() error {
		if link != nil {
			link.Release(id)
		}
		caller.Release(id, true)
		return nil
	})
}

// TakeOverResult is the result of Core.TakeOver.
type TakeOverResult int

// The results of TakeOver.
const (
	TakeOverDone    TakeOverResult = iota // the call is established here
	TakeOverEnded                         // it had ended: its caller is notified
	TakeOverIgnored                       // it is known already
)

// serveTakenOver runs a call that a former process established. The controller does not know it.
func (c *Core) serveTakenOver(call *callState, evidence routing.SwitchEvidence) {
	defer c.removeCall(call)
	defer call.cancel()
	link := call.lastSwitch.link
	link.TakeOver(call.ID, call.establishedAt, evidence)
	c.superviseEstablished(call, link, func(Outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		call.currentSwitch = nil
	})
}

// noteEndedUnknown records the end of a call that is not known here: it may still be handed over by a
// peer that does not know of the end. The lock is held.
func (c *Core) noteEndedUnknown(id uint64) {
	if time.Since(c.startTime) < takeOverPeriod && len(c.endedUnknown) < maxEndedUnknown {
		c.endedUnknown[id] = true
	}
}

// EndTransferableCalls cuts the established calls that another process could take over, except those
// that isHandedOver reports, and returns when their callers have been notified. It returns the number
// of calls that it cut. A proxy calls it before it stops: if the process of a call's switch dies later,
// no release arrives, and no process would know whom to notify.
func (c *Core) EndTransferableCalls(ctx context.Context, isHandedOver func(id uint64) bool) int {
	c.mu.Lock()
	var cut []*callState
	for _, call := range c.calls {
		if call.Transferable && call.isEstablished() && !isHandedOver(call.ID) {
			call.deliverReply(switchReply{outcome: Outcome{Result: routing.Reset}, reason: EndShutdown})
			cut = append(cut, call)
		}
	}
	c.mu.Unlock()
	if len(cut) > 0 {
		c.log.Warn("established calls cut at exit: no peer holds them", "calls", len(cut))
	}
	awaitRemoval(ctx, cut)
	return len(cut)
}

// awaitRemoval waits until calls have been removed or the context ends.
func awaitRemoval(ctx context.Context, calls []*callState) {
	for _, call := range calls {
		select {
		case <-call.done:
		case <-ctx.Done():
			return
		}
	}
}
