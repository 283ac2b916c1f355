package inventory

import (
	"fmt"
	"math"
	"strconv"

	"violetspan.example/violetspan/decide/plan"
)

// groupEntry is a trunk group and the ends that have listed it.
type groupEntry struct {
	group plan.Group
	position
	listedBy   [2]bool  // whether each end, in the order of their names, has listed it
	circuitsAt position // where its circuits are given
}

// readNumber reads a number from 0 to plan.MaxValue; def is the default.
func (r *reader) readNumber(e entry, key string, def float64) float64 {
	text, line := e.lookup(key)
	if text == "" {
		return def
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > plan.MaxValue {
		r.addKeyError(line, key, fmt.Sprintf("%q is not a number from 0 to %g", text, float64(plan.MaxValue)))
		return def
	}
	return x
}

// readCount reads a required whole number from minimum to plan.MaxCircuits.
func (r *reader) readCount(e entry, key string, minimum int) int {
	text, line := e.lookup(key)
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > plan.MaxCircuits {
		r.addKeyError(line, key, fmt.Sprintf("%q is not a whole number from %d to %d", text, minimum, plan.MaxCircuits))
		return minimum
	}
	return n
}

// readReference reads the required name of another entry and records it for resolve.
func (r *reader) readReference(e entry, key, kind string) string {
	id, line := e.lookup(key)
	if id == "" {
		r.addKeyError(line, key, "missing")
	} else {
		r.references = append(r.references, reference{kind, id, key, position{r.file, line}})
	}
	return id
}

// addGroup adds a group that is listed once with both ends (a, b), or by each end
// separately (at, toward). In the second case both entries must agree.
func (r *reader) addGroup(e entry) {
	_, hasA := e.values["a"]
	_, hasB := e.values["b"]
	_, hasAt := e.values["at"]
	_, hasToward := e.values["toward"]
	if (hasA || hasB) == (hasAt || hasToward) {
		r.addKeyError(e.line, "a", "either a and b, or at and toward, are wanted")
		return
	}
	firstKey, secondKey := "a", "b"
	if hasAt || hasToward {
		firstKey, secondKey = "at", "toward"
	}
	a, b := r.readReference(e, firstKey, kindSwitch), r.readReference(e, secondKey, kindSwitch)
	_, line := e.lookup(secondKey)
	if a == "" || b == "" {
		return
	}
	if a == b {
		r.addKeyError(line, secondKey, fmt.Sprintf("both ends are %q", a))
		return
	}
	group := plan.Group{A: min(a, b), B: max(a, b), Circuits: r.readCount(e, "circuits", 0), Cost: r.readNumber(e, "cost", 0)}
	_, circuitsLine := e.lookup("circuits")
	_, costLine := e.lookup("cost")
	pair := [2]string{group.A, group.B}
	end := 0
	if a != group.A {
		end = 1
	}
	listed := r.groups[pair]
	switch {
	case listed == nil:
		listed = &groupEntry{group: group, position: position{r.file, e.line}, circuitsAt: position{r.file, circuitsLine}}
		r.groups[pair] = listed
	case firstKey == "a" || listed.listedBy[0] && listed.listedBy[1] || listed.listedBy[end]:
		r.addKeyError(line, secondKey, fmt.Sprintf("the group of %s and %s stands %s already", group.A, group.B, listed.relativeTo(r.file)))
		return
	case listed.group.Circuits != group.Circuits:
		r.addKeyError(circuitsLine, "circuits", fmt.Sprintf("%d, but the other end has %d %s", group.Circuits, listed.group.Circuits, listed.circuitsAt.relativeTo(r.file)))
	case listed.group.Cost != group.Cost:
		r.addKeyError(costLine, "cost", fmt.Sprintf("%g, but the other end has %g %s", group.Cost, listed.group.Cost, listed.relativeTo(r.file)))
	}
	if firstKey == "a" {
		listed.listedBy = [2]bool{true, true}
	} else {
		listed.listedBy[end] = true
	}
}

func (r *reader) addClass(e entry) {
	c := plan.Class{ID: e.id, Width: r.readCount(e, "width", 1), Hold: r.readNumber(e, "hold_s", 0), Worth: r.readNumber(e, "worth", 1)}
	if _, line := e.lookup("hold_s"); c.Hold == 0 {
		r.addKeyError(line, "hold_s", "above 0 is wanted")
	}
	r.inv.Plan.Classes = append(r.inv.Plan.Classes, c)
}

func (r *reader) addDemand(e entry) {
	demand := plan.Demand{Class: r.readReference(e, "class", kindClass), From: r.readReference(e, "from", kindSwitch), To: r.readReference(e, "to", kindSwitch),
		Rate: r.readNumber(e, "calls_per_second", 0), Must: r.readNumber(e, "must_per_second", 0)}
	if id, _ := e.lookup("tenant"); id != "" {
		demand.Tenant = r.readReference(e, "tenant", kindTenant)
	}
	if text, line := e.lookup("calls_per_second"); text == "" {
		r.addKeyError(line, "calls_per_second", "missing")
	}
	if _, line := e.lookup("must_per_second"); demand.Must > demand.Rate {
		r.addKeyError(line, "must_per_second", fmt.Sprintf("%g is more than the %g offered", demand.Must, demand.Rate))
	}
	if _, line := e.lookup("to"); demand.From == demand.To && demand.To != "" {
		r.addKeyError(line, "to", fmt.Sprintf("both ends are %q", demand.To))
	}
	key := [4]string{demand.Class, demand.From, demand.To, demand.Tenant}
	if first, found := r.demands[key]; found {
		r.addKeyError(e.line, "to", fmt.Sprintf("the same class, ends and tenant stand %s already", first.relativeTo(r.file)))
		return
	}
	r.demands[key] = position{r.file, e.line}
	r.inv.Plan.Demands = append(r.inv.Plan.Demands, demand)
}

// resolve checks the references between entries and collects the groups, after all files
// have been read.
func (r *reader) resolve() {
	for _, ref := range r.references {
		r.file = ref.file
		if _, ok := r.entries[ref.kind+" "+ref.id]; !ok {
			r.addKeyError(ref.line, ref.key, fmt.Sprintf("no %s %q is listed", ref.kind, ref.id))
		}
	}
	for _, listed := range r.groups {
		r.file = listed.file
		if !listed.listedBy[0] || !listed.listedBy[1] {
			r.addKeyError(listed.line, "at", fmt.Sprintf("the group of %s and %s is listed from one end only", listed.group.A, listed.group.B))
		}
		r.inv.Plan.Groups = append(r.inv.Plan.Groups, listed.group)
	}
	r.sortGroups()
}
