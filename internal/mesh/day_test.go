package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/lab"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/routing"
)

// dayConfig returns a config drawn by package lab, with the routing controller as policy.
func dayConfig(exchanges int, load float64, seed uint64) mesh.Config {
	cfg := lab.DrawConfig(exchanges, load, 45*time.Second, seed)
	cfg.NewPolicy = routing.NewPolicy
	return cfg
}

// For every policy, with and without faults in progress, the seed must determine the run, and
// circuits must add up after every event.
func TestSameSeedSameTrace(t *testing.T) {
	previous := "" // first tries: the same for all policies, so that runs can be compared in pairs
	for name, newPolicy := range map[string]routing.Factory{"module": routing.NewPolicy, "even": mesh.NewEvenPolicy, "direct": mesh.NewDirectPolicy} {
		cfg := dayConfig(5, 1.15, 4)
		cfg.NewPolicy, cfg.CheckCircuits, cfg.Length = newPolicy, true, 18*time.Second
		cfg.Faults = []mesh.Fault{{From: 4 * time.Second, To: 12 * time.Second, Exchanges: []int{1, 2}, Slowdown: 2.5},
			{From: 6 * time.Second, To: 9 * time.Second, Burst: 1.7},
			{From: 10 * time.Second, To: 14 * time.Second, Exchanges: []int{3}, Down: true}}
		var firstTries []string
		cfg.OnFirstTry = func(now time.Duration, class, from, to int) {
			firstTries = append(firstTries, fmt.Sprint(now, class, from, to))
		}
		first, err := mesh.Run(cfg)
		if err != nil || len(firstTries) == 0 || previous != "" && previous != fmt.Sprint(firstTries) {
			t.Fatal(name, err, len(firstTries))
		}
		previous = fmt.Sprint(firstTries)
		repeated, err := mesh.Run(cfg)
		if err != nil || first.TraceHash != repeated.TraceHash || first.Events != repeated.Events {
			t.Errorf("%s: error %v; traces %x and %x with the same seed", name, err, first.TraceHash, repeated.TraceHash)
		}
		cfg.Seed++
		otherSeed, err := mesh.Run(cfg)
		if err != nil || otherSeed.TraceHash == first.TraceHash {
			t.Errorf("%s: error %v, or the same trace with another seed", name, err)
		}
		if first.Established == 0 || first.Cut == 0 || first.ColdOverloads != 0 {
			t.Errorf("%s: %+v", name, first)
		}
	}
}

// Without a plan the controller must decide exactly as it did before it supported plans. The
// expected traces were recorded with that version.
func TestNoPlanDecidesAsBefore(t *testing.T) {
	for seed, want := range []uint64{0x113143798138f67c, 0x76176dc30aa986bb, 0x235cc14114fca360} {
		cfg := dayConfig(7, 1.15, uint64(seed+1))
		cfg.Faults = []mesh.Fault{{From: 4 * time.Second, To: 12 * time.Second, Exchanges: []int{1, 2}, Slowdown: 2.5},
			{From: 15 * time.Second, To: 19 * time.Second, Exchanges: []int{3}, Down: true}}
		result, err := mesh.Run(cfg)
		if err != nil || result.TraceHash != want {
			t.Errorf("seed %d: trace %x, error %v", seed+1, result.TraceHash, err)
		}
	}
}
