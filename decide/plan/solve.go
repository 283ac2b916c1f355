package plan

import (
	"errors"
	"fmt"
	"math"
)

// Options of a solve. The zero value asks for all the precision there is.
type Options struct {
	// Gap is the share of the bound by which the worth may miss it; an answer
	// beyond it is ErrUnproven. 0: 1e-6. A wider gap needs fewer steps. From 1e-4 on,
	// cost and evenness are one objective, with evenness at a hundredth.
	Gap float64
	// Stop is asked before each step; true ends the solve with ErrStopped.
	Stop func() bool
}

// Defaults of a solve.
const (
	defaultGap = 1e-6
	maxSteps   = 200   // of one objective
	finest     = 1e-10 // relative residual and gap that the solver is asked for
	dust       = 1e-7  // share of a demand's rate under which a way gets nothing
)

func (o Options) gap() float64 {
	if o.Gap <= 0 {
		return defaultGap
	}
	return o.Gap
}

// precision is what the solver is asked for so that the gap will hold.
func (o Options) precision() float64 {
	if o.gap() < 1e-4 {
		return finest
	}
	return min(1e-3, o.gap()/50)
}

// Solve returns the plan of a problem. The error is the first of Check's, an
// *Infeasible if the musts don't fit, ErrStopped, or wraps ErrUnproven.
func Solve(p *Problem, o Options) (*Answer, error) {
	if errs := p.Check(); len(errs) > 0 {
		return nil, errs[0]
	}
	m := newModel(p, false)
	steps := 0
	if bad, n, err := m.short(want{}, o); err != nil {
		return nil, err
	} else if steps = n; bad != nil {
		return nil, m.explain(p, bad, o)
	}
	l := m.lay(want{})
	l.setWorth()
	first, err := l.p.solve(o.precision(), maxSteps, o.Stop)
	if err != nil {
		return nil, err
	}
	steps += first.steps
	a := l.answer(first)
	l.price(a, first)
	a.Steps, a.Stages = steps, 1
	if err := a.prove(p, o); err != nil {
		return nil, err
	}
	// The further objectives may fail on rounding; the plan before then stands.
	if a.StageErr = l.refine(p, a, first, o); errors.Is(a.StageErr, ErrStopped) {
		return nil, a.StageErr
	}
	return a, nil
}

// refine carries the further objectives out, each on what the ones before hold.
func (l *layout) refine(p *Problem, a *Answer, pt *point, o Options) error {
	loose := 5 * o.precision()
	hold := func(pt *point) {
		most := 0.0
		for j, c := range l.p.c {
			most += c * pt.x[j]
		}
		l.hold(most + loose)
	}
	take := func(pt *point, stage int) error {
		b := l.answer(pt)
		b.Steps, b.Stages, b.Shares = a.Steps+pt.steps, stage, a.Shares
		for i := range b.Groups {
			b.Groups[i].Price, b.Groups[i].One = a.Groups[i].Price, a.Groups[i].One
		}
		for i := range b.Switches {
			b.Switches[i].Price, b.Switches[i].One = a.Switches[i].Price, a.Switches[i].One
		}
		if err := b.prove(p, o); err != nil {
			return err
		}
		*a = *b
		return nil
	}
	hold(pt)
	cost := l.setCost()
	together := cost && o.precision() >= coarse
	if cost && !together {
		next, err := l.p.solve(o.precision(), maxSteps, o.Stop)
		if err != nil {
			return err
		}
		if err := take(next, 2); err != nil {
			return err
		}
		hold(next)
	}
	l.setEven(together)
	next, err := l.p.solve(o.precision(), maxSteps, o.Stop)
	if err != nil {
		return err
	}
	return take(next, 3)
}

// prove has the independent verifier look at an answer.
func (a *Answer) prove(p *Problem, o Options) error {
	proof, err := Verify(p, a, o.gap())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnverified, err)
	}
	a.Worth, a.Bound, a.Gap = proof.Worth, proof.Bound, proof.Gap
	return nil
}

// answer reads a plan off a point: small errors of rounding are taken out, so
// that every load is within its capacity and every demand adds up.
func (l *layout) answer(pt *point) *Answer {
	m := l.m
	flow := make([][]float64, len(m.Demands))
	for i := range flow {
		flow[i] = make([]float64, len(m.paths[i]))
	}
	for _, b := range l.part {
		for k := range m.paths[b.demand] {
			flow[b.demand][k] += max(0, pt.x[b.col+k]) * b.rate
		}
	}
	load := make([]float64, len(m.res))
	count := func(i, k int, v float64) {
		h := m.paths[i][k]
		for _, r := range h.legs[:h.nlegs] {
			load[r] += v * m.erlangs[i]
		}
		for _, r := range h.procs[:h.nprocs] {
			load[r] += v
		}
	}
	for i, d := range m.Demands {
		sum := 0.0
		for k, v := range flow[i] {
			if v < dust*m.rate[i] {
				flow[i][k] = 0
			}
			sum += flow[i][k]
		}
		for k := range flow[i] {
			if sum > d.Rate {
				flow[i][k] *= d.Rate / sum
			}
			count(i, k, flow[i][k])
		}
	}
	fit := make([]float64, len(m.res))
	for r := range fit {
		fit[r] = 1
		if load[r] > m.res[r].capacity {
			fit[r] = m.res[r].capacity / load[r]
		}
	}
	clear(load)
	a := &Answer{Routes: make([]Route, 0, len(m.Demands))}
	carried := make([]float64, len(m.quotas))
	for i, d := range m.Demands {
		t := Route{Demand: d}
		sum := 0.0
		for k, h := range m.paths[i] {
			f := 1.0
			for _, r := range h.legs[:h.nlegs] {
				f = min(f, fit[r])
			}
			for _, r := range h.procs[:h.nprocs] {
				f = min(f, fit[r])
			}
			v := flow[i][k] * f
			if v == 0 {
				continue
			}
			count(i, k, v)
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
		if j := m.ofDemand[i]; j >= 0 {
			carried[j] += sum * m.worth[i]
		}
	}
	for j, q := range m.quotas {
		a.Tenants = append(a.Tenants, Admit{m.Tenants[q.tenant].ID, m.Switches[q.sw].ID, q.offered, q.amount, carried[j]})
	}
	groups, procs := 0.0, 0.0
	for _, res := range m.res {
		if res.group >= 0 {
			groups += res.capacity
		} else {
			procs += res.capacity
		}
	}
	for g, e := range m.Groups {
		n := Load{A: e.A, B: e.B}
		if r := m.ofGroup[g]; r >= 0 {
			n.Load, n.Capacity = load[r], m.res[r].capacity
			a.Roughness += n.Load / n.Capacity * n.Load / groups
		}
		a.Groups = append(a.Groups, n)
	}
	for s, e := range m.Switches {
		n := Load{A: e.ID}
		if r := m.ofSw[s]; r >= 0 {
			n.Load, n.Capacity = load[r], m.res[r].capacity
			a.Roughness += n.Load / n.Capacity * n.Load / procs
		}
		a.Switches = append(a.Switches, n)
	}
	return a
}

// price fills in the prices that the worth's program found.
func (l *layout) price(a *Answer, pt *point) {
	m := l.m
	of := func(row int) float64 {
		if row < 0 {
			return 0
		}
		if y := -pt.yr[row]; y > 1e-8 { // less is noise
			return y * l.scaleW
		}
		return 0
	}
	for g, e := range m.Groups {
		if r := m.ofGroup[g]; r >= 0 && l.resRow[r] >= 0 {
			n := &a.Groups[g]
			n.Price = of(l.resRow[r]) / m.scale(r)
			n.One = n.Price * (capacity(e.Circuits+1, m.res[r].mix, m.Target) - n.Capacity)
		}
	}
	for s := range m.Switches {
		if r := m.ofSw[s]; r >= 0 && l.resRow[r] >= 0 {
			a.Switches[s].Price = of(l.resRow[r]) / m.scale(r)
			a.Switches[s].One = a.Switches[s].Price
		}
	}
	a.Shares = make([]float64, len(m.quotas))
	for j, q := range m.quotas {
		if l.quoRow[j] >= 0 {
			a.Shares[j] = min(1-beyondShare, of(l.quoRow[j])/q.most)
		}
	}
	// An offer far beyond its exchange's processor multiplies what rounding leaves of
	// its gain; the processor's price takes that up for less.
	for i, d := range m.Demands {
		s := m.sw[d.From]
		if d.Rate <= m.Switches[s].SetUps || len(m.paths[i]) == 0 {
			continue
		}
		least := math.Inf(1)
		for _, h := range m.paths[i] {
			sum := 0.0
			for _, r := range h.legs[:h.nlegs] {
				sum += a.Groups[m.res[r].group].Price * m.erlangs[i]
			}
			for _, r := range h.procs[:h.nprocs] {
				sum += a.Switches[m.res[r].sw].Price
			}
			least = min(least, sum)
		}
		gain := m.worth[i] - least
		if j := m.ofDemand[i]; j >= 0 {
			gain -= a.Shares[j] * m.worth[i]
		}
		if gain > 0 {
			a.Switches[s].Price += gain * (1 + 1e-12)
		}
	}
}

// shortfall is the proof that musts don't fit.
type shortfall struct {
	demands   []int // of which a part counts in the proof
	resources []int
}

// fits says how much of the musts may fall short by rounding.
const fits = 1e-6

// short solves the musts alone and returns nil if they fit.
func (m *model) short(w want, o Options) (*shortfall, int, error) {
	w.elastic, w.only = true, true
	total := 0.0
	var lone []int
	for i, d := range m.Demands {
		if d.Must > 0 && (w.skipDem == nil || !w.skipDem(i)) {
			total += d.Must
			if len(m.paths[i]) == 0 {
				lone = append(lone, i)
			}
		}
	}
	if len(lone) > 0 {
		return &shortfall{demands: lone[:1]}, 0, nil
	}
	if total == 0 {
		return nil, 0, nil
	}
	l := m.lay(w)
	for _, b := range l.part {
		l.p.c[b.lost] = b.rate / total
	}
	pt, err := l.p.solve(finest, maxSteps, o.Stop)
	if err != nil {
		return nil, 0, err
	}
	missed := 0.0
	for _, b := range l.part {
		missed = max(missed, pt.x[b.lost])
	}
	if missed <= fits {
		return nil, pt.steps, nil
	}
	s := &shortfall{}
	for k, b := range l.part {
		if pt.yb[k] > 1e-6*b.rate/total {
			s.demands = append(s.demands, b.demand)
		}
	}
	for r, row := range l.resRow {
		if row >= 0 && -pt.yr[row] > 1e-9 {
			s.resources = append(s.resources, r)
		}
	}
	return s, pt.steps, nil
}

// Constraint is one demand or capacity of a conflict.
type Constraint struct {
	Demand *Demand // or nil
	A, B   string  // a group's ends; B is "" for a switch
}

func (c Constraint) String() string {
	switch {
	case c.Demand != nil:
		return fmt.Sprintf("demand %s %s to %s must carry %g calls/s", c.Demand.Class, c.Demand.From, c.Demand.To, c.Demand.Must)
	case c.B != "":
		return fmt.Sprintf("group %s-%s", c.A, c.B)
	}
	return "switch " + c.A
}

// Addition is capacity that would have to be bought.
type Addition struct {
	A, B     string  // a group's ends; B is "" for a switch
	Circuits int     // of a group
	SetUps   float64 // a second, of a switch
	Cost     float64
}

// Infeasible says that the musts can't all be carried.
type Infeasible struct {
	// Conflict is a minimal set of demands and capacities that contradict each
	// other: without any one of them the rest fit.
	Conflict []Constraint
	// Additions is the cheapest addition with which all musts fit, rounded up to
	// whole circuits; empty with NoRoute.
	Additions []Addition
	Cost      float64
	NoRoute   bool // the one demand of Conflict has no path, whatever is added to the groups
}

func (e *Infeasible) Error() string {
	s := "plan: no answer: these contradict each other:"
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

// explain finds the conflict and the cheapest enlargement. If the solver fails on
// the way its error is returned in place of a set that might not be minimal.
func (m *model) explain(p *Problem, bad *shortfall, o Options) error {
	inDem, inRes := map[int]bool{}, map[int]bool{}
	all := func() {
		for i, d := range m.Demands {
			if d.Must > 0 {
				inDem[i] = true
			}
		}
		for r := range m.res {
			inRes[r] = true
		}
	}
	for _, i := range bad.demands {
		inDem[i] = true
	}
	for _, r := range bad.resources {
		inRes[r] = true
	}
	clash := func() (bool, error) {
		s, _, err := m.short(want{skipDem: func(i int) bool { return !inDem[i] }, skipRes: func(r int) bool { return !inRes[r] }}, o)
		return s != nil, err
	}
	if still, err := clash(); err != nil {
		return err
	} else if !still { // the proof lost a member in rounding: begin with all
		all()
	}
	drop := func(in map[int]bool, k int) error {
		if !in[k] {
			return nil
		}
		delete(in, k)
		still, err := clash()
		if !still {
			in[k] = true
		}
		return err
	}
	for r := range m.res {
		if err := drop(inRes, r); err != nil {
			return err
		}
	}
	for i := range m.Demands {
		if err := drop(inDem, i); err != nil {
			return err
		}
	}
	e := &Infeasible{}
	for i := range m.Demands {
		if inDem[i] {
			d := m.Demands[i]
			e.Conflict = append(e.Conflict, Constraint{Demand: &d})
		}
	}
	for r, res := range m.res {
		if !inRes[r] {
			continue
		}
		if res.group >= 0 {
			e.Conflict = append(e.Conflict, Constraint{A: m.Groups[res.group].A, B: m.Groups[res.group].B})
		} else {
			e.Conflict = append(e.Conflict, Constraint{A: m.Switches[res.sw].ID})
		}
	}
	if err := e.enlarge(p, o); err != nil {
		return err
	}
	return e
}

// enlarge finds the cheapest addition with which the musts fit.
func (e *Infeasible) enlarge(p *Problem, o Options) error {
	m := newModel(p, true)
	for i, d := range m.Demands {
		if d.Must > 0 && len(m.paths[i]) == 0 {
			e.NoRoute = true
			return nil
		}
	}
	l := m.lay(want{only: true, grow: true})
	scale := 1.0
	for _, c := range l.p.c {
		scale = max(scale, c)
	}
	for j := range l.p.c {
		l.p.c[j] /= scale
	}
	pt, err := l.p.solve(finest, maxSteps, o.Stop)
	if err != nil {
		return err
	}
	bigger := *m.Problem
	bigger.Groups = append([]Group(nil), m.Groups...)
	bigger.Switches = append([]Switch(nil), m.Switches...)
	// A group must be as wide as the calls that the program sends over it.
	width := make([]int, len(m.res))
	for _, b := range l.part {
		for k, h := range m.paths[b.demand] {
			for _, r := range h.legs[:h.nlegs] {
				if pt.x[b.col+k] > dust {
					width[r] = max(width[r], m.Classes[m.class[m.Demands[b.demand].Class]].Width)
				}
			}
		}
	}
	bought := map[int]Addition{}
	for r, res := range m.res {
		if l.resRow[r] < 0 {
			continue
		}
		if g := res.group; g >= 0 && m.Groups[g].Circuits < width[r] {
			bought[r] = Addition{A: m.Groups[g].A, B: m.Groups[g].B, Circuits: width[r] - m.Groups[g].Circuits}
			bigger.Groups[g].Circuits = width[r]
		}
		more := max(0, pt.x[l.slack[r]+1]) * m.scale(r)
		if more <= 1e-6*max(1, res.capacity) {
			continue
		}
		if g := res.group; g >= 0 {
			n := circuitsFor(res.capacity+more*(1-1e-7), res.mix, m.Target)
			n = max(n, width[r])
			bought[r] = Addition{A: m.Groups[g].A, B: m.Groups[g].B, Circuits: n - m.Groups[g].Circuits}
			bigger.Groups[g].Circuits = n
		} else {
			more *= 1 + 1e-6 // the rounding of the check
			bought[r] = Addition{A: m.Switches[res.sw].ID, SetUps: more}
			bigger.Switches[res.sw].SetUps += more
		}
	}
	fit := func() (bool, error) {
		s, _, err := newModel(&bigger, false).short(want{}, o)
		return s == nil, err
	}
	if ok, err := fit(); err != nil {
		return err
	} else if !ok {
		return fmt.Errorf("%w: the enlargement does not fit", ErrUnverified)
	}
	// Rounding up may have bought a circuit that another one makes needless.
	for r := range m.res {
		b, ok := bought[r]
		for ok && b.Circuits > 0 {
			bigger.Groups[m.res[r].group].Circuits--
			if fine, err := fit(); err != nil {
				return err
			} else if !fine {
				bigger.Groups[m.res[r].group].Circuits++
				break
			}
			b.Circuits--
		}
		if ok {
			bought[r] = b
		}
	}
	for r := range m.res {
		b, ok := bought[r]
		if !ok || b.Circuits == 0 && b.SetUps == 0 {
			continue
		}
		b.Cost = m.priceOf(r) * (float64(b.Circuits) + b.SetUps)
		e.Cost += b.Cost
		e.Additions = append(e.Additions, b)
	}
	if math.IsNaN(e.Cost) {
		return errNumeric
	}
	return nil
}
