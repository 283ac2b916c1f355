package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"violetspan.example/violetspan/brain"
)

// Plain is a decider to compare with. It goes direct while there is room, else by
// a tandem drawn evenly among those to which the own group has room, and again by
// another if that one turns the call back. It keeps the rules and nothing more: no
// throttle, no reserve, no memory.
type Plain struct {
	set    brain.Settings
	rng    *rand.Rand
	round  bool
	hosts  []brain.Entry
	free   map[string]int // circuits; -1: not known
	calls  map[string]*plainCall
	subbed bool
}

type plainCall struct {
	brain.Offered
	tried []int
	sends int
	out   bool
	owed  bool
}

// Even makes a Plain that uses tandems.
func Even(s brain.Settings, seed uint64) (brain.Decider, error) { return newPlain(s, seed, true), nil }

// Direct makes a Plain that never does.
func Direct(s brain.Settings, seed uint64) (brain.Decider, error) {
	return newPlain(s, seed, false), nil
}

func newPlain(s brain.Settings, seed uint64, round bool) *Plain {
	return &Plain{set: s, rng: rand.New(rand.NewPCG(seed, 77)), round: round, free: map[string]int{}, calls: map[string]*plainCall{}}
}

// Handle takes one event and returns what is to be done.
func (p *Plain) Handle(now time.Duration, ev brain.Event) []brain.Action {
	switch e := ev.(type) {
	case brain.Listed:
		return p.listed(e)
	case brain.Probed:
		p.report(e.Host, e.Report)
	case brain.Offered:
		k := &plainCall{Offered: e, owed: true}
		p.calls[e.Call] = k
		return p.place(now, k)
	case brain.Stood:
		if k := p.calls[e.Call]; k != nil {
			k.owed = false
		}
	case brain.Withdrawn:
		if k := p.calls[e.Call]; k != nil {
			k.owed = false
			if !k.out {
				delete(p.calls, e.Call)
			}
		}
	case brain.Settled:
		p.report(e.Host, e.Report)
		k := p.calls[e.Call]
		if k == nil || e.Attempt != k.sends-1 {
			return nil
		}
		k.out = false
		if e.Over || !k.owed {
			delete(p.calls, e.Call)
			return nil
		}
		// After a time-out or reset the call would have to rest: it is given back.
		if e.Result == brain.Full || e.Result == brain.Unused {
			return p.place(now, k)
		}
		delete(p.calls, e.Call)
		return []brain.Action{brain.Fail{Call: e.Call}}
	}
	return nil
}

func (p *Plain) report(host string, r brain.Report) {
	if r.Size >= 0 {
		p.free[host] = r.Free
	}
}

func (p *Plain) listed(e brain.Listed) []brain.Action {
	if e.Failed {
		return nil
	}
	if e.Full {
		p.hosts = nil
	}
	for _, n := range e.Entries {
		p.hosts = slices.DeleteFunc(p.hosts, func(o brain.Entry) bool { return o.Host == n.Host })
		if n.State == brain.Ready {
			p.hosts = append(p.hosts, n)
		}
	}
	slices.SortFunc(p.hosts, func(a, b brain.Entry) int { return a.Number - b.Number })
	if p.set.AskForList && !p.subbed {
		p.subbed = true
		return []brain.Action{brain.Subscribe{}}
	}
	return nil
}

// place sends a call on by a way not tried yet, or refuses it.
func (p *Plain) place(now time.Duration, k *plainCall) []brain.Action {
	var ways []brain.Entry
	for _, h := range p.hosts {
		free, known := p.free[h.Host]
		if h.Number == p.set.Here || slices.Contains(k.tried, h.Number) || known && free < k.Width ||
			h.Started > 0 && now < h.Started+p.set.ColdRamp {
			continue
		}
		if h.Number == k.Dest {
			ways = []brain.Entry{h}
			break
		}
		if p.round && !k.Transit {
			ways = append(ways, h)
		}
	}
	if len(ways) == 0 || k.sends >= p.set.MaxAttempts || now >= k.Expires {
		delete(p.calls, k.Call)
		return []brain.Action{brain.Refuse{Call: k.Call}}
	}
	h := ways[p.rng.IntN(len(ways))]
	k.sends++
	k.out = true
	k.tried = append(k.tried, h.Number)
	return []brain.Action{brain.Send{Call: k.Call, Host: h.Host, Timeout: k.Expires - now}}
}
