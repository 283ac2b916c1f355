package inventory

import (
	"fmt"
	"math"
	"strconv"

	"violetspan.example/violetspan/decide/plan"
)

// pairing is one trunk group, as one or both of its ends list it.
type pairing struct {
	g plan.Group
	place
	ends [2]bool // listed by the end that comes first by name, and by the other
	size place   // of its circuits
}

// number reads a figure from 0 to plan.MaxValue; a missing one is def.
func (r *reader) number(e entry, key string, def float64) float64 {
	text, line := e.at(key)
	if text == "" {
		return def
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > plan.MaxValue {
		r.note(line, key, fmt.Sprintf("%q is not a number from 0 to %g", text, float64(plan.MaxValue)))
		return def
	}
	return x
}

// count reads a whole number that must be there.
func (r *reader) count(e entry, key string, least int) int {
	text, line := e.at(key)
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > plan.MaxCircuits {
		r.note(line, key, fmt.Sprintf("%q is not a whole number from %d to %d", text, least, plan.MaxCircuits))
		return least
	}
	return n
}

// refer reads the name of another entry.
func (r *reader) refer(e entry, key, kind string) string {
	id, line := e.at(key)
	if id == "" {
		r.note(line, key, "missing")
	} else {
		r.refs = append(r.refs, ref{kind, id, key, place{r.file, line}})
	}
	return id
}

// addGroup takes a group with both ends (a, b), or one end's view of it (at, toward).
// Both views of a group must agree.
func (r *reader) addGroup(e entry) {
	_, whole := e.vals["a"]
	_, also := e.vals["b"]
	_, half := e.vals["at"]
	_, too := e.vals["toward"]
	if (whole || also) == (half || too) {
		r.note(e.line, "a", "either a and b, or at and toward, are wanted")
		return
	}
	x, y := "a", "b"
	if half || too {
		x, y = "at", "toward"
	}
	a, b := r.refer(e, x, kindSwitch), r.refer(e, y, kindSwitch)
	_, line := e.at(y)
	if a == "" || b == "" {
		return
	}
	if a == b {
		r.note(line, y, fmt.Sprintf("both ends are %q", a))
		return
	}
	g := plan.Group{A: min(a, b), B: max(a, b), Circuits: r.count(e, "circuits", 0), Cost: r.number(e, "cost", 0)}
	_, sizeLine := e.at("circuits")
	_, costLine := e.at("cost")
	k := [2]string{g.A, g.B}
	end := 0
	if a != g.A {
		end = 1
	}
	was := r.pairs[k]
	switch {
	case was == nil:
		was = &pairing{g: g, place: place{r.file, e.line}, size: place{r.file, sizeLine}}
		r.pairs[k] = was
	case x == "a" || was.ends[0] && was.ends[1] || was.ends[end]:
		r.note(line, y, fmt.Sprintf("the group of %s and %s stands %s already", g.A, g.B, was.on(r.file)))
		return
	case was.g.Circuits != g.Circuits:
		r.note(sizeLine, "circuits", fmt.Sprintf("%d, but the other end has %d %s", g.Circuits, was.g.Circuits, was.size.on(r.file)))
	case was.g.Cost != g.Cost:
		r.note(costLine, "cost", fmt.Sprintf("%g, but the other end has %g %s", g.Cost, was.g.Cost, was.on(r.file)))
	}
	if x == "a" {
		was.ends = [2]bool{true, true}
	} else {
		was.ends[end] = true
	}
}

func (r *reader) addClass(e entry) {
	c := plan.Class{ID: e.id, Width: r.count(e, "width", 1), Hold: r.number(e, "hold_s", 0), Worth: r.number(e, "worth", 1)}
	if _, line := e.at("hold_s"); c.Hold == 0 {
		r.note(line, "hold_s", "above 0 is wanted")
	}
	r.inv.Plan.Classes = append(r.inv.Plan.Classes, c)
}

func (r *reader) addDemand(e entry) {
	d := plan.Demand{Class: r.refer(e, "class", kindClass), From: r.refer(e, "from", kindSwitch), To: r.refer(e, "to", kindSwitch),
		Rate: r.number(e, "calls_per_second", 0), Must: r.number(e, "must_per_second", 0)}
	if id, _ := e.at("tenant"); id != "" {
		d.Tenant = r.refer(e, "tenant", kindTenant)
	}
	if text, line := e.at("calls_per_second"); text == "" {
		r.note(line, "calls_per_second", "missing")
	}
	if _, line := e.at("must_per_second"); d.Must > d.Rate {
		r.note(line, "must_per_second", fmt.Sprintf("%g is more than the %g offered", d.Must, d.Rate))
	}
	if _, line := e.at("to"); d.From == d.To && d.To != "" {
		r.note(line, "to", fmt.Sprintf("both ends are %q", d.To))
	}
	k := [4]string{d.Class, d.From, d.To, d.Tenant}
	if was, twice := r.demands[k]; twice {
		r.note(e.line, "to", fmt.Sprintf("the same class, ends and tenant stand %s already", was.on(r.file)))
		return
	}
	r.demands[k] = place{r.file, e.line}
	r.inv.Plan.Demands = append(r.inv.Plan.Demands, d)
}

// join checks what entries say of each other, once all are read.
func (r *reader) join() {
	for _, f := range r.refs {
		r.file = f.file
		if _, ok := r.ids[f.kind+" "+f.id]; !ok {
			r.note(f.line, f.key, fmt.Sprintf("no %s %q is listed", f.kind, f.id))
		}
	}
	for _, p := range r.pairs {
		r.file = p.file
		if !p.ends[0] || !p.ends[1] {
			r.note(p.line, "at", fmt.Sprintf("the group of %s and %s is listed from one end only", p.g.A, p.g.B))
		}
		r.inv.Plan.Groups = append(r.inv.Plan.Groups, p.g)
	}
	r.sortGroups()
}
