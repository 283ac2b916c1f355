package core

import (
	"context"
	"errors"
	"time"
)

// StopAccepting lets no new call in.
func (c *Core) StopAccepting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// FailUnanswered gives every call that waits for its final answer that it failed. A proxy
// that is about to be killed does so: its callers would wait in vain.
func (c *Core) FailUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.expired:
	default:
		close(c.expired)
	}
}

// EndUnverifiedCalls ends the calls that stand at switches of which nothing was heard for some
// time, and returns once their callers were told. A proxy does so before it stops: nobody
// else knows of these calls, and if they are over no release will say so.
func (c *Core) EndUnverifiedCalls(ctx context.Context) {
	var cut []*call
	for _, m := range c.allMembers() {
		if m.link.ProbeFailing() {
			c.mu.Lock()
			cut = append(cut, c.cutAll(m, EndShutdown, time.Now())...)
			c.mu.Unlock()
		}
	}
	for _, k := range cut {
		select {
		case <-k.over:
		case <-ctx.Done():
			return
		}
	}
}

// WaitForCalls waits until no call waits for its answer, and with standing set, until
// none stands either.
func (c *Core) WaitForCalls(ctx context.Context, standing bool) error {
	for {
		c.mu.Lock()
		done, ch := c.unanswered == 0 && !(standing && len(c.calls) > 0), c.changed
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

// Close ends the core: its links close and its calls' goroutines return.
func (c *Core) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, k := range c.calls {
		if k.ctx.Err() == nil {
			k.shut = true // nobody hung up: what stands goes on without this proxy
			k.leave()
		}
	}
	c.mu.Unlock()
	err := c.group.Wait() // ends the context too, and hangUpUnknown with it
	c.mu.Lock()
	var links []Link
	for _, m := range c.members {
		links = append(links, m.link)
	}
	for m := range c.draining {
		links = append(links, m.link)
	}
	clear(c.members)
	clear(c.draining)
	c.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	return errors.Join(err, c.side.Wait())
}

// isShut says whether a call was left by Close and by nobody else.
func (c *Core) isShut(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.shut || c.ctx.Err() != nil
}
