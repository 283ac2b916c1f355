package core

import (
	"testing"
	"time"

	"violetspan.example/violetspan/routing"
)

// Guards against calls from before a planned restart whose callers are never notified: if their
// switch's process dies, leaves the list or was replaced meanwhile, no release of its comes.
func TestCallsTakenOverEndWithTheirSwitch(t *testing.T) {
	established := time.Now().Add(-time.Minute)
	listed := Switch{ID: "a", Addr: "x", Exchange: 1}
	for name, c := range map[string]struct {
		end  func(t *testing.T, c *Core)
		want string
	}{
		"its process dies": {func(t *testing.T, c *Core) { handlerOf(t, c, "a").CallsEnded(EndProcessGone, time.Now()) }, "cut"},
		"it is removed": {func(_ *testing.T, c *Core) {
			removed := listed
			removed.State = routing.Removed
			applyList(c, false, removed)
		}, "cut"},
		"it was restarted": {func(_ *testing.T, c *Core) {
			restarted := listed
			restarted.Started = time.Now()
			applyList(c, false, restarted)
		}, "cut"},
		"it ends the call":   {func(t *testing.T, c *Core) { handlerOf(t, c, "a").Ended(7, Outcome{Result: routing.Ended}) }, "ended"},
		"this process stops": {func(t *testing.T, c *Core) { c.EndTransferableCalls(t.Context(), func(uint64) bool { return false }) }, "cut"},
	} {
		t.Run(name, func(t *testing.T) {
			core, network := newCore(t)
			applyList(core, false, listed)
			if got := core.TakeOver(EstablishedCall{ID: 7, SwitchID: "a", EstablishedAt: established}, network); got != TakeOverDone {
				t.Fatalf("result %v", got)
			}
			network.expect(t, network.toSwitches, "a taken over")
			c.end(t, core)
			network.expect(t, network.toCaller, c.want)
		})
	}
}

// Guards against a call that is taken over although it has ended: its caller is notified at once, or
// was notified before.
func TestEndedCallsAreNotTakenOver(t *testing.T) {
	c, network := newCore(t)
	applyList(c, false, Switch{ID: "a", Addr: "x", Exchange: 1, Started: time.Now()})
	before := EstablishedCall{SwitchID: "a", EstablishedAt: time.Now().Add(-time.Minute)}
	since := EstablishedCall{SwitchID: "a", EstablishedAt: time.Now().Add(time.Second)}
	unlisted := EstablishedCall{SwitchID: "b", EstablishedAt: time.Now()}
	handlerOf(t, c, "a").Ended(3, Outcome{Result: routing.Ended})
	c.HangUp(4)
	network.expect(t, network.toSwitches, "a release")
	for i, step := range []struct {
		id   uint64
		call EstablishedCall
		want TakeOverResult
	}{
		{1, before, TakeOverEnded}, {2, unlisted, TakeOverEnded}, // its process is gone
		{3, since, TakeOverIgnored}, {4, since, TakeOverIgnored}, // released here before
		{5, since, TakeOverDone}, {5, since, TakeOverIgnored}, // offered by two peers
	} {
		step.call.ID = step.id
		if got := c.TakeOver(step.call, network); got != step.want {
			t.Errorf("step %d: result %v, want %v", i, got, step.want)
		}
	}
	network.expect(t, network.toCaller, "cut", "cut")
	c.HangUp(5) // a caller may still end it
	network.expect(t, network.toSwitches, "a taken over", "a release")
}
