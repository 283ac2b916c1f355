// Package plan works out ahead of time how the calls of a mesh are best carried:
// for each class and ordered pair of switches the share that goes direct, by each
// tandem and not at all, for each tenant the share admitted, and for each group
// and processor what one more unit is worth. docs/plan.md states the program.
//
// It does no I/O, has no clock and starts no goroutine. All functions may be
// called by several goroutines at once, as nothing is shared or changed.
//
// Units: times in seconds, rates in calls a second, loads of groups in erlangs of
// circuits, loads of processors in set-ups a second, worth as the classes give it.
package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Bounds of a problem. A figure is finite, at least 0 and at most MaxValue.
const (
	MaxSwitches = 128
	MaxClasses  = 16
	MaxTenants  = 64
	MaxDemands  = 1 << 16
	MaxCircuits = 1_000_000
	MaxValue    = 1e9
)

// beyondShare is what worth beyond a tenant's share counts.
const beyondShare = 0.1

// Phase is what a switch may be planned for.
type Phase uint8

// The phases of a switch. Nothing is planned from, over or to one that is not Up.
const (
	Up Phase = iota
	Draining
	Removed
)

// Class is a class of call.
type Class struct {
	ID    string
	Width int     // circuits on each group, 1 or more
	Hold  float64 // mean, seconds, above 0
	Worth float64 // of one call
}

// Switch is an exchange with its processor.
type Switch struct {
	ID     string
	Yard   string
	SetUps float64 // calls a second that its processor bears, own, incoming and in transit
	Phase  Phase
}

// Group is a trunk group between two switches, used from both ends.
type Group struct {
	A, B     string
	Circuits int
	Cost     float64 // of one circuit, for each erlang carried
}

// Demand is what is offered of a class from one switch to another.
type Demand struct {
	Class, From, To string
	Tenant          string  // "": none, and no share is counted
	Rate            float64 // calls/s
	Must            float64 // calls/s of Rate that must be carried
}

// Tenant has a share of the worth that is offered at each switch. Worth beyond it
// counts a tenth.
type Tenant struct {
	ID    string
	Share float64 // 0 to 1
}

// Costs of routes, for each call a second, and of capacity for enlargements.
type Costs struct {
	Tandem float64 // of a call that goes by a tandem
	Yard   float64 // of each leg between two yards
	SetUp  float64 // of one set-up a second more at a processor; 0 counts as 1
}

// Problem is what is to be planned. The order of its lists has no meaning.
type Problem struct {
	Classes  []Class
	Switches []Switch
	Groups   []Group
	Demands  []Demand
	Tenants  []Tenant
	Costs    Costs
	// Target is the blocking of the widest class at which a group counts as full;
	// 0 counts every circuit, as if calls could be fitted without gaps.
	Target float64
}

// FieldError is a figure or name that a problem may not have.
type FieldError struct {
	List   string // "classes", "switches", "groups", "demands", "tenants", "costs" or "target"
	Index  int    // place in that list, from 0
	Key    string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("plan: %s[%d]: key %s: %s", e.List, e.Index, e.Key, e.Reason)
}

// Errors that callers tell apart.
var (
	ErrStopped    = errors.New("plan: stopped before an answer was found")
	ErrUnverified = errors.New("plan: the answer failed its verification")
)

func figure(list string, i int, key string, v float64) error {
	if math.IsNaN(v) || v < 0 || v > MaxValue {
		return &FieldError{list, i, key, fmt.Sprintf("%v is not a figure from 0 to %g", v, float64(MaxValue))}
	}
	return nil
}

// pair is the two ends of a group in the order of their names.
type pair struct{ a, b string }

func pairOf(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Check returns every fault of a problem, each a *FieldError.
func (p *Problem) Check() []error {
	var errs []error
	add := func(list string, i int, key, format string, args ...any) {
		errs = append(errs, &FieldError{list, i, key, fmt.Sprintf(format, args...)})
	}
	fig := func(list string, i int, key string, v float64) {
		if err := figure(list, i, key, v); err != nil {
			errs = append(errs, err)
		}
	}
	for _, n := range []struct {
		list     string
		len, max int
	}{{"classes", len(p.Classes), MaxClasses}, {"switches", len(p.Switches), MaxSwitches},
		{"groups", len(p.Groups), MaxSwitches * MaxSwitches}, {"demands", len(p.Demands), MaxDemands}, {"tenants", len(p.Tenants), MaxTenants}} {
		if n.len > n.max {
			add(n.list, n.max, "name", "more than %d", n.max)
			return errs // the rest would be as long
		}
	}
	named := func(list string, i int, id string, seen map[string]int) {
		if id == "" {
			add(list, i, "name", "missing")
		} else if was, twice := seen[id]; twice {
			add(list, i, "name", "%q stands at %d already", id, was)
		} else {
			seen[id] = i
		}
	}
	classes, switches, tenants := map[string]int{}, map[string]int{}, map[string]int{}
	for i, c := range p.Classes {
		named("classes", i, c.ID, classes)
		if c.Width < 1 || c.Width > MaxCircuits {
			add("classes", i, "width", "%d is not from 1 to %d", c.Width, MaxCircuits)
		}
		if fig("classes", i, "hold_s", c.Hold); c.Hold == 0 {
			add("classes", i, "hold_s", "0: a call lasts longer")
		}
		fig("classes", i, "worth", c.Worth)
	}
	for i, s := range p.Switches {
		named("switches", i, s.ID, switches)
		fig("switches", i, "set_ups_per_second", s.SetUps)
		if s.Phase > Removed {
			add("switches", i, "status", "%d is no phase", s.Phase)
		}
	}
	groups := map[pair]int{}
	for i, g := range p.Groups {
		for _, e := range []struct{ key, id string }{{"a", g.A}, {"b", g.B}} {
			if _, ok := switches[e.id]; !ok {
				add("groups", i, e.key, "%q is no switch", e.id)
			}
		}
		if g.A == g.B {
			add("groups", i, "b", "both ends are %q", g.A)
		}
		if was, twice := groups[pairOf(g.A, g.B)]; twice {
			add("groups", i, "b", "%s and %s have a group at %d already", g.A, g.B, was)
		}
		groups[pairOf(g.A, g.B)] = i
		if g.Circuits < 0 || g.Circuits > MaxCircuits {
			add("groups", i, "circuits", "%d is not from 0 to %d", g.Circuits, MaxCircuits)
		}
		fig("groups", i, "cost", g.Cost)
	}
	for i, t := range p.Tenants {
		named("tenants", i, t.ID, tenants)
		if !(t.Share >= 0 && t.Share <= 1) {
			add("tenants", i, "share", "%v is not from 0 to 1", t.Share)
		}
	}
	type key struct{ class, from, to, tenant string }
	demands := map[key]int{}
	for i, d := range p.Demands {
		for _, e := range []struct {
			key, id string
			in      map[string]int
		}{{"class", d.Class, classes}, {"from", d.From, switches}, {"to", d.To, switches}} {
			if _, ok := e.in[e.id]; !ok {
				add("demands", i, e.key, "%q is not known", e.id)
			}
		}
		if _, ok := tenants[d.Tenant]; !ok && d.Tenant != "" {
			add("demands", i, "tenant", "%q is not known", d.Tenant)
		}
		if d.From == d.To {
			add("demands", i, "to", "both ends are %q", d.From)
		}
		k := key{d.Class, d.From, d.To, d.Tenant}
		if was, twice := demands[k]; twice {
			add("demands", i, "to", "the same class, ends and tenant stand at %d already", was)
		}
		demands[k] = i
		fig("demands", i, "calls_per_second", d.Rate)
		if fig("demands", i, "must", d.Must); d.Must > d.Rate {
			add("demands", i, "must", "%v is more than the %v offered", d.Must, d.Rate)
		}
	}
	fig("costs", 0, "tandem", p.Costs.Tandem)
	fig("costs", 0, "yard", p.Costs.Yard)
	fig("costs", 0, "set_up", p.Costs.SetUp)
	if !(p.Target >= 0 && p.Target < 1) {
		add("target", 0, "blocking", "%v is not from 0 to 1", p.Target)
	}
	return errs
}

// sorted returns a copy with every list in the order of its names, so that the
// order of the input decides nothing, not even the last bit of a sum.
func (p *Problem) sorted() *Problem {
	q := *p
	q.Classes, q.Switches, q.Groups = slices.Clone(p.Classes), slices.Clone(p.Switches), slices.Clone(p.Groups)
	q.Demands, q.Tenants = slices.Clone(p.Demands), slices.Clone(p.Tenants)
	slices.SortFunc(q.Classes, func(a, b Class) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(q.Switches, func(a, b Switch) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(q.Tenants, func(a, b Tenant) int { return cmp.Compare(a.ID, b.ID) })
	for i, g := range q.Groups {
		q.Groups[i].A, q.Groups[i].B = min(g.A, g.B), max(g.A, g.B)
	}
	slices.SortFunc(q.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B))
	})
	slices.SortFunc(q.Demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return &q
}

// Via is the part of a demand that goes by one tandem.
type Via struct {
	Tandem string
	Rate   float64 // calls/s
}

// Route is how one demand is carried. Direct, Via and Lost add up to Rate.
type Route struct {
	Demand
	Direct float64
	Via    []Via // by the tandem's name; those that get nothing are left out
	Lost   float64
}

// Admit is what is admitted of one tenant's worth at one switch.
type Admit struct {
	Tenant, Switch string
	Offered        float64 // worth a second
	Quota          float64 // its share of all worth offered at the switch
	Admitted       float64 // worth a second that is carried, within the quota or beyond
}

// Load is how full a group (both A and B) or a processor (A alone) is planned.
type Load struct {
	A, B     string
	Load     float64 // erlangs of circuits, or set-ups a second
	Capacity float64 // in the same unit, after the discount for blocking
	Price    float64 // worth a second of one more unit of Capacity
	One      float64 // worth a second of one more circuit, or one more set-up a second
}

// Answer is a plan. All lists are in the order of their names.
type Answer struct {
	Routes    []Route
	Tenants   []Admit
	Groups    []Load
	Switches  []Load
	Shares    []float64 // price of each of Tenants' quota: worth for each unit of it
	Worth     float64   // worth a second, what lies beyond shares at a tenth
	Bound     float64   // no plan is worth more
	Gap       float64   // (Bound - Worth) / Bound
	Cost      float64   // of routes and circuits, a second
	Roughness float64   // sum of squared use of groups and processors, weighted by size; see docs/plan.md
	Steps     int       // of the solver, all objectives
	Stages    int       // objectives that were carried out, of 3; the last holds evenness and canon
	StageErr  error     `json:"-"` // why the further ones were not, if Stages is below 3
}
