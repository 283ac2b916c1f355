package plan

import (
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// program is: least sum of c x + q x^2/2, with x >= 0, where each column x stands in
// at most one of the block rows (sum of a block's columns = want) and in a few of
// the shared rows (sum of val x = rhs). Columns of a block are adjacent.
type program struct {
	blocks []int // first column of each block, and one past the last
	want   []float64
	rhs    []float64
	c, q   []float64
	first  []int // by column: where its entries begin in row and val
	row    []int
	val    []float64
}

func newProgram() *program { return &program{blocks: []int{0}, first: []int{0}} }

// column adds a column; entries come as pairs of row and value.
func (p *program) column(c, q float64, rows []int, vals []float64) int {
	p.c, p.q = append(p.c, c), append(p.q, q)
	p.row, p.val = append(p.row, rows...), append(p.val, vals...)
	p.first = append(p.first, len(p.row))
	return len(p.c) - 1
}

// endBlock closes the block of the columns added since the last one.
func (p *program) endBlock(want float64) {
	p.blocks = append(p.blocks, len(p.c))
	p.want = append(p.want, want)
}

// point is a primal and dual point of a program.
type point struct {
	x, z  []float64
	yb    []float64 // prices of block rows
	yr    []float64 // prices of shared rows
	steps int
	err   float64 // largest of the relative residuals and the gap
}

// coarse is the tolerance from which speed counts: several corrections for each
// factor, and no refinement. Below it Mehrotra's own steps end closer.
const coarse = 1e-6

// Centrality: how many further corrections a step may take, and how much longer
// each tries to make it.
const (
	correctors = 3
	reachOut   = 0.3
)

// stalled is how many steps may pass without halving the error.
const stalled = 15

var errNumeric = errors.New("plan: the solver lost its way in rounding")

// solver holds a program and what one step needs.
type solver struct {
	*program
	theta  []float64
	bsum   []float64 // by block: sum of theta
	schur  []float64
	chol   mat.Cholesky
	g      []float64 // scratch: one block's row of the coupling
	marked []bool
	hit    []int
	packed []float64
	refine bool
}

// solve finds the optimum by Mehrotra's predictor and corrector. It ends when
// residuals and gap are below tol relative to the program's scale, or with the
// best point seen if rounding allows no better one; the point's err tells.
func (p *program) solve(tol float64, most int, stop func() bool) (*point, error) {
	n, nb, nr := len(p.c), len(p.want), len(p.rhs)
	s := &solver{program: p, refine: tol < coarse, theta: make([]float64, n), bsum: make([]float64, nb),
		schur: make([]float64, nr*nr), g: make([]float64, nr), marked: make([]bool, nr)}
	pt := &point{}
	if err := s.start(pt); err != nil {
		return nil, err
	}
	quadratic := false
	for _, q := range p.q {
		quadratic = quadratic || q > 0
	}
	nb1, nc1 := 1+norm(p.want)+norm(p.rhs), 1+norm(p.c)
	var best *point
	last, lastErr := 0, math.Inf(1) // the last step that made a difference
	rpb, rpr, rd := make([]float64, nb), make([]float64, nr), make([]float64, n)
	rc, dx, dz := make([]float64, n), make([]float64, n), make([]float64, n)
	keepX, keepZ := make([]float64, n), make([]float64, n)
	zeroB, zeroR, zeroD := make([]float64, nb), make([]float64, nr), make([]float64, n)
	steps := func() (ap, ad float64) {
		if ap, ad = stepTo(pt.x, dx), stepTo(pt.z, dz); quadratic {
			ap = min(ap, ad)
			ad = ap
		}
		return ap, ad
	}
	for pt.steps = 0; ; pt.steps++ {
		s.residuals(pt, rpb, rpr, rd)
		gap, obj := 0.0, 0.0
		for j, x := range pt.x {
			gap += x * pt.z[j]
			obj += p.c[j]*x + p.q[j]*x*x/2
		}
		pt.err = max((norm(rpb)+norm(rpr))/nb1, norm(rd)/nc1, gap/(1+math.Abs(obj)))
		if math.IsNaN(pt.err) {
			break
		}
		if best == nil || pt.err < best.err {
			best = pt.clone()
		}
		if best.err < lastErr/2 {
			last, lastErr = pt.steps, best.err
		}
		if pt.err <= tol || pt.steps >= most || pt.err > 1e6*best.err || pt.steps > last+stalled {
			break
		}
		if stop != nil && stop() {
			return nil, ErrStopped
		}
		mu := gap / float64(n)
		for j := range s.theta {
			s.theta[j] = 1 / (pt.z[j]/pt.x[j] + p.q[j])
		}
		if !s.factor() {
			break
		}
		for j := range rc {
			rc[j] = -pt.x[j] * pt.z[j]
		}
		dyb, dyr := s.direction(pt, rpb, rpr, rd, rc, dx, dz)
		ap, ad := steps()
		after := 0.0
		for j := range dx {
			after += (pt.x[j] + ap*dx[j]) * (pt.z[j] + ad*dz[j])
		}
		sigma := math.Pow(after/gap, 3)
		second := 1.0
		if !s.refine {
			second = ap * ad
		}
		for j := range rc {
			rc[j] = sigma*mu - pt.x[j]*pt.z[j] - second*dx[j]*dz[j]
		}
		dyb, dyr = s.direction(pt, rpb, rpr, rd, rc, dx, dz)
		ap, ad = steps()
		// Gondzio's correctors: beside large factors a further solve is
		// cheap, and a step that stays well inside goes further the next time.
		for k := 0; k < correctors && !s.refine; k++ {
			tp, td := min(1, ap+reachOut), min(1, ad+reachOut)
			for j := range rc {
				v := (pt.x[j] + tp*dx[j]) * (pt.z[j] + td*dz[j])
				low, high := sigma*mu*0.1, sigma*mu*10
				switch {
				case v < low:
					rc[j] = low - v
				case v > high:
					rc[j] = max(high-v, -high)
				default:
					rc[j] = 0
				}
			}
			copy(keepX, dx)
			copy(keepZ, dz)
			cyb, cyr := s.direction(pt, zeroB, zeroR, zeroD, rc, dx, dz)
			axpy(1, keepX, dx)
			axpy(1, keepZ, dz)
			np, nd := steps()
			if np+nd < ap+ad+0.1*reachOut {
				copy(dx, keepX)
				copy(dz, keepZ)
				break
			}
			ap, ad = np, nd
			axpy(1, cyb, dyb)
			axpy(1, cyr, dyr)
		}
		back := 0.95 // not quite to the edge
		if s.refine {
			back = min(max(0.9, 1-mu), 0.9995)
		}
		ap, ad = min(1, back*ap), min(1, back*ad)
		for j := range dx {
			pt.x[j] += ap * dx[j]
			pt.z[j] += ad * dz[j]
		}
		axpy(ad, dyb, pt.yb)
		axpy(ad, dyr, pt.yr)
	}
	if best == nil {
		return nil, errNumeric
	}
	best.steps = pt.steps
	return best, nil
}

func (pt *point) clone() *point {
	c := *pt
	c.x, c.z = append([]float64(nil), pt.x...), append([]float64(nil), pt.z...)
	c.yb, c.yr = append([]float64(nil), pt.yb...), append([]float64(nil), pt.yr...)
	return &c
}

// start is Mehrotra's: the least-squares point, shifted inside.
func (s *solver) start(pt *point) error {
	n, nb, nr := len(s.c), len(s.want), len(s.rhs)
	pt.x, pt.z = make([]float64, n), make([]float64, n)
	pt.yb, pt.yr = make([]float64, nb), make([]float64, nr)
	for j := range s.theta {
		s.theta[j] = 1
	}
	if !s.factor() {
		return errNumeric
	}
	yb, yr := s.normal(s.want, s.rhs)
	for j := range pt.x {
		pt.x[j] = 0
	}
	s.transpose(yb, yr, pt.x)
	ab, ar := make([]float64, nb), make([]float64, nr)
	s.times(s.c, ab, ar)
	yb, yr = s.normal(ab, ar)
	copy(pt.yb, yb)
	copy(pt.yr, yr)
	s.transpose(yb, yr, pt.z)
	for j := range pt.z {
		pt.z[j] = s.c[j] - pt.z[j]
	}
	shift := func(v []float64) {
		least := 0.0
		for _, x := range v {
			least = min(least, x)
		}
		for j := range v {
			v[j] -= 1.5 * least
		}
	}
	shift(pt.x)
	shift(pt.z)
	dot, sx, sz := 0.0, 0.0, 0.0
	for j := range pt.x {
		dot += pt.x[j] * pt.z[j]
		sx += pt.x[j]
		sz += pt.z[j]
	}
	dx, dz := 0.1, 0.1
	if sz > 0 {
		dx = max(dx, dot/sz/2)
	}
	if sx > 0 {
		dz = max(dz, dot/sx/2)
	}
	for j := range pt.x {
		pt.x[j] += dx
		pt.z[j] += dz
	}
	return nil
}

// times adds up the rows for a vector of columns.
func (s *solver) times(x, b, r []float64) {
	clear(b)
	clear(r)
	for d := range s.want {
		for j := s.blocks[d]; j < s.blocks[d+1]; j++ {
			b[d] += x[j]
		}
	}
	for j, v := range x {
		for i := s.first[j]; i < s.first[j+1]; i++ {
			r[s.row[i]] += s.val[i] * v
		}
	}
}

// transpose adds up the prices for each column.
func (s *solver) transpose(yb, yr, out []float64) {
	for d := range s.want {
		for j := s.blocks[d]; j < s.blocks[d+1]; j++ {
			out[j] = yb[d]
		}
	}
	for j := s.blocks[len(s.want)]; j < len(s.c); j++ {
		out[j] = 0
	}
	for j := range out {
		for i := s.first[j]; i < s.first[j+1]; i++ {
			out[j] += s.val[i] * yr[s.row[i]]
		}
	}
}

func (s *solver) residuals(pt *point, rpb, rpr, rd []float64) {
	s.times(pt.x, rpb, rpr)
	for d := range rpb {
		rpb[d] = s.want[d] - rpb[d]
	}
	for r := range rpr {
		rpr[r] = s.rhs[r] - rpr[r]
	}
	s.transpose(pt.yb, pt.yr, rd)
	for j := range rd {
		rd[j] = s.c[j] + s.q[j]*pt.x[j] - rd[j] - pt.z[j]
	}
}

// factor builds the normal equations, takes the blocks out by hand and factors
// what is left. It says whether that went well.
func (s *solver) factor() bool {
	nr := len(s.rhs)
	clear(s.schur)
	put := func(j int) {
		t := s.theta[j]
		for a := s.first[j]; a < s.first[j+1]; a++ {
			for b := s.first[j]; b < s.first[j+1]; b++ {
				if s.row[b] >= s.row[a] {
					s.schur[s.row[a]*nr+s.row[b]] += t * s.val[a] * s.val[b]
				}
			}
		}
	}
	for d := range s.want {
		sum := 0.0
		s.hit = s.hit[:0]
		for j := s.blocks[d]; j < s.blocks[d+1]; j++ {
			sum += s.theta[j]
			put(j)
			for i := s.first[j]; i < s.first[j+1]; i++ {
				if r := s.row[i]; !s.marked[r] {
					s.marked[r] = true
					s.hit = append(s.hit, r)
				}
				s.g[s.row[i]] += s.theta[j] * s.val[i]
			}
		}
		s.bsum[d] = sum
		slices.Sort(s.hit)
		s.packed = s.packed[:0]
		for _, a := range s.hit {
			s.packed = append(s.packed, s.g[a])
		}
		for k, a := range s.hit {
			w := s.packed[k] / sum
			line := s.schur[a*nr : a*nr+nr]
			rest := s.packed[k:]
			for i, b := range s.hit[k:] {
				line[b] -= w * rest[i]
			}
		}
		for _, a := range s.hit {
			s.g[a], s.marked[a] = 0, false
		}
	}
	for j := s.blocks[len(s.want)]; j < len(s.c); j++ {
		put(j)
	}
	if nr == 0 {
		return true
	}
	for lift := 1e-15; lift < 1e-6; lift *= 100 {
		for r := range nr {
			s.schur[r*nr+r] *= 1 + lift
			s.schur[r*nr+r] += 1e-30
		}
		if s.chol.Factorize(mat.NewSymDense(nr, s.schur)) {
			return true
		}
	}
	return false
}

// normal solves the normal equations for a right side.
func (s *solver) normal(hb, hr []float64) (yb, yr []float64) {
	nb, nr := len(s.want), len(s.rhs)
	yb, yr = make([]float64, nb), make([]float64, nr)
	copy(yr, hr)
	for d := range s.want {
		w := hb[d] / s.bsum[d]
		for j := s.blocks[d]; j < s.blocks[d+1]; j++ {
			for i := s.first[j]; i < s.first[j+1]; i++ {
				yr[s.row[i]] -= w * s.theta[j] * s.val[i]
			}
		}
	}
	if nr > 0 {
		v := mat.NewVecDense(nr, yr)
		_ = s.chol.SolveVecTo(v, v) // a bad condition shows in the residuals
	}
	for d := range s.want {
		sum := hb[d]
		for j := s.blocks[d]; j < s.blocks[d+1]; j++ {
			for i := s.first[j]; i < s.first[j+1]; i++ {
				sum -= s.theta[j] * s.val[i] * yr[s.row[i]]
			}
		}
		yb[d] = sum / s.bsum[d]
	}
	return yb, yr
}

// direction is the Newton step for the given residuals; dx and dz are filled in.
func (s *solver) direction(pt *point, rpb, rpr, rd, rc, dx, dz []float64) (dyb, dyr []float64) {
	n := len(s.c)
	t := make([]float64, n)
	for j := range t {
		t[j] = s.theta[j] * (rd[j] - rc[j]/pt.x[j])
	}
	hb, hr := make([]float64, len(rpb)), make([]float64, len(rpr))
	s.times(t, hb, hr)
	axpy(1, rpb, hb)
	axpy(1, rpr, hr)
	dyb, dyr = s.normal(hb, hr)
	if s.refine { // the blocks' removal loses digits near the end
		s.transpose(dyb, dyr, dx)
		for j := range dx {
			dx[j] = s.theta[j]*dx[j] - t[j]
		}
		eb, er := make([]float64, len(rpb)), make([]float64, len(rpr))
		s.times(dx, eb, er)
		for d := range eb {
			eb[d] = rpb[d] - eb[d]
		}
		for r := range er {
			er[r] = rpr[r] - er[r]
		}
		fb, fr := s.normal(eb, er)
		axpy(1, fb, dyb)
		axpy(1, fr, dyr)
	}
	s.transpose(dyb, dyr, dx)
	for j := range dx {
		dx[j] = s.theta[j]*dx[j] - t[j]
		dz[j] = (rc[j] - pt.z[j]*dx[j]) / pt.x[j]
	}
	return dyb, dyr
}

// stepTo is how far a positive vector may go before an entry is 0.
func stepTo(x, dx []float64) float64 {
	a := 1e30
	for j, d := range dx {
		if d < 0 {
			a = min(a, -x[j]/d)
		}
	}
	return min(a, 1)
}

func axpy(a float64, x, y []float64) {
	for i := range x {
		y[i] += a * x[i]
	}
}

func norm(x []float64) float64 {
	m := 0.0
	for _, v := range x {
		m = max(m, math.Abs(v))
	}
	return m
}
