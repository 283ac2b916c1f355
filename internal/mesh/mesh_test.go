package mesh

import (
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/routing"
)

// singleGroup returns a config with one group, in which calls fail for lack of circuits only.
func singleGroup(circuits int, classes []Class, rates []float64) Config {
	cfg := Config{Seed: 1, Length: 50 * time.Minute, CountFrom: 2 * time.Minute, Exchanges: 2, NewPolicy: NewDirectPolicy, Classes: classes,
		Groups: []Group{{0, 1, circuits}}, SetUpWork: []time.Duration{time.Nanosecond, time.Nanosecond},
		MaxWait: []time.Duration{time.Second, time.Second}, TryShare: 1}
	for class, rate := range rates {
		cfg.Flows = append(cfg.Flows, Flow{class, 0, 1, rate / 2}, Flow{class, 1, 0, rate / 2})
	}
	return cfg
}

// meanBlocking returns the share of lost calls by class, as a mean over seeds.
func meanBlocking(t *testing.T, cfg Config, seeds int) []float64 {
	results := make([][]float64, seeds)
	var workers errgroup.Group
	workers.SetLimit(runtime.GOMAXPROCS(0))
	for i := range seeds {
		seeded := cfg
		seeded.Seed = uint64(i + 1)
		workers.Go(func() error {
			r, err := Run(seeded)
			if err == nil {
				results[i] = r.ServiceByClass
			}
			return err
		})
	}
	if err := workers.Wait(); err != nil {
		t.Fatal(err)
	}
	mean := make([]float64, len(cfg.Classes))
	for _, byClass := range results {
		for k, v := range byClass {
			mean[k] += (1 - v) / float64(seeds)
		}
	}
	return mean
}

// The Erlang B and the Kaufman-Roberts formula are exact for one group with Poisson arrivals
// and without redials and delays. The emulation must match them within 2%.
func TestBlockingIsErlangs(t *testing.T) {
	class := func(w int) Class {
		return Class{Name: "c", Width: w, Hold: time.Second, GoalTime: 10 * time.Second, Deadline: 10 * time.Second, Worth: 1}
	}
	for _, testCase := range []struct {
		circuits int
		load     float64
		seeds    int
	}{{5, 4, 30}, {20, 18, 10}, {40, 44, 4}} {
		got := meanBlocking(t, singleGroup(testCase.circuits, []Class{class(1)}, []float64{testCase.load}), testCase.seeds)[0]
		if want := plan.ErlangB(testCase.circuits, testCase.load); math.Abs(got-want) > 0.02*want {
			t.Errorf("%d circuits, %v erlangs: %v, want %v by Erlang B", testCase.circuits, testCase.load, got, want)
		}
	}
	got := meanBlocking(t, singleGroup(30, []Class{class(1), class(4)}, []float64{12, 3}), 40)
	for k, want := range plan.KaufmanRoberts(30, []plan.TrafficStream{{Width: 1, Load: 12}, {Width: 4, Load: 12}}) {
		if math.Abs(got[k]-want) > 0.02*want {
			t.Errorf("class %d: %v, want %v by Kaufman-Roberts", k, got[k], want)
		}
	}
}

// A processor with Poisson arrivals is an M/G/1 queue with two priority classes without
// preemption. Its mean waits must match the Pollaczek-Khinchine and the Cobham formula within
// 2%.
func TestProcessorWaits(t *testing.T) {
	engine := newEngine()
	rng := rand.New(rand.NewPCG(5, 5))
	var sum [2]float64
	var count [2]int
	proc := &processor{engine: engine, speed: func(time.Duration) float64 { return 1 }}
	proc.onServe = func(followUp bool, wait time.Duration) {
		i := 0
		if followUp {
			i = 1
		}
		sum[i] += wait.Seconds()
		count[i]++
	}
	arrivalRates := [2]float64{30, 20} // per second; the work is 3/4 of 10 or 30 ms, with equal probability
	var arrive func(i int)
	arrive = func(i int) {
		engine.scheduleAfter(time.Duration(rng.ExpFloat64()/arrivalRates[i]*1e9), 'a', uint32(i), func() {
			proc.enqueue(time.Duration(10+20*rng.IntN(2))*time.Millisecond*3/4, i == 1, nil)
			arrive(i)
		})
	}
	arrive(0)
	arrive(1)
	for engine.step(12 * time.Hour) {
	}
	meanWork, meanSquareWork := 0.015, (0.0075*0.0075+0.0225*0.0225)/2
	residual := (arrivalRates[0] + arrivalRates[1]) * meanSquareWork / 2
	setUpLoad, totalLoad := arrivalRates[0]*meanWork, (arrivalRates[0]+arrivalRates[1])*meanWork
	want := [2]float64{residual / (1 - setUpLoad), residual / (1 - setUpLoad) / (1 - totalLoad)}
	for i := range want {
		if got := sum[i] / float64(count[i]); math.Abs(got-want[i]) > 0.02*want[i] {
			t.Errorf("queue %d: mean wait %v s, want %v by Cobham", i, got, want[i])
		}
	}
}

// fullMesh returns a full mesh of five exchanges whose groups carry half of the offered load.
func fullMesh() Config {
	cfg := singleGroup(1, []Class{{Name: "c", Width: 1, Hold: time.Second, GoalTime: time.Second, Deadline: 9 * time.Second, Worth: 1}}, nil)
	cfg.Length, cfg.CountFrom, cfg.Exchanges, cfg.Groups, cfg.NewPolicy = 20*time.Second, 0, 5, nil, NewEvenPolicy
	cfg.SetUpWork, cfg.MaxWait = slices.Repeat([]time.Duration{time.Millisecond}, 5), slices.Repeat([]time.Duration{time.Second}, 5)
	for a := range 5 {
		for b := range 5 {
			if a != b {
				cfg.Flows = append(cfg.Flows, Flow{0, a, b, 5})
			}
			if a < b {
				cfg.Groups = append(cfg.Groups, Group{a, b, 5})
			}
		}
	}
	return cfg
}

// A policy that breaks a rule must end the run with an error that names the rule.
func TestPolicyRuleViolations(t *testing.T) {
	for want, change := range map[string]func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action{
		"two attempts outstanding": func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action {
			return append(actions, actions...)
		},
		"sends to": func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action {
			for i, a := range actions {
				if s, ok := a.(routing.Send); ok {
					s.Host = "nowhere"
					actions[i] = s
				}
			}
			return actions
		},
		"final answer": func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Offered); ok {
				actions = append(actions, routing.Refuse{Call: o.Call})
			}
			return actions
		},
		"call in transit": func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Offered); ok && o.Transit {
				third := slices.IndexFunc(hostNames[:], func(h string) bool { return h != hostName(o.Dest) && h != hostName(p.settings.OwnExchange) })
				return []routing.Action{routing.Send{Call: o.Call, Host: hostName(third)}}
			}
			return actions
		},
	} {
		cfg := fullMesh()
		cfg.NewPolicy = func(settings routing.Settings, seed uint64) (routing.Policy, error) {
			p := newSimplePolicy(settings, seed, true)
			return changedPolicy{p, change}, nil
		}
		if _, err := Run(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q: %v", want, err)
		}
	}
	cfg := fullMesh()
	cfg.Groups[0].Circuits = -1
	if _, err := Run(cfg); err == nil {
		t.Error("no error for a group of -1 circuits")
	}
}

// changedPolicy changes the actions of a SimplePolicy.
type changedPolicy struct {
	policy *SimplePolicy
	change func(p *SimplePolicy, ev routing.Event, actions []routing.Action) []routing.Action
}

func (p changedPolicy) Handle(now time.Duration, ev routing.Event) []routing.Action {
	return p.change(p.policy, ev, p.policy.Handle(now, ev))
}
