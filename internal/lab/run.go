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

// Names of the policies. PolicyWeights and those after it are the controller with a plan.
const (
	PolicyController = "module"  // the controller without a plan
	PolicyEven       = "even"    // mesh.NewEvenPolicy: equal shares for all tandems
	PolicyDirect     = "direct"  // mesh.NewDirectPolicy: no tandems
	PolicyWeights    = "weights" // the controller with a plan's weights and guards
	// The controller with a part of the plan, to measure the effect of each part.
	PolicyWeightsOnly = "weights-without-guards"
	PolicyGuardsOnly  = "guards-without-weights"
	// The controller with equal weights and no guards: equal shares, but with throttling.
	PolicyEvenWeights = "module-even"
)

// Policies lists the names of all policies.
var Policies = []string{PolicyController, PolicyEven, PolicyDirect, PolicyWeights, PolicyWeightsOnly, PolicyGuardsOnly, PolicyEvenWeights}

// RunResult holds the result of one run of an experiment.
type RunResult struct {
	Size   int
	Seed   uint64
	Policy string
	*mesh.Result
}

// Metrics lists the compared metrics by name, with a function that reads them from a result.
var Metrics = []struct {
	Name  string
	Value func(r *mesh.Result) float64
}{
	{"service", func(r *mesh.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *mesh.Result) float64 { return r.WorstService }},
	{"worst class", func(r *mesh.Result) float64 { return slices.Min(r.ServiceByClass) }},
	{"tandem share", func(r *mesh.Result) float64 { return r.TandemShare }},
}

// Run emulates every size and seed with every policy, several in parallel. progress, if not nil,
// is called after each run, by one goroutine at a time. Run returns the first error; a
// cancelled context is one.
func (e *Experiment) Run(ctx context.Context, progress func(done, total int)) ([]RunResult, error) {
	type job struct {
		size int
		seed uint64
	}
	var jobs []job
	for _, size := range e.Sizes {
		for i := range e.Seeds {
			jobs = append(jobs, job{size, e.FirstSeed + uint64(i)})
		}
	}
	results := make([]RunResult, len(jobs)*len(e.Policies))
	workers, ctx := errgroup.WithContext(ctx)
	workers.SetLimit(runtime.GOMAXPROCS(0))
	finished := make(chan struct{}, len(results))
	for i, j := range jobs {
		workers.Go(func() error {
			for k, policy := range e.Policies {
				if err := ctx.Err(); err != nil {
					return err
				}
				result, err := e.runOne(j.size, j.seed, policy)
				if err != nil {
					return fmt.Errorf("size %d, seed %d, policy %s: %w", j.size, j.seed, policy, err)
				}
				results[i*len(e.Policies)+k] = RunResult{j.size, j.seed, policy, result}
				finished <- struct{}{}
			}
			return nil
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n := 0
		for range finished {
			n++
			if progress != nil {
				progress(n, len(results))
			}
		}
	}()
	err := workers.Wait()
	close(finished)
	<-done
	return results, err
}

// runOne emulates one size and seed with one policy.
func (e *Experiment) runOne(size int, seed uint64, policy string) (*mesh.Result, error) {
	cfg := DrawConfig(size, e.Load, time.Duration(e.LengthSeconds*float64(time.Second)), seed)
	AddFaults(&cfg, e.Faults)
	cfg.NewPolicy = routing.NewPolicy
	switch policy {
	case PolicyEven:
		cfg.NewPolicy = mesh.NewEvenPolicy
	case PolicyDirect:
		cfg.NewPolicy = mesh.NewDirectPolicy
	case PolicyWeights, PolicyWeightsOnly, PolicyGuardsOnly, PolicyEvenWeights:
		events, _, err := PlanEvents(&cfg, e.TargetBlocking, policy == PolicyWeights || policy == PolicyGuardsOnly)
		if err != nil {
			return nil, err
		}
		for x := range events {
			if policy == PolicyGuardsOnly {
				events[x].Weights = nil
			}
			if policy == PolicyEvenWeights {
				events[x].Weights = evenWeights(size, x)
			}
		}
		cfg.ExtraEvents = func(x int, now time.Duration) []routing.Event { return []routing.Event{events[x]} }
	}
	return mesh.Run(cfg)
}

// evenWeights returns equal weights for all tandems, for the controller of the exchange own.
func evenWeights(size, own int) []routing.Weight {
	var weights []routing.Weight
	for dest := range size {
		for tandem := range size {
			if dest != own && tandem != own && tandem != dest {
				weights = append(weights, routing.Weight{Dest: dest, Tandem: tandem, Weight: 1})
			}
		}
	}
	return weights
}

// Difference compares two policies in one metric over pairs of runs of the same size and seed.
type Difference struct {
	Size               int // 0: all sizes
	Metric             string
	First, Second      float64 // mean of each policy
	Mean               float64 // mean of the differences, First minus Second
	Low, High          float64 // 95% confidence interval of Mean, by bootstrap over the pairs
	Pairs, FirstHigher int     // number of pairs, and of those in which the first policy was higher
}

// bootstrapResamples is the number of resamples for an interval.
const bootstrapResamples = 10_000

// Compare returns the differences of two policies by metric and, within a metric, by size,
// starting with those over all sizes.
func Compare(runs []RunResult, first, second string) []Difference {
	type key struct {
		size int
		seed uint64
	}
	byPolicy := func(policy string) map[key]*mesh.Result {
		m := map[key]*mesh.Result{}
		for _, r := range runs {
			if r.Policy == policy {
				m[key{r.Size, r.Seed}] = r.Result
			}
		}
		return m
	}
	firstResults, secondResults := byPolicy(first), byPolicy(second)
	var keys []key
	sizes := []int{0}
	for k := range firstResults {
		if secondResults[k] != nil {
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
	var differences []Difference
	for _, metric := range Metrics {
		for _, size := range sizes {
			difference := Difference{Size: size, Metric: metric.Name}
			var diffs []float64
			for _, k := range keys {
				if size != 0 && k.size != size {
					continue
				}
				x, y := metric.Value(firstResults[k]), metric.Value(secondResults[k])
				difference.First += x
				difference.Second += y
				if x > y {
					difference.FirstHigher++
				}
				diffs = append(diffs, x-y)
			}
			if difference.Pairs = len(diffs); difference.Pairs == 0 {
				continue
			}
			difference.First /= float64(difference.Pairs)
			difference.Second /= float64(difference.Pairs)
			difference.Mean, difference.Low, difference.High = Bootstrap(diffs, bootstrapResamples, 1)
			differences = append(differences, difference)
		}
	}
	return differences
}

// Bootstrap returns the mean of values and its 95% percentile bootstrap interval. Without values
// all three are NaN.
func Bootstrap(values []float64, resamples int, seed uint64) (mean, low, high float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	rng := rand.New(rand.NewPCG(seed, uint64(len(values))))
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))] / float64(len(values))
		}
	}
	slices.Sort(means)
	for _, x := range values {
		mean += x / float64(len(values))
	}
	return mean, means[resamples*25/1000], means[resamples*975/1000]
}
