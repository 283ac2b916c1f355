package plan

// CarriedWorth returns the worth per second that an answer's routes would carry under
// the demand of another problem. Each demand is split in the answer's shares; where the load
// of a group or processor would exceed its capacity, all flows through it are reduced in
// proportion. A demand that the answer has no route for, and a path that p lacks, carry
// nothing. With it, an old plan and a new one are compared under the same demand.
func CarriedWorth(p *Problem, a *Answer) float64 {
	m := newModel(p, false)
	routeShares := map[Demand]map[string]float64{} // by class, ends and tenant; then by tandem, "" is direct
	demandKey := func(d Demand) Demand { return Demand{Class: d.Class, From: d.From, To: d.To, Tenant: d.Tenant} }
	for _, r := range a.Routes {
		if r.Rate <= 0 {
			continue
		}
		s := map[string]float64{"": r.Direct / r.Rate}
		for _, v := range r.Via {
			s[v.Tandem] = v.Rate / r.Rate
		}
		routeShares[demandKey(r.Demand)] = s
	}
	load := make([]float64, len(m.resources))
	forEachFlow := func(visit func(i int, h path, flow float64)) {
		for i, d := range m.Demands {
			s := routeShares[demandKey(d)]
			for _, h := range m.paths[i] {
				via := ""
				if h.via >= 0 {
					via = m.Switches[h.via].ID
				}
				if flow := s[via] * d.Rate; flow > 0 {
					visit(i, h, flow)
				}
			}
		}
	}
	forEachFlow(func(i int, h path, flow float64) {
		for _, r := range h.legs[:h.legCount] {
			load[r] += flow * m.erlangsPerRate[i]
		}
		for _, r := range h.processors[:h.processorCount] {
			load[r] += flow
		}
	})
	worth := 0.0
	carried := make([]float64, len(m.quotas))
	forEachFlow(func(i int, h path, flow float64) {
		factor := 1.0
		for _, r := range h.legs[:h.legCount] {
			factor = min(factor, m.resources[r].capacity/max(load[r], m.resources[r].capacity))
		}
		for _, r := range h.processors[:h.processorCount] {
			factor = min(factor, m.resources[r].capacity/max(load[r], m.resources[r].capacity))
		}
		w := flow * factor * m.callWorth[i]
		worth += w
		if j := m.demandQuota[i]; j >= 0 {
			carried[j] += w
		}
	})
	for j, q := range m.quotas {
		worth -= (1 - excessWorthFactor) * max(0, carried[j]-q.amount)
	}
	return worth
}
