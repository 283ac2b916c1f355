package planner

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"violetspan.example/violetspan/decide/plan"
)

// Explain writes what a plan says for people: what is carried and what is not, where
// it is tight, what one circuit more is worth, and where calls go round.
func Explain(w io.Writer, p *plan.Problem, a *plan.Answer, most int) error {
	e := &printer{w: w}
	offered, lost := 0.0, 0.0
	for _, r := range a.Routes {
		offered += r.Rate
		lost += r.Lost
	}
	e.line("worth %.4g/s of at most %.4g (gap %.3g); cost %.4g/s; %.4g of %.4g calls/s not carried", a.Worth, a.Bound, a.Gap, a.Cost, lost, offered)
	if a.Stages < 3 {
		e.line("only %d of 3 objectives were carried out", a.Stages)
	}
	e.list("what one more circuit, or set-up a second, is worth (worth/s)", a.Groups, a.Switches, most, func(l plan.Load) float64 { return l.One })
	e.list("how full (planned load of capacity)", a.Groups, a.Switches, most, func(l plan.Load) float64 {
		if l.Capacity == 0 {
			return 0
		}
		return l.Load / l.Capacity
	})
	routes := slices.Clone(a.Routes)
	slices.SortStableFunc(routes, func(x, y plan.Route) int { return cmp.Compare(y.Lost, x.Lost) })
	e.line("demands that are carried least:")
	for _, r := range routes[:min(most, len(routes))] {
		if r.Lost > 1e-6*r.Rate {
			e.line("  %s %s to %s%s: %.4g of %.4g calls/s lost", r.Class, r.From, r.To, of(r.Tenant), r.Lost, r.Rate)
		}
	}
	e.line("demands that go round:")
	round := func(r plan.Route) (sum float64) {
		for _, v := range r.Via {
			sum += v.Rate
		}
		return sum
	}
	slices.SortStableFunc(routes, func(x, y plan.Route) int { return cmp.Compare(round(y), round(x)) })
	for _, r := range routes[:min(most, len(routes))] {
		if round(r) > 1e-6*r.Rate {
			e.line("  %s %s to %s%s: %.4g direct%s", r.Class, r.From, r.To, of(r.Tenant), r.Direct, vias(r.Via))
		}
	}
	if len(a.Tenants) > 0 {
		e.line("tenants (worth/s):")
	}
	for _, t := range a.Tenants {
		e.line("  %s at %s: offered %.4g, share %.4g, admitted %.4g", t.Tenant, t.Switch, t.Offered, t.Quota, t.Admitted)
	}
	for _, s := range p.Switches {
		if !slices.ContainsFunc(p.Groups, func(g plan.Group) bool { return g.A == s.ID || g.B == s.ID }) {
			e.line("note: switch %s has no groups: no call can reach or leave it", s.ID)
		}
	}
	return e.err
}

// ExplainNone writes why no answer fits.
func ExplainNone(w io.Writer, no *plan.Infeasible) error {
	e := &printer{w: w}
	e.line("no answer fits. These contradict each other; without any one of them the rest fit:")
	for _, c := range no.Conflict {
		e.line("  %s", c)
	}
	if no.NoRoute {
		e.line("no group leads there, so no enlargement of groups would help")
		return e.err
	}
	e.line("the cheapest enlargement with which all must-demands fit, cost %.4g:", no.Cost)
	for _, a := range no.Additions {
		if a.B != "" {
			e.line("  group %s-%s: %d circuits more", a.A, a.B, a.Circuits)
		} else {
			e.line("  switch %s: %.4g set-ups/s more", a.A, a.SetUps)
		}
	}
	return e.err
}

type printer struct {
	w   io.Writer
	err error
}

func (e *printer) line(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format+"\n", args...)
	}
}

func (e *printer) list(title string, groups, switches []plan.Load, most int, of func(plan.Load) float64) {
	e.line("%s:", title)
	all := slices.Concat(groups, switches)
	slices.SortStableFunc(all, func(x, y plan.Load) int { return cmp.Compare(of(y), of(x)) })
	for _, l := range all[:min(most, len(all))] {
		if of(l) <= 1e-9 {
			break
		}
		what := "switch " + l.A
		if l.B != "" {
			what = "group " + l.A + "-" + l.B
		}
		e.line("  %-32s %.4g  (%.4g of %.4g)", what, of(l), l.Load, l.Capacity)
	}
}

func of(tenant string) string {
	if tenant == "" {
		return ""
	}
	return " of " + tenant
}

func vias(via []plan.Via) string {
	s := ""
	for _, v := range via {
		s += fmt.Sprintf(", %.4g by %s", v.Rate, v.Tandem)
	}
	return s
}

// None returns the Infeasible in an error, or nil.
func None(err error) *plan.Infeasible {
	var no *plan.Infeasible
	errors.As(err, &no)
	return no
}
