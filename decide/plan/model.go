package plan

import (
	"math"
	"slices"
)

// path is one way of a demand.
type path struct {
	via    int // switch, or -1: direct
	legs   [2]int
	nlegs  int // groups it crosses
	procs  [3]int
	nprocs int
	cost   float64 // a call a second
}

// resource is a group or a processor with its planned capacity.
type resource struct {
	group    int // or -1
	sw       int // or -1
	capacity float64
	mix      []TrafficStream // of a group
}

// quota is a tenant's share at one switch.
type quota struct {
	tenant, sw      int
	offered, amount float64 // worth a second
	most            float64 // of offered that could be carried
}

// model is a sorted problem with its paths, capacities and quotas.
type model struct {
	*Problem
	class     map[string]int
	sw        map[string]int
	groupAt   [][]int  // by two switches: the group between them, or -1
	paths     [][]path // by demand
	res       []resource
	ofGroup   []int   // by group: place in res, or -1 where it has no capacity
	ofSw      []int   // by switch: the same
	quotas    []quota // for each demand's tenant and switch that has one
	ofDemand  []int   // by demand: place in quotas, or -1
	erlangs   []float64
	worth     []float64 // of one call, by demand
	rate      []float64 // by demand: its rate, or all that its ends could carry if that is less
	totalRate float64   // of those
}

// newModel lays a checked problem out. With open, resources without capacity
// carry paths too: for enlargements.
func newModel(q *Problem, open bool) *model {
	p := q.sorted()
	m := &model{Problem: p, class: map[string]int{}, sw: map[string]int{}}
	for i, c := range p.Classes {
		m.class[c.ID] = i
	}
	for i, s := range p.Switches {
		m.sw[s.ID] = i
	}
	n := len(p.Switches)
	m.groupAt = make([][]int, n)
	for i := range m.groupAt {
		m.groupAt[i] = slices.Repeat([]int{-1}, n)
	}
	for g, e := range p.Groups {
		a, b := m.sw[e.A], m.sw[e.B]
		m.groupAt[a][b], m.groupAt[b][a] = g, g
	}
	mixes := m.mixes()
	m.ofGroup, m.ofSw = make([]int, len(p.Groups)), make([]int, n)
	for g, e := range p.Groups {
		m.ofGroup[g] = -1
		if c := capacity(e.Circuits, mixes[g], p.Target); c > 0 || open {
			m.ofGroup[g] = len(m.res)
			m.res = append(m.res, resource{group: g, sw: -1, capacity: c, mix: mixes[g]})
		}
	}
	for i, s := range p.Switches {
		m.ofSw[i] = -1
		if s.Phase == Up && (s.SetUps > 0 || open) {
			m.ofSw[i] = len(m.res)
			m.res = append(m.res, resource{group: -1, sw: i, capacity: s.SetUps})
		}
	}
	m.erlangs, m.worth, m.rate = make([]float64, len(p.Demands)), make([]float64, len(p.Demands)), make([]float64, len(p.Demands))
	m.paths = make([][]path, len(p.Demands))
	for i, d := range p.Demands {
		c := p.Classes[m.class[d.Class]]
		m.erlangs[i] = c.Hold * float64(c.Width)
		m.worth[i] = c.Worth
		if d.Rate > 0 {
			m.paths[i] = m.pathsOf(m.sw[d.From], m.sw[d.To], c, open)
		}
		m.rate[i] = d.Rate
		if !open {
			m.rate[i] = max(min(d.Rate, 2*m.most(i)), d.Must)
		}
		m.totalRate += m.rate[i]
	}
	m.makeQuotas()
	return m
}

// most is what the processors and groups at a demand's ends could carry of it. An
// offer far beyond that would drown all others in rounding. Twice as much may be
// offered as it is, so that what binds, and has a price, is the capacity.
func (m *model) most(i int) float64 {
	from, to := m.sw[m.Demands[i].From], m.sw[m.Demands[i].To]
	most := math.Inf(1)
	for _, s := range []int{from, to} {
		sum := 0.0
		for _, g := range m.groupAt[s] {
			if g >= 0 && m.ofGroup[g] >= 0 {
				sum += m.res[m.ofGroup[g]].capacity
			}
		}
		most = min(most, m.Switches[s].SetUps, sum/m.erlangs[i])
	}
	return most
}

// mixes is the planned mix of classes of each group: that of the direct demand
// between its ends, or of all demand where there is none.
func (m *model) mixes() [][]TrafficStream {
	load := make([][]float64, len(m.Groups))
	all := make([]float64, len(m.Classes))
	for _, d := range m.Demands {
		k := m.class[d.Class]
		c := m.Classes[k]
		e := d.Rate * c.Hold * float64(c.Width)
		all[k] += e
		if g := m.groupAt[m.sw[d.From]][m.sw[d.To]]; g >= 0 {
			if load[g] == nil {
				load[g] = make([]float64, len(m.Classes))
			}
			load[g][k] += e
		}
	}
	out := make([][]TrafficStream, len(m.Groups))
	for g := range out {
		if load[g] == nil {
			load[g] = all
		}
		for k, e := range load[g] {
			out[g] = append(out[g], TrafficStream{m.Classes[k].Width, e})
		}
	}
	return out
}

func (m *model) pathsOf(from, to int, c Class, open bool) []path {
	usable := func(g int) bool {
		return g >= 0 && m.ofGroup[g] >= 0 && (open || m.Groups[g].Circuits >= c.Width)
	}
	if m.ofSw[from] < 0 || m.ofSw[to] < 0 {
		return nil
	}
	erlang := c.Hold * float64(c.Width)
	yard := func(a, b int) float64 {
		if m.Switches[a].Yard != m.Switches[b].Yard {
			return m.Costs.Yard
		}
		return 0
	}
	var out []path
	if g := m.groupAt[from][to]; usable(g) {
		out = append(out, path{via: -1, legs: [2]int{m.ofGroup[g]}, nlegs: 1,
			procs: [3]int{m.ofSw[from], m.ofSw[to]}, nprocs: 2,
			cost: yard(from, to) + erlang*m.Groups[g].Cost})
	}
	for t := range m.Switches {
		if t == from || t == to || m.ofSw[t] < 0 {
			continue
		}
		g, h := m.groupAt[from][t], m.groupAt[t][to]
		if !usable(g) || !usable(h) {
			continue
		}
		out = append(out, path{via: t, legs: [2]int{m.ofGroup[g], m.ofGroup[h]}, nlegs: 2,
			procs: [3]int{m.ofSw[from], m.ofSw[t], m.ofSw[to]}, nprocs: 3,
			cost: m.Costs.Tandem + yard(from, t) + yard(t, to) + erlang*(m.Groups[g].Cost+m.Groups[h].Cost)})
	}
	return out
}

// makeQuotas works out each tenant's share of the worth offered at each switch.
func (m *model) makeQuotas() {
	at := make([]float64, len(m.Switches))
	m.ofDemand = slices.Repeat([]int{-1}, len(m.Demands))
	place := map[[2]int]int{}
	tenant := map[string]int{}
	for i, t := range m.Tenants {
		tenant[t.ID] = i
	}
	for i, d := range m.Demands {
		s := m.sw[d.From]
		at[s] += m.worth[i] * d.Rate
		if d.Tenant == "" {
			continue
		}
		k := [2]int{tenant[d.Tenant], s}
		j, ok := place[k]
		if !ok {
			j = len(m.quotas)
			place[k] = j
			m.quotas = append(m.quotas, quota{tenant: k[0], sw: s})
		}
		m.quotas[j].offered += m.worth[i] * d.Rate
		m.quotas[j].most += m.worth[i] * m.rate[i]
		m.ofDemand[i] = j
	}
	for j, q := range m.quotas {
		m.quotas[j].amount = m.Tenants[q.tenant].Share * at[q.sw]
	}
}

// layout says where things of a model stand in a program.
type layout struct {
	m      *model
	p      *program
	part   []part // by block
	resRow []int  // by resource: its row, or -1
	slack  []int  // by resource: its slack's column, or -1
	quoRow []int  // by quota: its row
	beyond []int  // by quota: the column of worth beyond it, or -1
	scaleW float64
	scaleC float64
}

// part is one block: the part of a demand that must be carried, or the rest.
type part struct {
	demand int
	rate   float64
	must   bool
	col    int // of its first path
	lost   int // its column, or -1
}

// layout options.
type want struct {
	elastic bool             // musts may fall short
	only    bool             // musts alone
	skipDem func(d int) bool // demands left out
	skipRes func(r int) bool // capacities left out
	grow    bool             // capacities may be bought
}

// lay builds the rows and columns, with all costs 0. Path columns count in shares of
// the demand's rate and rows in shares of the capacity, so that all is near 1.
func (m *model) lay(w want) *layout {
	l := &layout{m: m, p: newProgram()}
	l.resRow, l.slack = make([]int, len(m.res)), make([]int, len(m.res))
	used := make([]bool, len(m.res))
	usedQ := make([]bool, len(m.quotas))
	for i, d := range m.Demands {
		if w.skipDem != nil && w.skipDem(i) || len(m.paths[i]) == 0 || w.only && d.Must == 0 || d.Rate == 0 {
			continue
		}
		if m.ofDemand[i] >= 0 && !w.only {
			usedQ[m.ofDemand[i]] = true
		}
		for _, h := range m.paths[i] {
			for _, r := range h.legs[:h.nlegs] {
				used[r] = true
			}
			for _, r := range h.procs[:h.nprocs] {
				used[r] = true
			}
		}
	}
	rows := 0
	for r := range m.res {
		l.resRow[r], l.slack[r] = -1, -1
		if used[r] && (w.skipRes == nil || !w.skipRes(r)) {
			l.resRow[r] = rows
			rows++
		}
	}
	l.quoRow, l.beyond = make([]int, len(m.quotas)), make([]int, len(m.quotas))
	for j := range m.quotas {
		l.quoRow[j], l.beyond[j] = -1, -1
		if usedQ[j] && m.quotas[j].most > m.quotas[j].amount {
			l.quoRow[j] = rows
			rows++
		}
	}
	l.p.rhs = make([]float64, rows)
	var rr []int
	var vv []float64
	block := func(i int, rate float64, must, slack bool) {
		if rate <= 0 {
			return
		}
		b := part{demand: i, rate: rate, must: must, col: len(l.p.c), lost: -1}
		for _, h := range m.paths[i] {
			rr, vv = rr[:0], vv[:0]
			for _, r := range h.legs[:h.nlegs] {
				if l.resRow[r] >= 0 {
					rr, vv = append(rr, l.resRow[r]), append(vv, rate*m.erlangs[i]/m.scale(r))
				}
			}
			for _, r := range h.procs[:h.nprocs] {
				if l.resRow[r] >= 0 {
					rr, vv = append(rr, l.resRow[r]), append(vv, rate/m.scale(r))
				}
			}
			if j := m.ofDemand[i]; j >= 0 && l.quoRow[j] >= 0 && m.worth[i] > 0 {
				rr, vv = append(rr, l.quoRow[j]), append(vv, rate*m.worth[i]/m.quotas[j].most)
			}
			l.p.column(0, 0, rr, vv)
		}
		if slack {
			b.lost = l.p.column(0, 0, nil, nil)
		}
		l.p.endBlock(1)
		l.part = append(l.part, b)
	}
	for i, d := range m.Demands {
		if len(m.paths[i]) == 0 || w.skipDem != nil && w.skipDem(i) {
			continue
		}
		block(i, d.Must, true, w.elastic)
		if !w.only {
			block(i, m.rate[i]-d.Must, false, true)
		}
	}
	for r := range m.res {
		if row := l.resRow[r]; row >= 0 {
			l.slack[r] = l.p.column(0, 0, []int{row}, []float64{1})
			l.p.rhs[row] = m.res[r].capacity / m.scale(r)
			if w.grow {
				l.p.column(m.priceOf(r)*m.scale(r), 0, []int{row}, []float64{-1})
			}
		}
	}
	for j, q := range m.quotas {
		if row := l.quoRow[j]; row >= 0 {
			l.beyond[j] = l.p.column(0, 0, []int{row}, []float64{-1})
			l.p.column(0, 0, []int{row}, []float64{1})
			l.p.rhs[row] = q.amount / q.most
		}
	}
	return l
}

// scale is what a resource's row is divided by.
func (m *model) scale(r int) float64 {
	if c := m.res[r].capacity; c > 0 {
		return c
	}
	return 1
}

// priceOf is what one more unit of a resource costs.
func (m *model) priceOf(r int) float64 {
	c := m.Costs.SetUp
	if g := m.res[r].group; g >= 0 {
		c = m.Groups[g].Cost
	}
	if c == 0 {
		return 1
	}
	return c
}

// worthAt is what a part's whole rate is worth a second.
func (l *layout) worthAt(b part) float64 { return b.rate * l.m.worth[b.demand] }

// totalWorth is the worth of all that may be carried.
func (l *layout) totalWorth() float64 {
	sum := 0.0
	for _, b := range l.part {
		sum += l.worthAt(b)
	}
	return sum
}

// setWorth makes the most worth the objective, in shares of all worth offered.
func (l *layout) setWorth() {
	if l.scaleW = l.totalWorth(); l.scaleW == 0 {
		return // nothing is worth anything: no objective, no prices
	}
	for _, b := range l.part {
		for k := range l.m.paths[b.demand] {
			l.p.c[b.col+k] = -l.worthAt(b) / l.scaleW
		}
	}
	for j, col := range l.beyond {
		if col >= 0 {
			l.p.c[col] = (1 - beyondShare) * l.m.quotas[j].most / l.scaleW
		}
	}
}

// setCost makes the least cost the objective, in shares of the dearest plan. It
// says whether there is any cost.
func (l *layout) setCost() bool {
	clear(l.p.c)
	l.scaleC = 0
	for _, b := range l.part {
		dear := 0.0
		for k, h := range l.m.paths[b.demand] {
			l.p.c[b.col+k] = b.rate * h.cost
			dear = max(dear, b.rate*h.cost)
		}
		l.scaleC += dear
	}
	if l.scaleC == 0 {
		return false
	}
	for j := range l.p.c {
		l.p.c[j] /= l.scaleC
	}
	return true
}

// hold adds a row that keeps the present objective at most at a value.
func (l *layout) hold(most float64) {
	p := l.p
	row := len(p.rhs)
	p.rhs = append(p.rhs, most)
	first, rows, vals := []int{0}, make([]int, 0, len(p.row)+len(p.c)), make([]float64, 0, len(p.row)+len(p.c))
	for j, c := range p.c {
		rows = append(rows, p.row[p.first[j]:p.first[j+1]]...)
		vals = append(vals, p.val[p.first[j]:p.first[j+1]]...)
		if c != 0 {
			rows, vals = append(rows, row), append(vals, c)
		}
		first = append(first, len(rows))
	}
	p.first, p.row, p.val = first, rows, vals
	p.column(0, 0, []int{row}, []float64{1})
}

// canonShare is how much the canonical answer counts against evenness.
const canonShare = 1e-4

// evenShare is what evenness counts against cost where both are one objective.
const evenShare = 0.01

// setEven makes the evenest spare room the objective, and among answers that are
// equally even the one with the least squares. With cost, it is added to the cost
// that the objective holds, at a small share.
func (l *layout) setEven(cost bool) {
	share := 1.0
	if cost {
		share = evenShare
	} else {
		clear(l.p.c)
	}
	groups, procs := 0.0, 0.0
	for r, res := range l.m.res {
		if l.resRow[r] >= 0 && res.group >= 0 {
			groups += res.capacity
		} else if l.resRow[r] >= 0 {
			procs += res.capacity
		}
	}
	for r, res := range l.m.res {
		if l.resRow[r] < 0 {
			continue
		}
		w := res.capacity / groups
		if res.group < 0 {
			w = res.capacity / procs
		}
		w *= share
		// (1-s)^2 w, with s the spare share that the slack holds.
		l.p.c[l.slack[r]], l.p.q[l.slack[r]] = -2*w, 2*w
	}
	for _, b := range l.part {
		for k := range l.m.paths[b.demand] {
			l.p.q[b.col+k] = share * canonShare * 2 * b.rate / max(l.m.totalRate, math.SmallestNonzeroFloat64)
		}
	}
}
