package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/lab"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/routing"
)

// day is one of the lab's, for the module.
func day(n int, load float64, seed uint64) mesh.Config {
	c := lab.DrawConfig(n, load, 45*time.Second, seed)
	c.NewPolicy = routing.NewPolicy
	return c
}

// One seed decides a run, and circuits add up after every event, in fair weather
// and in foul, for every decider.
func TestSameSeedSameTrace(t *testing.T) {
	wants := "" // what callers want, which no decider changes: pairs of runs are paired
	for name, mk := range map[string]routing.Factory{"module": routing.NewPolicy, "even": mesh.NewEvenPolicy, "direct": mesh.NewDirectPolicy} {
		c := day(5, 1.15, 4)
		c.NewPolicy, c.CheckCircuits, c.Length = mk, true, 18*time.Second
		c.Faults = []mesh.Fault{{From: 4 * time.Second, To: 12 * time.Second, Exchanges: []int{1, 2}, Slowdown: 2.5},
			{From: 6 * time.Second, To: 9 * time.Second, Burst: 1.7},
			{From: 10 * time.Second, To: 14 * time.Second, Exchanges: []int{3}, Down: true}}
		var asked []string
		c.OnFirstTry = func(now time.Duration, class, from, to int) { asked = append(asked, fmt.Sprint(now, class, from, to)) }
		a, err := mesh.Run(c)
		if err != nil || len(asked) == 0 || wants != "" && wants != fmt.Sprint(asked) {
			t.Fatal(name, err, len(asked))
		}
		wants = fmt.Sprint(asked)
		b, err := mesh.Run(c)
		if err != nil || a.TraceHash != b.TraceHash || a.Events != b.Events {
			t.Errorf("%s: %v %x %x", name, err, a.TraceHash, b.TraceHash)
		}
		c.Seed++
		d, err := mesh.Run(c)
		if err != nil || d.TraceHash == a.TraceHash {
			t.Errorf("%s: %v, another seed and the same trace", name, err)
		}
		if a.Established == 0 || a.Cut == 0 || a.ColdOverloads != 0 {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// Without a plan the module decides to the bit as it did before plans were known to
// it: these traces were taken with it as it was then.
func TestNoPlanDecidesAsBefore(t *testing.T) {
	for seed, want := range []uint64{0x113143798138f67c, 0x76176dc30aa986bb, 0x235cc14114fca360} {
		c := day(7, 1.15, uint64(seed+1))
		c.Faults = []mesh.Fault{{From: 4 * time.Second, To: 12 * time.Second, Exchanges: []int{1, 2}, Slowdown: 2.5},
			{From: 15 * time.Second, To: 19 * time.Second, Exchanges: []int{3}, Down: true}}
		r, err := mesh.Run(c)
		if err != nil || r.TraceHash != want {
			t.Errorf("seed %d: trace %x, %v", seed+1, r.TraceHash, err)
		}
	}
}
