package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"violetspan.example/violetspan/routing"
)

// callState is the state of one call from set-up to end.
type callState struct {
	*SetUp
	name    string // the controller's name of the call: its ID in hexadecimal
	caller  Caller
	ctx     context.Context // ends when the caller withdraws or hangs up
	cancel  context.CancelFunc
	actions chan routing.Action // decisions of the controller
	replies chan switchReply    // answers and releases of its switch

	done      chan struct{} // closed when the core has removed the call
	shed      chan struct{} // closed when the call is to be refused in favour of other sources
	offeredAt time.Time

	// Guarded by the core's lock:
	currentSwitch    *listedSwitch // where a set-up is outstanding or the call is established; nil if neither
	lastSwitch       *listedSwitch // the switch of the last attempt
	answered         bool          // lastSwitch answered
	establishedAt    time.Time     // time of that answer
	finalAnswerGiven bool
	handedOver       bool // Close cancelled ctx; the caller had not left
	isShed           bool // shed is closed

	// Used by the call's goroutine only:
	sendCount int       // attempts so far; the current one is sendCount-1
	notBefore time.Time // no set-up is sent before this time
}

// switchReply is an answer or a release of a switch for a call.
type switchReply struct {
	isAnswer    bool
	description []byte
	outcome     Outcome
	reason      EndReason // why an established call ended
}

func newCall(c *Core, setUp *SetUp, caller Caller) *callState {
	call := &callState{SetUp: setUp, name: fmt.Sprintf("%016x", setUp.ID), caller: caller,
		actions: make(chan routing.Action, 8), replies: make(chan switchReply, 4), done: make(chan struct{}),
		shed: make(chan struct{}), offeredAt: time.Now()}
	call.ctx, call.cancel = context.WithCancel(c.ctx)
	return call
}

// deliverReply queues a reply for the call's goroutine. It never blocks: if the queue is full,
// as when a switch repeats itself, the reply is discarded and the result is false.
func (call *callState) deliverReply(reply switchReply) bool {
	select {
	case call.replies <- reply:
		return true
	default:
		return false
	}
}

// serve runs one call from set-up to end. It executes the controller's decisions and gives the
// caller exactly one final answer.
func (c *Core) serve(call *callState) {
	defer c.removeCall(call)
	defer call.cancel()

	// The final answer must be sent before the caller gives up, so the controller gets a
	// slightly earlier deadline.
	overdueTimer := time.NewTimer(time.Until(call.Deadline.Add(-overdueMargin)))
	defer overdueTimer.Stop()
	c.handleEvent(routing.Offered{Call: call.name, Class: call.Class, Number: call.Number, Dest: call.Dest,
		Width: call.Width, Expires: c.controllerTime(call.Deadline.Add(-answerMargin)), Transit: call.Transit,
		AfterCut: call.AfterCut})

	for {
		// The next decision: a send, at once or after a wait, or the final answer.
		var send routing.Send
		switch a := c.nextDecision(call, overdueTimer.C).(type) {
		case routing.Send:
			send = a
		case routing.Refuse:
			call.caller.Refuse(call.ID, a.RetryAfter)
			c.options.Observer.FinalAnswer(AnswerRefused)
			return
		case routing.Fail:
			call.caller.Fail(call.ID)
			c.options.Observer.FinalAnswer(AnswerFailed)
			return
		case callerLeft:
			c.options.Observer.FinalAnswer(AnswerCallerLeft)
			return
		case decisionOverdue:
			call.caller.Fail(call.ID)
			c.options.Observer.FinalAnswer(AnswerOverdue)
			return
		case shedForOthers:
			call.caller.Refuse(call.ID, shedRetryAfter)
			c.options.Observer.FinalAnswer(AnswerShed)
			return
		case shuttingDown:
			call.caller.Fail(call.ID)
			c.options.Observer.FinalAnswer(AnswerShutdown)
			return
		default:
			continue // a cancel for an attempt that has just ended
		}

		// The attempt and its result.
		sentAt := time.Now()
		link, err := c.sendSetUp(call, send)
		reply, endedBy := switchReply{}, endedByController
		if err == nil {
			reply, endedBy = c.awaitReply(call, sentAt.Add(send.Timeout))
		} else if call.ctx.Err() != nil {
			endedBy = endedByCaller
		} else if c.shutdown.Err() != nil {
			endedBy = endedByShutdown
		}
		switch {
		case endedBy == endedByCaller, endedBy == endedByShutdown:
			if err == nil {
				link.CancelSetUp(call.ID)
			}
			c.handleEvent(routing.Withdrawn{Call: call.name})
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.Cancelled}, true)
			if endedBy == endedByCaller {
				c.options.Observer.FinalAnswer(AnswerCallerLeft)
				return
			}
			call.caller.Fail(call.ID)
			c.options.Observer.FinalAnswer(AnswerShutdown)
			return
		case errors.Is(err, ErrNotReached):
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.NotReached}, false)
		case errors.Is(err, ErrNotSent):
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.NotSent}, false)
		case err != nil:
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.Reset}, false)
		case endedBy == endedByTimeout:
			link.CancelSetUp(call.ID)
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.TimedOut}, false)
		case endedBy == endedByController:
			link.CancelSetUp(call.ID)
			c.endAttempt(call, send, sentAt, Outcome{Result: routing.Cancelled}, false)
		case !reply.isAnswer:
			if reply.outcome.Result == routing.Ended {
				reply.outcome.Result = routing.Failed // released without an answer
			}
			c.endAttempt(call, send, sentAt, reply.outcome, false)
		default:
			c.handleEvent(routing.Established{Call: call.name, Attempt: call.sendCount - 1, Delay: time.Since(sentAt)})
			if err := call.caller.Answer(call.ID, reply.description); err != nil {
				link.Release(call.ID)
				c.endAttempt(call, send, sentAt, Outcome{Result: routing.Cancelled}, true)
				c.options.Observer.FinalAnswer(AnswerNotDelivered)
				c.options.Observer.CallEnded(EndNotDelivered)
				return
			}
			c.markEstablished(call)
			c.options.Observer.FinalAnswer(AnswerEstablished)
			c.options.Observer.AttemptEnded(routing.Ended)

			c.superviseEstablished(call, link, func(outcome Outcome) { c.endAttempt(call, send, sentAt, outcome, true) })
			return
		}
	}
}

// superviseEstablished waits until the switch ends an established call or its caller hangs up, and
// notifies the other side. It calls ended in between.
func (c *Core) superviseEstablished(call *callState, link Link, ended func(Outcome)) {
	select {
	case reply := <-call.replies:
		if reply.reason.decidedLocally() {
			link.Release(call.ID) // the switch may still have the call
		}
		ended(reply.outcome)
		call.caller.Release(call.ID, reply.outcome.Result != routing.Ended)
		c.options.Observer.CallEnded(reply.reason)
	case <-call.ctx.Done():
		reason := EndHandedOver
		if !c.isHandedOver(call) {
			reason = EndHungUp
			link.Release(call.ID)
		}
		ended(Outcome{Result: routing.Cancelled})
		c.options.Observer.CallEnded(reason)
	}
}

// Results of nextDecision besides the controller's actions.
type (
	callerLeft      struct{} // the caller withdrew the set-up
	decisionOverdue struct{} // the controller has not decided, and the caller is about to give up
	shedForOthers   struct{} // the call waits while its source floods
	shuttingDown    struct{} // the proxy is about to exit
)

// nextDecision waits for the controller's next decision on a call without an outstanding
// attempt. A decision that is already queued takes precedence over the timer and over shutdown,
// but not over a caller who has left.
func (c *Core) nextDecision(call *callState, overdueTimer <-chan time.Time) any {
	select {
	case <-call.ctx.Done():
		c.withdraw(call)
		return callerLeft{}
	default:
	}
	select {
	case a := <-call.actions:
		return a
	default:
	}
	select {
	case a := <-call.actions:
		return a
	case <-call.ctx.Done():
		c.withdraw(call)
		return callerLeft{}
	case <-call.shed:
		c.withdraw(call)
		return shedForOthers{}
	case <-c.shutdown.Done():
		c.withdraw(call)
		return shuttingDown{}
	case <-overdueTimer:
		c.log.Error("no decision on a call before its caller gives up", "call", call.name)
		c.withdraw(call)
		return decisionOverdue{}
	}
}

// withdraw notifies the controller that the caller of a call without an outstanding attempt
// has left, or that the core fails the call. A Send that the controller has already queued is
// reported as not sent: it would otherwise count as outstanding forever, and after a few such
// calls the controller would send nothing more to that switch.
func (c *Core) withdraw(call *callState) {
	c.handleEvent(routing.Withdrawn{Call: call.name})
	for len(call.actions) > 0 {
		if send, ok := (<-call.actions).(routing.Send); ok {
			call.sendCount++
			c.endAttempt(call, send, time.Now(), Outcome{Result: routing.NotSent}, true)
		}
	}
}

// waitEnd is what ended the wait for a reply of a switch.
type waitEnd int

const (
	endedBySwitch waitEnd = iota
	endedByCaller
	endedByTimeout
	endedByController
	endedByShutdown
)

// awaitReply waits for the switch's reply to a set-up until the deadline. It stops earlier if
// the caller leaves, the controller cancels the attempt or the proxy is about to exit.
func (c *Core) awaitReply(call *callState, deadline time.Time) (switchReply, waitEnd) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	var endedBy waitEnd
wait:
	for {
		select {
		case reply := <-call.replies:
			return reply, endedBySwitch
		case <-timeout.C:
			endedBy = endedByTimeout
			break wait
		case <-call.ctx.Done():
			endedBy = endedByCaller
			break wait
		case <-c.shutdown.Done():
			endedBy = endedByShutdown
			break wait
		case a := <-call.actions:
			if cancel, ok := a.(routing.Cancel); ok {
				if cancel.Attempt != call.sendCount-1 {
					continue
				}
				endedBy = endedByController
				break wait
			}
			c.log.Error("unexpected action while a set-up is outstanding", "call", call.name,
				"action", fmt.Sprintf("%T", a))
		}
	}
	// An answer that arrives from here on is late. One that is already queued still counts,
	// unless the caller has left.
	c.mu.Lock()
	defer c.mu.Unlock()
	call.currentSwitch = nil
	select {
	case reply := <-call.replies:
		if endedBy != endedByCaller {
			call.currentSwitch = call.lastSwitch
			return reply, endedBySwitch
		}
	default:
	}
	return switchReply{}, endedBy
}

var (
	errRuleViolated  = errors.New("routing rule violated")
	errBackoff       = fmt.Errorf("%w: the retry backoff has not elapsed", errRuleViolated)
	errNoAttemptLeft = fmt.Errorf("%w: no attempt is left", errRuleViolated)
	errTransitRoute  = fmt.Errorf("%w: a call in transit may only go to its destination", errRuleViolated)
	errOwnExchange   = fmt.Errorf("%w: a call may not go to the own exchange", errRuleViolated)
)

// sendSetUp executes a Send of the controller, or returns why it was not sent. It is the last
// check of the routing rules and does not rely on the controller: the retry backoff, the limit
// of attempts and the permitted destinations are enforced here, and nothing new goes to a switch
// that the list has as draining or removed when the first byte is written.
func (c *Core) sendSetUp(call *callState, send routing.Send) (Link, error) {
	c.mu.Lock()
	sw := c.switches[send.Host]
	var err error
	switch {
	case sw == nil || sw.State != routing.Ready:
		err = ErrNotSent
	case time.Now().Before(call.notBefore):
		err = errBackoff
	case call.sendCount >= c.options.Settings.MaxAttempts:
		err = errNoAttemptLeft
	case call.Transit && sw.Exchange != call.Dest:
		err = errTransitRoute
	case !c.options.Settings.PoolMode && sw.Exchange == c.options.Settings.OwnExchange:
		err = errOwnExchange
	}
	call.sendCount++ // the controller counts this attempt, whether it is sent or not
	if err == nil {
		call.currentSwitch, call.lastSwitch, call.answered = sw, sw, false
		for len(call.replies) > 0 {
			<-call.replies // discard replies to earlier attempts, which have ended
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.options.Observer.SetUpHeldBack()
		c.log.Warn("set-up held back", "call", call.name, "switch", send.Host, "why", err)
		return nil, ErrNotSent
	}
	deadline := time.Now().Add(send.Timeout)
	ctx, cancel := context.WithDeadline(call.ctx, deadline)
	defer cancel()
	defer context.AfterFunc(c.shutdown, cancel)() // a dial may outlast the proxy
	err = sw.link.SetUp(ctx, call.SetUp, deadline, func() bool { return ctx.Err() == nil && c.acceptsSetUps(sw) })
	return sw.link, err
}

// endAttempt reports to the controller how an attempt ended. callEnded means that no final
// answer is pending any more.
func (c *Core) endAttempt(call *callState, send routing.Send, sentAt time.Time, outcome Outcome,
	callEnded bool) {
	now := time.Now()
	if !callEnded {
		c.options.Observer.AttemptEnded(outcome.Result)
	}
	switch outcome.Result {
	case routing.TimedOut, routing.Reset, routing.Cancelled:
		call.notBefore = now.Add(c.options.Settings.ReleaseDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call.currentSwitch = nil
	c.handleEventLocked(routing.AttemptEnded{Call: call.name, Attempt: call.sendCount - 1, Host: send.Host,
		Result: outcome.Result, Cause: outcome.Cause, CallEnded: callEnded, Delay: now.Sub(sentAt),
		Report: routing.NoReport})
}
