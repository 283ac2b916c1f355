package replan

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"violetspan.example/violetspan/decide/plan"
)

// ErrOtherInventory is returned for a plan whose switches, groups, classes or tenants differ
// from the inventory's.
var ErrOtherInventory = errors.New("the plan is for another inventory")

// Settings configures a Planner. The zero value of a field means its default, which is
// given at the end of its comment.
type Settings struct {
	OwnSwitch     string        // ID of the own exchange's switch; no default
	Interval      time.Duration // from the end of one solve to the start of the next; 60 s
	Validity      time.Duration // how long a published plan stays valid; 10 min
	Margin        float64       // relative increase in worth for a new plan to be better than the one in force; 0.01
	Confirmations int           // consecutive solves that must yield a better plan; 2
	Cooldown      time.Duration // minimum time in force before a better plan replaces it; 2 min
	Memory        time.Duration // time constant of the measured demand; 2 min
	MaxFlows      int           // maximum number of measured flows; 4,096
	MinCoverage   float64       // DemandMeter.Coverage required for the first solve; 0.8
}

// WithDefaults returns s with defaults for unset fields.
func (s Settings) WithDefaults() Settings {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field <= 0 {
			*field = value
		}
	}
	setDefault(&s.Interval, time.Minute)
	setDefault(&s.Validity, 10*time.Minute)
	setDefault(&s.Cooldown, 2*time.Minute)
	setDefault(&s.Memory, 2*time.Minute)
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

// Action is a request of a Planner to its host.
type Action interface{ isAction() }

// Solve asks the host to solve Problem off the call path and to pass the result to
// HandleSolved with ID. At most one result is awaited at a time.
type Solve struct {
	Problem *plan.Problem
	ID      uint64
}

// Publish puts a plan into force until the given time.
type Publish struct {
	Version uint64
	Problem *plan.Problem
	Answer  *plan.Answer
	Until   time.Duration
}

// Withdraw withdraws the plan in force. Version is above that plan's.
type Withdraw struct{ Version uint64 }

// Log is a log line for the operators.
type Log struct {
	Text string
	Err  error // or nil
	// OldWorth and NewWorth are the worth per second of the plan in force and of the new
	// one under the same demand. Confirmations is the number of consecutive solves that
	// yielded a better plan.
	OldWorth, NewWorth float64
	Confirmations      int
}

func (Solve) isAction()    {}
func (Publish) isAction()  {}
func (Withdraw) isAction() {}
func (Log) isAction()      {}

// phase is the phase of a Planner.
type phase uint8

const (
	idle    phase = iota // waiting for the next solve
	solving              // waiting for the result of a solve
)

// Planner keeps a plan in force that fits the measured demand.
type Planner struct {
	settings       Settings
	inventory      *plan.Problem // with the planned demand
	meter          *DemandMeter
	phase          phase
	solveID        uint64
	solvingProblem *plan.Problem
	nextSolve      time.Duration
	version        uint64
	inForce        *plan.Answer // nil: none
	inForceProblem *plan.Problem
	validUntil     time.Duration
	inForceSince   time.Duration
	confirmations  int
}

// New returns a Planner without a plan. Versions start above the given one. A host that
// passes the current time gets versions that increase across restarts.
func New(s Settings, version uint64) *Planner {
	s = s.WithDefaults()
	return &Planner{settings: s, version: version, meter: NewDemandMeter(s.Memory, s.MaxFlows)}
}

// Count records n calls of the own exchange's callers.
func (p *Planner) Count(now time.Duration, f Flow, n int) { p.meter.Count(now, f, n) }

// SetInventory sets the inventory. If more than its demand has changed, the plan in force
// is withdrawn, because a switch, group or class that it uses may no longer exist, and the
// result of a solve in progress will be ignored, because it is for the old inventory.
func (p *Planner) SetInventory(now time.Duration, inventory *plan.Problem) []Action {
	same := p.inventory != nil && SameExceptDemand(p.inventory, inventory)
	p.inventory = inventory
	if same {
		return nil
	}
	p.phase, p.solvingProblem, p.nextSolve, p.confirmations = idle, nil, now, 0
	if p.inForce == nil {
		return nil
	}
	p.inForce = nil
	p.version++
	return []Action{Withdraw{p.version}, Log{Text: "plan dropped: the inventory changed"}}
}

// Import puts an external plan, such as an operator's file, into force. The plan must be
// for the current inventory, though its costs and target blocking may differ, and it must
// pass verification. Otherwise Import returns an error and changes nothing.
func (p *Planner) Import(now time.Duration, problem *plan.Problem, a *plan.Answer, gap float64, validity time.Duration) ([]Action, error) {
	if p.inventory == nil {
		return nil, ErrOtherInventory
	}
	expected := *p.inventory
	expected.Target, expected.Costs = problem.Target, problem.Costs
	if !SameExceptDemand(&expected, problem) {
		return nil, ErrOtherInventory
	}
	if _, err := plan.Verify(problem, a, gap); err != nil {
		return nil, fmt.Errorf("plan verification failed: %w", err)
	}
	return p.publish(now, problem, a, validity), nil
}

func (p *Planner) publish(now time.Duration, problem *plan.Problem, a *plan.Answer, validity time.Duration) []Action {
	p.version++
	p.inForce, p.inForceProblem, p.validUntil, p.inForceSince, p.confirmations = a, problem, now+validity, now, 0
	return []Action{Publish{p.version, problem, a, p.validUntil}}
}

// Tick must be called several times per Settings.Interval.
func (p *Planner) Tick(now time.Duration) []Action {
	var actions []Action
	if p.inForce != nil && now >= p.validUntil {
		p.inForce = nil
		p.version++
		actions = append(actions, Withdraw{p.version}, Log{Text: "plan dropped: it expired"})
	}
	if p.phase != idle || p.inventory == nil || now < p.nextSolve || p.meter.Coverage(now) < p.settings.MinCoverage {
		return actions
	}
	p.phase = solving
	p.solveID++
	p.solvingProblem = p.currentProblem(now)
	return append(actions, Solve{p.solvingProblem, p.solveID})
}

// currentProblem returns the inventory's problem with the measured demand in place of the
// planned one for calls from the own exchange. The demand of other exchanges stays as
// planned, because this instance doesn't see their calls.
func (p *Planner) currentProblem(now time.Duration) *plan.Problem {
	problem := *p.inventory
	problem.Demands = slices.Clone(p.inventory.Demands)
	measured := map[Flow]float64{}
	for _, r := range p.meter.Rates(now) {
		measured[r.Flow] = r.Rate
	}
	planned := map[Flow]float64{} // sum over all tenants
	for _, d := range problem.Demands {
		if d.From == p.settings.OwnSwitch {
			planned[Flow{d.Class, d.To}] += d.Rate
		}
	}
	for i, d := range problem.Demands {
		if d.From != p.settings.OwnSwitch {
			continue
		}
		f := Flow{d.Class, d.To}
		share := 0.0
		if planned[f] > 0 {
			share = d.Rate / planned[f]
		}
		problem.Demands[i].Rate = min(measured[f]*share, plan.MaxValue)
		problem.Demands[i].Must = min(d.Must, problem.Demands[i].Rate)
	}
	switches := map[string]bool{}
	for _, s := range problem.Switches {
		switches[s.ID] = true
	}
	classes := map[string]bool{}
	for _, c := range problem.Classes {
		classes[c.ID] = true
	}
	for _, r := range p.meter.Rates(now) {
		if _, found := planned[r.Flow]; !found && switches[r.To] && classes[r.Class] && r.To != p.settings.OwnSwitch && switches[p.settings.OwnSwitch] {
			problem.Demands = append(problem.Demands, plan.Demand{Class: r.Class, From: p.settings.OwnSwitch, To: r.To, Rate: r.Rate})
		}
	}
	return &problem
}

// HandleSolved handles the result of the Solve with the given ID. A result that is no
// longer awaited is ignored.
func (p *Planner) HandleSolved(now time.Duration, id uint64, a *plan.Answer, err error) []Action {
	if p.phase != solving || id != p.solveID {
		return nil
	}
	problem := p.solvingProblem
	p.phase, p.solvingProblem, p.nextSolve = idle, nil, now+p.settings.Interval
	if err != nil {
		p.confirmations = 0
		return []Action{Log{Text: "no new plan", Err: err}}
	}
	oldWorth := 0.0
	if p.inForce != nil {
		oldWorth = plan.CarriedWorth(problem, p.inForce)
	}
	entry := Log{Text: "plan kept", OldWorth: oldWorth, NewWorth: a.Worth}
	switch {
	case p.inForce == nil:
		entry.Text = "plan adopted: none was in force"
	case a.Worth < oldWorth*(1+p.settings.Margin):
		p.confirmations = 0
		if p.validUntil-now > p.settings.Validity/2 {
			return []Action{entry}
		}
		entry.Text = "plan renewed: the one in force expires soon"
	default:
		p.confirmations++
		entry.Confirmations = p.confirmations
		if p.confirmations < p.settings.Confirmations || now < p.inForceSince+p.settings.Cooldown {
			entry.Text = "better plan awaits confirmation"
			return []Action{entry}
		}
		entry.Text = "plan adopted: better than the one in force"
	}
	return append(p.publish(now, problem, a, p.settings.Validity), entry)
}

// SameExceptDemand reports whether two problems are equal except for their demands. The
// order of lists does not matter.
func SameExceptDemand(a, b *plan.Problem) bool {
	if a.Costs != b.Costs || a.Target != b.Target {
		return false
	}
	sortEnds := func(g plan.Group) plan.Group {
		g.A, g.B = min(g.A, g.B), max(g.A, g.B)
		return g
	}
	return sameSet(a.Classes, b.Classes, nil) && sameSet(a.Switches, b.Switches, nil) &&
		sameSet(a.Groups, b.Groups, sortEnds) && sameSet(a.Tenants, b.Tenants, nil)
}

func sameSet[T comparable](a, b []T, normalize func(T) T) bool {
	if len(a) != len(b) {
		return false
	}
	counts := map[T]int{}
	for _, x := range a {
		if normalize != nil {
			x = normalize(x)
		}
		counts[x]++
	}
	for _, x := range b {
		if normalize != nil {
			x = normalize(x)
		}
		if counts[x]--; counts[x] < 0 {
			return false
		}
	}
	return true
}
