package core

import (
	"slices"
	"strings"
	"time"

	"violetspan.example/violetspan/routing"
)

// SwitchList is the list of switches of one source, or changes to it.
type SwitchList struct {
	Source   string
	Complete bool // Switches is the whole list of the source: switches missing from it are removed
	Switches []Switch
	// Graceful means that a removed switch may still run, and that its established calls go
	// on. Otherwise its process no longer runs, and its calls have ended.
	Graceful bool
}

// ApplyList applies a source's whole list of switches or changes to it. The controller gets
// changes only, so that one source does not undo the list of another.
func (c *Core) ApplyList(list SwitchList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := list.Switches
	if list.Complete {
		present := map[string]bool{}
		for _, entry := range entries {
			present[entry.ID] = true
		}
		for id, sw := range c.switches {
			if sw.source == list.Source && !present[id] {
				removed := sw.Switch
				removed.State = routing.Removed
				entries = append(entries[:len(entries):len(entries)], removed)
			}
		}
	}
	if !list.Graceful {
		entries = c.withDisplaced(entries, list.Source)
	}
	var event routing.ListUpdated
	for _, entry := range entries {
		if !c.applyEntry(entry, list) {
			continue
		}
		listEntry := routing.ListEntry{Host: entry.ID, Exchange: entry.Exchange, State: entry.State}
		if !entry.Started.IsZero() {
			listEntry.Started = max(0, c.controllerTime(entry.Started))
		}
		event.Entries = append(event.Entries, listEntry)
	}
	c.endDisplaced()
	c.handleEventLocked(event)
}

// endDisplaced stops the links to gracefully removed switches whose address another listed switch has. Either
// the switch was renamed, or another process runs there. Calls from before the last break of the
// connection are cut, as it can't be known which: a new process would never release them. The others go on
// until the connection ends. The lock is held.
func (c *Core) endDisplaced() {
	listed := map[string]bool{}
	for _, sw := range c.switches {
		listed[sw.Addr] = true
	}
	for sw := range c.removedSwitches {
		if sw.removedGracefully && !sw.displaced && listed[sw.Addr] {
			sw.displaced = true
			sw.link.StopDialing()
			c.cutCalls(sw, EndRemoved, sw.link.LastBreak())
		}
	}
}

// withDisplaced prepends removals of the switches whose address the entries give to another
// switch: an address is reused only when the process of its former switch no longer runs.
func (c *Core) withDisplaced(entries []Switch, source string) []Switch {
	var displacedEntries []Switch
	for _, entry := range entries {
		if entry.State == routing.Removed {
			continue
		}
		for _, sw := range c.switches {
			if sw.Addr == entry.Addr && sw.ID != entry.ID && sw.source == source &&
				!listedElsewhere(entries, sw.Switch) {
				displaced := sw.Switch
				displaced.State = routing.Removed
				displacedEntries = append(displacedEntries, displaced)
			}
		}
	}
	return append(displacedEntries, entries...)
}

// listedElsewhere reports whether the entries give a switch another address or remove it
// themselves.
func listedElsewhere(entries []Switch, sw Switch) bool {
	return slices.ContainsFunc(entries, func(entry Switch) bool {
		return entry.ID == sw.ID && (entry.Addr != sw.Addr || entry.State == routing.Removed)
	})
}

// applyEntry applies one entry of a list. It returns false if the entry is ignored. The lock is
// held.
func (c *Core) applyEntry(entry Switch, list SwitchList) bool {
	old := c.switches[entry.ID]
	if old != nil && old.source != list.Source {
		c.log.Error("switch ignored: another list has it", "switch", entry.ID, "list", list.Source,
			"other", old.source)
		return false
	}
	if entry.State == routing.Removed {
		if old != nil {
			c.removeSwitch(old, list.Graceful)
		}
		return true
	}
	if old != nil && old.Addr == entry.Addr {
		if !old.Started.Equal(entry.Started) {
			c.cutCalls(old, EndRestarted, entry.Started) // the restart ended the calls established before it
		}
		old.Switch = entry
		return true
	}
	entry.EndsNotListed = list.Graceful
	added := &listedSwitch{Switch: entry, source: list.Source}
	link, err := c.options.OpenLink(entry, &SwitchHandler{c, added, entry.ID})
	if err != nil {
		c.log.Error("no link to a listed switch could be created", "switch", entry.ID, "addr", entry.Addr,
			"error", err)
		return false
	}
	added.link = link
	if old != nil {
		c.removeSwitch(old, list.Graceful)
	}
	c.switches[entry.ID] = added
	return true
}

// removeSwitch removes a switch from the list. Its link stays open, as releases may still be in
// flight: after a graceful removal until no call uses it, otherwise for removalGrace, after
// which the established calls are cut, and linkCloseDelay. The lock is held.
func (c *Core) removeSwitch(sw *listedSwitch, graceful bool) {
	delete(c.switches, sw.ID)
	sw.removedGracefully = graceful
	c.removedSwitches[sw] = true
	if graceful {
		c.closeUnusedLinks()
		return
	}
	sw.link.StopDialing()
	time.AfterFunc(removalGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cutCalls(sw, EndRemoved, time.Now())
		time.AfterFunc(linkCloseDelay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.closeLink(sw)
		})
	})
}

// closeUnusedLinks closes the links to gracefully removed switches that no call uses any more.
// The lock is held.
func (c *Core) closeUnusedLinks() {
	for sw := range c.removedSwitches {
		if !sw.removedGracefully {
			continue
		}
		inUse := false
		for _, call := range c.calls {
			inUse = inUse || call.currentSwitch == sw
		}
		if !inUse {
			c.closeLink(sw)
		}
	}
}

// closeLink closes the link to a removed switch. The lock is held; Link.Close runs in another
// goroutine, as it waits for readers that may be about to take the lock.
func (c *Core) closeLink(sw *listedSwitch) {
	if c.closed || !c.removedSwitches[sw] {
		return // Core.Close closes it, or it is closed already
	}
	delete(c.removedSwitches, sw)
	c.background.Go(func() error {
		sw.link.Close()
		return nil
	})
}

// DiscoveryFailed records that the list of switches is not up to date: for listUnknownFor it does not
// show that the process of a switch has ended.
func (c *Core) DiscoveryFailed() {
	until := time.Now().Add(listUnknownFor)
	for _, sw := range c.openSwitches() {
		sw.link.ListUnknownUntil(until)
	}
	c.ProbeEarly()
}

// ProbeEarly makes all links probe silent switches early for probeEarlyFor. It is called when
// there is no recent evidence that switches are alive, as when one does not respond or the list
// is unavailable.
func (c *Core) ProbeEarly() { c.probeEarlyUntil(time.Now().Add(probeEarlyFor)) }

// probeEarlyUntil makes all links probe silent switches early until the given time.
func (c *Core) probeEarlyUntil(until time.Time) {
	for _, sw := range c.openSwitches() {
		sw.link.ProbeEarlyUntil(until)
	}
}

// openSwitches returns the switches with an open link: those listed, and those removed whose
// link is still open.
func (c *Core) openSwitches() []*listedSwitch {
	c.mu.Lock()
	defer c.mu.Unlock()
	switches := make([]*listedSwitch, 0, len(c.switches)+len(c.removedSwitches))
	for _, sw := range c.switches {
		switches = append(switches, sw)
	}
	for sw := range c.removedSwitches {
		switches = append(switches, sw)
	}
	return switches
}

// Switches returns the currently listed switches, sorted by ID.
func (c *Core) Switches() []Switch {
	c.mu.Lock()
	defer c.mu.Unlock()
	switches := make([]Switch, 0, len(c.switches))
	for _, sw := range c.switches {
		switches = append(switches, sw.Switch)
	}
	slices.SortFunc(switches, func(a, b Switch) int { return strings.Compare(a.ID, b.ID) })
	return switches
}
