package plan

import "math"

// TandemWeight is the share of a tandem among the alternate routes from one switch to
// another. It becomes a Weight of package routing.
type TandemWeight struct {
	From, To, Tandem string
	Weight           float64 // weights of the same From and To add up to 1
}

// CircuitValue is the worth of one circuit of a group to the calls that the plan routes
// over it, relative to the highest worth that a circuit could carry: 0 to 1. Package routing
// calls it a Guard.
type CircuitValue struct {
	A, B  string
	Value float64
}

// spareCapacityFactor weights the spare capacity of an alternate route against the traffic
// that the plan routes over it. A plan uses alternate routes only for calls that exceed the
// direct capacity on average; calls that are blocked by random peaks or by a drift of the
// demand need spare capacity as well.
const spareCapacityFactor = 1.0

// TandemWeights returns, for each ordered pair of switches, how calls that find their
// direct group full are best distributed over the tandems. Before it is normalized, a
// weight is the planned traffic via the tandem, in erlangs, plus the spare capacity of the
// second leg, reduced by the utilization of the tandem's processor. The first leg's spare
// capacity doesn't count, since the exchange that uses the weights knows its own free
// circuits. Tandems with neither are omitted.
func (a *Answer) TandemWeights(p *Problem) []TandemWeight {
	classes := map[string]Class{}
	for _, c := range p.Classes {
		classes[c.ID] = c
	}
	groups, processors := map[pair]Load{}, map[string]Load{}
	neighbours := map[string][]string{}
	for _, g := range a.Groups {
		groups[pairOf(g.A, g.B)] = g
	}
	for _, s := range a.Switches {
		processors[s.A] = s
	}
	planned := map[[3]string]float64{}
	for _, r := range a.Routes {
		c := classes[r.Class]
		for _, v := range r.Via {
			planned[[3]string{r.From, r.To, v.Tandem}] += v.Rate * c.Hold * float64(c.Width)
		}
	}
	for _, s := range a.Switches {
		for _, t := range a.Switches {
			if g := groups[pairOf(s.A, t.A)]; s.A != t.A && g.Capacity > 0 && processors[s.A].Capacity > 0 && processors[t.A].Capacity > 0 {
				neighbours[s.A] = append(neighbours[s.A], t.A)
			}
		}
	}
	var out []TandemWeight
	for _, from := range a.Switches {
		for _, to := range a.Switches {
			start, sum := len(out), 0.0
			for _, t := range neighbours[from.A] {
				secondLeg, ok := groups[pairOf(t, to.A)]
				if from.A == to.A || t == to.A || !ok || secondLeg.Capacity <= 0 {
					continue
				}
				processor := processors[t]
				spare := max(0, secondLeg.Capacity-secondLeg.Load) * max(0, 1-processor.Load/processor.Capacity)
				w := planned[[3]string{from.A, to.A, t}] + spareCapacityFactor*spare
				if w > 1e-6 {
					out = append(out, TandemWeight{from.A, to.A, t, w})
					sum += w
				}
			}
			for i := start; i < len(out); i++ {
				out[i].Weight /= sum
			}
		}
	}
	return out
}

// CircuitValues returns the value of a circuit of each group, from the answer's shadow
// prices. The result is empty if no class has worth.
func (a *Answer) CircuitValues(p *Problem) []CircuitValue {
	maxCircuitWorth := 0.0
	for _, c := range p.Classes {
		maxCircuitWorth = max(maxCircuitWorth, c.Worth/c.Hold/float64(c.Width))
	}
	var out []CircuitValue
	for _, g := range a.Groups {
		if maxCircuitWorth > 0 {
			out = append(out, CircuitValue{g.A, g.B, math.Min(1, g.Price/maxCircuitWorth)})
		}
	}
	return out
}
