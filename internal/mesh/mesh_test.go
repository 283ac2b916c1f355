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

// lossy is one group with nothing but its circuits in the way.
func lossy(circuits int, classes []Class, rates []float64) Config {
	c := Config{Seed: 1, Length: 50 * time.Minute, CountFrom: 2 * time.Minute, Exchanges: 2, NewPolicy: NewDirectPolicy, Classes: classes,
		Groups: []Group{{0, 1, circuits}}, SetUpWork: []time.Duration{time.Nanosecond, time.Nanosecond},
		MaxWait: []time.Duration{time.Second, time.Second}, TryShare: 1}
	for k, r := range rates {
		c.Flows = append(c.Flows, Flow{k, 0, 1, r / 2}, Flow{k, 1, 0, r / 2})
	}
	return c
}

func blocking(t *testing.T, c Config, seeds int) []float64 {
	each := make([][]float64, seeds)
	var all errgroup.Group
	all.SetLimit(runtime.GOMAXPROCS(0))
	for s := range seeds {
		mine := c
		mine.Seed = uint64(s + 1)
		all.Go(func() error {
			r, err := Run(mine)
			if err == nil {
				each[s] = r.ServiceByClass
			}
			return err
		})
	}
	if err := all.Wait(); err != nil {
		t.Fatal(err)
	}
	sum := make([]float64, len(c.Classes))
	for _, by := range each {
		for k, v := range by {
			sum[k] += (1 - v) / float64(seeds)
		}
	}
	return sum
}

// Erlang's B and Kaufman and Roberts' formula hold exactly for one group with
// Poisson calls, no redials and no delays: within 2%.
func TestBlockingIsErlangs(t *testing.T) {
	class := func(w int) Class {
		return Class{Name: "c", Width: w, Hold: time.Second, GoalTime: 10 * time.Second, Deadline: 10 * time.Second, Worth: 1}
	}
	for _, x := range []struct {
		n     int
		load  float64
		seeds int
	}{{5, 4, 30}, {20, 18, 10}, {40, 44, 4}} {
		got := blocking(t, lossy(x.n, []Class{class(1)}, []float64{x.load}), x.seeds)[0]
		if want := plan.ErlangB(x.n, x.load); math.Abs(got-want) > 0.02*want {
			t.Errorf("%d circuits, %v erlangs: %v, by Erlang %v", x.n, x.load, got, want)
		}
	}
	got := blocking(t, lossy(30, []Class{class(1), class(4)}, []float64{12, 3}), 40)
	for k, want := range plan.KaufmanRoberts(30, []plan.TrafficStream{{Width: 1, Load: 12}, {Width: 4, Load: 12}}) {
		if math.Abs(got[k]-want) > 0.02*want {
			t.Errorf("class %d: %v, by Kaufman and Roberts %v", k, got[k], want)
		}
	}
}

// A processor with Poisson work is an M/G/1 queue with two classes, the first served
// before the second: Pollaczek and Khinchine's, and Cobham's, mean waits.
func TestProcessorWaits(t *testing.T) {
	e := newEngine()
	r := rand.New(rand.NewPCG(5, 5))
	var sum [2]float64
	var n [2]int
	p := &processor{e: e, speed: func(time.Duration) float64 { return 1 }}
	p.waits = func(follower bool, w time.Duration) {
		i := 0
		if follower {
			i = 1
		}
		sum[i] += w.Seconds()
		n[i]++
	}
	rates := [2]float64{30, 20} // a second; work is 10 or 30 ms, alike
	var arrive func(i int)
	arrive = func(i int) {
		e.after(time.Duration(r.ExpFloat64()/rates[i]*1e9), 'a', uint32(i), func() {
			p.add(time.Duration(10+20*r.IntN(2))*time.Millisecond*3/4, i == 1, nil)
			arrive(i)
		})
	}
	arrive(0)
	arrive(1)
	for e.step(12 * time.Hour) {
	}
	mean, square := 0.015, (0.0075*0.0075+0.0225*0.0225)/2
	residual := (rates[0] + rates[1]) * square / 2
	r0, all := rates[0]*mean, (rates[0]+rates[1])*mean
	want := [2]float64{residual / (1 - r0), residual / (1 - r0) / (1 - all)}
	for i := range want {
		if got := sum[i] / float64(n[i]); math.Abs(got-want[i]) > 0.02*want[i] {
			t.Errorf("line %d: mean wait %v s, %v by Cobham", i, got, want[i])
		}
	}
}

// five is a full mesh whose groups hold half of what is offered.
func five() Config {
	c := lossy(1, []Class{{Name: "c", Width: 1, Hold: time.Second, GoalTime: time.Second, Deadline: 9 * time.Second, Worth: 1}}, nil)
	c.Length, c.CountFrom, c.Exchanges, c.Groups, c.NewPolicy = 20*time.Second, 0, 5, nil, NewEvenPolicy
	c.SetUpWork, c.MaxWait = slices.Repeat([]time.Duration{time.Millisecond}, 5), slices.Repeat([]time.Duration{time.Second}, 5)
	for a := range 5 {
		for b := range 5 {
			if a != b {
				c.Flows = append(c.Flows, Flow{0, a, b, 5})
			}
			if a < b {
				c.Groups = append(c.Groups, Group{a, b, 5})
			}
		}
	}
	return c
}

// A decider that breaks a rule ends the run with an error that names it.
func TestRulesAreHeld(t *testing.T) {
	for want, odd := range map[string]func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action{
		"two attempts out": func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action {
			return append(acts, acts...)
		},
		"sends to": func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action {
			for i, a := range acts {
				if s, ok := a.(routing.Send); ok {
					s.Host = "nowhere"
					acts[i] = s
				}
			}
			return acts
		},
		"final answer": func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Offered); ok {
				acts = append(acts, routing.Refuse{Call: o.Call})
			}
			return acts
		},
		"call in transit": func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Offered); ok && o.Transit {
				third := slices.IndexFunc(hosts[:], func(h string) bool { return h != host(o.Dest) && h != host(p.set.OwnExchange) })
				return []routing.Action{routing.Send{Call: o.Call, Host: host(third)}}
			}
			return acts
		},
	} {
		c := five()
		c.NewPolicy = func(s routing.Settings, seed uint64) (routing.Policy, error) {
			p := newPlain(s, seed, true)
			return odder{p, odd}, nil
		}
		if _, err := Run(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	c := five()
	c.Groups[0].Circuits = -1
	if _, err := Run(c); err == nil {
		t.Error("a group of -1")
	}
}

type odder struct {
	p   *SimplePolicy
	odd func(p *SimplePolicy, ev routing.Event, acts []routing.Action) []routing.Action
}

func (o odder) Handle(now time.Duration, ev routing.Event) []routing.Action {
	return o.odd(o.p, ev, o.p.Handle(now, ev))
}
