package planner

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"violetspan.example/violetspan/decide/plan"
)

// Explain writes a report of a plan: the carried and the lost demand, the utilization, the
// value of one more circuit, and the use of alternate routes. Each list has at most maxLines
// entries.
func Explain(w io.Writer, p *plan.Problem, a *plan.Answer, maxLines int) error {
	out := &printer{w: w}
	offered, lost := 0.0, 0.0
	for _, r := range a.Routes {
		offered += r.Rate
		lost += r.Lost
	}
	out.line("worth %.4g/s of at most %.4g (gap %.3g); cost %.4g/s; %.4g of %.4g calls/s not carried", a.Worth, a.Bound, a.Gap, a.Cost, lost, offered)
	if a.Stages < 3 {
		out.line("only %d of 3 objectives were optimized", a.Stages)
	}
	out.list("value of one more circuit or one more set-up/s (worth/s)", a.Groups, a.Switches, maxLines, func(l plan.Load) float64 { return l.One })
	out.list("utilization (planned load / capacity)", a.Groups, a.Switches, maxLines, func(l plan.Load) float64 {
		if l.Capacity == 0 {
			return 0
		}
		return l.Load / l.Capacity
	})
	routes := slices.Clone(a.Routes)
	slices.SortStableFunc(routes, func(x, y plan.Route) int { return cmp.Compare(y.Lost, x.Lost) })
	out.line("demands with the most lost calls:")
	for _, r := range routes[:min(maxLines, len(routes))] {
		if r.Lost > 1e-6*r.Rate {
			out.line("  %s %s to %s%s: %.4g of %.4g calls/s lost", r.Class, r.From, r.To, ofTenant(r.Tenant), r.Lost, r.Rate)
		}
	}
	out.line("demands with the most calls on alternate routes:")
	viaRate := func(r plan.Route) (sum float64) {
		for _, v := range r.Via {
			sum += v.Rate
		}
		return sum
	}
	slices.SortStableFunc(routes, func(x, y plan.Route) int { return cmp.Compare(viaRate(y), viaRate(x)) })
	for _, r := range routes[:min(maxLines, len(routes))] {
		if viaRate(r) > 1e-6*r.Rate {
			out.line("  %s %s to %s%s: %.4g direct%s", r.Class, r.From, r.To, ofTenant(r.Tenant), r.Direct, formatVias(r.Via))
		}
	}
	if len(a.Tenants) > 0 {
		out.line("tenants (worth/s):")
	}
	for _, t := range a.Tenants {
		out.line("  %s at %s: offered %.4g, share %.4g, admitted %.4g", t.Tenant, t.Switch, t.Offered, t.Quota, t.Admitted)
	}
	for _, s := range p.Switches {
		if !slices.ContainsFunc(p.Groups, func(g plan.Group) bool { return g.A == s.ID || g.B == s.ID }) {
			out.line("note: switch %s has no groups: no call can reach or leave it", s.ID)
		}
	}
	return out.err
}

// ExplainInfeasible writes which constraints conflict and the cheapest enlargement of the
// network that resolves the conflict.
func ExplainInfeasible(w io.Writer, infeasible *plan.Infeasible) error {
	out := &printer{w: w}
	out.line("no feasible plan exists. These constraints conflict; without any one of them the others can be met:")
	for _, c := range infeasible.Conflict {
		out.line("  %s", c)
	}
	if infeasible.NoRoute {
		out.line("no path of groups leads to the destination, so enlarging groups would not help")
		return out.err
	}
	out.line("cheapest enlargement with which all required calls can be carried, cost %.4g:", infeasible.Cost)
	for _, a := range infeasible.Additions {
		if a.B != "" {
			out.line("  group %s-%s: %d more circuits", a.A, a.B, a.Circuits)
		} else {
			out.line("  switch %s: %.4g more set-ups/s", a.A, a.SetUps)
		}
	}
	return out.err
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) list(title string, groups, switches []plan.Load, maxLines int, value func(plan.Load) float64) {
	p.line("%s:", title)
	all := slices.Concat(groups, switches)
	slices.SortStableFunc(all, func(x, y plan.Load) int { return cmp.Compare(value(y), value(x)) })
	for _, l := range all[:min(maxLines, len(all))] {
		if value(l) <= 1e-9 {
			break
		}
		name := "switch " + l.A
		if l.B != "" {
			name = "group " + l.A + "-" + l.B
		}
		p.line("  %-32s %.4g  (%.4g of %.4g)", name, value(l), l.Load, l.Capacity)
	}
}

func ofTenant(tenant string) string {
	if tenant == "" {
		return ""
	}
	return " of " + tenant
}

func formatVias(via []plan.Via) string {
	text := ""
	for _, v := range via {
		text += fmt.Sprintf(", %.4g via %s", v.Rate, v.Tandem)
	}
	return text
}

// AsInfeasible returns the plan.Infeasible in err's chain, or nil.
func AsInfeasible(err error) *plan.Infeasible {
	var infeasible *plan.Infeasible
	errors.As(err, &infeasible)
	return infeasible
}
