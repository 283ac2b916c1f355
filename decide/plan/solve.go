package plan

import (
	"errors"
	"fmt"
	"math"
)

// Options configure Solve. The zero value requests the highest precision.
type Options struct {
	// Gap is the largest allowed relative difference between the worth and its upper
	// bound; an answer with a larger one is ErrUnverified. 0 means 1e-6. A wider gap
	// needs fewer steps. From 1e-4 on, cost and evenness form one objective, in which
	// evenness counts a hundredth.
	Gap float64
	// Stop, if not nil, is called before each step; true ends the solve with ErrStopped.
	Stop func() bool
}

// Defaults and limits of a solve.
const (
	defaultGap      = 1e-6
	maxSteps        = 200   // for each objective
	finestTolerance = 1e-10 // smallest relative residual and gap that is requested of the solver
	minPathShare    = 1e-7  // share of a demand's rate below which a path gets no calls
)

// gap returns Gap, or its default.
func (o Options) gap() float64 {
	if o.Gap <= 0 {
		return defaultGap
	}
	return o.Gap
}

// tolerance returns the solver tolerance with which the answer stays within the gap.
func (o Options) tolerance() float64 {
	if o.gap() < 1e-4 {
		return finestTolerance
	}
	return min(1e-3, o.gap()/50)
}

// Solve returns the plan of a problem. The error is the first one that Check returns, an
// *Infeasible if the required calls can't all be carried, ErrStopped, an error of the
// solver, or wraps ErrUnverified.
func Solve(p *Problem, o Options) (*Answer, error) {
	if errs := p.Check(); len(errs) > 0 {
		return nil, errs[0]
	}
	m := newModel(p, false)
	steps := 0
	if proof, n, err := m.findShortfall(layoutOptions{}, o); err != nil {
		return nil, err
	} else if steps = n; proof != nil {
		return nil, m.explainInfeasible(p, proof, o)
	}
	l := m.newLayout(layoutOptions{})
	l.setWorthObjective()
	worthPoint, err := l.program.solve(o.tolerance(), maxSteps, o.Stop)
	if err != nil {
		return nil, err
	}
	steps += worthPoint.steps
	a := l.answer(worthPoint)
	l.setPrices(a, worthPoint)
	a.Steps, a.Stages = steps, 1
	if err := a.verify(p, o); err != nil {
		return nil, err
	}
	// The later objectives may fail because of rounding; then the plan found so far is kept.
	if a.StageErr = l.refine(p, a, worthPoint, o); errors.Is(a.StageErr, ErrStopped) {
		return nil, a.StageErr
	}
	return a, nil
}

// refine optimizes the later objectives, each subject to the values that the earlier ones
// reached. After each stage whose answer is verified it replaces a.
func (l *layout) refine(p *Problem, a *Answer, pt *point, o Options) error {
	margin := 5 * o.tolerance()
	limitTo := func(pt *point) {
		value := 0.0
		for j, c := range l.program.c {
			value += c * pt.x[j]
		}
		l.limitObjective(value + margin)
	}
	accept := func(pt *point, stage int) error {
		b := l.answer(pt)
		b.Steps, b.Stages, b.Shares = a.Steps+pt.steps, stage, a.Shares
		for i := range b.Groups {
			b.Groups[i].Price, b.Groups[i].One = a.Groups[i].Price, a.Groups[i].One
		}
		for i := range b.Switches {
			b.Switches[i].Price, b.Switches[i].One = a.Switches[i].Price, a.Switches[i].One
		}
		if err := b.verify(p, o); err != nil {
			return err
		}
		*a = *b
		return nil
	}
	limitTo(pt)
	hasCost := l.setCostObjective()
	combined := hasCost && o.tolerance() >= coarseTolerance
	if hasCost && !combined {
		next, err := l.program.solve(o.tolerance(), maxSteps, o.Stop)
		if err != nil {
			return err
		}
		if err := accept(next, 2); err != nil {
			return err
		}
		limitTo(next)
	}
	l.setEvennessObjective(combined)
	next, err := l.program.solve(o.tolerance(), maxSteps, o.Stop)
	if err != nil {
		return err
	}
	return accept(next, 3)
}

// verify checks the answer with Verify and stores the worth, bound and gap that it found.
func (a *Answer) verify(p *Problem, o Options) error {
	result, err := Verify(p, a, o.gap())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnverified, err)
	}
	a.Worth, a.Bound, a.Gap = result.Worth, result.Bound, result.Gap
	return nil
}

// answer converts a point to a plan. It removes small rounding errors, so that every load
// is within its capacity and every demand adds up.
func (l *layout) answer(pt *point) *Answer {
	m := l.model
	flows := make([][]float64, len(m.Demands))
	for i := range flows {
		flows[i] = make([]float64, len(m.paths[i]))
	}
	for _, b := range l.blocks {
		for k := range m.paths[b.demand] {
			flows[b.demand][k] += max(0, pt.x[b.firstColumn+k]) * b.rate
		}
	}
	load := make([]float64, len(m.resources))
	addLoad := func(i, k int, v float64) {
		h := m.paths[i][k]
		for _, r := range h.legs[:h.legCount] {
			load[r] += v * m.erlangsPerRate[i]
		}
		for _, r := range h.processors[:h.processorCount] {
			load[r] += v
		}
	}
	for i, d := range m.Demands {
		sum := 0.0
		for k, v := range flows[i] {
			if v < minPathShare*m.boundedRate[i] {
				flows[i][k] = 0
			}
			sum += flows[i][k]
		}
		for k := range flows[i] {
			if sum > d.Rate {
				flows[i][k] *= d.Rate / sum
			}
			addLoad(i, k, flows[i][k])
		}
	}
	fitFactor := make([]float64, len(m.resources))
	for r := range fitFactor {
		fitFactor[r] = 1
		if load[r] > m.resources[r].capacity {
			fitFactor[r] = m.resources[r].capacity / load[r]
		}
	}
	clear(load)
	a := &Answer{Routes: make([]Route, 0, len(m.Demands))}
	carried := make([]float64, len(m.quotas))
	for i, d := range m.Demands {
		t := Route{Demand: d}
		sum := 0.0
		for k, h := range m.paths[i] {
			factor := 1.0
			for _, r := range h.legs[:h.legCount] {
				factor = min(factor, fitFactor[r])
			}
			for _, r := range h.processors[:h.processorCount] {
				factor = min(factor, fitFactor[r])
			}
			v := flows[i][k] * factor
			if v == 0 {
				continue
			}
			addLoad(i, k, v)
			sum += v
			a.Cost += v * h.cost
			if h.via < 0 {
				t.Direct = v
			} else {
				t.Via = append(t.Via, Via{m.Switches[h.via].ID, v})
			}
		}
		t.Lost = max(0, d.Rate-sum)
		a.Routes = append(a.Routes, t)
		if j := m.demandQuota[i]; j >= 0 {
			carried[j] += sum * m.callWorth[i]
		}
	}
	for j, q := range m.quotas {
		a.Tenants = append(a.Tenants, Admit{m.Tenants[q.tenantIndex].ID, m.Switches[q.switchIndex].ID, q.offered, q.amount, carried[j]})
	}
	groupCapacity, processorCapacity := 0.0, 0.0
	for _, res := range m.resources {
		if res.groupIndex >= 0 {
			groupCapacity += res.capacity
		} else {
			processorCapacity += res.capacity
		}
	}
	for g, e := range m.Groups {
		n := Load{A: e.A, B: e.B}
		if r := m.groupResource[g]; r >= 0 {
			n.Load, n.Capacity = load[r], m.resources[r].capacity
			a.Roughness += n.Load / n.Capacity * n.Load / groupCapacity
		}
		a.Groups = append(a.Groups, n)
	}
	for s, e := range m.Switches {
		n := Load{A: e.ID}
		if r := m.switchResource[s]; r >= 0 {
			n.Load, n.Capacity = load[r], m.resources[r].capacity
			a.Roughness += n.Load / n.Capacity * n.Load / processorCapacity
		}
		a.Switches = append(a.Switches, n)
	}
	return a
}

// setPrices sets the shadow prices from the optimum of the worth objective.
func (l *layout) setPrices(a *Answer, pt *point) {
	m := l.model
	price := func(row int) float64 {
		if row < 0 {
			return 0
		}
		if y := -pt.yr[row]; y > 1e-8 { // smaller values are rounding errors
			return y * l.worthScale
		}
		return 0
	}
	for g, e := range m.Groups {
		if r := m.groupResource[g]; r >= 0 && l.resourceRow[r] >= 0 {
			n := &a.Groups[g]
			n.Price = price(l.resourceRow[r]) / m.rowScale(r)
			n.One = n.Price * (plannedCapacity(e.Circuits+1, m.resources[r].mix, m.Target) - n.Capacity)
		}
	}
	for s := range m.Switches {
		if r := m.switchResource[s]; r >= 0 && l.resourceRow[r] >= 0 {
			a.Switches[s].Price = price(l.resourceRow[r]) / m.rowScale(r)
			a.Switches[s].One = a.Switches[s].Price
		}
	}
	a.Shares = make([]float64, len(m.quotas))
	for j, q := range m.quotas {
		if l.quotaRow[j] >= 0 {
			a.Shares[j] = min(1-excessWorthFactor, price(l.quotaRow[j])/q.maxCarried)
		}
	}
	// The bound multiplies the rounding error in a demand's gain by its rate. Where the
	// rate exceeds the capacity of the exchange's processor, adding the gain to the
	// processor's price instead multiplies it by that smaller capacity.
	for i, d := range m.Demands {
		s := m.switchIndex[d.From]
		if d.Rate <= m.Switches[s].SetUps || len(m.paths[i]) == 0 {
			continue
		}
		minPrice := math.Inf(1)
		for _, h := range m.paths[i] {
			sum := 0.0
			for _, r := range h.legs[:h.legCount] {
				sum += a.Groups[m.resources[r].groupIndex].Price * m.erlangsPerRate[i]
			}
			for _, r := range h.processors[:h.processorCount] {
				sum += a.Switches[m.resources[r].switchIndex].Price
			}
			minPrice = min(minPrice, sum)
		}
		gain := m.callWorth[i] - minPrice
		if j := m.demandQuota[i]; j >= 0 {
			gain -= a.Shares[j] * m.callWorth[i]
		}
		if gain > 0 {
			a.Switches[s].Price += gain * (1 + 1e-12)
		}
	}
}

// shortfall is a proof that the required calls can't all be carried.
type shortfall struct {
	demands   []int // with a positive dual variable in the proof
	resources []int // with a positive shadow price in the proof
}

// maxMissedShare is the share of a demand's required calls that may be missing because of
// rounding.
const maxMissedShare = 1e-6

// findShortfall solves for the required calls alone and returns nil if they can all be
// carried, and the number of steps.
func (m *model) findShortfall(options layoutOptions, o Options) (*shortfall, int, error) {
	options.elastic, options.mustOnly = true, true
	total := 0.0
	var withoutPath []int
	for i, d := range m.Demands {
		if d.Must > 0 && (options.skipDemand == nil || !options.skipDemand(i)) {
			total += d.Must
			if len(m.paths[i]) == 0 {
				withoutPath = append(withoutPath, i)
			}
		}
	}
	if len(withoutPath) > 0 {
		return &shortfall{demands: withoutPath[:1]}, 0, nil
	}
	if total == 0 {
		return nil, 0, nil
	}
	l := m.newLayout(options)
	for _, b := range l.blocks {
		l.program.c[b.lostColumn] = b.rate / total
	}
	pt, err := l.program.solve(finestTolerance, maxSteps, o.Stop)
	if err != nil {
		return nil, 0, err
	}
	missedShare := 0.0
	for _, b := range l.blocks {
		missedShare = max(missedShare, pt.x[b.lostColumn])
	}
	if missedShare <= maxMissedShare {
		return nil, pt.steps, nil
	}
	s := &shortfall{}
	for k, b := range l.blocks {
		if pt.yb[k] > 1e-6*b.rate/total {
			s.demands = append(s.demands, b.demand)
		}
	}
	for r, row := range l.resourceRow {
		if row >= 0 && -pt.yr[row] > 1e-9 {
			s.resources = append(s.resources, r)
		}
	}
	return s, pt.steps, nil
}

// Constraint is one demand or capacity in a conflict.
type Constraint struct {
	Demand *Demand // nil for a capacity
	A, B   string  // a group's ends; B is "" for a switch
}

// String names the demand, group or switch.
func (c Constraint) String() string {
	switch {
	case c.Demand != nil:
		return fmt.Sprintf("demand %s %s to %s must carry %g calls/s", c.Demand.Class, c.Demand.From, c.Demand.To, c.Demand.Must)
	case c.B != "":
		return fmt.Sprintf("group %s-%s", c.A, c.B)
	}
	return "switch " + c.A
}

// Addition is capacity to add to a group or a switch.
type Addition struct {
	A, B     string  // a group's ends; B is "" for a switch
	Circuits int     // of a group
	SetUps   float64 // of a switch, set-ups/s
	Cost     float64
}

// Infeasible reports that the required calls can't all be carried.
type Infeasible struct {
	// Conflict is a minimal set of demands and capacities that contradict each other:
	// without any one of them, the others are feasible.
	Conflict []Constraint
	// Additions is the cheapest set of additions with which all required calls can be
	// carried, rounded up to whole circuits; empty if NoRoute.
	Additions []Addition
	Cost      float64 // of all Additions
	NoRoute   bool    // the single demand in Conflict has no path, even with capacity added to every group
}

func (e *Infeasible) Error() string {
	s := "plan: infeasible: these constraints contradict each other:"
	for i, c := range e.Conflict {
		if i == 8 {
			return s + fmt.Sprintf(" and %d more", len(e.Conflict)-i)
		}
		if i > 0 {
			s += ";"
		}
		s += " " + c.String()
	}
	return s
}

// explainInfeasible returns an *Infeasible with a minimal conflict and the cheapest
// additions. If the solver fails, it returns the solver's error instead of a conflict that
// might not be minimal.
func (m *model) explainInfeasible(p *Problem, proof *shortfall, o Options) error {
	demands, resources := map[int]bool{}, map[int]bool{}
	includeAll := func() {
		for i, d := range m.Demands {
			if d.Must > 0 {
				demands[i] = true
			}
		}
		for r := range m.resources {
			resources[r] = true
		}
	}
	for _, i := range proof.demands {
		demands[i] = true
	}
	for _, r := range proof.resources {
		resources[r] = true
	}
	conflicts := func() (bool, error) {
		s, _, err := m.findShortfall(layoutOptions{skipDemand: func(i int) bool { return !demands[i] }, skipResource: func(r int) bool { return !resources[r] }}, o)
		return s != nil, err
	}
	if still, err := conflicts(); err != nil {
		return err
	} else if !still { // rounding hid a constraint of the conflict: start with all of them
		includeAll()
	}
	dropIfRedundant := func(set map[int]bool, k int) error {
		if !set[k] {
			return nil
		}
		delete(set, k)
		still, err := conflicts()
		if !still {
			set[k] = true
		}
		return err
	}
	for r := range m.resources {
		if err := dropIfRedundant(resources, r); err != nil {
			return err
		}
	}
	for i := range m.Demands {
		if err := dropIfRedundant(demands, i); err != nil {
			return err
		}
	}
	e := &Infeasible{}
	for i := range m.Demands {
		if demands[i] {
			d := m.Demands[i]
			e.Conflict = append(e.Conflict, Constraint{Demand: &d})
		}
	}
	for r, res := range m.resources {
		if !resources[r] {
			continue
		}
		if res.groupIndex >= 0 {
			e.Conflict = append(e.Conflict, Constraint{A: m.Groups[res.groupIndex].A, B: m.Groups[res.groupIndex].B})
		} else {
			e.Conflict = append(e.Conflict, Constraint{A: m.Switches[res.switchIndex].ID})
		}
	}
	if err := e.findAdditions(p, o); err != nil {
		return err
	}
	return e
}

// findAdditions sets the cheapest additions with which all required calls can be carried.
func (e *Infeasible) findAdditions(p *Problem, o Options) error {
	m := newModel(p, true)
	for i, d := range m.Demands {
		if d.Must > 0 && len(m.paths[i]) == 0 {
			e.NoRoute = true
			return nil
		}
	}
	l := m.newLayout(layoutOptions{mustOnly: true, expandCapacity: true})
	scale := 1.0
	for _, c := range l.program.c {
		scale = max(scale, c)
	}
	for j := range l.program.c {
		l.program.c[j] /= scale
	}
	pt, err := l.program.solve(finestTolerance, maxSteps, o.Stop)
	if err != nil {
		return err
	}
	enlarged := *m.Problem
	enlarged.Groups = append([]Group(nil), m.Groups...)
	enlarged.Switches = append([]Switch(nil), m.Switches...)
	// A group needs at least as many circuits as the widest call on it takes.
	requiredWidth := make([]int, len(m.resources))
	for _, b := range l.blocks {
		for k, h := range m.paths[b.demand] {
			for _, r := range h.legs[:h.legCount] {
				if pt.x[b.firstColumn+k] > minPathShare {
					requiredWidth[r] = max(requiredWidth[r], m.Classes[m.classIndex[m.Demands[b.demand].Class]].Width)
				}
			}
		}
	}
	additions := map[int]Addition{}
	for r, res := range m.resources {
		if l.resourceRow[r] < 0 {
			continue
		}
		if g := res.groupIndex; g >= 0 && m.Groups[g].Circuits < requiredWidth[r] {
			additions[r] = Addition{A: m.Groups[g].A, B: m.Groups[g].B, Circuits: requiredWidth[r] - m.Groups[g].Circuits}
			enlarged.Groups[g].Circuits = requiredWidth[r]
		}
		extra := max(0, pt.x[l.slackColumn[r]+1]) * m.rowScale(r)
		if extra <= 1e-6*max(1, res.capacity) {
			continue
		}
		if g := res.groupIndex; g >= 0 {
			n := circuitsFor(res.capacity+extra*(1-1e-7), res.mix, m.Target)
			n = max(n, requiredWidth[r])
			additions[r] = Addition{A: m.Groups[g].A, B: m.Groups[g].B, Circuits: n - m.Groups[g].Circuits}
			enlarged.Groups[g].Circuits = n
		} else {
			extra *= 1 + 1e-6 // allows for rounding in the check that follows
			additions[r] = Addition{A: m.Switches[res.switchIndex].ID, SetUps: extra}
			enlarged.Switches[res.switchIndex].SetUps += extra
		}
	}
	requiredCallsFit := func() (bool, error) {
		s, _, err := newModel(&enlarged, false).findShortfall(layoutOptions{}, o)
		return s == nil, err
	}
	if ok, err := requiredCallsFit(); err != nil {
		return err
	} else if !ok {
		return fmt.Errorf("%w: the required calls exceed the enlarged capacity", ErrUnverified)
	}
	// Rounding up may have added a circuit that another added circuit makes unnecessary.
	for r := range m.resources {
		b, ok := additions[r]
		for ok && b.Circuits > 0 {
			enlarged.Groups[m.resources[r].groupIndex].Circuits--
			if fits, err := requiredCallsFit(); err != nil {
				return err
			} else if !fits {
				enlarged.Groups[m.resources[r].groupIndex].Circuits++
				break
			}
			b.Circuits--
		}
		if ok {
			additions[r] = b
		}
	}
	for r := range m.resources {
		b, ok := additions[r]
		if !ok || b.Circuits == 0 && b.SetUps == 0 {
			continue
		}
		b.Cost = m.unitCost(r) * (float64(b.Circuits) + b.SetUps)
		e.Cost += b.Cost
		e.Additions = append(e.Additions, b)
	}
	if math.IsNaN(e.Cost) {
		return errNumeric
	}
	return nil
}
