package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"

	"violetspan.example/violetspan/internal/lab"
)

type labCmd struct {
	Run  labRunCmd  `cmd:"" help:"Run an experiment file and write its results."`
	Cost labCostCmd `cmd:"" help:"Measure the time to solve a plan by the number of switches."`
}

type labCostCmd struct {
	Sizes []int   `help:"Numbers of switches." default:"4,8,12,16,24"`
	Gap   float64 `help:"As for plan solve." default:"0"`
	Out   string  `short:"o" help:"Directory for the results." type:"path" default:"lab/cost" placeholder:"DIR"`
}

func (c *labCostCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	costs, err := lab.MeasureSolves(c.Sizes, c.Gap, func() bool { return ctx.Err() != nil })
	for _, n := range costs {
		fmt.Printf("%d switches, %d paths: %v, %d steps, gap %.3g\n", n.Size, n.Paths, n.Duration.Round(time.Millisecond), n.Steps, n.Gap)
	}
	if err != nil {
		return err
	}
	return lab.WriteSolveCosts(c.Out, costs)
}

type labRunCmd struct {
	File string `arg:"" help:"Experiment file, in YAML." type:"path"`
	Out  string `short:"o" help:"Directory for the results; by default the experiment file's name without its extension." type:"path" placeholder:"DIR"`
}

func (c *labRunCmd) Run() error {
	e, err := lab.Load(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	if c.Out == "" {
		c.Out = strings.TrimSuffix(c.File, filepath.Ext(c.File))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	bar := progressbar.NewOptions(len(e.Sizes)*e.Seeds*len(e.Policies), progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(e.Name), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetVisibility(isTerminal(os.Stderr)))
	runs, err := e.Run(ctx, func(done, total int) { _ = bar.Set(done) })
	if err != nil {
		return err
	}
	_ = bar.Finish()
	for _, line := range e.Summary(runs) {
		fmt.Println(line)
	}
	return e.Write(c.Out, runs)
}

// isTerminal reports whether a file is a character device.
func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
