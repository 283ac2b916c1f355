package lab

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The same file must give the same results in every run, independent of the scheduling of
// goroutines, and all output files must be written.
func TestExperiment(t *testing.T) {
	experiment, err := Parse("x.yaml", []byte("name: short\nsizes: [4, 5]\nseeds: 3\nlength_s: 12\ntroubles: 1\npolicies: [weights, module, even, direct, module-even]\n"))
	if err != nil {
		t.Fatal(err)
	}
	runAll := func() string {
		calls := 0
		runs, err := experiment.Run(context.Background(), func(done, all int) {
			calls++
			if done != calls || all != 30 {
				t.Errorf("progress %d of %d at call %d", done, all, calls)
			}
		})
		if err != nil || calls != 30 {
			t.Fatal(calls, err)
		}
		var b bytes.Buffer
		if err := experiment.WriteCSV(&b, runs); err != nil {
			t.Fatal(err)
		}
		if err := experiment.WriteTable(&b, runs); err != nil {
			t.Fatal(err)
		}
		if s := experiment.Summary(runs); len(s) != 4*len(Metrics) {
			t.Error(s)
		}
		dir := filepath.Join(t.TempDir(), "out")
		if err := experiment.Write(dir, runs); err != nil {
			t.Fatal(err)
		}
		for _, f := range []string{"runs.csv", "table.md", "against-module.svg", "against-even.svg", "setup-time.svg"} {
			if b, err := os.ReadFile(filepath.Join(dir, f)); err != nil || len(b) < 200 {
				t.Errorf("%s: %d bytes, %v", f, len(b), err)
			}
		}
		return b.String()
	}
	first := runAll()
	if diff := cmp.Diff(first, runAll()); diff != "" {
		t.Error(diff)
	}
	if n := strings.Count(first, "\n"); n < 31+4*12 {
		t.Errorf("%d lines in runs.csv and table.md", n)
	}
}

func TestSolveCost(t *testing.T) {
	costs, err := MeasureSolves([]int{3, 4}, 0, nil)
	if err != nil || len(costs) != 2 || costs[1].Stages != 3 || costs[1].Paths != 24*3 {
		t.Fatal(costs, err)
	}
	dir := t.TempDir()
	if err := WriteSolveCosts(dir, costs); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(filepath.Join(dir, "solve-cost.csv")); err != nil || strings.Count(string(b), "\n") != 3 {
		t.Error(string(b), err)
	}
	if _, err := MeasureSolves([]int{2}, 0, nil); err == nil {
		t.Error("no error for two switches")
	}
	if _, err := MeasureSolves([]int{5}, 0, func() bool { return true }); err == nil {
		t.Error("no error from a stopped solve")
	}
}

func TestRunWithCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := DefaultExperiment().Run(ctx, nil); err == nil {
		t.Error("no error with a cancelled context")
	}
}

func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"":                           "f:1: key name: missing",
		"[1]":                        "f:1: key name: a mapping",
		"a: 1":                       "f:1: key a: not known",
		"seeds: 2\nseeds: 3":         "f:2: key seeds: no plain key, or one",
		"name: x\nseeds: 0":          "f:2: key seeds: \"0\" is not a whole number from 1",
		"name: x\nseeds: many":       "f:2: key seeds",
		"load: .nan":                 "f:1: key load",
		"load: 1e300":                "f:1: key load",
		"sizes: 5":                   "f:1: key sizes: a list",
		"sizes: [5,\n 5]":            "f:2: key sizes: 5 is listed twice",
		"sizes: [2]":                 "f:1: key sizes",
		"policies: [module, best]":   "f:1: key policies: \"best\"",
		"policies: [module, module]": "f:1: key policies",
		"name: a/b":                  "f:1: key name",
		"seeds: 3\n---\nseeds: 4":    "f:2: key name: one document",
		"blocking: 1":                "f:1: key blocking",
		"first_seed: -1":             "f:1: key first_seed",
		"length_s: {a: 1}":           "f:1: key length_s",
		"name: [":                    "f: yaml",
		"troubles: 9":                "f:1: key troubles",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40q: %v, want %q", text, err, want)
		}
	}
}

// The mean and the interval must be close to those of a known distribution: half zeros and half
// ones.
func TestBootstrap(t *testing.T) {
	mean, low, high := Bootstrap([]float64{1, 1, 1, 1}, 1000, 1)
	if mean != 1 || low != 1 || high != 1 {
		t.Error(mean, low, high)
	}
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(i % 2)
	}
	mean, low, high = Bootstrap(values, 10_000, 1)
	if mean < 0.4999 || mean > 0.5001 || low < 0.38 || low > 0.42 || high < 0.58 || high > 0.62 { // exact: 1.96 * 0.05 on each side
		t.Error(mean, low, high)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("name: short\nsizes: [4, 5]\nseeds: 3\npolicies: [weights, module]\n"))
	f.Add([]byte("load: &a 1\nlength_s: *a\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		experiment, err := Parse("f", b)
		if err == nil && (len(experiment.Sizes) == 0 || len(experiment.Policies) == 0 || experiment.Seeds < 1 || !(experiment.Load > 0) || !(experiment.LengthSeconds >= 1)) {
			t.Errorf("%+v", experiment)
		}
	})
}

// The emulation must rank three policies as the simulator does: first the controller, then the
// direct policy, then the even policy.
func TestOrderOfPolicies(t *testing.T) {
	experiment := DefaultExperiment()
	experiment.Seeds, experiment.LengthSeconds, experiment.Policies = 4, 30, []string{PolicyController, PolicyDirect, PolicyEven}
	runs, err := experiment.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, pair := range [][2]string{{PolicyController, PolicyDirect}, {PolicyDirect, PolicyEven}} {
		if d := Compare(runs, pair[0], pair[1])[0]; d.Low <= 0 {
			t.Errorf("%s against %s: %+v", pair[0], pair[1], d)
		}
	}
}
