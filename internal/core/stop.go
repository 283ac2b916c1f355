package core

import (
	"context"
	"errors"
	"time"
)

// StopAccepting makes Offer refuse new calls.
func (c *Core) StopAccepting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// FailUnanswered fails every call whose final answer is pending, also while it waits for a
// connection to a switch. A proxy calls it before it is killed, as the callers would otherwise
// get no answer.
func (c *Core) FailUnanswered() { c.beginShutdown() }

// EndUnverifiedCalls ends the calls established at silent switches whose probes fail, and
// returns when their callers have been notified. A proxy calls it before it stops: no other
// process knows these calls, and if they have ended, no release will arrive.
func (c *Core) EndUnverifiedCalls(ctx context.Context) {
	var cut []*callState
	for _, sw := range c.openSwitches() {
		if sw.link.ProbeFailing() {
			c.mu.Lock()
			cut = append(cut, c.cutCalls(sw, EndShutdown, time.Now())...)
			c.mu.Unlock()
		}
	}
	awaitRemoval(ctx, cut)
}

// WaitForCalls waits until no final answer is pending and, if established is set, until no
// call is established either. It returns the context's error if that ends first.
func (c *Core) WaitForCalls(ctx context.Context, established bool) error {
	for {
		c.mu.Lock()
		done, ch := c.unanswered == 0 && !(established && len(c.calls) > 0), c.changed
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// PrepareExit makes the links open no more connections but for releases. A proxy calls it when it no longer
// passes the ends of calls on to their callers.
func (c *Core) PrepareExit() {
	for _, sw := range c.openSwitches() {
		sw.link.PrepareExit()
	}
}

// Close ends the goroutines of all calls, closes all links and waits for both. Established
// calls go on at their switches.
func (c *Core) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, call := range c.calls {
		if call.ctx.Err() == nil {
			call.handedOver = true // not hung up: an established call goes on without this proxy
			call.cancel()
		}
	}
	c.mu.Unlock()
	err := c.callGroup.Wait() // also ends the context, and so releaseUnknownCalls
	c.mu.Lock()
	var links []Link
	for _, sw := range c.switches {
		links = append(links, sw.link)
	}
	for sw := range c.removedSwitches {
		links = append(links, sw.link)
	}
	clear(c.switches)
	clear(c.removedSwitches)
	c.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	return errors.Join(err, c.background.Wait())
}

// isHandedOver reports whether a call ended here because of Close, not because its caller
// hung up.
func (c *Core) isHandedOver(call *callState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.handedOver || c.ctx.Err() != nil
}
