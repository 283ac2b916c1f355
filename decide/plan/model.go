package plan

import (
	"math"
	"slices"
)

// path is one route of a demand: direct or via one tandem. legs and processors hold
// indexes of resources.
type path struct {
	via            int // index of the tandem's switch, or -1: direct
	legs           [2]int
	legCount       int // 1 or 2
	processors     [3]int
	processorCount int
	cost           float64 // for each call/s
}

// resource is a group or a processor with its planned capacity. One of the two indexes
// is -1.
type resource struct {
	groupIndex  int // or -1
	switchIndex int // or -1
	capacity    float64
	mix         []TrafficStream // a group's planned traffic
}

// quota is the worth that a tenant's share grants it at one switch.
type quota struct {
	tenantIndex, switchIndex int
	offered, amount          float64 // worth per second
	maxCarried               float64 // upper bound on the carried part of offered
}

// model is a sorted problem with its paths, capacities and quotas.
type model struct {
	*Problem
	classIndex     map[string]int
	switchIndex    map[string]int
	groupBetween   [][]int  // by two switch indexes: the group between them, or -1
	paths          [][]path // by demand
	resources      []resource
	groupResource  []int     // by group: index in resources, or -1 if it has no capacity
	switchResource []int     // by switch: the same
	quotas         []quota   // one for each tenant and originating switch with demand
	demandQuota    []int     // by demand: index in quotas, or -1
	erlangsPerRate []float64 // by demand: erlangs of circuits for each call/s
	callWorth      []float64 // by demand: worth of one call
	boundedRate    []float64 // by demand: its rate, limited according to maxRate
	totalRate      float64   // sum of boundedRate
}

// newModel builds the model of a checked problem. With expandable, resources without
// capacity are included, so that capacity can be added to them.
func newModel(problem *Problem, expandable bool) *model {
	p := problem.sorted()
	m := &model{Problem: p, classIndex: map[string]int{}, switchIndex: map[string]int{}}
	for i, c := range p.Classes {
		m.classIndex[c.ID] = i
	}
	for i, s := range p.Switches {
		m.switchIndex[s.ID] = i
	}
	n := len(p.Switches)
	m.groupBetween = make([][]int, n)
	for i := range m.groupBetween {
		m.groupBetween[i] = slices.Repeat([]int{-1}, n)
	}
	for g, e := range p.Groups {
		a, b := m.switchIndex[e.A], m.switchIndex[e.B]
		m.groupBetween[a][b], m.groupBetween[b][a] = g, g
	}
	mixes := m.trafficMixes()
	m.groupResource, m.switchResource = make([]int, len(p.Groups)), make([]int, n)
	for g, e := range p.Groups {
		m.groupResource[g] = -1
		if c := plannedCapacity(e.Circuits, mixes[g], p.Target); c > 0 || expandable {
			m.groupResource[g] = len(m.resources)
			m.resources = append(m.resources, resource{groupIndex: g, switchIndex: -1, capacity: c, mix: mixes[g]})
		}
	}
	for i, s := range p.Switches {
		m.switchResource[i] = -1
		if s.Phase == Up && (s.SetUps > 0 || expandable) {
			m.switchResource[i] = len(m.resources)
			m.resources = append(m.resources, resource{groupIndex: -1, switchIndex: i, capacity: s.SetUps})
		}
	}
	m.erlangsPerRate, m.callWorth, m.boundedRate = make([]float64, len(p.Demands)), make([]float64, len(p.Demands)), make([]float64, len(p.Demands))
	m.paths = make([][]path, len(p.Demands))
	for i, d := range p.Demands {
		c := p.Classes[m.classIndex[d.Class]]
		m.erlangsPerRate[i] = c.Hold * float64(c.Width)
		m.callWorth[i] = c.Worth
		if d.Rate > 0 {
			m.paths[i] = m.pathsOf(m.switchIndex[d.From], m.switchIndex[d.To], c, expandable)
		}
		m.boundedRate[i] = d.Rate
		if !expandable {
			m.boundedRate[i] = max(min(d.Rate, 2*m.maxRate(i)), d.Must)
		}
		m.totalRate += m.boundedRate[i]
	}
	m.computeQuotas()
	return m
}

// maxRate returns the calls/s of a demand that the processors and groups at its ends
// could carry. The solver sees at most twice that rate, because an offer far beyond it
// would lose all other demands in rounding. Twice leaves the capacity as the binding
// constraint, so that the capacity gets the shadow price.
func (m *model) maxRate(demand int) float64 {
	from, to := m.switchIndex[m.Demands[demand].From], m.switchIndex[m.Demands[demand].To]
	rate := math.Inf(1)
	for _, s := range []int{from, to} {
		sum := 0.0
		for _, g := range m.groupBetween[s] {
			if g >= 0 && m.groupResource[g] >= 0 {
				sum += m.resources[m.groupResource[g]].capacity
			}
		}
		rate = min(rate, m.Switches[s].SetUps, sum/m.erlangsPerRate[demand])
	}
	return rate
}

// trafficMixes returns the planned mix of classes of each group: the mix of the demand
// between its ends, or of all demand if there is none between them.
func (m *model) trafficMixes() [][]TrafficStream {
	load := make([][]float64, len(m.Groups))
	total := make([]float64, len(m.Classes))
	for _, d := range m.Demands {
		k := m.classIndex[d.Class]
		c := m.Classes[k]
		e := d.Rate * c.Hold * float64(c.Width)
		total[k] += e
		if g := m.groupBetween[m.switchIndex[d.From]][m.switchIndex[d.To]]; g >= 0 {
			if load[g] == nil {
				load[g] = make([]float64, len(m.Classes))
			}
			load[g][k] += e
		}
	}
	out := make([][]TrafficStream, len(m.Groups))
	for g := range out {
		if load[g] == nil {
			load[g] = total
		}
		for k, e := range load[g] {
			out[g] = append(out[g], TrafficStream{m.Classes[k].Width, e})
		}
	}
	return out
}

// pathsOf returns the direct path, if any, and the paths via each tandem for calls of
// class c. Without expandable, a path uses only groups at least as large as the class
// is wide.
func (m *model) pathsOf(from, to int, c Class, expandable bool) []path {
	usable := func(g int) bool {
		return g >= 0 && m.groupResource[g] >= 0 && (expandable || m.Groups[g].Circuits >= c.Width)
	}
	if m.switchResource[from] < 0 || m.switchResource[to] < 0 {
		return nil
	}
	erlangs := c.Hold * float64(c.Width)
	yardCost := func(a, b int) float64 {
		if m.Switches[a].Yard != m.Switches[b].Yard {
			return m.Costs.Yard
		}
		return 0
	}
	var out []path
	if g := m.groupBetween[from][to]; usable(g) {
		out = append(out, path{via: -1, legs: [2]int{m.groupResource[g]}, legCount: 1,
			processors: [3]int{m.switchResource[from], m.switchResource[to]}, processorCount: 2,
			cost: yardCost(from, to) + erlangs*m.Groups[g].Cost})
	}
	for t := range m.Switches {
		if t == from || t == to || m.switchResource[t] < 0 {
			continue
		}
		g, h := m.groupBetween[from][t], m.groupBetween[t][to]
		if !usable(g) || !usable(h) {
			continue
		}
		out = append(out, path{via: t, legs: [2]int{m.groupResource[g], m.groupResource[h]}, legCount: 2,
			processors: [3]int{m.switchResource[from], m.switchResource[t], m.switchResource[to]}, processorCount: 3,
			cost: m.Costs.Tandem + yardCost(from, t) + yardCost(t, to) + erlangs*(m.Groups[g].Cost+m.Groups[h].Cost)})
	}
	return out
}

// computeQuotas sets each tenant's share of the worth offered at each switch.
func (m *model) computeQuotas() {
	offeredWorth := make([]float64, len(m.Switches))
	m.demandQuota = slices.Repeat([]int{-1}, len(m.Demands))
	quotaIndex := map[[2]int]int{}
	tenantIndex := map[string]int{}
	for i, t := range m.Tenants {
		tenantIndex[t.ID] = i
	}
	for i, d := range m.Demands {
		s := m.switchIndex[d.From]
		offeredWorth[s] += m.callWorth[i] * d.Rate
		if d.Tenant == "" {
			continue
		}
		k := [2]int{tenantIndex[d.Tenant], s}
		j, ok := quotaIndex[k]
		if !ok {
			j = len(m.quotas)
			quotaIndex[k] = j
			m.quotas = append(m.quotas, quota{tenantIndex: k[0], switchIndex: s})
		}
		m.quotas[j].offered += m.callWorth[i] * d.Rate
		m.quotas[j].maxCarried += m.callWorth[i] * m.boundedRate[i]
		m.demandQuota[i] = j
	}
	for j, q := range m.quotas {
		m.quotas[j].amount = m.Tenants[q.tenantIndex].Share * offeredWorth[q.switchIndex]
	}
}

// layout maps the parts of a model to the rows and columns of a program. Row and column
// fields hold -1 where there is none.
type layout struct {
	model        *model
	program      *program
	blocks       []block // in the order of the program's blocks
	resourceRow  []int   // by resource: its capacity row
	slackColumn  []int   // by resource: the column of its unused capacity
	quotaRow     []int   // by quota
	excessColumn []int   // by quota: the column of the worth beyond it
	worthScale   float64
	costScale    float64
}

// block is one block of the program: the part of a demand that must be carried, or the
// remaining part.
type block struct {
	demand      int
	rate        float64
	must        bool
	firstColumn int // column of its first path
	lostColumn  int // column of its lost calls, or -1
}

// layoutOptions selects the variant of the program that newLayout builds.
type layoutOptions struct {
	elastic        bool             // the required parts may be carried incompletely
	mustOnly       bool             // only the required parts are included
	skipDemand     func(d int) bool // demands to omit
	skipResource   func(r int) bool // capacity rows to omit
	expandCapacity bool             // capacity may be added at its unit cost
}

// newLayout builds the rows and columns of a program. All costs are 0, except those of
// added capacity. Path columns are scaled to shares of the block's rate, and rows to
// shares of the capacity, so that all values are near 1.
func (m *model) newLayout(options layoutOptions) *layout {
	l := &layout{model: m, program: newProgram()}
	l.resourceRow, l.slackColumn = make([]int, len(m.resources)), make([]int, len(m.resources))
	usedResources := make([]bool, len(m.resources))
	usedQuotas := make([]bool, len(m.quotas))
	for i, d := range m.Demands {
		if options.skipDemand != nil && options.skipDemand(i) || len(m.paths[i]) == 0 || options.mustOnly && d.Must == 0 || d.Rate == 0 {
			continue
		}
		if m.demandQuota[i] >= 0 && !options.mustOnly {
			usedQuotas[m.demandQuota[i]] = true
		}
		for _, h := range m.paths[i] {
			for _, r := range h.legs[:h.legCount] {
				usedResources[r] = true
			}
			for _, r := range h.processors[:h.processorCount] {
				usedResources[r] = true
			}
		}
	}
	rows := 0
	for r := range m.resources {
		l.resourceRow[r], l.slackColumn[r] = -1, -1
		if usedResources[r] && (options.skipResource == nil || !options.skipResource(r)) {
			l.resourceRow[r] = rows
			rows++
		}
	}
	l.quotaRow, l.excessColumn = make([]int, len(m.quotas)), make([]int, len(m.quotas))
	for j := range m.quotas {
		l.quotaRow[j], l.excessColumn[j] = -1, -1
		if usedQuotas[j] && m.quotas[j].maxCarried > m.quotas[j].amount {
			l.quotaRow[j] = rows
			rows++
		}
	}
	l.program.rhs = make([]float64, rows)
	var entryRows []int
	var entryValues []float64
	addBlock := func(i int, rate float64, must, slack bool) {
		if rate <= 0 {
			return
		}
		b := block{demand: i, rate: rate, must: must, firstColumn: len(l.program.c), lostColumn: -1}
		for _, h := range m.paths[i] {
			entryRows, entryValues = entryRows[:0], entryValues[:0]
			for _, r := range h.legs[:h.legCount] {
				if l.resourceRow[r] >= 0 {
					entryRows, entryValues = append(entryRows, l.resourceRow[r]), append(entryValues, rate*m.erlangsPerRate[i]/m.rowScale(r))
				}
			}
			for _, r := range h.processors[:h.processorCount] {
				if l.resourceRow[r] >= 0 {
					entryRows, entryValues = append(entryRows, l.resourceRow[r]), append(entryValues, rate/m.rowScale(r))
				}
			}
			if j := m.demandQuota[i]; j >= 0 && l.quotaRow[j] >= 0 && m.callWorth[i] > 0 {
				entryRows, entryValues = append(entryRows, l.quotaRow[j]), append(entryValues, rate*m.callWorth[i]/m.quotas[j].maxCarried)
			}
			l.program.addColumn(0, 0, entryRows, entryValues)
		}
		if slack {
			b.lostColumn = l.program.addColumn(0, 0, nil, nil)
		}
		l.program.endBlock(1)
		l.blocks = append(l.blocks, b)
	}
	for i, d := range m.Demands {
		if len(m.paths[i]) == 0 || options.skipDemand != nil && options.skipDemand(i) {
			continue
		}
		addBlock(i, d.Must, true, options.elastic)
		if !options.mustOnly {
			addBlock(i, m.boundedRate[i]-d.Must, false, true)
		}
	}
	for r := range m.resources {
		if row := l.resourceRow[r]; row >= 0 {
			l.slackColumn[r] = l.program.addColumn(0, 0, []int{row}, []float64{1})
			l.program.rhs[row] = m.resources[r].capacity / m.rowScale(r)
			if options.expandCapacity {
				l.program.addColumn(m.unitCost(r)*m.rowScale(r), 0, []int{row}, []float64{-1})
			}
		}
	}
	for j, q := range m.quotas {
		if row := l.quotaRow[j]; row >= 0 {
			l.excessColumn[j] = l.program.addColumn(0, 0, []int{row}, []float64{-1})
			l.program.addColumn(0, 0, []int{row}, []float64{1})
			l.program.rhs[row] = q.amount / q.maxCarried
		}
	}
	return l
}

// rowScale returns the divisor of a resource's row: its capacity, or 1 if it has none.
func (m *model) rowScale(r int) float64 {
	if c := m.resources[r].capacity; c > 0 {
		return c
	}
	return 1
}

// unitCost returns the cost of one more unit of a resource; a cost of 0 counts as 1.
func (m *model) unitCost(r int) float64 {
	c := m.Costs.SetUp
	if g := m.resources[r].groupIndex; g >= 0 {
		c = m.Groups[g].Cost
	}
	if c == 0 {
		return 1
	}
	return c
}

// blockWorth returns the worth per second of a block's whole rate.
func (l *layout) blockWorth(b block) float64 { return b.rate * l.model.callWorth[b.demand] }

// totalWorth returns the worth per second of all blocks.
func (l *layout) totalWorth() float64 {
	sum := 0.0
	for _, b := range l.blocks {
		sum += l.blockWorth(b)
	}
	return sum
}

// setWorthObjective makes the objective the maximum worth, scaled by totalWorth.
func (l *layout) setWorthObjective() {
	if l.worthScale = l.totalWorth(); l.worthScale == 0 {
		return // no call has worth: no objective and no prices
	}
	for _, b := range l.blocks {
		for k := range l.model.paths[b.demand] {
			l.program.c[b.firstColumn+k] = -l.blockWorth(b) / l.worthScale
		}
	}
	for j, col := range l.excessColumn {
		if col >= 0 {
			l.program.c[col] = (1 - excessWorthFactor) * l.model.quotas[j].maxCarried / l.worthScale
		}
	}
}

// setCostObjective makes the objective the minimum cost, scaled by the cost of the most
// expensive plan. It reports whether any path has a cost.
func (l *layout) setCostObjective() bool {
	clear(l.program.c)
	l.costScale = 0
	for _, b := range l.blocks {
		maxCost := 0.0
		for k, h := range l.model.paths[b.demand] {
			l.program.c[b.firstColumn+k] = b.rate * h.cost
			maxCost = max(maxCost, b.rate*h.cost)
		}
		l.costScale += maxCost
	}
	if l.costScale == 0 {
		return false
	}
	for j := range l.program.c {
		l.program.c[j] /= l.costScale
	}
	return true
}

// limitObjective adds a row that keeps the present objective at or below limit.
func (l *layout) limitObjective(limit float64) {
	p := l.program
	row := len(p.rhs)
	p.rhs = append(p.rhs, limit)
	first, rows, vals := []int{0}, make([]int, 0, len(p.rowIndex)+len(p.c)), make([]float64, 0, len(p.rowIndex)+len(p.c))
	for j, c := range p.c {
		rows = append(rows, p.rowIndex[p.columnStart[j]:p.columnStart[j+1]]...)
		vals = append(vals, p.values[p.columnStart[j]:p.columnStart[j+1]]...)
		if c != 0 {
			rows, vals = append(rows, row), append(vals, c)
		}
		first = append(first, len(rows))
	}
	p.columnStart, p.rowIndex, p.values = first, rows, vals
	p.addColumn(0, 0, []int{row}, []float64{1})
}

// leastSquaresFactor weights the sum of squared path shares, which makes the answer
// unique, against evenness.
const leastSquaresFactor = 1e-4

// evennessFactor weights evenness against cost where both form one objective.
const evennessFactor = 0.01

// setEvennessObjective makes the objective the most even utilization, and among equally
// even answers the one with the smallest sum of squared path shares. With withCost, it
// adds this term, weighted by evennessFactor, to the cost that is the present objective.
func (l *layout) setEvennessObjective(withCost bool) {
	factor := 1.0
	if withCost {
		factor = evennessFactor
	} else {
		clear(l.program.c)
	}
	groupCapacity, processorCapacity := 0.0, 0.0
	for r, res := range l.model.resources {
		if l.resourceRow[r] >= 0 && res.groupIndex >= 0 {
			groupCapacity += res.capacity
		} else if l.resourceRow[r] >= 0 {
			processorCapacity += res.capacity
		}
	}
	for r, res := range l.model.resources {
		if l.resourceRow[r] < 0 {
			continue
		}
		w := res.capacity / groupCapacity
		if res.groupIndex < 0 {
			w = res.capacity / processorCapacity
		}
		w *= factor
		// Adds w (1-s)^2, where s, the slack, is the unused share of the capacity.
		l.program.c[l.slackColumn[r]], l.program.q[l.slackColumn[r]] = -2*w, 2*w
	}
	for _, b := range l.blocks {
		for k := range l.model.paths[b.demand] {
			l.program.q[b.firstColumn+k] = factor * leastSquaresFactor * 2 * b.rate / max(l.model.totalRate, math.SmallestNonzeroFloat64)
		}
	}
}
