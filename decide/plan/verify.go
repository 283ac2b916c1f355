package plan

import (
	"fmt"
	"math"
)

// Verification is what the verifier found.
type Verification struct {
	Worth float64 // of the answer, added up anew
	Bound float64 // that no plan exceeds, from the answer's prices alone
	Gap   float64 // (Bound - Worth) / Bound
}

// nothing is the worth a second below which a gap is not looked at.
const nothing = 1e-4

// slackness is the relative error allowed in sums of the answer.
const slackness = 1e-6

// Verify checks an answer against its problem: that every demand adds up, every
// way exists, every load fits and every must is carried; and that its worth is
// within gap of a bound computed from its prices. It has nothing from the solver but
// the answer; of this package it uses KaufmanRoberts, to see that no capacity is
// above what blocking allows.
//
// The bound holds for any prices that are not negative (weak duality): a plan
// earns for each call its worth less the price of what it uses, plus that price;
// the first is at most the best path's, the second at most price times capacity.
func Verify(p *Problem, a *Answer, gap float64) (*Verification, error) {
	v := &verifier{p: p, classes: map[string]Class{}, switches: map[string]Switch{}, groups: map[pair]Group{},
		loads: map[pair]float64{}, caps: map[pair]float64{}, prices: map[pair]float64{}, quota: map[[2]string]*share{}}
	for _, c := range p.Classes {
		v.classes[c.ID] = c
	}
	for _, s := range p.Switches {
		v.switches[s.ID] = s
	}
	for _, g := range p.Groups {
		v.groups[pairOf(g.A, g.B)] = g
	}
	if err := v.same(a); err != nil {
		return nil, err
	}
	v.mixes(a)
	if err := v.capacities(a); err != nil {
		return nil, err
	}
	v.shares(a)
	if err := v.routes(a); err != nil {
		return nil, err
	}
	for k, load := range v.loads {
		if load > v.caps[k]*(1+slackness)+1e-9 {
			return nil, fmt.Errorf("%s is planned to carry %g of %g", k, load, v.caps[k])
		}
	}
	proof := &Verification{Worth: v.worth, Bound: v.bound(a)}
	for _, t := range a.Tenants {
		if q := v.quota[[2]string{t.Tenant, t.Switch}]; q != nil {
			proof.Worth -= (1 - beyondShare) * max(0, q.carried-q.amount)
		}
	}
	proof.Gap = (proof.Bound - proof.Worth) / max(proof.Bound, nothing)
	if math.IsNaN(proof.Gap) || proof.Gap > gap || proof.Gap < -slackness {
		return nil, fmt.Errorf("worth %g against a bound of %g: the gap %.3g is outside 0 to %g", proof.Worth, proof.Bound, proof.Gap, gap)
	}
	return proof, nil
}

func (k pair) String() string {
	if k.b == "" {
		return "switch " + k.a
	}
	return "group " + k.a + "-" + k.b
}

type share struct{ amount, carried, price float64 }

type verifier struct {
	p        *Problem
	classes  map[string]Class
	switches map[string]Switch
	groups   map[pair]Group
	loads    map[pair]float64 // a switch has its id as a and no b
	caps     map[pair]float64
	prices   map[pair]float64
	quota    map[[2]string]*share
	mix      map[pair][]TrafficStream
	all      []TrafficStream
	worth    float64
}

// same says whether the answer is for this problem's demands, groups, switches and
// shares, each once. All sums go by the answer's order, which the input's does
// not change.
func (v *verifier) same(a *Answer) error {
	type key struct{ class, from, to, tenant string }
	left := map[key]Demand{}
	quotas := map[[2]string]bool{}
	for _, d := range v.p.Demands {
		left[key{d.Class, d.From, d.To, d.Tenant}] = d
		if d.Tenant != "" {
			quotas[[2]string{d.Tenant, d.From}] = true
		}
	}
	if len(a.Routes) != len(left) || len(a.Groups) != len(v.groups) || len(a.Switches) != len(v.switches) || len(a.Tenants) != len(quotas) {
		return fmt.Errorf("the answer is for %d demands, %d groups, %d switches and %d shares, the problem has %d, %d, %d and %d",
			len(a.Routes), len(a.Groups), len(a.Switches), len(a.Tenants), len(left), len(v.groups), len(v.switches), len(quotas))
	}
	for _, r := range a.Routes {
		k := key{r.Class, r.From, r.To, r.Tenant}
		if d, ok := left[k]; !ok || d != r.Demand {
			return fmt.Errorf("demand %s %s to %s is not the problem's", r.Class, r.From, r.To)
		}
		delete(left, k)
	}
	for _, t := range a.Tenants {
		k := [2]string{t.Tenant, t.Switch}
		if !quotas[k] {
			return fmt.Errorf("tenant %s has no share at switch %s", t.Tenant, t.Switch)
		}
		delete(quotas, k)
	}
	return nil
}

// capacities takes those of the answer, none above what the problem allows.
func (v *verifier) capacities(a *Answer) error {
	for _, l := range a.Groups {
		k := pairOf(l.A, l.B)
		g, ok := v.groups[k]
		if _, twice := v.caps[k]; twice || !ok || l.Capacity > float64(g.Circuits) || !(l.Price >= 0) {
			return fmt.Errorf("%s: capacity %g or price %g can't be", k, l.Capacity, l.Price)
		}
		if v.p.Target > 0 && l.Capacity > 0 && g.Circuits <= exactCircuits {
			// As a smaller group, where a class would not fit, it may carry more.
			b := v.blocking(k, g.Circuits, l.Capacity)
			for _, c := range v.p.Classes {
				if c.Width <= g.Circuits {
					b = min(b, v.blocking(k, c.Width-1, l.Capacity))
				}
			}
			if b > v.p.Target*(1+1e-6) {
				return fmt.Errorf("%s: at %g erlangs %.3g are blocked", k, l.Capacity, b)
			}
		}
		v.caps[k], v.prices[k] = l.Capacity, l.Price
	}
	for _, l := range a.Switches {
		s, ok := v.switches[l.A]
		if _, twice := v.caps[pair{l.A, ""}]; twice || !ok || l.Capacity > s.SetUps || !(l.Price >= 0) || s.Phase != Up && l.Capacity > 0 {
			return fmt.Errorf("switch %s: capacity %g or price %g can't be", l.A, l.Capacity, l.Price)
		}
		v.caps[pair{l.A, ""}], v.prices[pair{l.A, ""}] = l.Capacity, l.Price
	}
	return nil
}

// mix is the planned mix of classes of a group: the pair's own, or all demand's.
func (v *verifier) mixes(a *Answer) {
	v.mix = map[pair][]TrafficStream{}
	for _, r := range a.Routes {
		c := v.classes[r.Class]
		k := pairOf(r.From, r.To)
		e := TrafficStream{c.Width, r.Rate * c.Hold * float64(c.Width)}
		v.mix[k] = append(v.mix[k], e)
		v.all = append(v.all, e)
	}
}

// blocking is that of the widest class that fits at a load of the planned mix.
func (v *verifier) blocking(k pair, circuits int, load float64) float64 {
	mix, own := v.mix[k]
	if !own {
		mix = v.all
	}
	var parts []TrafficStream
	sum, widest := 0.0, 0
	for _, p := range mix {
		if p.Load > 0 && p.Width <= circuits {
			parts, sum = append(parts, p), sum+p.Load
		}
	}
	if sum == 0 {
		parts, sum = []TrafficStream{{1, 1}}, 1
	}
	for i := range parts {
		parts[i].Load *= load / sum
		if parts[i].Width > parts[widest].Width {
			widest = i
		}
	}
	return KaufmanRoberts(circuits, parts)[widest]
}

func (v *verifier) shares(a *Answer) {
	offered := map[string]float64{}
	for _, d := range a.Routes {
		offered[d.From] += d.Rate * v.classes[d.Class].Worth
		if d.Tenant != "" {
			v.quota[[2]string{d.Tenant, d.From}] = &share{}
		}
	}
	for _, t := range v.p.Tenants {
		for k, q := range v.quota {
			if k[0] == t.ID {
				q.amount = t.Share * offered[k[1]]
			}
		}
	}
	for j, t := range a.Tenants {
		if q := v.quota[[2]string{t.Tenant, t.Switch}]; q != nil && j < len(a.Shares) {
			q.price = min(1-beyondShare, max(0, a.Shares[j]))
		}
	}
}

// open says whether a class may cross between two switches that are up.
func (v *verifier) open(a, b string, c Class) bool {
	g, ok := v.groups[pairOf(a, b)]
	return ok && g.Circuits >= c.Width && v.switches[a].Phase == Up && v.switches[b].Phase == Up
}

func (v *verifier) routes(a *Answer) error {
	for _, r := range a.Routes {
		d := r.Demand
		c := v.classes[d.Class]
		bad := func(what string, x float64) error {
			return fmt.Errorf("demand %s %s to %s: %s %g", r.Class, r.From, r.To, what, x)
		}
		if !(r.Direct >= 0) || r.Direct > 0 && !v.open(r.From, r.To, c) {
			return bad("direct", r.Direct)
		}
		carried := r.Direct
		v.use(c, r.Direct, r.From, r.To)
		for _, t := range r.Via {
			if !(t.Rate >= 0) || t.Tandem == r.From || t.Tandem == r.To || !v.open(r.From, t.Tandem, c) || !v.open(t.Tandem, r.To, c) {
				return bad("by "+t.Tandem, t.Rate)
			}
			carried += t.Rate
			v.use(c, t.Rate, r.From, t.Tandem, r.To)
		}
		if !(r.Lost >= 0) || math.Abs(carried+r.Lost-d.Rate) > slackness*d.Rate {
			return bad("adds up to", carried+r.Lost)
		}
		if carried < d.Must*(1-10*slackness) {
			return bad("must carry more than", carried)
		}
		v.worth += carried * c.Worth
		if q := v.quota[[2]string{d.Tenant, d.From}]; q != nil {
			q.carried += carried * c.Worth
		}
	}
	return nil
}

func (v *verifier) use(c Class, rate float64, way ...string) {
	for i, s := range way {
		v.loads[pair{s, ""}] += rate
		if i > 0 {
			v.loads[pairOf(way[i-1], s)] += rate * c.Hold * float64(c.Width)
		}
	}
}

// bound is what no plan can earn more than, by the prices.
func (v *verifier) bound(a *Answer) float64 {
	sum := 0.0
	for _, l := range a.Groups {
		sum += l.Price * l.Capacity
	}
	for _, l := range a.Switches {
		sum += l.Price * l.Capacity
	}
	for _, t := range a.Tenants {
		q := v.quota[[2]string{t.Tenant, t.Switch}]
		sum += q.price * q.amount
	}
	proc := func(s string) float64 { return v.prices[pair{s, ""}] }
	for _, r := range a.Routes {
		d := r.Demand
		c := v.classes[d.Class]
		leg := func(a, b string) float64 {
			if !v.open(a, b, c) || v.caps[pairOf(a, b)] <= 0 || v.caps[pair{a, ""}] <= 0 || v.caps[pair{b, ""}] <= 0 {
				return math.Inf(1)
			}
			return v.prices[pairOf(a, b)] * c.Hold * float64(c.Width)
		}
		least := leg(d.From, d.To)
		for _, t := range v.p.Switches {
			if t.ID != d.From && t.ID != d.To {
				least = min(least, leg(d.From, t.ID)+leg(t.ID, d.To)+proc(t.ID))
			}
		}
		if math.IsInf(least, 1) {
			continue // it has no way
		}
		gain := c.Worth - least - proc(d.From) - proc(d.To)
		if q := v.quota[[2]string{d.Tenant, d.From}]; q != nil {
			gain -= q.price * c.Worth
		}
		sum += max(gain*d.Rate, gain*d.Must)
	}
	return sum
}
