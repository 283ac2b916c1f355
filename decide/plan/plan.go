// Package plan computes in advance how the calls of a mesh are best carried: for
// each class and ordered pair of switches the rates that are routed direct, via each
// tandem and not at all; for each tenant the admitted worth; and for each trunk group
// and processor the worth of one more unit of capacity. docs/plan.md gives the
// mathematical program.
//
// The package does no I/O, reads no clock and starts no goroutine. All functions are
// safe for concurrent use, since they share no state and don't modify their arguments.
//
// Units: times in seconds, rates in calls/s, loads of groups in erlangs of circuits,
// loads of processors in set-ups/s, worth in the unit that the classes use.
package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Limits of a problem. Every rate, cost and worth is from 0 to MaxValue.
const (
	MaxSwitches = 128
	MaxClasses  = 16
	MaxTenants  = 64
	MaxDemands  = 1 << 16
	MaxCircuits = 1_000_000
	MaxValue    = 1e9
)

// excessWorthFactor weights the worth that is carried beyond a tenant's share.
const excessWorthFactor = 0.1

// Phase says whether a switch may carry planned calls.
type Phase uint8

// Phases of a switch. Only a switch that is Up is planned as an origin, a tandem or a
// destination.
const (
	Up Phase = iota
	Draining
	Removed
)

// Class is a class of call.
type Class struct {
	ID    string
	Width int     // circuits that a call takes on each group, at least 1
	Hold  float64 // mean holding time, seconds, above 0
	Worth float64 // of one call
}

// Switch is an exchange with its processor.
type Switch struct {
	ID     string
	Yard   string
	SetUps float64 // processor capacity in set-ups/s: originating, terminating and transit calls
	Phase  Phase
}

// Group is a trunk group between two switches; either end may seize its circuits.
type Group struct {
	A, B     string
	Circuits int
	Cost     float64 // for each erlang carried
}

// Demand is the offered traffic of one class from one switch to another.
type Demand struct {
	Class, From, To string
	Tenant          string  // "": no tenant, and no share applies
	Rate            float64 // calls/s
	Must            float64 // calls/s of Rate that must be carried
}

// Tenant is entitled to a share of the worth that is offered at each switch. Worth
// carried beyond that share counts a tenth.
type Tenant struct {
	ID    string
	Share float64 // 0 to 1
}

// Costs are the costs of routes, for each call/s, and of added processor capacity.
type Costs struct {
	Tandem float64 // of a call via a tandem
	Yard   float64 // of each leg between different yards
	SetUp  float64 // of one more set-up/s of processor capacity; 0 counts as 1
}

// Problem is the input of Solve. The order of its lists has no effect.
type Problem struct {
	Classes  []Class
	Switches []Switch
	Groups   []Group
	Demands  []Demand
	Tenants  []Tenant
	Costs    Costs
	// Target is the blocking probability of the widest class at which a group counts
	// as full. With 0 every circuit counts, as if calls filled a group without gaps.
	Target float64
}

// FieldError reports an invalid value or name in a problem.
type FieldError struct {
	List   string // "classes", "switches", "groups", "demands", "tenants", "costs" or "target"
	Index  int    // index in that list, from 0
	Key    string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("plan: %s[%d]: key %s: %s", e.List, e.Index, e.Key, e.Reason)
}

// Errors that callers distinguish. ErrStopped is returned when Options.Stop returned
// true.
var (
	ErrStopped    = errors.New("plan: stopped before an answer was found")
	ErrUnverified = errors.New("plan: the answer failed verification")
)

// checkValue returns a *FieldError unless v is from 0 to MaxValue.
func checkValue(list string, i int, key string, v float64) error {
	if math.IsNaN(v) || v < 0 || v > MaxValue {
		return &FieldError{list, i, key, fmt.Sprintf("%v is not a number from 0 to %g", v, float64(MaxValue))}
	}
	return nil
}

// pair holds the IDs of a group's two ends in alphabetical order. As a key, a processor
// is the pair of its switch's ID and "".
type pair struct{ a, b string }

func pairOf(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Check returns all faults of a problem, each as a *FieldError. It returns after the
// first list that has too many entries.
func (p *Problem) Check() []error {
	var errs []error
	add := func(list string, i int, key, format string, args ...any) {
		errs = append(errs, &FieldError{list, i, key, fmt.Sprintf(format, args...)})
	}
	value := func(list string, i int, key string, v float64) {
		if err := checkValue(list, i, key, v); err != nil {
			errs = append(errs, err)
		}
	}
	for _, n := range []struct {
		list     string
		len, max int
	}{{"classes", len(p.Classes), MaxClasses}, {"switches", len(p.Switches), MaxSwitches},
		{"groups", len(p.Groups), MaxSwitches * MaxSwitches}, {"demands", len(p.Demands), MaxDemands}, {"tenants", len(p.Tenants), MaxTenants}} {
		if n.len > n.max {
			add(n.list, n.max, "name", "more than %d entries", n.max)
			return errs // avoids one error for each entry of an oversized list
		}
	}
	checkName := func(list string, i int, id string, seen map[string]int) {
		if id == "" {
			add(list, i, "name", "missing")
		} else if first, duplicate := seen[id]; duplicate {
			add(list, i, "name", "%q is already used at index %d", id, first)
		} else {
			seen[id] = i
		}
	}
	classes, switches, tenants := map[string]int{}, map[string]int{}, map[string]int{}
	for i, c := range p.Classes {
		checkName("classes", i, c.ID, classes)
		if c.Width < 1 || c.Width > MaxCircuits {
			add("classes", i, "width", "%d is not from 1 to %d", c.Width, MaxCircuits)
		}
		if value("classes", i, "hold_s", c.Hold); c.Hold == 0 {
			add("classes", i, "hold_s", "0: must be above 0")
		}
		value("classes", i, "worth", c.Worth)
	}
	for i, s := range p.Switches {
		checkName("switches", i, s.ID, switches)
		value("switches", i, "set_ups_per_second", s.SetUps)
		if s.Phase > Removed {
			add("switches", i, "status", "%d is not a valid phase", s.Phase)
		}
	}
	groups := map[pair]int{}
	for i, g := range p.Groups {
		for _, e := range []struct{ key, id string }{{"a", g.A}, {"b", g.B}} {
			if _, ok := switches[e.id]; !ok {
				add("groups", i, e.key, "%q is not a switch", e.id)
			}
		}
		if g.A == g.B {
			add("groups", i, "b", "both ends are %q", g.A)
		}
		if first, duplicate := groups[pairOf(g.A, g.B)]; duplicate {
			add("groups", i, "b", "%s and %s already have a group at index %d", g.A, g.B, first)
		}
		groups[pairOf(g.A, g.B)] = i
		if g.Circuits < 0 || g.Circuits > MaxCircuits {
			add("groups", i, "circuits", "%d is not from 0 to %d", g.Circuits, MaxCircuits)
		}
		value("groups", i, "cost", g.Cost)
	}
	for i, t := range p.Tenants {
		checkName("tenants", i, t.ID, tenants)
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
		if first, duplicate := demands[k]; duplicate {
			add("demands", i, "to", "the entry at index %d has the same class, ends and tenant", first)
		}
		demands[k] = i
		value("demands", i, "calls_per_second", d.Rate)
		if value("demands", i, "must", d.Must); d.Must > d.Rate {
			add("demands", i, "must", "%v exceeds the offered %v", d.Must, d.Rate)
		}
	}
	value("costs", 0, "tandem", p.Costs.Tandem)
	value("costs", 0, "yard", p.Costs.Yard)
	value("costs", 0, "set_up", p.Costs.SetUp)
	if !(p.Target >= 0 && p.Target < 1) {
		add("target", 0, "blocking", "%v is not at least 0 and below 1", p.Target)
	}
	return errs
}

// sorted returns a copy with every list sorted by name, so that the order of the input
// affects nothing, not even the last bit of a sum.
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

// Via is the part of a demand that is routed via one tandem.
type Via struct {
	Tandem string
	Rate   float64 // calls/s
}

// Route says how one demand is carried. Direct, the rates of Via, and Lost add up to
// the demand's Rate; all are in calls/s.
type Route struct {
	Demand
	Direct float64
	Via    []Via // sorted by tandem; tandems without calls are omitted
	Lost   float64
}

// Admit is the admitted worth of one tenant at one switch.
type Admit struct {
	Tenant, Switch string
	Offered        float64 // worth per second
	Quota          float64 // the tenant's share of all worth offered at the switch, worth per second
	Admitted       float64 // worth per second that is carried, within and beyond the quota
}

// Load is the planned load of a group (A and B are its ends) or of a processor (A is
// its switch, B is empty).
type Load struct {
	A, B     string
	Load     float64 // erlangs of circuits, or set-ups/s
	Capacity float64 // in the same unit; for a group, reduced to meet the target blocking
	Price    float64 // shadow price: worth per second of one more unit of Capacity
	One      float64 // worth per second of one more circuit, or of one more set-up/s
}

// Answer is a plan. All lists are sorted by name.
type Answer struct {
	Routes    []Route
	Tenants   []Admit
	Groups    []Load
	Switches  []Load
	Shares    []float64 // shadow price of each quota in Tenants: worth for each unit of quota
	Worth     float64   // worth per second; worth beyond the tenants' shares counts a tenth
	Bound     float64   // upper bound on the worth of any plan
	Gap       float64   // (Bound - Worth) / max(Bound, minBound)
	Cost      float64   // cost per second of routes and carried erlangs
	Roughness float64   // sum of squared utilization of groups and processors, weighted by capacity; see docs/plan.md
	Steps     int       // interior-point iterations, all objectives
	Stages    int       // objectives that were optimized, of 3: worth, cost, and evenness with least squares
	StageErr  error     `json:"-"` // why the later objectives were not optimized, if Stages is below 3
}
