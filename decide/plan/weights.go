package plan

import "math"

// TandemWeight is how well a tandem suits the calls between two switches.
type TandemWeight struct {
	From, To, Tandem string
	Weight           float64 // those of one From and To add up to 1
}

// CircuitValue is what a circuit of a group is worth to the calls that the plan sends over
// it, against the most that one could earn: 0 to 1.
type CircuitValue struct {
	A, B  string
	Value float64
}

// spareShare is how much of a way's spare room counts beside what the plan sends by
// it. A plan sends calls round only where they don't fit direct on average; calls
// that are blocked by chance, or by a drift it doesn't know, need room.
const spareShare = 1.0

// TandemWeights reads off an answer, for each ordered pair of switches, how the calls that
// find their direct group full are best spread: by what the plan sends over each
// tandem, in erlangs, and by the room that is left on the second leg and at the
// tandem's processor. The first leg's room is left out, since the exchange that uses
// the weights knows it better. Ways without either are left out.
func (a *Answer) TandemWeights(p *Problem) []TandemWeight {
	classes := map[string]Class{}
	for _, c := range p.Classes {
		classes[c.ID] = c
	}
	groups, procs := map[pair]Load{}, map[string]Load{}
	ends := map[string][]string{}
	for _, g := range a.Groups {
		groups[pairOf(g.A, g.B)] = g
	}
	for _, s := range a.Switches {
		procs[s.A] = s
	}
	sent := map[[3]string]float64{}
	for _, r := range a.Routes {
		c := classes[r.Class]
		for _, v := range r.Via {
			sent[[3]string{r.From, r.To, v.Tandem}] += v.Rate * c.Hold * float64(c.Width)
		}
	}
	for _, s := range a.Switches {
		for _, t := range a.Switches {
			if g := groups[pairOf(s.A, t.A)]; s.A != t.A && g.Capacity > 0 && procs[s.A].Capacity > 0 && procs[t.A].Capacity > 0 {
				ends[s.A] = append(ends[s.A], t.A)
			}
		}
	}
	var out []TandemWeight
	for _, from := range a.Switches {
		for _, to := range a.Switches {
			first, sum := len(out), 0.0
			for _, t := range ends[from.A] {
				second, ok := groups[pairOf(t, to.A)]
				if from.A == to.A || t == to.A || !ok || second.Capacity <= 0 {
					continue
				}
				proc := procs[t]
				room := max(0, second.Capacity-second.Load) * max(0, 1-proc.Load/proc.Capacity)
				w := sent[[3]string{from.A, to.A, t}] + spareShare*room
				if w > 1e-6 {
					out = append(out, TandemWeight{from.A, to.A, t, w})
					sum += w
				}
			}
			for i := first; i < len(out); i++ {
				out[i].Weight /= sum
			}
		}
	}
	return out
}

// CircuitValues reads off an answer how dear each group's circuits are.
func (a *Answer) CircuitValues(p *Problem) []CircuitValue {
	most := 0.0
	for _, c := range p.Classes {
		most = max(most, c.Worth/c.Hold/float64(c.Width))
	}
	var out []CircuitValue
	for _, g := range a.Groups {
		if most > 0 {
			out = append(out, CircuitValue{g.A, g.B, math.Min(1, g.Price/most)})
		}
	}
	return out
}
