package plan

import (
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// program is a convex quadratic program in standard form: minimize the sum of
// c x + q x^2/2 over all columns, subject to x >= 0 and two kinds of equality rows. A
// block row says that the columns of one block add up to its blockSum; a shared row says
// that the sum of value times x over its entries equals its rhs. Each column belongs to
// at most one block and has entries in a few shared rows. Columns of a block are adjacent.
//
// The matrix of the shared rows is stored by columns: the entries of column j are
// rowIndex and values from columnStart[j] to columnStart[j+1].
type program struct {
	blockStart  []int // first column of each block, and one past the last
	blockSum    []float64
	rhs         []float64
	c, q        []float64 // by column: linear and quadratic cost
	columnStart []int
	rowIndex    []int
	values      []float64
}

func newProgram() *program { return &program{blockStart: []int{0}, columnStart: []int{0}} }

// addColumn adds a column with costs c and q and an entry values[i] in each shared row
// rows[i]. It returns the column's index.
func (p *program) addColumn(c, q float64, rows []int, values []float64) int {
	p.c, p.q = append(p.c, c), append(p.q, q)
	p.rowIndex, p.values = append(p.rowIndex, rows...), append(p.values, values...)
	p.columnStart = append(p.columnStart, len(p.rowIndex))
	return len(p.c) - 1
}

// endBlock ends the block of the columns added since the previous block.
func (p *program) endBlock(sum float64) {
	p.blockStart = append(p.blockStart, len(p.c))
	p.blockSum = append(p.blockSum, sum)
}

// point is a primal-dual point of a program.
type point struct {
	x, z  []float64 // primal variables and their dual slacks (reduced costs)
	yb    []float64 // dual variables of the block rows
	yr    []float64 // dual variables of the shared rows
	steps int
	err   float64 // largest of the relative primal and dual residuals and the relative gap
}

// coarseTolerance is the smallest tolerance at which the solver favours speed: it makes
// several centrality corrections for each factorization, without iterative refinement.
// Below it, Mehrotra's steps without further corrections end closer to the optimum.
const coarseTolerance = 1e-6

// Limits of Gondzio's centrality corrections.
const (
	maxCorrectors  = 3   // for each step
	correctorReach = 0.3 // increase of the step length that each correction aims at
)

// maxStalledSteps is the number of steps that may pass without halving the error.
const maxStalledSteps = 15

// errNumeric reports that rounding errors left no usable result.
var errNumeric = errors.New("plan: the solver failed because of rounding errors")

// solver holds a program, the factorization of the current step and scratch space.
type solver struct {
	*program
	theta       []float64 // by column: 1/(z/x + q), the diagonal scaling of the normal equations
	blockTheta  []float64 // by block: sum of theta
	schur       []float64 // Schur complement of the block rows, upper triangle, by rows
	chol        mat.Cholesky
	coupling    []float64 // scratch: entries of the normal equations between one block row and the shared rows
	touched     []bool    // scratch: shared rows with an entry in coupling
	touchedRows []int     // scratch: the same, as indexes
	packed      []float64 // scratch: coupling at touchedRows
	refine      bool      // refine each step once and make no centrality corrections
}

// solve finds the optimum with Mehrotra's predictor-corrector interior-point method. It
// returns when the residuals and the gap are at most tol relative to the program's scale.
// After limit steps, or if rounding prevents further progress, it returns the best point
// found, whose err may exceed tol. stop, if not nil, is called before each step; true
// ends the solve with ErrStopped.
//
// Names: n columns, nb block rows, nr shared rows; rpb and rpr are the primal residuals of
// the block and shared rows, rd the dual residual, rc the target of the complementarity
// equations; dx, dz, dyb and dyr are the Newton step; ap and ad are the primal and dual
// step lengths; mu is the barrier parameter and sigma the centering parameter.
func (p *program) solve(tol float64, limit int, stop func() bool) (*point, error) {
	n, nb, nr := len(p.c), len(p.blockSum), len(p.rhs)
	s := &solver{program: p, refine: tol < coarseTolerance, theta: make([]float64, n), blockTheta: make([]float64, nb),
		schur: make([]float64, nr*nr), coupling: make([]float64, nr), touched: make([]bool, nr)}
	pt := &point{}
	if err := s.startingPoint(pt); err != nil {
		return nil, err
	}
	quadratic := false
	for _, q := range p.q {
		quadratic = quadratic || q > 0
	}
	primalScale, dualScale := 1+maxNorm(p.blockSum)+maxNorm(p.rhs), 1+maxNorm(p.c)
	var best *point
	progressStep, progressErr := 0, math.Inf(1) // the last step that halved the error
	rpb, rpr, rd := make([]float64, nb), make([]float64, nr), make([]float64, n)
	rc, dx, dz := make([]float64, n), make([]float64, n), make([]float64, n)
	savedDX, savedDZ := make([]float64, n), make([]float64, n)
	zeroB, zeroR, zeroD := make([]float64, nb), make([]float64, nr), make([]float64, n)
	stepLengths := func() (ap, ad float64) {
		if ap, ad = maxStep(pt.x, dx), maxStep(pt.z, dz); quadratic {
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
		pt.err = max((maxNorm(rpb)+maxNorm(rpr))/primalScale, maxNorm(rd)/dualScale, gap/(1+math.Abs(obj)))
		if math.IsNaN(pt.err) {
			break
		}
		if best == nil || pt.err < best.err {
			best = pt.clone()
		}
		if best.err < progressErr/2 {
			progressStep, progressErr = pt.steps, best.err
		}
		if pt.err <= tol || pt.steps >= limit || pt.err > 1e6*best.err || pt.steps > progressStep+maxStalledSteps {
			break
		}
		if stop != nil && stop() {
			return nil, ErrStopped
		}
		mu := gap / float64(n)
		for j := range s.theta {
			s.theta[j] = 1 / (pt.z[j]/pt.x[j] + p.q[j])
		}
		if !s.factorize() {
			break
		}
		for j := range rc {
			rc[j] = -pt.x[j] * pt.z[j]
		}
		s.newtonStep(pt, rpb, rpr, rd, rc, dx, dz)
		ap, ad := stepLengths()
		affineGap := 0.0
		for j := range dx {
			affineGap += (pt.x[j] + ap*dx[j]) * (pt.z[j] + ad*dz[j])
		}
		sigma := math.Pow(affineGap/gap, 3)
		secondOrder := 1.0
		if !s.refine {
			secondOrder = ap * ad
		}
		for j := range rc {
			rc[j] = sigma*mu - pt.x[j]*pt.z[j] - secondOrder*dx[j]*dz[j]
		}
		dyb, dyr := s.newtonStep(pt, rpb, rpr, rd, rc, dx, dz)
		ap, ad = stepLengths()
		// Gondzio's centrality corrections: compared with a large factorization, one
		// more solve is cheap, and a better centred point allows a longer next step.
		for k := 0; k < maxCorrectors && !s.refine; k++ {
			tp, td := min(1, ap+correctorReach), min(1, ad+correctorReach)
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
			copy(savedDX, dx)
			copy(savedDZ, dz)
			cyb, cyr := s.newtonStep(pt, zeroB, zeroR, zeroD, rc, dx, dz)
			axpy(1, savedDX, dx)
			axpy(1, savedDZ, dz)
			np, nd := stepLengths()
			if np+nd < ap+ad+0.1*correctorReach {
				copy(dx, savedDX)
				copy(dz, savedDZ)
				break
			}
			ap, ad = np, nd
			axpy(1, cyb, dyb)
			axpy(1, cyr, dyr)
		}
		stepFraction := 0.95 // share of the step to the boundary
		if s.refine {
			stepFraction = min(max(0.9, 1-mu), 0.9995)
		}
		ap, ad = min(1, stepFraction*ap), min(1, stepFraction*ad)
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

// clone returns a deep copy.
func (pt *point) clone() *point {
	c := *pt
	c.x, c.z = append([]float64(nil), pt.x...), append([]float64(nil), pt.z...)
	c.yb, c.yr = append([]float64(nil), pt.yb...), append([]float64(nil), pt.yr...)
	return &c
}

// startingPoint sets pt to Mehrotra's starting point: the least-squares point, shifted so
// that x and z are positive.
func (s *solver) startingPoint(pt *point) error {
	n, nb, nr := len(s.c), len(s.blockSum), len(s.rhs)
	pt.x, pt.z = make([]float64, n), make([]float64, n)
	pt.yb, pt.yr = make([]float64, nb), make([]float64, nr)
	for j := range s.theta {
		s.theta[j] = 1
	}
	if !s.factorize() {
		return errNumeric
	}
	yb, yr := s.solveNormal(s.blockSum, s.rhs)
	for j := range pt.x {
		pt.x[j] = 0
	}
	s.multiplyTransposed(yb, yr, pt.x)
	ab, ar := make([]float64, nb), make([]float64, nr)
	s.multiply(s.c, ab, ar)
	yb, yr = s.solveNormal(ab, ar)
	copy(pt.yb, yb)
	copy(pt.yr, yr)
	s.multiplyTransposed(yb, yr, pt.z)
	for j := range pt.z {
		pt.z[j] = s.c[j] - pt.z[j]
	}
	shift := func(v []float64) {
		lowest := 0.0
		for _, x := range v {
			lowest = min(lowest, x)
		}
		for j := range v {
			v[j] -= 1.5 * lowest
		}
	}
	shift(pt.x)
	shift(pt.z)
	dot, sumX, sumZ := 0.0, 0.0, 0.0
	for j := range pt.x {
		dot += pt.x[j] * pt.z[j]
		sumX += pt.x[j]
		sumZ += pt.z[j]
	}
	shiftX, shiftZ := 0.1, 0.1
	if sumZ > 0 {
		shiftX = max(shiftX, dot/sumZ/2)
	}
	if sumX > 0 {
		shiftZ = max(shiftZ, dot/sumX/2)
	}
	for j := range pt.x {
		pt.x[j] += shiftX
		pt.z[j] += shiftZ
	}
	return nil
}

// multiply sets b and r to the block and shared rows of the matrix times x.
func (s *solver) multiply(x, b, r []float64) {
	clear(b)
	clear(r)
	for d := range s.blockSum {
		for j := s.blockStart[d]; j < s.blockStart[d+1]; j++ {
			b[d] += x[j]
		}
	}
	for j, v := range x {
		for i := s.columnStart[j]; i < s.columnStart[j+1]; i++ {
			r[s.rowIndex[i]] += s.values[i] * v
		}
	}
}

// multiplyTransposed sets out to the transposed matrix times the dual variables yb and yr.
func (s *solver) multiplyTransposed(yb, yr, out []float64) {
	for d := range s.blockSum {
		for j := s.blockStart[d]; j < s.blockStart[d+1]; j++ {
			out[j] = yb[d]
		}
	}
	for j := s.blockStart[len(s.blockSum)]; j < len(s.c); j++ {
		out[j] = 0
	}
	for j := range out {
		for i := s.columnStart[j]; i < s.columnStart[j+1]; i++ {
			out[j] += s.values[i] * yr[s.rowIndex[i]]
		}
	}
}

// residuals computes the primal residuals rpb and rpr and the dual residual rd at pt.
func (s *solver) residuals(pt *point, rpb, rpr, rd []float64) {
	s.multiply(pt.x, rpb, rpr)
	for d := range rpb {
		rpb[d] = s.blockSum[d] - rpb[d]
	}
	for r := range rpr {
		rpr[r] = s.rhs[r] - rpr[r]
	}
	s.multiplyTransposed(pt.yb, pt.yr, rd)
	for j := range rd {
		rd[j] = s.c[j] + s.q[j]*pt.x[j] - rd[j] - pt.z[j]
	}
}

// factorize builds the normal equations, eliminates the block rows directly, as their part
// is diagonal, and factorizes the Schur complement that remains. It reports whether that
// succeeded.
func (s *solver) factorize() bool {
	nr := len(s.rhs)
	clear(s.schur)
	addOuterProduct := func(j int) {
		t := s.theta[j]
		for a := s.columnStart[j]; a < s.columnStart[j+1]; a++ {
			for b := s.columnStart[j]; b < s.columnStart[j+1]; b++ {
				if s.rowIndex[b] >= s.rowIndex[a] {
					s.schur[s.rowIndex[a]*nr+s.rowIndex[b]] += t * s.values[a] * s.values[b]
				}
			}
		}
	}
	for d := range s.blockSum {
		sum := 0.0
		s.touchedRows = s.touchedRows[:0]
		for j := s.blockStart[d]; j < s.blockStart[d+1]; j++ {
			sum += s.theta[j]
			addOuterProduct(j)
			for i := s.columnStart[j]; i < s.columnStart[j+1]; i++ {
				if r := s.rowIndex[i]; !s.touched[r] {
					s.touched[r] = true
					s.touchedRows = append(s.touchedRows, r)
				}
				s.coupling[s.rowIndex[i]] += s.theta[j] * s.values[i]
			}
		}
		s.blockTheta[d] = sum
		slices.Sort(s.touchedRows)
		s.packed = s.packed[:0]
		for _, a := range s.touchedRows {
			s.packed = append(s.packed, s.coupling[a])
		}
		for k, a := range s.touchedRows {
			w := s.packed[k] / sum
			row := s.schur[a*nr : a*nr+nr]
			rest := s.packed[k:]
			for i, b := range s.touchedRows[k:] {
				row[b] -= w * rest[i]
			}
		}
		for _, a := range s.touchedRows {
			s.coupling[a], s.touched[a] = 0, false
		}
	}
	for j := s.blockStart[len(s.blockSum)]; j < len(s.c); j++ {
		addOuterProduct(j)
	}
	if nr == 0 {
		return true
	}
	for regularization := 1e-15; regularization < 1e-6; regularization *= 100 {
		for r := range nr {
			s.schur[r*nr+r] *= 1 + regularization
			s.schur[r*nr+r] += 1e-30
		}
		if s.chol.Factorize(mat.NewSymDense(nr, s.schur)) {
			return true
		}
	}
	return false
}

// solveNormal solves the normal equations for the right-hand side hb (block rows) and hr
// (shared rows).
func (s *solver) solveNormal(hb, hr []float64) (yb, yr []float64) {
	nb, nr := len(s.blockSum), len(s.rhs)
	yb, yr = make([]float64, nb), make([]float64, nr)
	copy(yr, hr)
	for d := range s.blockSum {
		w := hb[d] / s.blockTheta[d]
		for j := s.blockStart[d]; j < s.blockStart[d+1]; j++ {
			for i := s.columnStart[j]; i < s.columnStart[j+1]; i++ {
				yr[s.rowIndex[i]] -= w * s.theta[j] * s.values[i]
			}
		}
	}
	if nr > 0 {
		v := mat.NewVecDense(nr, yr)
		_ = s.chol.SolveVecTo(v, v) // the error reports only ill-conditioning, which shows in the residuals
	}
	for d := range s.blockSum {
		sum := hb[d]
		for j := s.blockStart[d]; j < s.blockStart[d+1]; j++ {
			for i := s.columnStart[j]; i < s.columnStart[j+1]; i++ {
				sum -= s.theta[j] * s.values[i] * yr[s.rowIndex[i]]
			}
		}
		yb[d] = sum / s.blockTheta[d]
	}
	return yb, yr
}

// newtonStep computes the Newton step for the given residuals. It sets dx and dz and
// returns the steps of the dual variables.
func (s *solver) newtonStep(pt *point, rpb, rpr, rd, rc, dx, dz []float64) (dyb, dyr []float64) {
	n := len(s.c)
	t := make([]float64, n)
	for j := range t {
		t[j] = s.theta[j] * (rd[j] - rc[j]/pt.x[j])
	}
	hb, hr := make([]float64, len(rpb)), make([]float64, len(rpr))
	s.multiply(t, hb, hr)
	axpy(1, rpb, hb)
	axpy(1, rpr, hr)
	dyb, dyr = s.solveNormal(hb, hr)
	if s.refine { // eliminating the block rows loses precision near the optimum
		s.multiplyTransposed(dyb, dyr, dx)
		for j := range dx {
			dx[j] = s.theta[j]*dx[j] - t[j]
		}
		eb, er := make([]float64, len(rpb)), make([]float64, len(rpr))
		s.multiply(dx, eb, er)
		for d := range eb {
			eb[d] = rpb[d] - eb[d]
		}
		for r := range er {
			er[r] = rpr[r] - er[r]
		}
		fb, fr := s.solveNormal(eb, er)
		axpy(1, fb, dyb)
		axpy(1, fr, dyr)
	}
	s.multiplyTransposed(dyb, dyr, dx)
	for j := range dx {
		dx[j] = s.theta[j]*dx[j] - t[j]
		dz[j] = (rc[j] - pt.z[j]*dx[j]) / pt.x[j]
	}
	return dyb, dyr
}

// maxStep returns the longest step, at most 1, along dx that keeps all entries of the
// positive vector x at 0 or above.
func maxStep(x, dx []float64) float64 {
	a := 1e30
	for j, d := range dx {
		if d < 0 {
			a = min(a, -x[j]/d)
		}
	}
	return min(a, 1)
}

// axpy adds a times x to y.
func axpy(a float64, x, y []float64) {
	for i := range x {
		y[i] += a * x[i]
	}
}

// maxNorm returns the largest absolute value in x.
func maxNorm(x []float64) float64 {
	m := 0.0
	for _, v := range x {
		m = max(m, math.Abs(v))
	}
	return m
}
