package lab

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"violetspan.example/violetspan/decide/plan"
)

// SolveCost holds the size of a planning problem and the cost of solving it.
type SolveCost struct {
	Size, Paths, Steps, Stages int // Size: number of switches
	Duration                   time.Duration
	Gap                        float64 // of the answer
}

// MeasureSolves solves a randomly drawn full mesh of each size at 110% of the planned load. gap
// and stop are the solver's options. It returns an error if a size is out of range or a solve
// fails, with the measurements so far.
func MeasureSolves(sizes []int, gap float64, stop func() bool) ([]SolveCost, error) {
	var costs []SolveCost
	for _, size := range sizes {
		if size < 3 || size > plan.MaxSwitches {
			return costs, fmt.Errorf("size %d is out of range: 3 to %d switches", size, plan.MaxSwitches)
		}
		cfg := DrawConfig(size, 1.1, time.Second, 1)
		problem := NewProblem(&cfg, 0.2)
		started := time.Now()
		answer, err := plan.Solve(problem, plan.Options{Gap: gap, Stop: stop})
		if err != nil {
			return costs, fmt.Errorf("size %d: %w", size, err)
		}
		costs = append(costs, SolveCost{size, len(problem.Demands) * (size - 1), answer.Steps, answer.Stages, time.Since(started), answer.Gap})
	}
	return costs, nil
}

// WriteSolveCosts writes solve-cost.csv and solve-cost.svg to a directory, which it creates if
// necessary.
func WriteSolveCosts(dir string, costs []SolveCost) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	file, err := os.Create(filepath.Join(dir, "solve-cost.csv"))
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	out := csv.NewWriter(file)
	rows := [][]string{{"switches", "paths", "seconds", "steps", "objectives", "gap"}}
	var points plotter.XYs
	for _, c := range costs {
		rows = append(rows, []string{strconv.Itoa(c.Size), strconv.Itoa(c.Paths), strconv.FormatFloat(c.Duration.Seconds(), 'g', 4, 64),
			strconv.Itoa(c.Steps), strconv.Itoa(c.Stages), strconv.FormatFloat(c.Gap, 'g', 3, 64)})
		points = append(points, plotter.XY{X: float64(c.Size), Y: c.Duration.Seconds()})
	}
	if err := errors.Join(out.WriteAll(rows), file.Close()); err != nil {
		return fmt.Errorf("lab: solve-cost.csv: %w", err)
	}
	chart := plot.New()
	chart.Title.Text = "Time of a solve, full mesh, two classes, 110% of plan"
	chart.X.Label.Text, chart.Y.Label.Text = "switches", "seconds"
	chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	chart.Y.Scale, chart.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("lab: solve-cost.svg: %w", err)
	}
	chart.Add(line, dots, plotter.NewGrid())
	if err := chart.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, "solve-cost.svg")); err != nil {
		return fmt.Errorf("lab: solve-cost.svg: %w", err)
	}
	return nil
}
