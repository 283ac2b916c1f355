package lab

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/routing"
)

// Policies by name. Weights and their variants are the module with a plan.
const (
	PolicyController = "module"  // as it decides without a plan
	PolicyEven       = "even"    // plain even sharing
	PolicyDirect     = "direct"  // never by a tandem
	PolicyWeights    = "weights" // the module with a plan's weights and guards
	// Parts of it, to tell what does what.
	PolicyWeightsOnly = "weights-without-guards"
	PolicyGuardsOnly  = "guards-without-weights"
	// The module with even weights and no guards: even sharing, but throttled.
	PolicyEvenWeights = "module-even"
)

// Policies lists them.
var Policies = []string{PolicyController, PolicyEven, PolicyDirect, PolicyWeights, PolicyWeightsOnly, PolicyGuardsOnly, PolicyEvenWeights}

// RunResult is what one run of an experiment came to.
type RunResult struct {
	Size   int
	Seed   uint64
	Policy string
	*mesh.Result
}

// Metrics that are compared, and how they are read off.
var Metrics = []struct {
	Name  string
	Value func(r *mesh.Result) float64
}{
	{"service", func(r *mesh.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *mesh.Result) float64 { return r.WorstService }},
	{"worst class", func(r *mesh.Result) float64 { return slices.Min(r.ServiceByClass) }},
	{"tandem share", func(r *mesh.Result) float64 { return r.TandemShare }},
}

// Run plays every size, seed and policy, several at once. Progress is called after
// each run, by one goroutine at a time.
func (e *Experiment) Run(ctx context.Context, progress func(done, all int)) ([]RunResult, error) {
	type job struct {
		size int
		seed uint64
	}
	var jobs []job
	for _, n := range e.Sizes {
		for s := range e.Seeds {
			jobs = append(jobs, job{n, e.FirstSeed + uint64(s)})
		}
	}
	out := make([]RunResult, len(jobs)*len(e.Policies))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	ticks := make(chan struct{}, len(out))
	for i, j := range jobs {
		g.Go(func() error {
			for k, policy := range e.Policies {
				if err := ctx.Err(); err != nil {
					return err
				}
				r, err := e.one(j.size, j.seed, policy)
				if err != nil {
					return fmt.Errorf("size %d, seed %d, policy %s: %w", j.size, j.seed, policy, err)
				}
				out[i*len(e.Policies)+k] = RunResult{j.size, j.seed, policy, r}
				ticks <- struct{}{}
			}
			return nil
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n := 0
		for range ticks {
			n++
			if progress != nil {
				progress(n, len(out))
			}
		}
	}()
	err := g.Wait()
	close(ticks)
	<-done
	return out, err
}

func (e *Experiment) one(size int, seed uint64, policy string) (*mesh.Result, error) {
	c := DrawConfig(size, e.Load, time.Duration(e.LengthSeconds*float64(time.Second)), seed)
	AddFaults(&c, e.Faults)
	c.NewPolicy = routing.NewPolicy
	switch policy {
	case PolicyEven:
		c.NewPolicy = mesh.NewEvenPolicy
	case PolicyDirect:
		c.NewPolicy = mesh.NewDirectPolicy
	case PolicyWeights, PolicyWeightsOnly, PolicyGuardsOnly, PolicyEvenWeights:
		events, _, err := PlanEvents(&c, e.TargetBlocking, policy == PolicyWeights || policy == PolicyGuardsOnly)
		if err != nil {
			return nil, err
		}
		for x := range events {
			if policy == PolicyGuardsOnly {
				events[x].Weights = nil
			}
			if policy == PolicyEvenWeights {
				events[x].Weights = even(size, x)
			}
		}
		c.ExtraEvents = func(x int, now time.Duration) []routing.Event { return []routing.Event{events[x]} }
	}
	return mesh.Run(c)
}

// even weighs all tandems alike.
func even(size, here int) []routing.Weight {
	var w []routing.Weight
	for dest := range size {
		for t := range size {
			if dest != here && t != here && t != dest {
				w = append(w, routing.Weight{Dest: dest, Tandem: t, Weight: 1})
			}
		}
	}
	return w
}

// Difference is how one policy does against another in one metric over paired seeds.
type Difference struct {
	Size               int // 0: all
	Metric             string
	First, Second      float64 // means
	Mean               float64 // of the differences
	Low, High          float64 // 95% interval, by bootstrap over the pairs
	Pairs, FirstHigher int     // pairs, and those in which Mine was higher
}

// resamples of a bootstrap.
const resamples = 10_000

// Compare gives the differences of two policies by metric and size.
func Compare(runs []RunResult, mine, other string) []Difference {
	type key struct {
		size int
		seed uint64
	}
	pick := func(policy string) map[key]*mesh.Result {
		m := map[key]*mesh.Result{}
		for _, r := range runs {
			if r.Policy == policy {
				m[key{r.Size, r.Seed}] = r.Result
			}
		}
		return m
	}
	a, b := pick(mine), pick(other)
	var keys []key
	sizes := []int{0}
	for k := range a {
		if b[k] != nil {
			keys = append(keys, k)
			if !slices.Contains(sizes, k.size) {
				sizes = append(sizes, k.size)
			}
		}
	}
	slices.SortFunc(keys, func(x, y key) int {
		if x.size != y.size {
			return x.size - y.size
		}
		return int(int64(x.seed) - int64(y.seed))
	})
	slices.Sort(sizes)
	var out []Difference
	for _, m := range Metrics {
		for _, n := range sizes {
			d := Difference{Size: n, Metric: m.Name}
			var diffs []float64
			for _, k := range keys {
				if n != 0 && k.size != n {
					continue
				}
				x, y := m.Value(a[k]), m.Value(b[k])
				d.First += x
				d.Second += y
				if x > y {
					d.FirstHigher++
				}
				diffs = append(diffs, x-y)
			}
			if d.Pairs = len(diffs); d.Pairs == 0 {
				continue
			}
			d.First /= float64(d.Pairs)
			d.Second /= float64(d.Pairs)
			d.Mean, d.Low, d.High = Bootstrap(diffs, resamples, 1)
			out = append(out, d)
		}
	}
	return out
}

// Bootstrap returns the mean of values and a 95% percentile interval for it.
func Bootstrap(v []float64, n int, seed uint64) (mean, low, high float64) {
	if len(v) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	r := rand.New(rand.NewPCG(seed, uint64(len(v))))
	means := make([]float64, n)
	for i := range means {
		for range v {
			means[i] += v[r.IntN(len(v))] / float64(len(v))
		}
	}
	slices.Sort(means)
	for _, x := range v {
		mean += x / float64(len(v))
	}
	return mean, means[n*25/1000], means[n*975/1000]
}
