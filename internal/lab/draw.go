// Package lab runs experiments on the emulated mesh: it runs several policies on the same sizes
// and seeds and compares them in pairs of runs, with confidence intervals.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/routing"
)

// setUpsPerCall is the load that a call without a tandem puts on a processor, in units of one
// set-up: the lookup, the set-up, the answer and the release.
const setUpsPerCall = 0.2 + 1 + 0.35 + 0.35

// DrawConfig draws a random installation of exchanges in one yard, with its traffic, as the
// operators describe theirs. Trunk groups are sized for planned traffic. The offered traffic
// deviates from the plan pair by pair; in total it requests load times the planned circuits.
// The seed determines the result completely.
func DrawConfig(exchanges int, load float64, length time.Duration, seed uint64) mesh.Config {
	rng := rand.New(rand.NewPCG(seed, uint64(exchanges)))
	uniform := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	hold := uniform(10, 13)
	cfg := mesh.Config{Seed: seed, Length: length, Exchanges: exchanges,
		Classes: []mesh.Class{
			{Name: "space-check", Width: 1, Hold: seconds(hold), GoalTime: 2 * time.Second, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25},
			{Name: "shuttle-video", Width: 4, Hold: seconds(1.6 * hold), GoalTime: 2500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 2, LateShare: 0.1}},
		Work:      mesh.Work{Lookup: 0.2, Answer: 0.35, Release: 0.35, Reject: 0.2, Repeat: 0.45},
		LinkDelay: [2]time.Duration{3 * time.Millisecond, 8 * time.Millisecond}, WaveAmplitude: uniform(0.064, 0.19), WavePeriod: seconds(uniform(15, 30)),
		DriftCV: uniform(0.37, 0.64), DriftInterval: [2]time.Duration{13 * time.Second, 19 * time.Second},
		TryShare: uniform(0.3, 0.4), MaxRedials: 2 + rng.IntN(2), Backoff: [2]time.Duration{670 * time.Millisecond, 1500 * time.Millisecond},
		ListDelay: [2]time.Duration{1500 * time.Millisecond, 4200 * time.Millisecond}, ColdCapacity: uniform(0.29, 0.47), WarmUpTime: seconds(uniform(8.3, 15))}
	videoRatio := uniform(0.72, 1.1) / uniform(5.6, 8.8) // calls of the wide class per call of the narrow one
	// Mean circuits in use, by class, for one call per second of both classes together.
	circuits := [2]float64{hold / (1 + videoRatio), 4 * 1.6 * hold * videoRatio / (1 + videoRatio)}
	circuitsPerCall := circuits[0] + circuits[1]
	erlangs := uniform(110, 140)
	pairCV, missCV, spare := uniform(0.32, 0.59), uniform(0.36, 0.65), uniform(0.22, 0.54)
	logNormal := func(cv float64) float64 {
		sigma := math.Sqrt(math.Log(1 + cv*cv))
		return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
	}
	type pairTraffic struct{ planned, offered float64 }
	pairs := map[[2]int]*pairTraffic{}
	plannedTotal, offeredTotal := 0.0, 0.0
	for a := range exchanges {
		for b := range exchanges {
			if a == b {
				continue
			}
			traffic := &pairTraffic{planned: logNormal(pairCV)}
			traffic.offered = traffic.planned * logNormal(missCV)
			pairs[[2]int{a, b}] = traffic
			plannedTotal += traffic.planned
			offeredTotal += traffic.offered
		}
	}
	total := erlangs * float64(exchanges)
	callRates := make([]float64, exchanges) // by exchange: calls per second at load 1
	for a := range exchanges {
		for b := a + 1; b < exchanges; b++ {
			sum := 0.0
			for _, pair := range [][2]int{{a, b}, {b, a}} {
				traffic := pairs[pair]
				traffic.planned *= total / plannedTotal
				traffic.offered *= total / offeredTotal
				sum += traffic.planned
				calls := traffic.offered / circuitsPerCall
				callRates[a] += calls
				callRates[b] += calls
				cfg.Flows = append(cfg.Flows, mesh.Flow{Class: 0, From: pair[0], To: pair[1], Rate: load * calls / (1 + videoRatio)},
					mesh.Flow{Class: 1, From: pair[0], To: pair[1], Rate: load * calls * videoRatio / (1 + videoRatio)})
			}
			cfg.Groups = append(cfg.Groups, mesh.Group{A: a, B: b, Circuits: int(math.Round(sum + spare*math.Sqrt(sum)))})
		}
	}
	utilization := uniform(0.68, 0.81)
	meanRate := 0.0
	for _, rate := range callRates {
		meanRate += rate / float64(exchanges)
	}
	for range exchanges {
		cfg.SetUpWork = append(cfg.SetUpWork, seconds(utilization/(meanRate*setUpsPerCall)))
		cfg.MaxWait = append(cfg.MaxWait, seconds(uniform(1, 3.1)))
	}
	return cfg
}

// AddFaults adds random faults and overloads of the kinds that the operators recorded. The
// config's seed determines them.
func AddFaults(cfg *mesh.Config, count int) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 4242))
	uniform := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	for range count {
		fault := mesh.Fault{}
		length, affectedShare := 0.0, 0.0
		switch rng.IntN(5) {
		case 0: // the rate of calls jumps
			fault.Burst, length = uniform(1.4, 1.8), uniform(2.5, 10)
		case 1: // one exchange suddenly has a large share of the calls
			fault.Burst, length, affectedShare = 1+uniform(0.083, 0.23)*float64(cfg.Exchanges), uniform(11, 28), 0.01
		case 2: // other work uses part of the capacity of some processors
			fault.Slowdown, length, affectedShare = 1/(1-uniform(0.34, 0.67)), uniform(20, 38)/2, uniform(0.11, 0.49)
		case 3: // all processors are slower
			fault.Slowdown, length = uniform(1.3, 3), uniform(3.3, 14)
		default: // some processors are slower
			fault.Slowdown, length, affectedShare = uniform(1.5, 4), uniform(10, 34), uniform(0.18, 0.34)
		}
		if affectedShare > 0 {
			fault.Exchanges = rng.Perm(cfg.Exchanges)[:max(1, int(math.Round(affectedShare*float64(cfg.Exchanges))))]
		}
		fault.From = time.Duration(rng.Float64() * 0.7 * float64(cfg.Length))
		fault.To = min(cfg.Length, fault.From+time.Duration(length*float64(time.Second)))
		cfg.Faults = append(cfg.Faults, fault)
	}
}

// exchangeName returns an exchange's ID in planning problems.
func exchangeName(exchange int) string { return fmt.Sprintf("x%03d", exchange) }

// NewProblem returns the planning problem for the mesh that a config describes. Its demands are
// the mean rates: drift, waves and faults are left out, since they can't be known in advance.
func NewProblem(cfg *mesh.Config, targetBlocking float64) *plan.Problem {
	problem := &plan.Problem{Target: targetBlocking, Costs: plan.Costs{Tandem: 0.02}}
	for _, k := range cfg.Classes {
		problem.Classes = append(problem.Classes, plan.Class{ID: k.Name, Width: k.Width, Hold: k.Hold.Seconds(), Worth: k.Worth})
	}
	workPerCall := 1 + cfg.Work.Lookup + cfg.Work.Answer + cfg.Work.Release
	for x := range cfg.Exchanges {
		problem.Switches = append(problem.Switches, plan.Switch{ID: exchangeName(x), SetUps: 1 / (workPerCall * cfg.SetUpWork[x].Seconds())})
	}
	for _, g := range cfg.Groups {
		problem.Groups = append(problem.Groups, plan.Group{A: exchangeName(g.A), B: exchangeName(g.B), Circuits: g.Circuits})
	}
	for _, f := range cfg.Flows {
		problem.Demands = append(problem.Demands, plan.Demand{Class: cfg.Classes[f.Class].Name, From: exchangeName(f.From), To: exchangeName(f.To), Rate: f.Rate})
	}
	return problem
}

// PlanEvents solves the planning problem for a config and returns, by exchange, the plan event
// for its controller, and the solver's answer. The plan stays valid until after the run's end.
func PlanEvents(cfg *mesh.Config, targetBlocking float64, withGuards bool) ([]routing.PlanUpdated, *plan.Answer, error) {
	problem := NewProblem(cfg, targetBlocking)
	answer, err := plan.Solve(problem, plan.Options{})
	if err != nil {
		return nil, nil, err
	}
	exchangeByName := map[string]int{}
	for x := range cfg.Exchanges {
		exchangeByName[exchangeName(x)] = x
	}
	events := make([]routing.PlanUpdated, cfg.Exchanges)
	for x := range events {
		events[x] = routing.PlanUpdated{Version: 1, ValidUntil: 2 * time.Hour}
	}
	for _, weight := range answer.TandemWeights(problem) {
		event := &events[exchangeByName[weight.From]]
		event.Weights = append(event.Weights, routing.Weight{Dest: exchangeByName[weight.To], Tandem: exchangeByName[weight.Tandem], Weight: weight.Weight})
	}
	if withGuards {
		for _, value := range answer.CircuitValues(problem) {
			x, y := exchangeByName[value.A], exchangeByName[value.B]
			events[x].Guards = append(events[x].Guards, routing.Guard{Toward: y, Value: value.Value})
			events[y].Guards = append(events[y].Guards, routing.Guard{Toward: x, Value: value.Value})
		}
	}
	return events, answer, nil
}
