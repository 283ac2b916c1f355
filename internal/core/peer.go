package core

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// Verdict is what became of a switch's answer.
type Verdict int

// The verdicts. A switch may say more than belongs to it: only a Late answer
// is of something that stands there and that nobody wants.
const (
	Taken   Verdict = iota
	Copy            // the call stands through that switch already: to be dropped
	Late            // the set-up was given up: what it set up is to be released
	Unknown         // no call of that id was here: to be dropped
)

// Peer is one listed switch as its link sees the core. A switch that comes back under its
// id is another Peer: what one link hears says nothing of the calls of the other.
type Peer struct {
	core   *Core
	member *member
	id     string
}

// Answered tells that the switch answered.
func (p *Peer) Answered(id uint64, description []byte) Verdict {
	c := p.core
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	_, over := c.ended[id]
	switch {
	case k == nil && !over:
		return Unknown
	case k == nil || k.out != p.member:
		return Late
	case k.answered:
		return Copy
	}
	k.answered, k.stoodSince = true, time.Now()
	k.push(reply{answer: true, description: description})
	return Taken
}

// Ended tells that a set-up or a standing call has ended at the switch.
func (p *Peer) Ended(id uint64, e End) {
	c := p.core
	c.mu.Lock()
	k := c.calls[id]
	_, over := c.ended[id]
	known := k != nil || over
	if k != nil && k.out == p.member {
		why := EndReleased
		if e.Result != routing.Ended {
			why = EndCutBySwitch
		}
		k.push(reply{end: e, why: why})
	}
	c.mu.Unlock()
	if !known && c.opt.UnknownRelease != nil && (e.Result == routing.Ended || e.Result == routing.Reset) {
		c.opt.UnknownRelease(id, e.Result == routing.Reset)
	}
}

// Group tells the state of the group toward the switch.
func (p *Peer) Group(r routing.Report) {
	p.core.tell(routing.Reported{Host: p.id, Report: r})
}

// CallsOver tells that what has stood at the switch since before a time is over, though it
// did not say so.
func (p *Peer) CallsOver(why EndReason, before time.Time) {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.cutAll(p.member, why, before)
}

// EvidenceMissing tells that the switch does not answer.
func (p *Peer) EvidenceMissing() { p.core.Caution() }

// cutAll ends the calls that have stood through a switch since before a time, and returns
// them. The lock is held.
func (c *Core) cutAll(m *member, why EndReason, before time.Time) (cut []*call) {
	for _, k := range c.calls {
		if k.out == m && k.answered && k.stoodSince.Before(before) {
			k.push(reply{end: End{Result: routing.Reset}, why: why})
			cut = append(cut, k)
		}
	}
	if len(cut) > 0 {
		c.log.Warn("standing calls cut with their switch", "switch", m.ID, "calls", len(cut), "why", why.String())
	}
	return cut
}
