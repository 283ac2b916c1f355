package core

import (
	"slices"
	"strings"
	"time"

	"violetspan.example/violetspan/routing"
)

// A SwitchList is what one source says of its switches.
type SwitchList struct {
	Source   string
	Full     bool // Members are all that the source has: those it lacks have left
	Switches []Switch
	// Graceful: a switch that was removed may still run, and what stands there goes
	// on. Otherwise it is gone, and its calls with it.
	Graceful bool
}

// ApplyList takes a source's whole list of switches or changes to it. The module
// hears of changes only, so that the sources don't undo each other.
func (c *Core) ApplyList(l SwitchList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := l.Switches
	if l.Full {
		present := map[string]bool{}
		for _, m := range ms {
			present[m.ID] = true
		}
		for id, m := range c.members {
			if m.source == l.Source && !present[id] {
				left := m.Switch
				left.State = routing.Removed
				ms = append(ms[:len(ms):len(ms)], left)
			}
		}
	}
	if !l.Graceful {
		ms = c.withDisplaced(ms, l.Source)
	}
	var ev routing.ListUpdated
	for _, m := range ms {
		if !c.setMember(m, l) {
			continue
		}
		e := routing.ListEntry{Host: m.ID, Exchange: m.Exchange, State: m.State}
		if !m.Started.IsZero() {
			e.Started = max(0, c.clock(m.Started))
		}
		ev.Entries = append(ev.Entries, e)
	}
	c.tellLocked(ev)
}

// withDisplaced puts before entries those switches as gone whose address another switch
// has by them: it can only have it after they had gone.
func (c *Core) withDisplaced(entries []Switch, source string) []Switch {
	var gone []Switch
	for _, e := range entries {
		if e.State == routing.Removed {
			continue
		}
		for _, m := range c.members {
			if m.Addr == e.Addr && m.ID != e.ID && m.source == source && !listedElsewhere(entries, m.Switch) {
				displaced := m.Switch
				displaced.State = routing.Removed
				gone = append(gone, displaced)
			}
		}
	}
	return append(gone, entries...)
}

// listedElsewhere says whether entries give a switch another address, or say that it has
// gone themselves.
func listedElsewhere(entries []Switch, m Switch) bool {
	return slices.ContainsFunc(entries, func(e Switch) bool {
		return e.ID == m.ID && (e.Addr != m.Addr || e.State == routing.Removed)
	})
}

// setMember takes in one entry of a list; false if it can't be used.
func (c *Core) setMember(m Switch, l SwitchList) bool {
	old := c.members[m.ID]
	if old != nil && old.source != l.Source {
		c.log.Error("a switch that another list has", "switch", m.ID, "list", l.Source, "other", old.source)
		return false
	}
	if m.State == routing.Removed {
		if old != nil {
			c.remove(old, l.Graceful)
		}
		return true
	}
	if old != nil && old.Addr == m.Addr {
		if !old.Started.Equal(m.Started) {
			c.cutAll(old, EndRestarted, m.Started) // what stood there before is cut
		}
		old.Switch = m
		old.link.SetDraining(m.State == routing.Draining)
		return true
	}
	added := &member{Switch: m, source: l.Source}
	link, err := c.opt.OpenLink(m, &SwitchHandler{c, added, m.ID})
	if err != nil {
		c.log.Error("a listed switch can't be used", "switch", m.ID, "addr", m.Addr, "error", err)
		return false
	}
	added.link = link
	link.SetDraining(m.State == routing.Draining)
	if old != nil {
		c.remove(old, l.Graceful)
	}
	c.members[m.ID] = added
	return true
}

// remove drops a switch that has left. Its releases may still be on their way, so the link
// stays: until nothing stands there if it may still run, else for a moment, after which
// what stands is cut.
func (c *Core) remove(m *member, graceful bool) {
	delete(c.members, m.ID)
	m.graceful = graceful
	c.draining[m] = true
	if graceful {
		c.sweepDraining()
		return
	}
	m.link.StopDialing()
	time.AfterFunc(removedLinger, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cutAll(m, EndRemoved, time.Now())
		time.AfterFunc(lastWords, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.closeLink(m)
		})
	})
}

// sweepDraining closes the links to switches that were removed gracefully and have no
// call any more.
func (c *Core) sweepDraining() {
	for m := range c.draining {
		if !m.graceful {
			continue
		}
		inUse := false
		for _, k := range c.calls {
			inUse = inUse || k.out == m
		}
		if !inUse {
			c.closeLink(m)
		}
	}
}

// closeLink closes the link to a switch that was removed. A Link's Close waits for
// readers that may be about to take the lock, so it is not called under it.
func (c *Core) closeLink(m *member) {
	if c.closed || !c.draining[m] {
		return // Close does it, or did
	}
	delete(c.draining, m)
	c.side.Go(func() error {
		m.link.Close()
		return nil
	})
}

// ProbeEarly says that evidence is missing, as when the list of switches can't be had: the
// links verify silent switches sooner for some time.
func (c *Core) ProbeEarly() { c.caution(time.Now().Add(cautionFor)) }

func (c *Core) caution(until time.Time) {
	for _, m := range c.allMembers() {
		m.link.ProbeEarlyUntil(until)
	}
}

// allMembers returns the switches that are listed or draining.
func (c *Core) allMembers() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := make([]*member, 0, len(c.members)+len(c.draining))
	for _, m := range c.members {
		ms = append(ms, m)
	}
	for m := range c.draining {
		ms = append(ms, m)
	}
	return ms
}

// Switches returns the switches as they are listed now, by their ids.
func (c *Core) Switches() []Switch {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := make([]Switch, 0, len(c.members))
	for _, m := range c.members {
		ms = append(ms, m.Switch)
	}
	slices.SortFunc(ms, func(a, b Switch) int { return strings.Compare(a.ID, b.ID) })
	return ms
}
