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

// Experiment is the content of an experiment file. Each size and seed gives one installation
// and one day of traffic, which is emulated once with every policy.
type Experiment struct {
	Name           string
	Sizes          []int    // exchanges
	Load           float64  // relative to the plan for which the groups are sized
	LengthSeconds  float64  // length of a day
	Seeds          int      // days per size
	FirstSeed      uint64   // seed of the first day
	Faults         int      // faults per day
	TargetBlocking float64  // blocking at which the planner counts a group as full
	Policies       []string // the first is compared with each of the others
}

// Upper bounds of an experiment's file and values.
const (
	maxFileBytes     = 1 << 20
	maxSize          = 64
	maxSeeds         = 1000
	maxLoad          = 5
	maxLengthSeconds = 600
	maxFaults        = 8
)

// DefaultExperiment returns the experiment of a file that sets no key.
func DefaultExperiment() *Experiment {
	return &Experiment{Name: "experiment", Sizes: []int{5, 7, 9}, Load: 1.1, LengthSeconds: 50, Seeds: 30, FirstSeed: 1, TargetBlocking: 0.2,
		Policies: []string{PolicyWeights, PolicyController, PolicyEven}}
}

// Load reads an experiment file.
func Load(path string) (*Experiment, error) {
	content, err := strict.ReadFile(path, maxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, content)
}

// Parse parses an experiment in YAML. An error names the file, line and key.
func Parse(file string, content []byte) (*Experiment, error) {
	invalid := func(line int, key, format string, args ...any) error {
		return strict.KeyError(file, line, key, fmt.Sprintf(format, args...))
	}
	experiment := DefaultExperiment()
	root, err := strict.Document(file, content, "name")
	if err != nil {
		return nil, err
	}
	parseNumber := func(node *yaml.Node, key string, low, high float64, target *float64) error {
		x, err := strconv.ParseFloat(node.Value, 64)
		if node.Kind != yaml.ScalarNode || err != nil || math.IsNaN(x) || x < low || x > high {
			return invalid(node.Line, key, "%q is not a number from %g to %g", node.Value, low, high)
		}
		*target = x
		return nil
	}
	parseInteger := func(node *yaml.Node, key string, low, high int, target *int) error {
		x, err := strconv.Atoi(node.Value)
		if node.Kind != yaml.ScalarNode || err != nil || x < low || x > high {
			return invalid(node.Line, key, "%q is not a whole number from %d to %d", node.Value, low, high)
		}
		*target = x
		return nil
	}
	err = strict.ForEachEntry(file, "name", root, func(key string, line int, node *yaml.Node) (err error) {
		switch key {
		case "name":
			if node.Kind != yaml.ScalarNode || node.Value == "" || strings.ContainsAny(node.Value, "/\\\n\x00") {
				err = invalid(node.Line, key, "%q is not a valid name: it is empty or contains a slash, line break or NUL", node.Value)
			}
			experiment.Name = node.Value
		case "load":
			err = parseNumber(node, key, 0.01, maxLoad, &experiment.Load)
		case "length_s":
			err = parseNumber(node, key, 1, maxLengthSeconds, &experiment.LengthSeconds)
		case "blocking":
			err = parseNumber(node, key, 0, 0.9, &experiment.TargetBlocking)
		case "seeds":
			err = parseInteger(node, key, 1, maxSeeds, &experiment.Seeds)
		case "first_seed":
			n := 0
			err = parseInteger(node, key, 0, math.MaxInt32, &n)
			experiment.FirstSeed = uint64(n)
		case "troubles":
			err = parseInteger(node, key, 0, maxFaults, &experiment.Faults)
		case "sizes", "policies":
			if node.Kind != yaml.SequenceNode || len(node.Content) == 0 || len(node.Content) > 16 {
				return invalid(node.Line, key, "a list of 1 to 16 items is required")
			}
			experiment.clearList(key)
			for _, item := range node.Content {
				size := 0
				if key == "sizes" {
					err = parseInteger(item, key, 3, maxSize, &size)
					if err == nil && slices.Contains(experiment.Sizes, size) {
						err = invalid(item.Line, key, "%d is listed twice", size)
					}
					experiment.Sizes = append(experiment.Sizes, size)
				} else {
					if item.Kind != yaml.ScalarNode || !slices.Contains(Policies, item.Value) || slices.Contains(experiment.Policies, item.Value) {
						err = invalid(item.Line, key, "%q is none of %s, or is listed twice", item.Value, strings.Join(Policies, ", "))
					}
					experiment.Policies = append(experiment.Policies, item.Value)
				}
				if err != nil {
					return err
				}
			}
		default:
			err = invalid(line, key, "not known")
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return experiment, nil
}

// clearList removes the default values of a list.
func (e *Experiment) clearList(key string) {
	if key == "sizes" {
		e.Sizes = nil
	} else {
		e.Policies = nil
	}
}
