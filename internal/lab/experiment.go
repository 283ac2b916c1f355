package lab

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"violetspan.example/violetspan/internal/strict"
)

// Experiment is what a file asks for. Each size and seed is one installation and one
// day, played once by each policy.
type Experiment struct {
	Name           string
	Sizes          []int    // exchanges
	Load           float64  // against the plan that the groups were sized for
	LengthSeconds  float64  // of a day, seconds
	Seeds          int      // days for each size
	FirstSeed      uint64   // of them
	Faults         int      // of the operators' record, for each day
	TargetBlocking float64  // blocking at which the planner counts a group as full
	Policies       []string // the first is compared with each of the others
}

// Bounds and defaults of an experiment.
const (
	maxFile    = 1 << 20
	maxSize    = 64
	maxSeeds   = 1000
	maxLoad    = 5
	maxLengthS = 600
	maxTrouble = 8
)

// DefaultExperiment is an experiment whose file says nothing.
func DefaultExperiment() *Experiment {
	return &Experiment{Name: "experiment", Sizes: []int{5, 7, 9}, Load: 1.1, LengthSeconds: 50, Seeds: 30, FirstSeed: 1, TargetBlocking: 0.2,
		Policies: []string{PolicyWeights, PolicyController, PolicyEven}}
}

// Load reads an experiment's file.
func Load(path string) (*Experiment, error) {
	b, err := strict.ReadFile(path, maxFile)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, b)
}

// Parse reads an experiment in YAML. An error names file, line and key.
func Parse(name string, b []byte) (*Experiment, error) {
	bad := func(line int, key, format string, args ...any) error {
		return strict.KeyError(name, line, key, fmt.Sprintf(format, args...))
	}
	e := DefaultExperiment()
	root, err := strict.Document(name, b, "name")
	if err != nil {
		return nil, err
	}
	num := func(v *yaml.Node, key string, low, high float64, to *float64) error {
		x, err := strconv.ParseFloat(v.Value, 64)
		if v.Kind != yaml.ScalarNode || err != nil || math.IsNaN(x) || x < low || x > high {
			return bad(v.Line, key, "%q is not a number from %g to %g", v.Value, low, high)
		}
		*to = x
		return nil
	}
	whole := func(v *yaml.Node, key string, low, high int, to *int) error {
		x, err := strconv.Atoi(v.Value)
		if v.Kind != yaml.ScalarNode || err != nil || x < low || x > high {
			return bad(v.Line, key, "%q is not a whole number from %d to %d", v.Value, low, high)
		}
		*to = x
		return nil
	}
	err = strict.ForEachEntry(name, "name", root, func(key string, line int, v *yaml.Node) (err error) {
		switch key {
		case "name":
			if v.Kind != yaml.ScalarNode || v.Value == "" || strings.ContainsAny(v.Value, "/\\\n\x00") {
				err = bad(v.Line, key, "%q is no plain name", v.Value)
			}
			e.Name = v.Value
		case "load":
			err = num(v, key, 0.01, maxLoad, &e.Load)
		case "length_s":
			err = num(v, key, 1, maxLengthS, &e.LengthSeconds)
		case "blocking":
			err = num(v, key, 0, 0.9, &e.TargetBlocking)
		case "seeds":
			err = whole(v, key, 1, maxSeeds, &e.Seeds)
		case "first_seed":
			n := 0
			err = whole(v, key, 0, math.MaxInt32, &n)
			e.FirstSeed = uint64(n)
		case "troubles":
			err = whole(v, key, 0, maxTrouble, &e.Faults)
		case "sizes", "policies":
			if v.Kind != yaml.SequenceNode || len(v.Content) == 0 || len(v.Content) > 16 {
				return bad(v.Line, key, "a list of 1 to 16 is wanted")
			}
			e.clear(key)
			for _, n := range v.Content {
				size := 0
				if key == "sizes" {
					err = whole(n, key, 3, maxSize, &size)
					if err == nil && slices.Contains(e.Sizes, size) {
						err = bad(n.Line, key, "%d stands twice", size)
					}
					e.Sizes = append(e.Sizes, size)
				} else {
					if n.Kind != yaml.ScalarNode || !slices.Contains(Policies, n.Value) || slices.Contains(e.Policies, n.Value) {
						err = bad(n.Line, key, "%q is none of %s, or stands twice", n.Value, strings.Join(Policies, ", "))
					}
					e.Policies = append(e.Policies, n.Value)
				}
				if err != nil {
					return err
				}
			}
		default:
			err = bad(line, key, "not known")
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) clear(key string) {
	if key == "sizes" {
		e.Sizes = nil
	} else {
		e.Policies = nil
	}
}
