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

// SolveCost is what one solve took.
type SolveCost struct {
	Size, Paths, Steps, Stages int
	Duration                   time.Duration
	Gap                        float64
}

// MeasureSolves solves one drawn full mesh of each size, at 110% of plan.
func MeasureSolves(sizes []int, gap float64, stop func() bool) ([]SolveCost, error) {
	var out []SolveCost
	for _, n := range sizes {
		if n < 3 || n > plan.MaxSwitches {
			return out, fmt.Errorf("size %d is not from 3 to %d", n, plan.MaxSwitches)
		}
		c := DrawConfig(n, 1.1, time.Second, 1)
		p := NewProblem(&c, 0.2)
		from := time.Now()
		a, err := plan.Solve(p, plan.Options{Gap: gap, Stop: stop})
		if err != nil {
			return out, fmt.Errorf("size %d: %w", n, err)
		}
		out = append(out, SolveCost{n, len(p.Demands) * (n - 1), a.Steps, a.Stages, time.Since(from), a.Gap})
	}
	return out, nil
}

// WriteSolveCosts writes solve-cost.csv and solve-cost.svg into a folder.
func WriteSolveCosts(dir string, costs []SolveCost) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "solve-cost.csv"))
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	w := csv.NewWriter(f)
	rows := [][]string{{"switches", "paths", "seconds", "steps", "objectives", "gap"}}
	var xy plotter.XYs
	for _, c := range costs {
		rows = append(rows, []string{strconv.Itoa(c.Size), strconv.Itoa(c.Paths), strconv.FormatFloat(c.Duration.Seconds(), 'g', 4, 64),
			strconv.Itoa(c.Steps), strconv.Itoa(c.Stages), strconv.FormatFloat(c.Gap, 'g', 3, 64)})
		xy = append(xy, plotter.XY{X: float64(c.Size), Y: c.Duration.Seconds()})
	}
	if err := errors.Join(w.WriteAll(rows), f.Close()); err != nil {
		return fmt.Errorf("lab: solve-cost.csv: %w", err)
	}
	p := plot.New()
	p.Title.Text = "Time of a solve, full mesh, two classes, 110% of plan"
	p.X.Label.Text, p.Y.Label.Text = "switches", "seconds"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	line, dots, err := plotter.NewLinePoints(xy)
	if err != nil {
		return fmt.Errorf("lab: solve-cost.svg: %w", err)
	}
	p.Add(line, dots, plotter.NewGrid())
	if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, "solve-cost.svg")); err != nil {
		return fmt.Errorf("lab: solve-cost.svg: %w", err)
	}
	return nil
}
