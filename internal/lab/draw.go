// Package lab runs experiments on the emulated mesh: sizes, loads, policies and
// seeds, in pairs, with intervals for the differences.
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

// perSetUps is what a call that is not in transit makes a processor do, in set-ups:
// a look, the set-up, the answer and the release.
const perSetUps = 0.2 + 1 + 0.35 + 0.35

// DrawConfig draws an installation of n exchanges in one yard as the operators describe
// theirs, with its calls: groups sized for a plan that the traffic misses pair by
// pair, wanted circuits at load times the plan. The seed decides all of it.
func DrawConfig(n int, load float64, length time.Duration, seed uint64) mesh.Config {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	span := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	dur := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	hold := span(10, 13)
	c := mesh.Config{Seed: seed, Length: length, Exchanges: n,
		Classes: []mesh.Class{
			{Name: "space-check", Width: 1, Hold: dur(hold), GoalTime: 2 * time.Second, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25},
			{Name: "shuttle-video", Width: 4, Hold: dur(1.6 * hold), GoalTime: 2500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 2, LateShare: 0.1}},
		Work:      mesh.Work{Lookup: 0.2, Answer: 0.35, Release: 0.35, Reject: 0.2, Repeat: 0.45},
		LinkDelay: [2]time.Duration{3 * time.Millisecond, 8 * time.Millisecond}, WaveAmplitude: span(0.064, 0.19), WavePeriod: dur(span(15, 30)),
		DriftCV: span(0.37, 0.64), DriftInterval: [2]time.Duration{13 * time.Second, 19 * time.Second},
		TryShare: span(0.3, 0.4), MaxRedials: 2 + r.IntN(2), Backoff: [2]time.Duration{670 * time.Millisecond, 1500 * time.Millisecond},
		ListDelay: [2]time.Duration{1500 * time.Millisecond, 4200 * time.Millisecond}, ColdCapacity: span(0.29, 0.47), WarmUpTime: dur(span(8.3, 15))}
	video := span(0.72, 1.1) / span(5.6, 8.8) // calls of the wide class for each narrow one
	circuits := [2]float64{hold / (1 + video), 4 * 1.6 * hold * video / (1 + video)}
	perCall := circuits[0] + circuits[1]
	erlangs := span(110, 140)
	pairCV, missCV, spare := span(0.32, 0.59), span(0.36, 0.65), span(0.22, 0.54)
	draw := func(cv float64) float64 {
		s := math.Sqrt(math.Log(1 + cv*cv))
		return math.Exp(s*r.NormFloat64() - s*s/2)
	}
	type way struct{ plan, offer float64 }
	ways := map[[2]int]*way{}
	planned, offered := 0.0, 0.0
	for a := range n {
		for b := range n {
			if a == b {
				continue
			}
			w := &way{plan: draw(pairCV)}
			w.offer = w.plan * draw(missCV)
			ways[[2]int{a, b}] = w
			planned += w.plan
			offered += w.offer
		}
	}
	total := erlangs * float64(n)
	touches := make([]float64, n) // calls a second at load 1, by exchange
	for a := range n {
		for b := a + 1; b < n; b++ {
			sum := 0.0
			for _, k := range [][2]int{{a, b}, {b, a}} {
				w := ways[k]
				w.plan *= total / planned
				w.offer *= total / offered
				sum += w.plan
				calls := w.offer / perCall
				touches[a] += calls
				touches[b] += calls
				c.Flows = append(c.Flows, mesh.Flow{Class: 0, From: k[0], To: k[1], Rate: load * calls / (1 + video)},
					mesh.Flow{Class: 1, From: k[0], To: k[1], Rate: load * calls * video / (1 + video)})
			}
			c.Groups = append(c.Groups, mesh.Group{A: a, B: b, Circuits: int(math.Round(sum + spare*math.Sqrt(sum)))})
		}
	}
	use := span(0.68, 0.81)
	mean := 0.0
	for _, t := range touches {
		mean += t / float64(n)
	}
	for range n {
		c.SetUpWork = append(c.SetUpWork, dur(use/(mean*perSetUps)))
		c.MaxWait = append(c.MaxWait, dur(span(1, 3.1)))
	}
	return c
}

// AddFaults adds n troubles of the operators' record to a day.
func AddFaults(c *mesh.Config, n int) {
	r := rand.New(rand.NewPCG(c.Seed, 4242))
	span := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	for range n {
		t := mesh.Fault{}
		length, some := 0.0, 0.0
		switch r.IntN(5) {
		case 0: // calls jump
			t.Burst, length = span(1.4, 1.8), span(2.5, 10)
		case 1: // one exchange suddenly gets a large share
			t.Burst, length, some = 1+span(0.083, 0.23)*float64(c.Exchanges), span(11, 28), 0.01
		case 2: // other work takes a part of some processors
			t.Slowdown, length, some = 1/(1-span(0.34, 0.67)), span(20, 38)/2, span(0.11, 0.49)
		case 3: // all are slower
			t.Slowdown, length = span(1.3, 3), span(3.3, 14)
		default: // some are slower
			t.Slowdown, length, some = span(1.5, 4), span(10, 34), span(0.18, 0.34)
		}
		if some > 0 {
			t.Exchanges = r.Perm(c.Exchanges)[:max(1, int(math.Round(some*float64(c.Exchanges))))]
		}
		t.From = time.Duration(r.Float64() * 0.7 * float64(c.Length))
		t.To = min(c.Length, t.From+time.Duration(length*float64(time.Second)))
		c.Faults = append(c.Faults, t)
	}
}

func name(x int) string { return fmt.Sprintf("x%03d", x) }

// NewProblem states the mesh that a config emulates for the planner: what callers want
// on average, with nothing of drift, waves or troubles, since nobody knows them ahead.
func NewProblem(c *mesh.Config, target float64) *plan.Problem {
	p := &plan.Problem{Target: target, Costs: plan.Costs{Tandem: 0.02}}
	for _, k := range c.Classes {
		p.Classes = append(p.Classes, plan.Class{ID: k.Name, Width: k.Width, Hold: k.Hold.Seconds(), Worth: k.Worth})
	}
	per := 1 + c.Work.Lookup + c.Work.Answer + c.Work.Release
	for x := range c.Exchanges {
		p.Switches = append(p.Switches, plan.Switch{ID: name(x), SetUps: 1 / (per * c.SetUpWork[x].Seconds())})
	}
	for _, g := range c.Groups {
		p.Groups = append(p.Groups, plan.Group{A: name(g.A), B: name(g.B), Circuits: g.Circuits})
	}
	for _, f := range c.Flows {
		p.Demands = append(p.Demands, plan.Demand{Class: c.Classes[f.Class].Name, From: name(f.From), To: name(f.To), Rate: f.Rate})
	}
	return p
}

// PlanEvents solves for a config and returns the event that each exchange's module is
// told, valid until past the end.
func PlanEvents(c *mesh.Config, target float64, guards bool) ([]routing.PlanUpdated, *plan.Answer, error) {
	p := NewProblem(c, target)
	a, err := plan.Solve(p, plan.Options{})
	if err != nil {
		return nil, nil, err
	}
	number := map[string]int{}
	for x := range c.Exchanges {
		number[name(x)] = x
	}
	events := make([]routing.PlanUpdated, c.Exchanges)
	for x := range events {
		events[x] = routing.PlanUpdated{Version: 1, ValidUntil: 2 * time.Hour}
	}
	for _, w := range a.TandemWeights(p) {
		e := &events[number[w.From]]
		e.Weights = append(e.Weights, routing.Weight{Dest: number[w.To], Tandem: number[w.Tandem], Weight: w.Weight})
	}
	if guards {
		for _, g := range a.CircuitValues(p) {
			x, y := number[g.A], number[g.B]
			events[x].Guards = append(events[x].Guards, routing.Guard{Toward: y, Value: g.Value})
			events[y].Guards = append(events[y].Guards, routing.Guard{Toward: x, Value: g.Value})
		}
	}
	return events, a, nil
}
