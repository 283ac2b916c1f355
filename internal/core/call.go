package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"violetspan.example/violetspan/routing"
)

// call is one call from its set-up to its end.
type call struct {
	*SetUp
	name    string // its id, as the module knows it
	caller  Caller
	ctx     context.Context // ends when the caller leaves
	leave   context.CancelFunc
	actions chan routing.Action // what the module wants done
	replies chan reply          // what its switch said

	over chan struct{} // closed when the core has forgotten it

	// Under the core's lock:
	out        *member   // the switch that a set-up is out at, or that it stands through
	last       *member   // the last switch that a set-up was for
	answered   bool      // that switch answered
	stoodSince time.Time // ... at this time
	final      bool      // the final answer was given
	shut       bool      // Close left it

	// The goroutine's own:
	sends     int
	notBefore time.Time // no send before
}

// reply is what a switch said of a call.
type reply struct {
	answer      bool
	description []byte
	end         Outcome
	why         EndReason // of the end of a call that stood
}

func newCall(c *Core, s *SetUp, from Caller) *call {
	k := &call{SetUp: s, name: fmt.Sprintf("%016x", s.ID), caller: from,
		actions: make(chan routing.Action, 8), replies: make(chan reply, 4), over: make(chan struct{})}
	k.ctx, k.leave = context.WithCancel(c.ctx)
	return k
}

// push never blocks: a switch that repeats itself loses the repeats.
func (k *call) push(r reply) bool {
	select {
	case k.replies <- r:
		return true
	default:
		return false
	}
}

// serve is the life of one call. It asks the module at each point of choice
// and gives the caller exactly one final answer.
func (c *Core) serve(k *call) {
	defer c.drop(k)
	defer k.leave()

	// The module hears of the call. Its answer must leave before the caller gives
	// up, so the module is told a somewhat earlier time.
	due := time.NewTimer(time.Until(k.Deadline.Add(-guardMargin)))
	defer due.Stop()
	c.tell(routing.Offered{Call: k.name, Class: k.Class, Number: k.Number, Dest: k.Dest, Width: k.Width,
		Expires: c.clock(k.Deadline.Add(-answerMargin)), Transit: k.Transit, AfterCut: k.AfterCut})

	for {
		// What the module wants next: a send now, or after a hold or a rest; or
		// the final answer.
		var send routing.Send
		switch a := c.next(k, due.C).(type) {
		case routing.Send:
			send = a
		case routing.Refuse:
			k.caller.Refuse(k.ID, a.RetryAfter)
			c.opt.Observer.FinalAnswer(AnswerRefused)
			return
		case routing.Fail:
			k.caller.Fail(k.ID)
			c.opt.Observer.FinalAnswer(AnswerFailed)
			return
		case left:
			c.opt.Observer.FinalAnswer(AnswerCallerLeft)
			return
		case overdue:
			k.caller.Fail(k.ID)
			c.opt.Observer.FinalAnswer(AnswerOverdue)
			return
		case expired:
			k.caller.Fail(k.ID)
			c.opt.Observer.FinalAnswer(AnswerShutdown)
			return
		default:
			continue // a cancel that crossed its attempt's end
		}

		// The attempt, and how it came out.
		sent := time.Now()
		l, err := c.setUp(k, send)
		r, how := reply{}, byModule
		if err == nil {
			r, how = c.await(k, sent.Add(send.Timeout))
		} else if k.ctx.Err() != nil {
			how = byCaller
		}
		switch {
		case how == byCaller, how == byShutdown:
			if err == nil {
				l.CancelSetUp(k.ID)
			}
			c.tell(routing.Withdrawn{Call: k.name})
			c.settle(k, send, sent, Outcome{Result: routing.Cancelled}, true)
			if how == byCaller {
				c.opt.Observer.FinalAnswer(AnswerCallerLeft)
				return
			}
			k.caller.Fail(k.ID)
			c.opt.Observer.FinalAnswer(AnswerShutdown)
			return
		case errors.Is(err, ErrNotReached):
			c.settle(k, send, sent, Outcome{Result: routing.NotReached}, false)
		case errors.Is(err, ErrNotSent):
			c.settle(k, send, sent, Outcome{Result: routing.NotSent}, false)
		case err != nil:
			c.settle(k, send, sent, Outcome{Result: routing.Reset}, false)
		case how == byClock:
			l.CancelSetUp(k.ID)
			c.settle(k, send, sent, Outcome{Result: routing.TimedOut}, false)
		case how == byModule:
			l.CancelSetUp(k.ID)
			c.settle(k, send, sent, Outcome{Result: routing.Cancelled}, false)
		case !r.answer:
			if r.end.Result == routing.Ended {
				r.end.Result = routing.Failed // released without an answer
			}
			c.settle(k, send, sent, r.end, false)
		default:
			c.tell(routing.Established{Call: k.name, Attempt: k.sends - 1, Delay: time.Since(sent)})
			if err := k.caller.Answer(k.ID, r.description); err != nil {
				l.Release(k.ID)
				c.settle(k, send, sent, Outcome{Result: routing.Cancelled}, true)
				c.opt.Observer.FinalAnswer(AnswerNotDelivered)
				c.opt.Observer.CallEnded(EndNotDelivered)
				return
			}
			c.answeredCaller(k)
			c.opt.Observer.FinalAnswer(AnswerEstablished)
			c.opt.Observer.AttemptEnded(routing.Ended)

			// The call stands until its switch ends it or its caller hangs up.
			select {
			case r := <-k.replies:
				if r.why.judgedHere() {
					l.Release(k.ID) // it may stand there yet
				}
				c.settle(k, send, sent, r.end, true)
				k.caller.Release(k.ID, r.end.Result != routing.Ended)
				c.opt.Observer.CallEnded(r.why)
			case <-k.ctx.Done():
				why := EndHandedOver
				if !c.isShut(k) {
					why = EndHungUp
					l.Release(k.ID)
				}
				c.settle(k, send, sent, Outcome{Result: routing.Cancelled}, true)
				c.opt.Observer.CallEnded(why)
			}
			return
		}
	}
}

// What next returns beside the module's actions.
type (
	left    struct{} // the caller has left
	overdue struct{} // the module forgot the call, and its caller is about to give up
	expired struct{} // the proxy is about to end
)

// next waits for what the module wants of a call that has no attempt out. What
// was decided already counts before the clock, but not for a caller who has left.
func (c *Core) next(k *call, due <-chan time.Time) any {
	select {
	case <-k.ctx.Done():
		c.withdraw(k)
		return left{}
	default:
	}
	select {
	case a := <-k.actions:
		return a
	default:
	}
	select {
	case a := <-k.actions:
		return a
	case <-k.ctx.Done():
		c.withdraw(k)
		return left{}
	case <-c.expired:
		c.withdraw(k)
		return expired{}
	case <-due:
		c.log.Error("no decision before the caller gives up", "call", k.name)
		c.withdraw(k)
		return overdue{}
	}
}

// withdraw takes a call without an attempt out back from the module. A send that
// the module had ordered by then is settled as not used: the module would count
// it as out for good, and after a few such calls send nothing to that switch.
func (c *Core) withdraw(k *call) {
	c.tell(routing.Withdrawn{Call: k.name})
	for len(k.actions) > 0 {
		if send, ok := (<-k.actions).(routing.Send); ok {
			k.sends++
			c.settle(k, send, time.Now(), Outcome{Result: routing.NotSent}, true)
		}
	}
}

// Who ended the wait for a switch.
type ender int

const (
	bySwitch ender = iota
	byCaller
	byClock
	byModule
	byShutdown
)

// await waits for what a switch says of a set-up, but no longer than the
// caller stays, the time allowed for it and the module's patience.
func (c *Core) await(k *call, until time.Time) (reply, ender) {
	limit := time.NewTimer(time.Until(until))
	defer limit.Stop()
	var how ender
wait:
	for {
		select {
		case r := <-k.replies:
			return r, bySwitch
		case <-limit.C:
			how = byClock
			break wait
		case <-k.ctx.Done():
			how = byCaller
			break wait
		case <-c.expired:
			how = byShutdown
			break wait
		case a := <-k.actions:
			if x, ok := a.(routing.Cancel); ok {
				if x.Attempt != k.sends-1 {
					continue
				}
				how = byModule
				break wait
			}
			c.log.Error("an action while a set-up is out", "call", k.name, "action", fmt.Sprintf("%T", a))
		}
	}
	// From here on an answer is late. One that came a moment ago still counts,
	// unless nobody waits for it.
	c.mu.Lock()
	defer c.mu.Unlock()
	k.out = nil
	select {
	case r := <-k.replies:
		if how != byCaller {
			k.out = k.last
			return r, bySwitch
		}
	default:
	}
	return reply{}, how
}

var (
	errBroken = errors.New("a rule would be broken")
	errRest   = fmt.Errorf("%w: the call rests after its last attempt", errBroken)
	errSends  = fmt.Errorf("%w: no attempt is left", errBroken)
	errRoute  = fmt.Errorf("%w: a call in transit goes to its destination only", errBroken)
	errOwn    = fmt.Errorf("%w: a call never goes to the own exchange", errBroken)
)

// setUp sends a set-up as the module wants it, or says why it was not sent.
// This is the last place where the rules are kept: whatever the module says, a
// call rests for as long as it must, and nothing new goes to a switch that
// drains or is gone by the list at the moment of the first byte.
func (c *Core) setUp(k *call, send routing.Send) (Link, error) {
	c.mu.Lock()
	m := c.members[send.Host]
	var err error
	switch {
	case m == nil || m.State != routing.Ready:
		err = ErrNotSent
	case time.Now().Before(k.notBefore):
		err = errRest
	case k.sends >= c.opt.Settings.MaxAttempts:
		err = errSends
	case k.Transit && m.Exchange != k.Dest:
		err = errRoute
	case !c.opt.Settings.PoolMode && m.Exchange == c.opt.Settings.OwnExchange:
		err = errOwn
	}
	k.sends++ // the module counts this one, whatever becomes of it
	if err == nil {
		k.out, k.last, k.answered = m, m, false
		for len(k.replies) > 0 {
			<-k.replies // of an earlier attempt that had ended already
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.opt.Observer.SetUpHeldBack()
		c.log.Warn("set-up held back", "call", k.name, "switch", send.Host, "why", err)
		return nil, ErrNotSent
	}
	until := time.Now().Add(send.Timeout)
	ctx, cancel := context.WithDeadline(k.ctx, until)
	defer cancel()
	err = m.link.SetUp(ctx, k.SetUp, until, func() bool { return ctx.Err() == nil && c.ready(m) })
	return m.link, err
}

// settle tells the module how an attempt ended.
func (c *Core) settle(k *call, send routing.Send, sent time.Time, e Outcome, over bool) {
	now := time.Now()
	if !over {
		c.opt.Observer.AttemptEnded(e.Result)
	}
	switch e.Result {
	case routing.TimedOut, routing.Reset, routing.Cancelled:
		k.notBefore = now.Add(c.opt.Settings.ReleaseDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.out = nil
	c.tellLocked(routing.AttemptEnded{Call: k.name, Attempt: k.sends - 1, Host: send.Host, Result: e.Result, Cause: e.Cause,
		CallEnded: over, Delay: now.Sub(sent), Report: routing.NoReport})
}
