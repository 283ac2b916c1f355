package plan

import (
	"fmt"
	"math"
)

// Verification holds the values that Verify computed.
type Verification struct {
	Worth float64 // of the answer, worth per second, recomputed from its routes
	Bound float64 // upper bound on the worth of any plan, from the answer's prices alone
	Gap   float64 // (Bound - Worth) / max(Bound, minBound)
}

// minBound is the smallest divisor of a relative gap, in worth per second. It keeps rounding
// errors out of the gap of a plan that has almost no worth.
const minBound = 1e-4

// relativeTolerance is the allowed relative error of sums in an answer.
const relativeTolerance = 1e-6

// Verify checks an answer against its problem: every demand adds up, every route exists,
// every load is within its capacity, every required call is carried, and the worth is
// within the relative gap of a bound computed from the answer's prices. It is independent
// of the solver: its only inputs are the problem and the answer. From the rest of this
// package it uses KaufmanRoberts, to check that no planned capacity exceeds what the target
// blocking allows.
//
// The bound is valid for any non-negative prices (weak duality). The worth of a plan is
// the sum over its calls of their worth minus the price of the capacity they use, plus the
// total price of that capacity. The first sum is at most what the best path of each demand
// yields, the second at most price times capacity.
func Verify(p *Problem, a *Answer, gap float64) (*Verification, error) {
	v := &verifier{p: p, classes: map[string]Class{}, switches: map[string]Switch{}, groups: map[pair]Group{},
		loads: map[pair]float64{}, capacities: map[pair]float64{}, prices: map[pair]float64{}, quotas: map[[2]string]*tenantQuota{}}
	for _, c := range p.Classes {
		v.classes[c.ID] = c
	}
	for _, s := range p.Switches {
		v.switches[s.ID] = s
	}
	for _, g := range p.Groups {
		v.groups[pairOf(g.A, g.B)] = g
	}
	if err := v.checkMatches(a); err != nil {
		return nil, err
	}
	v.setMixes(a)
	if err := v.checkCapacities(a); err != nil {
		return nil, err
	}
	v.setQuotas(a)
	if err := v.checkRoutes(a); err != nil {
		return nil, err
	}
	for k, load := range v.loads {
		if load > v.capacities[k]*(1+relativeTolerance)+1e-9 {
			return nil, fmt.Errorf("%s: planned load %g exceeds the capacity of %g", k, load, v.capacities[k])
		}
	}
	result := &Verification{Worth: v.worth, Bound: v.dualBound(a)}
	for _, t := range a.Tenants {
		if q := v.quotas[[2]string{t.Tenant, t.Switch}]; q != nil {
			result.Worth -= (1 - excessWorthFactor) * max(0, q.carried-q.amount)
		}
	}
	result.Gap = (result.Bound - result.Worth) / max(result.Bound, minBound)
	if math.IsNaN(result.Gap) || result.Gap > gap || result.Gap < -relativeTolerance {
		return nil, fmt.Errorf("worth %g against a bound of %g: the gap %.3g is outside 0 to %g", result.Worth, result.Bound, result.Gap, gap)
	}
	return result, nil
}

// String names the group or, if b is empty, the switch.
func (k pair) String() string {
	if k.b == "" {
		return "switch " + k.a
	}
	return "group " + k.a + "-" + k.b
}

// tenantQuota is a tenant's quota at one switch and its carried worth, both in worth per
// second, and the quota's shadow price.
type tenantQuota struct{ amount, carried, price float64 }

// verifier holds a problem, indexed, and what the checks of an answer add up.
type verifier struct {
	p          *Problem
	classes    map[string]Class
	switches   map[string]Switch
	groups     map[pair]Group
	loads      map[pair]float64 // the key of a processor is its switch's ID and ""
	capacities map[pair]float64
	prices     map[pair]float64
	quotas     map[[2]string]*tenantQuota
	mixes      map[pair][]TrafficStream
	totalMix   []TrafficStream
	worth      float64
}

// checkMatches checks that the answer lists each of the problem's demands, groups, switches
// and tenant quotas exactly once. All later sums follow the answer's order, which doesn't
// depend on the order of the input.
func (v *verifier) checkMatches(a *Answer) error {
	type key struct{ class, from, to, tenant string }
	remaining := map[key]Demand{}
	quotas := map[[2]string]bool{}
	for _, d := range v.p.Demands {
		remaining[key{d.Class, d.From, d.To, d.Tenant}] = d
		if d.Tenant != "" {
			quotas[[2]string{d.Tenant, d.From}] = true
		}
	}
	if len(a.Routes) != len(remaining) || len(a.Groups) != len(v.groups) || len(a.Switches) != len(v.switches) || len(a.Tenants) != len(quotas) {
		return fmt.Errorf("the answer is for %d demands, %d groups, %d switches and %d shares, the problem has %d, %d, %d and %d",
			len(a.Routes), len(a.Groups), len(a.Switches), len(a.Tenants), len(remaining), len(v.groups), len(v.switches), len(quotas))
	}
	for _, r := range a.Routes {
		k := key{r.Class, r.From, r.To, r.Tenant}
		if d, ok := remaining[k]; !ok || d != r.Demand {
			return fmt.Errorf("demand %s %s to %s is not in the problem, differs from it, or is listed twice", r.Class, r.From, r.To)
		}
		delete(remaining, k)
	}
	for _, t := range a.Tenants {
		k := [2]string{t.Tenant, t.Switch}
		if !quotas[k] {
			return fmt.Errorf("tenant %s has no share at switch %s, or it is listed twice", t.Tenant, t.Switch)
		}
		delete(quotas, k)
	}
	return nil
}

// checkCapacities stores the answer's capacities and prices, and checks that no capacity
// exceeds what the problem allows.
func (v *verifier) checkCapacities(a *Answer) error {
	for _, l := range a.Groups {
		k := pairOf(l.A, l.B)
		g, ok := v.groups[k]
		if _, duplicate := v.capacities[k]; duplicate || !ok || l.Capacity > float64(g.Circuits) || !(l.Price >= 0) {
			return fmt.Errorf("%s: unknown, listed twice, or invalid capacity %g or price %g", k, l.Capacity, l.Price)
		}
		if v.p.Target > 0 && l.Capacity > 0 && g.Circuits <= maxExactCircuits {
			// A smaller group, too small for one of the classes, may carry more; plannedCapacity
			// allows the larger value.
			b := v.blocking(k, g.Circuits, l.Capacity)
			for _, c := range v.p.Classes {
				if c.Width <= g.Circuits {
					b = min(b, v.blocking(k, c.Width-1, l.Capacity))
				}
			}
			if b > v.p.Target*(1+1e-6) {
				return fmt.Errorf("%s: at a load of %g erlangs the blocking is %.3g, above the target", k, l.Capacity, b)
			}
		}
		v.capacities[k], v.prices[k] = l.Capacity, l.Price
	}
	for _, l := range a.Switches {
		s, ok := v.switches[l.A]
		if _, duplicate := v.capacities[pair{l.A, ""}]; duplicate || !ok || l.Capacity > s.SetUps || !(l.Price >= 0) || s.Phase != Up && l.Capacity > 0 {
			return fmt.Errorf("switch %s: unknown, listed twice, or invalid capacity %g or price %g", l.A, l.Capacity, l.Price)
		}
		v.capacities[pair{l.A, ""}], v.prices[pair{l.A, ""}] = l.Capacity, l.Price
	}
	return nil
}

// setMixes sets the traffic offered between each pair of switches, and that of all demand.
func (v *verifier) setMixes(a *Answer) {
	v.mixes = map[pair][]TrafficStream{}
	for _, r := range a.Routes {
		c := v.classes[r.Class]
		k := pairOf(r.From, r.To)
		e := TrafficStream{c.Width, r.Rate * c.Hold * float64(c.Width)}
		v.mixes[k] = append(v.mixes[k], e)
		v.totalMix = append(v.totalMix, e)
	}
}

// blocking returns the blocking probability of the widest class that fits a group of that
// many circuits, at a load of the planned mix: that of its ends, or of all demand.
func (v *verifier) blocking(k pair, circuits int, load float64) float64 {
	mix, ok := v.mixes[k]
	if !ok {
		mix = v.totalMix
	}
	var streams []TrafficStream
	sum, widest := 0.0, 0
	for _, p := range mix {
		if p.Load > 0 && p.Width <= circuits {
			streams, sum = append(streams, p), sum+p.Load
		}
	}
	if sum == 0 {
		streams, sum = []TrafficStream{{1, 1}}, 1
	}
	for i := range streams {
		streams[i].Load *= load / sum
		if streams[i].Width > streams[widest].Width {
			widest = i
		}
	}
	return KaufmanRoberts(circuits, streams)[widest]
}

// setQuotas computes the tenants' quotas from the offered worth and takes the answer's
// prices for them.
func (v *verifier) setQuotas(a *Answer) {
	offered := map[string]float64{}
	for _, d := range a.Routes {
		offered[d.From] += d.Rate * v.classes[d.Class].Worth
		if d.Tenant != "" {
			v.quotas[[2]string{d.Tenant, d.From}] = &tenantQuota{}
		}
	}
	for _, t := range v.p.Tenants {
		for k, q := range v.quotas {
			if k[0] == t.ID {
				q.amount = t.Share * offered[k[1]]
			}
		}
	}
	for j, t := range a.Tenants {
		if q := v.quotas[[2]string{t.Tenant, t.Switch}]; q != nil && j < len(a.Shares) {
			q.price = min(1-excessWorthFactor, max(0, a.Shares[j]))
		}
	}
}

// usable reports whether calls of class c can be routed directly between two switches:
// both are up, and their group is at least as large as the class is wide.
func (v *verifier) usable(a, b string, c Class) bool {
	g, ok := v.groups[pairOf(a, b)]
	return ok && g.Circuits >= c.Width && v.switches[a].Phase == Up && v.switches[b].Phase == Up
}

// checkRoutes checks each demand's route and adds up loads and worth.
func (v *verifier) checkRoutes(a *Answer) error {
	for _, r := range a.Routes {
		d := r.Demand
		c := v.classes[d.Class]
		invalid := func(what string, x float64) error {
			return fmt.Errorf("demand %s %s to %s: %s %g", r.Class, r.From, r.To, what, x)
		}
		if !(r.Direct >= 0) || r.Direct > 0 && !v.usable(r.From, r.To, c) {
			return invalid("invalid direct rate", r.Direct)
		}
		carried := r.Direct
		v.addLoad(c, r.Direct, r.From, r.To)
		for _, t := range r.Via {
			if !(t.Rate >= 0) || t.Tandem == r.From || t.Tandem == r.To || !v.usable(r.From, t.Tandem, c) || !v.usable(t.Tandem, r.To, c) {
				return invalid("invalid rate via "+t.Tandem, t.Rate)
			}
			carried += t.Rate
			v.addLoad(c, t.Rate, r.From, t.Tandem, r.To)
		}
		if !(r.Lost >= 0) || math.Abs(carried+r.Lost-d.Rate) > relativeTolerance*d.Rate {
			return invalid("carried and lost rates add up to", carried+r.Lost)
		}
		if carried < d.Must*(1-10*relativeTolerance) {
			return invalid("carries less than required:", carried)
		}
		v.worth += carried * c.Worth
		if q := v.quotas[[2]string{d.Tenant, d.From}]; q != nil {
			q.carried += carried * c.Worth
		}
	}
	return nil
}

// addLoad adds the load of calls of class c along a route of switches.
func (v *verifier) addLoad(c Class, rate float64, route ...string) {
	for i, s := range route {
		v.loads[pair{s, ""}] += rate
		if i > 0 {
			v.loads[pairOf(route[i-1], s)] += rate * c.Hold * float64(c.Width)
		}
	}
}

// dualBound returns the upper bound on the worth of any plan that follows from the prices.
func (v *verifier) dualBound(a *Answer) float64 {
	sum := 0.0
	for _, l := range a.Groups {
		sum += l.Price * l.Capacity
	}
	for _, l := range a.Switches {
		sum += l.Price * l.Capacity
	}
	for _, t := range a.Tenants {
		q := v.quotas[[2]string{t.Tenant, t.Switch}]
		sum += q.price * q.amount
	}
	processorPrice := func(s string) float64 { return v.prices[pair{s, ""}] }
	for _, r := range a.Routes {
		d := r.Demand
		c := v.classes[d.Class]
		leg := func(a, b string) float64 {
			if !v.usable(a, b, c) || v.capacities[pairOf(a, b)] <= 0 || v.capacities[pair{a, ""}] <= 0 || v.capacities[pair{b, ""}] <= 0 {
				return math.Inf(1)
			}
			return v.prices[pairOf(a, b)] * c.Hold * float64(c.Width)
		}
		minPrice := leg(d.From, d.To)
		for _, t := range v.p.Switches {
			if t.ID != d.From && t.ID != d.To {
				minPrice = min(minPrice, leg(d.From, t.ID)+leg(t.ID, d.To)+processorPrice(t.ID))
			}
		}
		if math.IsInf(minPrice, 1) {
			continue // the demand has no path
		}
		netWorth := c.Worth - minPrice - processorPrice(d.From) - processorPrice(d.To)
		if q := v.quotas[[2]string{d.Tenant, d.From}]; q != nil {
			netWorth -= q.price * c.Worth
		}
		sum += max(netWorth*d.Rate, netWorth*d.Must)
	}
	return sum
}
