package core

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// AnswerStatus is what became of a switch's answer.
type AnswerStatus int

// The verdicts. A switch may say more than belongs to it: only a Late answer
// is of something that stands there and that nobody wants.
const (
	Accepted    AnswerStatus = iota
	Duplicate                // the call stands through that switch already: to be dropped
	Late                     // the set-up was given up: what it set up is to be released
	UnknownCall              // no call of that id was here: to be dropped
)

// SwitchHandler is one listed switch as its link sees the core. A switch that comes back under its
// id is another SwitchHandler: what one link hears says nothing of the calls of the other.
type SwitchHandler struct {
	core   *Core
	member *member
	id     string
}

// Answered tells that the switch answered.
func (p *SwitchHandler) Answered(id uint64, description []byte) AnswerStatus {
	c := p.core
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	_, over := c.ended[id]
	switch {
	case k == nil && !over:
		return UnknownCall
	case k == nil || k.out != p.member:
		return Late
	case k.answered:
		return Duplicate
	}
	k.answered, k.stoodSince = true, time.Now()
	k.push(reply{answer: true, description: description})
	return Accepted
}

// Ended tells that a set-up or a standing call has ended at the switch.
func (p *SwitchHandler) Ended(id uint64, e Outcome) {
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
	if !known && c.opt.OnUnknownRelease != nil && (e.Result == routing.Ended || e.Result == routing.Reset) {
		c.opt.OnUnknownRelease(id, e.Result == routing.Reset)
	}
}

// GroupReported tells the state of the group toward the switch.
func (p *SwitchHandler) GroupReported(r routing.Report) {
	p.core.tell(routing.Reported{Host: p.id, Report: r})
}

// CallsEnded tells that what has stood at the switch since before a time is over, though it
// did not say so.
func (p *SwitchHandler) CallsEnded(why EndReason, before time.Time) {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.cutAll(p.member, why, before)
}

// SwitchSilent tells that the switch does not answer.
func (p *SwitchHandler) SwitchSilent() { p.core.ProbeEarly() }

// cutAll ends the calls that have stood through a switch since before a time, and returns
// them. The lock is held.
func (c *Core) cutAll(m *member, why EndReason, before time.Time) (cut []*call) {
	for _, k := range c.calls {
		if k.out == m && k.answered && k.stoodSince.Before(before) {
			k.push(reply{end: Outcome{Result: routing.Reset}, why: why})
			cut = append(cut, k)
		}
	}
	if len(cut) > 0 {
		c.log.Warn("standing calls cut with their switch", "switch", m.ID, "calls", len(cut), "why", why.String())
	}
	return cut
}
