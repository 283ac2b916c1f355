package plan

// CarriedWorth is the worth a second that an answer's routes would earn under a problem's
// demand: each demand is spread in the answer's shares, and where a group or processor
// would be beyond its capacity, all that crosses it is cut in proportion. What the
// answer's own problem did not have, or what the present one lacks, earns nothing.
// It compares an old plan with a new one on equal terms.
func CarriedWorth(p *Problem, a *Answer) float64 {
	m := newModel(p, false)
	shares := map[Demand]map[string]float64{} // by class and ends; "" is direct
	key := func(d Demand) Demand { return Demand{Class: d.Class, From: d.From, To: d.To, Tenant: d.Tenant} }
	for _, r := range a.Routes {
		if r.Rate <= 0 {
			continue
		}
		s := map[string]float64{"": r.Direct / r.Rate}
		for _, v := range r.Via {
			s[v.Tandem] = v.Rate / r.Rate
		}
		shares[key(r.Demand)] = s
	}
	load := make([]float64, len(m.res))
	each := func(do func(i int, h path, flow float64)) {
		for i, d := range m.Demands {
			s := shares[key(d)]
			for _, h := range m.paths[i] {
				via := ""
				if h.via >= 0 {
					via = m.Switches[h.via].ID
				}
				if flow := s[via] * d.Rate; flow > 0 {
					do(i, h, flow)
				}
			}
		}
	}
	each(func(i int, h path, flow float64) {
		for _, r := range h.legs[:h.nlegs] {
			load[r] += flow * m.erlangs[i]
		}
		for _, r := range h.procs[:h.nprocs] {
			load[r] += flow
		}
	})
	worth := 0.0
	carried := make([]float64, len(m.quotas))
	each(func(i int, h path, flow float64) {
		f := 1.0
		for _, r := range h.legs[:h.nlegs] {
			f = min(f, m.res[r].capacity/max(load[r], m.res[r].capacity))
		}
		for _, r := range h.procs[:h.nprocs] {
			f = min(f, m.res[r].capacity/max(load[r], m.res[r].capacity))
		}
		w := flow * f * m.worth[i]
		worth += w
		if j := m.ofDemand[i]; j >= 0 {
			carried[j] += w
		}
	})
	for j, q := range m.quotas {
		worth -= (1 - beyondShare) * max(0, carried[j]-q.amount)
	}
	return worth
}
