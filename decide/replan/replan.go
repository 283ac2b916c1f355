package replan

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"violetspan.example/violetspan/decide/plan"
)

// ErrOtherInventory says that a plan was made for switches, groups, classes or tenants that
// are not the inventory's.
var ErrOtherInventory = errors.New("the plan is for another inventory")

// Settings of a Planner. The zero value of a field means its default.
type Settings struct {
	OwnSwitch     string        // the own exchange's switch
	Interval      time.Duration // between two solves, end to start; 60 s
	Validity      time.Duration // a published plan holds for so long; 10 min
	Margin        float64       // by which a new plan's worth must beat the one in force; 0.01
	Confirmations int           // solves in a row that must; 2
	Cooldown      time.Duration // least time between two plans; 2 min
	Memory        time.Duration // of the measured demand; 2 min
	MaxFlows      int           // flows that are measured; 4,096
	MinCoverage   float64       // share of the memory that must have passed; 0.8
}

// WithDefaults fills in what is not set.
func (s Settings) WithDefaults() Settings {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&s.Interval, time.Minute)
	def(&s.Validity, 10*time.Minute)
	def(&s.Cooldown, 2*time.Minute)
	def(&s.Memory, 2*time.Minute)
	if s.Margin <= 0 {
		s.Margin = 0.01
	}
	if s.Confirmations <= 0 {
		s.Confirmations = 2
	}
	if s.MaxFlows <= 0 {
		s.MaxFlows = 4096
	}
	if s.MinCoverage <= 0 || s.MinCoverage >= 1 {
		s.MinCoverage = 0.8
	}
	return s
}

// Action is something that the host does for a Planner.
type Action interface{ isAction() }

// Solve asks for a plan of a problem, off the call path; Solved answers it. Only one
// is asked for at a time.
type Solve struct {
	Problem *plan.Problem
	Ticket  uint64
}

// Publish brings a plan into force.
type Publish struct {
	Version uint64
	Problem *plan.Problem
	Answer  *plan.Answer
	Until   time.Duration
}

// Withdraw ends the plan in force; the version is above that plan's.
type Withdraw struct{ Version uint64 }

// Log is a line for the operators.
type Log struct {
	Text string
	Err  error // or nil
	// Figures that go with it: worth a second of the plan in force and of the new one
	// under the same demand, and how many solves in a row it has won.
	OldWorth, NewWorth float64
	Confirmations      int
}

func (Solve) isAction()    {}
func (Publish) isAction()  {}
func (Withdraw) isAction() {}
func (Log) isAction()      {}

// phase of a Planner.
type phase uint8

const (
	idle    phase = iota // until the next solve is due
	solving              // an answer is awaited
)

// Planner keeps a plan that fits the measured demand.
type Planner struct {
	set     Settings
	base    *plan.Problem // of the inventory, with its planned demand
	demand  *DemandMeter
	phase   phase
	ticket  uint64
	asked   *plan.Problem
	due     time.Duration
	version uint64
	force   *plan.Answer // in force; nil: none
	problem *plan.Problem
	until   time.Duration
	since   time.Duration
	won     int
}

// New returns a planner without a plan. Versions begin above the given one, so that
// they rise over restarts if the host gives the time.
func New(s Settings, version uint64) *Planner {
	s = s.WithDefaults()
	return &Planner{set: s, version: version, demand: NewDemandMeter(s.Memory, s.MaxFlows)}
}

// Count takes in n calls of the own exchange's callers.
func (p *Planner) Count(now time.Duration, f Flow, n int) { p.demand.Count(now, f, n) }

// SetInventory takes a new inventory. A plan in force that is not for it ends: a switch,
// group or class of it may be gone. An answer on its way is for the old one and will
// be dropped.
func (p *Planner) SetInventory(now time.Duration, base *plan.Problem) []Action {
	same := p.base != nil && SameExceptDemand(p.base, base)
	p.base = base
	if same {
		return nil
	}
	p.phase, p.asked, p.due, p.won = idle, nil, now, 0
	if p.force == nil {
		return nil
	}
	p.force = nil
	p.version++
	return []Action{Withdraw{p.version}, Log{Text: "the inventory has changed: the plan is dropped"}}
}

// Import brings a plan from outside into force, such as an operator's file. It must be
// for the present inventory, whatever costs and blocking it was made with, and pass
// the verifier, or nothing changes.
func (p *Planner) Import(now time.Duration, problem *plan.Problem, a *plan.Answer, gap float64, valid time.Duration) ([]Action, error) {
	if p.base == nil {
		return nil, ErrOtherInventory
	}
	base := *p.base
	base.Target, base.Costs = problem.Target, problem.Costs
	if !SameExceptDemand(&base, problem) {
		return nil, ErrOtherInventory
	}
	if _, err := plan.Verify(problem, a, gap); err != nil {
		return nil, fmt.Errorf("the plan fails its verification: %w", err)
	}
	return p.publish(now, problem, a, valid), nil
}

func (p *Planner) publish(now time.Duration, problem *plan.Problem, a *plan.Answer, valid time.Duration) []Action {
	p.version++
	p.force, p.problem, p.until, p.since, p.won = a, problem, now+valid, now, 0
	return []Action{Publish{p.version, problem, a, p.until}}
}

// Tick is to be called now and then, some times in each Every.
func (p *Planner) Tick(now time.Duration) []Action {
	var out []Action
	if p.force != nil && now >= p.until {
		p.force = nil
		p.version++
		out = append(out, Withdraw{p.version}, Log{Text: "the plan is past its time: dropped"})
	}
	if p.phase != idle || p.base == nil || now < p.due || p.demand.Coverage(now) < p.set.MinCoverage {
		return out
	}
	p.phase = solving
	p.ticket++
	p.asked = p.present(now)
	return append(out, Solve{p.asked, p.ticket})
}

// present is the inventory's problem with what is measured in place of what was
// planned, for the calls of the own exchange. Others' demand is as planned: this
// instance doesn't see it.
func (p *Planner) present(now time.Duration) *plan.Problem {
	q := *p.base
	q.Demands = slices.Clone(p.base.Demands)
	seen := map[Flow]float64{}
	for _, r := range p.demand.Rates(now) {
		seen[r.Flow] = r.Rate
	}
	tenants := map[Flow]float64{} // planned by all tenants together
	for _, d := range q.Demands {
		if d.From == p.set.OwnSwitch {
			tenants[Flow{d.Class, d.To}] += d.Rate
		}
	}
	for i, d := range q.Demands {
		if d.From != p.set.OwnSwitch {
			continue
		}
		f := Flow{d.Class, d.To}
		share := 0.0
		if tenants[f] > 0 {
			share = d.Rate / tenants[f]
		}
		q.Demands[i].Rate = min(seen[f]*share, plan.MaxValue)
		q.Demands[i].Must = min(d.Must, q.Demands[i].Rate)
	}
	known := map[string]bool{}
	for _, s := range q.Switches {
		known[s.ID] = true
	}
	class := map[string]bool{}
	for _, c := range q.Classes {
		class[c.ID] = true
	}
	for _, r := range p.demand.Rates(now) {
		if _, planned := tenants[r.Flow]; !planned && known[r.To] && class[r.Class] && r.To != p.set.OwnSwitch && known[p.set.OwnSwitch] {
			q.Demands = append(q.Demands, plan.Demand{Class: r.Class, From: p.set.OwnSwitch, To: r.To, Rate: r.Rate})
		}
	}
	return &q
}

// HandleSolved brings the answer to a Solve, or its error. One that is not awaited any more
// is ignored.
func (p *Planner) HandleSolved(now time.Duration, ticket uint64, a *plan.Answer, err error) []Action {
	if p.phase != solving || ticket != p.ticket {
		return nil
	}
	problem := p.asked
	p.phase, p.asked, p.due = idle, nil, now+p.set.Interval
	if err != nil {
		p.won = 0
		return []Action{Log{Text: "no new plan", Err: err}}
	}
	old := 0.0
	if p.force != nil {
		old = plan.CarriedWorth(problem, p.force)
	}
	n := Log{Text: "plan kept", OldWorth: old, NewWorth: a.Worth}
	switch {
	case p.force == nil:
		n.Text = "plan taken: none was in force"
	case a.Worth < old*(1+p.set.Margin):
		p.won = 0
		if p.until-now > p.set.Validity/2 {
			return []Action{n}
		}
		n.Text = "plan renewed: the one in force nears its end"
	default:
		p.won++
		n.Confirmations = p.won
		if p.won < p.set.Confirmations || now < p.since+p.set.Cooldown {
			n.Text = "a better plan waits to be confirmed"
			return []Action{n}
		}
		n.Text = "plan taken: it is better"
	}
	return append(p.publish(now, problem, a, p.set.Validity), n)
}

// SameExceptDemand says whether two problems differ in their demand alone. Order has no
// meaning.
func SameExceptDemand(a, b *plan.Problem) bool {
	if a.Costs != b.Costs || a.Target != b.Target {
		return false
	}
	ends := func(g plan.Group) plan.Group {
		g.A, g.B = min(g.A, g.B), max(g.A, g.B)
		return g
	}
	return sameSet(a.Classes, b.Classes, nil) && sameSet(a.Switches, b.Switches, nil) &&
		sameSet(a.Groups, b.Groups, ends) && sameSet(a.Tenants, b.Tenants, nil)
}

func sameSet[T comparable](a, b []T, norm func(T) T) bool {
	if len(a) != len(b) {
		return false
	}
	left := map[T]int{}
	for _, x := range a {
		if norm != nil {
			x = norm(x)
		}
		left[x]++
	}
	for _, x := range b {
		if norm != nil {
			x = norm(x)
		}
		if left[x]--; left[x] < 0 {
			return false
		}
	}
	return true
}
