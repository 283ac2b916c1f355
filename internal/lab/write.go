package lab

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the form of the plots
)

// Write puts an experiment's results into a folder: runs.csv, table.md and the plots
// setup-time.svg and, for each policy but the first, against-POLICY.svg. Files of those
// names are replaced.
func (e *Experiment) Write(dir string, runs []RunResult) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for _, f := range []struct {
		name string
		do   func(w io.Writer) error
	}{{"runs.csv", func(w io.Writer) error { return e.WriteCSV(w, runs) }}, {"table.md", func(w io.Writer) error { return e.WriteTable(w, runs) }}} {
		out, err := os.Create(filepath.Join(dir, f.name))
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		err = f.do(out)
		if cerr := out.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return fmt.Errorf("lab: %s: %w", f.name, err)
		}
	}
	for _, other := range e.Policies[1:] {
		name := "against-" + other + ".svg"
		if err := e.plotDifferences(filepath.Join(dir, name), runs, other); err != nil {
			return fmt.Errorf("lab: %s: %w", name, err)
		}
	}
	if err := e.plotTimes(filepath.Join(dir, "setup-time.svg"), runs); err != nil {
		return fmt.Errorf("lab: setup-time.svg: %w", err)
	}
	return nil
}

// WriteCSV writes a line a run.
func (e *Experiment) WriteCSV(w io.Writer, runs []RunResult) error {
	out := csv.NewWriter(w)
	head := []string{"size", "seed", "policy", "service", "worst_10s", "worst_class", "tandem_share", "offered", "tries", "stood", "late", "cut",
		"refused", "turned_back", "timed_out", "given_up", "processor_full", "sends", "repeats", "p50_ms", "p99_ms", "trace"}
	if err := out.Write(head); err != nil {
		return err
	}
	for _, r := range runs {
		row := []string{strconv.Itoa(r.Size), strconv.FormatUint(r.Seed, 10), r.Policy}
		for _, m := range Metrics {
			row = append(row, strconv.FormatFloat(m.Value(r.Result), 'f', 5, 64))
		}
		for _, n := range []int{r.Offered, r.Tries, r.Established, r.Late, r.Cut, r.Refused, r.TurnedBack, r.TimedOut, r.GivenUp, r.ProcessorFull, r.Sends, r.Repeats} {
			row = append(row, strconv.Itoa(n))
		}
		for _, q := range []float64{50, 99} {
			row = append(row, strconv.FormatFloat(float64(r.SetUpTime.ValueAtQuantile(q))/1000, 'f', 1, 64))
		}
		if err := out.Write(append(row, fmt.Sprintf("%016x", r.TraceHash))); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func sizeName(n int) string {
	if n == 0 {
		return "all"
	}
	return strconv.Itoa(n)
}

// WriteTable writes the paired differences in Markdown.
func (e *Experiment) WriteTable(w io.Writer, runs []RunResult) error {
	_, err := fmt.Fprintf(w, "# %s\n\nLoad %g of plan, %g s a day, sizes %v, seeds %d to %d, troubles %d a day, blocking %g.\n"+
		"Differences are of pairs with the same installation, day and callers; intervals are 95%%, by bootstrap.\n",
		e.Name, e.Load, e.LengthSeconds, e.Sizes, e.FirstSeed, e.FirstSeed+uint64(e.Seeds)-1, e.Faults, e.TargetBlocking)
	if err != nil {
		return err
	}
	for _, other := range e.Policies[1:] {
		if _, err := fmt.Fprintf(w, "\n## %s against %s\n\n| metric | size | %s | %s | difference | 95%% interval | higher in |\n| --- | --- | --- | --- | --- | --- | --- |\n",
			e.Policies[0], other, e.Policies[0], other); err != nil {
			return err
		}
		for _, d := range Compare(runs, e.Policies[0], other) {
			if _, err := fmt.Fprintf(w, "| %s | %s | %.4f | %.4f | %+.4f | %+.4f to %+.4f | %d of %d |\n",
				d.Metric, sizeName(d.Size), d.First, d.Second, d.Mean, d.Low, d.High, d.FirstHigher, d.Pairs); err != nil {
				return err
			}
		}
	}
	return nil
}

// errors of a plot's points: what plotter.NewYErrorBars wants.
type points struct {
	plotter.XYs
	plotter.YErrors
}

func (e *Experiment) plotDifferences(path string, runs []RunResult, other string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s less %s, 95%% intervals", e.Name, e.Policies[0], other)
	p.Y.Label.Text = "difference"
	var pts points
	var names []string
	for _, d := range Compare(runs, e.Policies[0], other) {
		pts.XYs = append(pts.XYs, plotter.XY{X: float64(len(names)), Y: d.Mean})
		pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{d.Mean - d.Low, d.High - d.Mean})
		names = append(names, d.Metric+", "+sizeName(d.Size))
	}
	if len(names) == 0 {
		return nil
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return err
	}
	zero := plotter.NewFunction(func(float64) float64 { return 0 })
	zero.Color = color.Gray{Y: 128}
	p.Add(zero, dots, bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return p.Save(22*vg.Centimeter, 13*vg.Centimeter, path)
}

func (e *Experiment) plotTimes(path string, runs []RunResult) error {
	p := plot.New()
	p.Title.Text = e.Name + ": time from a caller's first try until the call stands"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for k, policy := range e.Policies {
		var all *hdrhistogram.Histogram
		for _, r := range runs {
			if r.Policy != policy {
				continue
			}
			if all == nil {
				all = hdrhistogram.Import(r.SetUpTime.Export())
			} else {
				all.Merge(r.SetUpTime)
			}
		}
		if all == nil || all.TotalCount() == 0 {
			continue
		}
		var xy plotter.XYs
		for q := 1.0; q < 100; q++ {
			xy = append(xy, plotter.XY{X: q, Y: max(0.001, float64(all.ValueAtQuantile(q))/1000)})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(k)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}

// Summary is the first policy against each other, over all sizes: a line a metric.
func (e *Experiment) Summary(runs []RunResult) []string {
	var out []string
	for _, other := range e.Policies[1:] {
		for _, d := range slices.DeleteFunc(Compare(runs, e.Policies[0], other), func(d Difference) bool { return d.Size != 0 }) {
			out = append(out, fmt.Sprintf("%s against %s: %s %.4f to %.4f, difference %+.4f (95%% %+.4f to %+.4f), %d pairs",
				e.Policies[0], other, d.Metric, d.First, d.Second, d.Mean, d.Low, d.High, d.Pairs))
		}
	}
	return out
}
