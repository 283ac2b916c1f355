package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"violetspan.example/violetspan/routing"
)

// SimplePolicy is a baseline policy for comparison. It routes a call directly while the group
// has free circuits, else through a tandem drawn with equal probability from those that its own
// groups can reach, and through another one if that tandem turns the call back. It follows the
// rules and does nothing more: no throttling, no trunk reservation, no learning.
type SimplePolicy struct {
	settings     routing.Settings
	rng          *rand.Rand
	useTandems   bool
	ready        []routing.ListEntry // exchanges that take calls, by number
	freeCircuits map[string]int      // by host of the far exchange; no entry: unknown, as after reports of Size -1 only
	calls        map[string]*simpleCall
	subscribed   bool
}

// simpleCall is a call offered to a SimplePolicy.
type simpleCall struct {
	routing.Offered
	tried       []int // exchanges
	sends       int
	outstanding bool // an attempt is outstanding
	pending     bool // the final answer is pending
}

// NewEvenPolicy returns a SimplePolicy that uses tandems. The error is always nil.
func NewEvenPolicy(settings routing.Settings, seed uint64) (routing.Policy, error) {
	return newSimplePolicy(settings, seed, true), nil
}

// NewDirectPolicy returns a SimplePolicy that never uses tandems. The error is always nil.
func NewDirectPolicy(settings routing.Settings, seed uint64) (routing.Policy, error) {
	return newSimplePolicy(settings, seed, false), nil
}

func newSimplePolicy(settings routing.Settings, seed uint64, useTandems bool) *SimplePolicy {
	return &SimplePolicy{settings: settings, rng: rand.New(rand.NewPCG(seed, 77)), useTandems: useTandems,
		freeCircuits: map[string]int{}, calls: map[string]*simpleCall{}}
}

// Handle processes an event and returns the actions to execute.
func (p *SimplePolicy) Handle(now time.Duration, ev routing.Event) []routing.Action {
	switch e := ev.(type) {
	case routing.ListUpdated:
		return p.updateList(e)
	case routing.Reported:
		p.recordReport(e.Host, e.Report)
	case routing.Offered:
		call := &simpleCall{Offered: e, pending: true}
		p.calls[e.Call] = call
		return p.route(now, call)
	case routing.Established:
		if call := p.calls[e.Call]; call != nil {
			call.pending = false
		}
	case routing.Withdrawn:
		if call := p.calls[e.Call]; call != nil {
			call.pending = false
			if !call.outstanding {
				delete(p.calls, e.Call)
			}
		}
	case routing.AttemptEnded:
		p.recordReport(e.Host, e.Report)
		call := p.calls[e.Call]
		if call == nil || e.Attempt != call.sends-1 {
			return nil
		}
		call.outstanding = false
		if e.CallEnded || !call.pending {
			delete(p.calls, e.Call)
			return nil
		}
		// After a time-out or reset the next attempt would have to wait for the release delay:
		// the call fails instead.
		if e.Result == routing.Refused || e.Result == routing.NotSent {
			return p.route(now, call)
		}
		delete(p.calls, e.Call)
		return []routing.Action{routing.Fail{Call: e.Call}}
	}
	return nil
}

// recordReport stores the free circuits of a group. A report without a known size changes nothing.
func (p *SimplePolicy) recordReport(host string, r routing.Report) {
	if r.Size >= 0 {
		p.freeCircuits[host] = r.Free
	}
}

func (p *SimplePolicy) updateList(e routing.ListUpdated) []routing.Action {
	if e.Failed {
		return nil
	}
	if e.Complete {
		p.ready = nil
	}
	for _, entry := range e.Entries {
		p.ready = slices.DeleteFunc(p.ready, func(other routing.ListEntry) bool { return other.Host == entry.Host })
		if entry.State == routing.Ready {
			p.ready = append(p.ready, entry)
		}
	}
	slices.SortFunc(p.ready, func(a, b routing.ListEntry) int { return a.Exchange - b.Exchange })
	if p.settings.SubscribeRequired && !p.subscribed {
		p.subscribed = true
		return []routing.Action{routing.Subscribe{}}
	}
	return nil
}

// route sends a call on a route that it has not tried yet, or refuses it.
func (p *SimplePolicy) route(now time.Duration, call *simpleCall) []routing.Action {
	var candidates []routing.ListEntry
	for _, entry := range p.ready {
		free, known := p.freeCircuits[entry.Host]
		if entry.Exchange == p.settings.OwnExchange || slices.Contains(call.tried, entry.Exchange) || known && free < call.Width ||
			entry.Started > 0 && now < entry.Started+p.settings.WarmUpTime {
			continue
		}
		if entry.Exchange == call.Dest {
			candidates = []routing.ListEntry{entry}
			break
		}
		if p.useTandems && !call.Transit {
			candidates = append(candidates, entry)
		}
	}
	if len(candidates) == 0 || call.sends >= p.settings.MaxAttempts || now >= call.Expires {
		delete(p.calls, call.Call)
		return []routing.Action{routing.Refuse{Call: call.Call}}
	}
	chosen := candidates[p.rng.IntN(len(candidates))]
	call.sends++
	call.outstanding = true
	call.tried = append(call.tried, chosen.Exchange)
	return []routing.Action{routing.Send{Call: call.Call, Host: chosen.Host, Timeout: call.Expires - now}}
}
