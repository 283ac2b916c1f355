package plan

import (
	"math"
	"slices"
)

// TrafficStream is the traffic that calls of one width offer to a group.
type TrafficStream struct {
	Width int
	Load  float64 // erlangs of circuits: calls/s times holding time times width
}

// ErlangB returns the blocking probability (Erlang B formula) of n circuits to which load
// erlangs of calls of width 1 are offered as a Poisson process.
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

// KaufmanRoberts returns the blocking probability of each stream on n circuits, by the
// Kaufman-Roberts recursion. Arrivals are Poisson processes, every stream may take any free
// circuits (complete sharing), and holding times may have any distribution.
func KaufmanRoberts(n int, streams []TrafficStream) []float64 {
	q := make([]float64, n+1) // unnormalized probability of each number of busy circuits
	q[0] = 1
	sum := 1.0
	for j := 1; j <= n; j++ {
		for _, p := range streams {
			if p.Width <= j {
				q[j] += p.Load * q[j-p.Width]
			}
		}
		q[j] /= float64(j)
		if sum += q[j]; sum > 1e200 { // avoid overflow: only ratios matter
			for i := range j + 1 {
				q[i] /= sum
			}
			sum = 1
		}
	}
	blocking := make([]float64, len(streams))
	for i, p := range streams {
		for j := max(0, n-p.Width+1); j <= n; j++ {
			blocking[i] += q[j] / sum
		}
	}
	return blocking
}

// maxExactCircuits is the largest group size for which plannedCapacity is computed exactly.
// For larger groups, the capacity's shortfall from the number of circuits is extrapolated
// in proportion to the square root of the size.
const maxExactCircuits = 4096

// plannedCapacity returns the erlangs of circuits that a group of n circuits is planned to
// carry at most, so that the blocking of the widest class of the mix that fits the group
// is at most target. Only the ratios of the mix's loads matter. If a smaller group, too
// small for one of the classes, can carry more, the result is that group's capacity, so
// that one more circuit never lowers the capacity.
func plannedCapacity(n int, mix []TrafficStream, target float64) float64 {
	if n <= 0 {
		return 0
	}
	if target <= 0 {
		return float64(n)
	}
	if n > maxExactCircuits {
		shortfall := (maxExactCircuits - plannedCapacity(maxExactCircuits, mix, target)) / math.Sqrt(maxExactCircuits)
		return max(0, float64(n)-shortfall*math.Sqrt(float64(n)))
	}
	best := maxLoad(n, mix, target)
	for _, p := range mix {
		if p.Width <= n && p.Load > 0 {
			best = max(best, maxLoad(p.Width-1, mix, target))
		}
	}
	return best
}

// maxLoad returns the largest load of the mix, in erlangs of circuits, at which the blocking
// of the widest class that fits n circuits is at most target. A mix without any fitting
// class counts as calls of width 1.
func maxLoad(n int, mix []TrafficStream, target float64) float64 {
	var streams []TrafficStream
	total := 0.0
	for _, p := range mix {
		if p.Width <= n && p.Load > 0 {
			streams = append(streams, p)
			total += p.Load
		}
	}
	if total <= 0 {
		streams, total = []TrafficStream{{1, 1}}, 1
	}
	slices.SortStableFunc(streams, func(a, b TrafficStream) int { return b.Width - a.Width }) // widest first
	scaled := make([]TrafficStream, len(streams))
	low, high := 0.0, float64(n)
	for range 48 {
		load := (low + high) / 2
		for i, p := range streams {
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

// circuitsFor returns the smallest number of circuits whose planned capacity is at least
// load.
func circuitsFor(load float64, mix []TrafficStream, target float64) int {
	n := int(math.Ceil(load - 1e-9))
	step := 1
	for n <= MaxCircuits && plannedCapacity(n, mix, target) < load-1e-9 {
		n += step
		step *= 2
	}
	low := n - step // at or below the largest number known to be too small
	low = max(low, 0)
	for low < n {
		mid := (low + n) / 2
		if plannedCapacity(mid, mix, target) < load-1e-9 {
			low = mid + 1
		} else {
			n = mid
		}
	}
	return n
}
