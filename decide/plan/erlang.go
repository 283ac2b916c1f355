package plan

import (
	"math"
	"slices"
)

// TrafficStream is the part of a group's load that calls of one width make.
type TrafficStream struct {
	Width int
	Load  float64 // erlangs of circuits: calls/s times hold times width
}

// ErlangB returns the share of calls that find all of n circuits busy when load
// erlangs of calls of width 1 are offered at random.
func ErlangB(n int, load float64) float64 {
	if load <= 0 {
		if n > 0 {
			return 0
		}
		return 1
	}
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}

// KaufmanRoberts returns for each part the share of its calls that find fewer
// circuits free, of n, than they are wide. Loads are offered at random and each
// class takes any circuits (complete sharing); holding times may have any law.
func KaufmanRoberts(n int, parts []TrafficStream) []float64 {
	q := make([]float64, n+1) // relative likelihood of each number of busy circuits
	q[0] = 1
	sum := 1.0
	for j := 1; j <= n; j++ {
		for _, p := range parts {
			if p.Width <= j {
				q[j] += p.Load * q[j-p.Width]
			}
		}
		q[j] /= float64(j)
		if sum += q[j]; sum > 1e200 { // keep within range: only ratios count
			for i := range j + 1 {
				q[i] /= sum
			}
			sum = 1
		}
	}
	out := make([]float64, len(parts))
	for i, p := range parts {
		for j := max(0, n-p.Width+1); j <= n; j++ {
			out[i] += q[j] / sum
		}
	}
	return out
}

// exactCircuits is the size up to which a discount is worked out exactly; beyond
// it the shortfall grows with the square root of the size.
const exactCircuits = 4096

// capacity returns how many erlangs of circuits a group of n may be planned to
// carry, so that the widest class of the mix that fits is blocked no more than
// target. The mix's loads count only against each other. A group just wide enough
// for one more class counts as the smaller group that is not, where that carries
// more: a circuit more is never worth less.
func capacity(n int, mix []TrafficStream, target float64) float64 {
	if n <= 0 {
		return 0
	}
	if target <= 0 {
		return float64(n)
	}
	if n > exactCircuits {
		short := (exactCircuits - capacity(exactCircuits, mix, target)) / math.Sqrt(exactCircuits)
		return max(0, float64(n)-short*math.Sqrt(float64(n)))
	}
	most := carries(n, mix, target)
	for _, p := range mix {
		if p.Width <= n && p.Load > 0 {
			most = max(most, carries(p.Width-1, mix, target))
		}
	}
	return most
}

func carries(n int, mix []TrafficStream, target float64) float64 {
	var fits []TrafficStream
	total := 0.0
	for _, p := range mix {
		if p.Width <= n && p.Load > 0 {
			fits = append(fits, p)
			total += p.Load
		}
	}
	if total <= 0 {
		fits, total = []TrafficStream{{1, 1}}, 1
	}
	slices.SortStableFunc(fits, func(a, b TrafficStream) int { return b.Width - a.Width }) // the widest first
	scaled := make([]TrafficStream, len(fits))
	low, high := 0.0, float64(n)
	for range 48 {
		load := (low + high) / 2
		for i, p := range fits {
			scaled[i] = TrafficStream{p.Width, p.Load / total * load}
		}
		if KaufmanRoberts(n, scaled)[0] > target {
			high = load
		} else {
			low = load
		}
	}
	return low
}

// circuitsFor returns the least number of circuits that may carry a load.
func circuitsFor(load float64, mix []TrafficStream, target float64) int {
	n := int(math.Ceil(load - 1e-9))
	step := 1
	for n <= MaxCircuits && capacity(n, mix, target) < load-1e-9 {
		n += step
		step *= 2
	}
	low := n - step // the last one known to be too few, or less
	low = max(low, 0)
	for low < n {
		mid := (low + n) / 2
		if capacity(mid, mix, target) < load-1e-9 {
			low = mid + 1
		} else {
			n = mid
		}
	}
	return n
}
