package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"violetspan.example/violetspan/routing"
)

// SimplePolicy is a decider to compare with. It goes direct while there is room, else by
// a tandem drawn evenly among those to which the own group has room, and again by
// another if that one turns the call back. It keeps the rules and nothing more: no
// throttle, no reserve, no memory.
type SimplePolicy struct {
	set    routing.Settings
	rng    *rand.Rand
	round  bool
	hosts  []routing.ListEntry
	free   map[string]int // circuits; -1: not known
	calls  map[string]*plainCall
	subbed bool
}

type plainCall struct {
	routing.Offered
	tried []int
	sends int
	out   bool
	owed  bool
}

// NewEvenPolicy makes a Plain that uses tandems.
func NewEvenPolicy(s routing.Settings, seed uint64) (routing.Policy, error) {
	return newPlain(s, seed, true), nil
}

// NewDirectPolicy makes a Plain that never does.
func NewDirectPolicy(s routing.Settings, seed uint64) (routing.Policy, error) {
	return newPlain(s, seed, false), nil
}

func newPlain(s routing.Settings, seed uint64, round bool) *SimplePolicy {
	return &SimplePolicy{set: s, rng: rand.New(rand.NewPCG(seed, 77)), round: round, free: map[string]int{}, calls: map[string]*plainCall{}}
}

// Handle takes one event and returns what is to be done.
func (p *SimplePolicy) Handle(now time.Duration, ev routing.Event) []routing.Action {
	switch e := ev.(type) {
	case routing.ListUpdated:
		return p.listed(e)
	case routing.Reported:
		p.report(e.Host, e.Report)
	case routing.Offered:
		k := &plainCall{Offered: e, owed: true}
		p.calls[e.Call] = k
		return p.place(now, k)
	case routing.Established:
		if k := p.calls[e.Call]; k != nil {
			k.owed = false
		}
	case routing.Withdrawn:
		if k := p.calls[e.Call]; k != nil {
			k.owed = false
			if !k.out {
				delete(p.calls, e.Call)
			}
		}
	case routing.AttemptEnded:
		p.report(e.Host, e.Report)
		k := p.calls[e.Call]
		if k == nil || e.Attempt != k.sends-1 {
			return nil
		}
		k.out = false
		if e.CallEnded || !k.owed {
			delete(p.calls, e.Call)
			return nil
		}
		// After a time-out or reset the call would have to rest: it is given back.
		if e.Result == routing.Refused || e.Result == routing.NotSent {
			return p.place(now, k)
		}
		delete(p.calls, e.Call)
		return []routing.Action{routing.Fail{Call: e.Call}}
	}
	return nil
}

func (p *SimplePolicy) report(host string, r routing.Report) {
	if r.Size >= 0 {
		p.free[host] = r.Free
	}
}

func (p *SimplePolicy) listed(e routing.ListUpdated) []routing.Action {
	if e.Failed {
		return nil
	}
	if e.Complete {
		p.hosts = nil
	}
	for _, n := range e.Entries {
		p.hosts = slices.DeleteFunc(p.hosts, func(o routing.ListEntry) bool { return o.Host == n.Host })
		if n.State == routing.Ready {
			p.hosts = append(p.hosts, n)
		}
	}
	slices.SortFunc(p.hosts, func(a, b routing.ListEntry) int { return a.Exchange - b.Exchange })
	if p.set.SubscribeRequired && !p.subbed {
		p.subbed = true
		return []routing.Action{routing.Subscribe{}}
	}
	return nil
}

// place sends a call on by a way not tried yet, or refuses it.
func (p *SimplePolicy) place(now time.Duration, k *plainCall) []routing.Action {
	var ways []routing.ListEntry
	for _, h := range p.hosts {
		free, known := p.free[h.Host]
		if h.Exchange == p.set.OwnExchange || slices.Contains(k.tried, h.Exchange) || known && free < k.Width ||
			h.Started > 0 && now < h.Started+p.set.WarmUpTime {
			continue
		}
		if h.Exchange == k.Dest {
			ways = []routing.ListEntry{h}
			break
		}
		if p.round && !k.Transit {
			ways = append(ways, h)
		}
	}
	if len(ways) == 0 || k.sends >= p.set.MaxAttempts || now >= k.Expires {
		delete(p.calls, k.Call)
		return []routing.Action{routing.Refuse{Call: k.Call}}
	}
	h := ways[p.rng.IntN(len(ways))]
	k.sends++
	k.out = true
	k.tried = append(k.tried, h.Exchange)
	return []routing.Action{routing.Send{Call: k.Call, Host: h.Host, Timeout: k.Expires - now}}
}
